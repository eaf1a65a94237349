#include "tests/harness/Fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <random>
#include <thread>

/// \file
/// Tests that orders run at most once, and that a call reported as "not run" did not run. The
/// execution counts of the service stand-ins are the reference.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

constexpr char kOrders[] = "/services/orders/orders";

std::string OrderBody(const std::string& aOrder) {
  return "{\"order\":\"" + aOrder + "\"}";
}

/// Answers that a caller received for one order over all attempts.
struct OrderResult {
  std::string m_order;
  bool m_succeeded = false;
  bool m_alwaysNotRun = true;
};

/// Sends an order to a random node; repeats it with the same key at random nodes, up to 4 attempts,
/// until it succeeds.
OrderResult SendOrder(const Fleet& aFleet, const std::string& aOrder, std::mt19937_64& aRandom) {
  OrderResult result{ aOrder };
  for (int attempt = 0; attempt < 4 && !result.m_succeeded; ++attempt) {
    const CallerAnswer answer = CallAs(kTeamKey,
                                       aFleet.NodeAddress(aRandom() % aFleet.NodeCount()),
                                       "POST",
                                       kOrders,
                                       OrderBody(aOrder),
                                       aOrder);
    result.m_succeeded = answer.m_status == 201;
    result.m_alwaysNotRun = result.m_alwaysNotRun && answer.m_outcome == "not run";
  }
  return result;
}

/// Injects random faults one after another until `aStop` is set.
void InjectFaults(Fleet& aFleet, uint64_t aSeed, const std::atomic<bool>& aStop) {
  std::mt19937_64 random(aSeed);
  const auto pause = [&](int aMaxMs) {
    std::this_thread::sleep_for(base::Millis(static_cast<int64_t>(random() % aMaxMs) + 10));
  };
  static const char* const kServiceFaults[] = {
    "close_after_run", "close_before_run", "not_started", "server_error", "crossed"
  };
  while (!aStop) {
    pause(60);
    switch (random() % 6) {
      case 0:
      case 1: {
        const std::string fault = kServiceFaults[random() % std::size(kServiceFaults)];
        Call(aFleet.Service(random() % 2).m_address,
             "POST",
             "/control/faults",
             "{\"" + fault + "\":3}");
        break;
      }
      case 2:
        aFleet.SetPlatformFaults({ { "lose_answers", 2 } });
        break;
      case 3:
        aFleet.SetPlatformFaults({ { "outage", true } });
        pause(300);
        aFleet.SetPlatformFaults({ { "outage", false } });
        break;
      case 4: {
        // Pauses the node for up to 1.5 s, beyond each timeout between nodes, and resumes it.
        const size_t node = random() % aFleet.NodeCount();
        aFleet.NodeProcess(node).Signal(SIGSTOP);
        pause(1500);
        aFleet.NodeProcess(node).Signal(SIGCONT);
        break;
      }
      default:
        aFleet.RestartNode(random() % aFleet.NodeCount());
        break;
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnceTest)

// Concurrent calls with the same key at all nodes: the order runs once, and each caller gets the
// answer.
BOOST_AUTO_TEST_CASE(ConcurrentCallsWithOneKeyRunOnce) {
  Fleet fleet(FleetSettings{});
  std::atomic<int> whole{ 0 };
  std::vector<std::thread> callers;
  for (size_t node = 0; node < fleet.NodeCount(); ++node) {
    callers.emplace_back([&fleet, &whole, node] {
      for (int i = 0; i < 50; ++i) {
        const std::string order = "wreath-" + std::to_string(i);
        const CallerAnswer answer =
          CallAs(kTeamKey, fleet.NodeAddress(node), "POST", kOrders, OrderBody(order), order);
        whole += answer.m_status == 201 ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(whole == 150);
  for (const auto& [order, runs] : fleet.RunCounts()) {
    BOOST_TEST(runs == 1, order << " ran " << runs << " times");
  }
}

// After a claim is recorded as done, any node fetches the answer from the node that retains it.
// After that node was killed, callers get the outcome "ran".
BOOST_AUTO_TEST_CASE(AnswerOfAnEarlierRunIsFetchedFromItsNode) {
  Fleet fleet(FleetSettings{});
  BOOST_TEST(
    CallAs(kTeamKey, fleet.NodeAddress(0), "POST", kOrders, OrderBody("old"), "old").m_status ==
    201);
  const auto done = [&] {
    const std::string claims =
      Call(fleet.Platform().m_address, "GET", "/list?prefix=papayafield/claims").m_body;
    return claims.find(",1,1,") != std::string::npos;
  };
  BOOST_TEST(Eventually(done));
  for (size_t node = 0; node < fleet.NodeCount(); ++node) {
    BOOST_TEST(CallAs(kTeamKey, fleet.NodeAddress(node), "POST", kOrders, OrderBody("old"), "old")
                 .m_status == 201);
  }
  fleet.NodeProcess(0).Kill();
  BOOST_TEST(Eventually([&] {
    return CallAs(kTeamKey, fleet.NodeAddress(1), "POST", kOrders, OrderBody("old"), "old")
             .m_outcome == "ran";
  }));
  BOOST_TEST(fleet.RunCounts()["old"] == 1);
}

// A call with an unknown outcome is never reported as "ran", even after the node that sent it was
// killed.
BOOST_AUTO_TEST_CASE(UnknownOutcomeIsNeverReportedAsRan) {
  Fleet fleet(FleetSettings{});
  const auto order = [&](size_t aNode, const std::string& aKey) {
    return CallAs(kTeamKey, fleet.NodeAddress(aNode), "POST", kOrders, OrderBody(aKey), aKey);
  };
  Call(fleet.Service(0).m_address, "POST", "/control/faults", "{\"close_before_run\":1}");
  BOOST_TEST(order(0, "lost").m_outcome == "unknown");
  // Done marks of claims are written in order: once the mark of this call is stored, a mark of the
  // first call would be, too.
  BOOST_TEST(order(0, "run").m_status == 201);
  BOOST_TEST(Eventually([&] {
    return Call(fleet.Platform().m_address, "GET", "/list?prefix=papayafield/claims")
             .m_body.find(",1,") != std::string::npos;
  }));
  std::this_thread::sleep_for(base::Millis(1000));
  fleet.NodeProcess(0).Kill();
  BOOST_TEST(Eventually([&] { return order(1, "run").m_outcome == "ran"; }));
  BOOST_TEST(order(1, "lost").m_outcome == "unknown");
  BOOST_TEST(fleet.RunCounts().contains("lost") == false);
}

// A call with the outcome "not run" may be repeated with the same key at any node, and then runs
// once.
BOOST_AUTO_TEST_CASE(KeyMayBeReusedAfterNotRun) {
  Fleet fleet(FleetSettings{});
  const auto ticket = CallAs(kTeamKey, fleet.NodeAddress(0), "POST", "/v1/tickets");
  const std::string issued =
    base::ValueOr(base::ParseJson(ticket.m_body), "idempotency_key", std::string());
  for (const std::string& key : { std::string("free-again"), issued }) {
    const auto order = [&](size_t aNode) {
      return CallAs(kTeamKey, fleet.NodeAddress(aNode), "POST", kOrders, OrderBody(key), key);
    };
    Call(fleet.Service(0).m_address, "POST", "/control/faults", "{\"not_started\":2}");
    BOOST_TEST(order(0).m_outcome == "not run");
    BOOST_TEST(order(1).m_outcome == "not run");
    for (size_t node = 0; node < fleet.NodeCount(); ++node) {
      BOOST_TEST(order(node).m_status == 201);
    }
    BOOST_TEST(fleet.RunCounts()[key] == 1);
  }
}

// Idempotency keys are scoped to a team: the same key of two teams identifies two calls.
BOOST_AUTO_TEST_CASE(KeysAreScopedToTheirTeam) {
  FleetSettings settings;
  settings.m_nodes = 1;
  Fleet fleet(settings);
  for (const char* team : { kTeamKey, kOtherTeamKey }) {
    BOOST_TEST(
      CallAs(team, fleet.NodeAddress(0), "POST", kOrders, OrderBody(team), "same-key").m_status ==
      201);
  }
  BOOST_TEST(fleet.RunCounts().size() == 2U);
}

// During a platform outage, calls that need a claim are rejected, while calls with a ticket, which
// needs no claim, are served.
BOOST_AUTO_TEST_CASE(OutageRejectsClaimsButServesTickets) {
  Fleet fleet(FleetSettings{});
  const auto ticket = [&](size_t aNode) {
    const auto answer = CallAs(kTeamKey, fleet.NodeAddress(aNode), "POST", "/v1/tickets");
    return base::ValueOr(base::ParseJson(answer.m_body), "idempotency_key", std::string());
  };
  fleet.SetPlatformFaults({ { "outage", true } });
  const CallerAnswer rejected =
    CallAs(kTeamKey, fleet.NodeAddress(0), "POST", kOrders, OrderBody("by-key"), "by-key");
  BOOST_TEST(rejected.m_status == 503);
  BOOST_TEST(rejected.m_outcome == "not run");
  // The same ticket twice at its own node and once at another node: one run, three answers.
  const std::string first = ticket(0);
  for (const size_t node : { 0, 0, 1 }) {
    BOOST_TEST(
      CallAs(kTeamKey, fleet.NodeAddress(node), "POST", kOrders, OrderBody("t1"), first).m_status ==
      201);
  }
  // The node of a ticket was killed: the outcome is unknown, and no node runs the call.
  const std::string second = ticket(0);
  fleet.NodeProcess(0).Kill();
  const CallerAnswer unknown =
    CallAs(kTeamKey, fleet.NodeAddress(1), "POST", kOrders, OrderBody("t2"), second);
  BOOST_TEST(unknown.m_outcome == "unknown");
  // A ticket is rejected for another team.
  const std::string third = ticket(1);
  BOOST_TEST(CallAs(kOtherTeamKey, fleet.NodeAddress(1), "POST", kOrders, OrderBody("t3"), third)
               .m_outcome == "unknown");
  const auto runs = fleet.RunCounts();
  BOOST_TEST(runs.size() == 1U);
  BOOST_TEST(runs.at("t1") == 1);
}

// If the answer to a compare-and-swap is lost after the write, the node reads the key back to learn
// the result.
BOOST_AUTO_TEST_CASE(LostCompareAndSwapAnswersAreResolved) {
  Fleet fleet(FleetSettings{});
  for (int i = 0; i < 10; ++i) {
    fleet.SetPlatformFaults({ { "lose_answers", 1 } });
    const std::string order = "lost-" + std::to_string(i);
    BOOST_TEST(
      CallAs(kTeamKey, fleet.NodeAddress(1), "POST", kOrders, OrderBody(order), order).m_status ==
      201);
    BOOST_TEST(fleet.RunCounts()[order] == 1);
  }
}

// All open connections to the platform become silent for good while new ones work: orders and
// changes still succeed.
BOOST_AUTO_TEST_CASE(SilentConnectionsToThePlatform) {
  FleetSettings settings;
  settings.m_platformProxy = true;
  Fleet fleet(settings);
  for (int round = 0; round < 5; ++round) {
    Fleet::SetProxyFaults(fleet.Platform(), { { "silence", true } });
    const std::string order = "silent-" + std::to_string(round);
    // A call whose claim is written on a silent connection may be rejected; its repetition runs
    // once.
    BOOST_TEST(Eventually([&] {
      return CallAs(kTeamKey, fleet.NodeAddress(0), "POST", kOrders, OrderBody(order), order)
               .m_status == 201;
    }));
    BOOST_TEST(fleet.RunCounts()[order] == 1);
    BOOST_TEST(fleet.RunCtl(
                 { "apply", fleet.ManifestFile(), "--node", fleet.NodeAddress(1).ToText() }) == 0);
    BOOST_TEST(fleet.WaitUntilActive(static_cast<uint64_t>(round) + 2));
  }
}

// A node is killed at each step of a call: before the claim is written, after the claim is written,
// and after the service has run the call but before it answers. The caller repeats the call with
// the same key at another node.
BOOST_AUTO_TEST_CASE(NodeKilledAtEachStep) {
  FleetSettings settings;
  settings.m_platformProxy = true;
  settings.m_serviceOptions = { "--work-ms", "300" };
  Fleet fleet(settings);
  const auto listClaims = [&] {
    return Call(fleet.Platform().m_address, "GET", "/list?prefix=papayafield/claims").m_body;
  };
  for (const std::string step : { "before the claim", "after the claim", "after the run" }) {
    const std::string order = "killed " + step;
    if (step == "before the claim") {
      Fleet::SetProxyFaults(fleet.Platform(), { { "delay_ms", 400 } });
    }
    const std::string before = listClaims();
    std::thread caller(
      [&] { CallAs(kTeamKey, fleet.NodeAddress(0), "POST", kOrders, OrderBody(order), order); });
    if (step == "before the claim") {
      std::this_thread::sleep_for(base::Millis(100));
    } else if (step == "after the claim") {
      BOOST_TEST(Eventually([&] { return listClaims() != before; }));
    } else {
      BOOST_TEST(Eventually([&] { return fleet.RunCounts().contains(order); }));
    }
    fleet.NodeProcess(0).Kill();
    caller.join();
    Fleet::SetProxyFaults(fleet.Platform(), { { "delay_ms", 0 } });
    const int runsBefore = fleet.RunCounts().contains(order) ? 1 : 0;
    CallerAnswer answer;
    BOOST_TEST(Eventually([&] {
      answer = CallAs(kTeamKey, fleet.NodeAddress(1), "POST", kOrders, OrderBody(order), order);
      return answer.m_outcome != "not run";
    }));
    const int runs = fleet.RunCounts().contains(order) ? fleet.RunCounts().at(order) : 0;
    BOOST_TEST_CONTEXT(step << ": " << answer.m_body) {
      BOOST_TEST(runs <= 1);
      // A caller that does not get the answer gets the outcome "unknown", and the call does not run
      // again.
      if (answer.m_status != 201) {
        BOOST_TEST(answer.m_outcome == "unknown");
        BOOST_TEST(runs == runsBefore);
      }
    }
    fleet.RestartNode(0);
    BOOST_TEST(fleet.WaitUntilActive(1));
    BOOST_TEST(Eventually([&] { return fleet.NodeStatus(0)["endpoints"].size() == 3; }));
  }
}

// More than a thousand orders while services fail, the platform loses answers and has outages, and
// nodes are paused, killed and restarted.
BOOST_AUTO_TEST_CASE(ThousandOrdersUnderFaults) {
  FleetSettings settings;
  settings.m_engines = 0;
  settings.m_services = 2;
  Fleet fleet(settings);
  constexpr uint64_t kSeed = 20261204;
  constexpr int kThreads = 8;
  constexpr int kOrdersPerThread = 150;
  std::atomic<bool> stop{ false };
  std::vector<std::vector<OrderResult>> results(kThreads);
  std::thread faultThread([&] { InjectFaults(fleet, kSeed, stop); });
  std::vector<std::thread> callers;
  callers.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    callers.emplace_back([&fleet, &results, thread] {
      std::mt19937_64 random(kSeed + 1 + static_cast<uint64_t>(thread));
      for (int i = 0; i < kOrdersPerThread; ++i) {
        // Pairs of threads send the same orders at almost the same time.
        const std::string order = std::to_string(thread / 2) + "-" + std::to_string(i);
        results[static_cast<size_t>(thread)].push_back(SendOrder(fleet, order, random));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  stop = true;
  faultThread.join();
  // Compares with the execution counts of the services.
  const auto runs = fleet.RunCounts();
  std::map<std::string, bool> mayHaveRun;
  int done = 0;
  for (const auto& threadResults : results) {
    for (const OrderResult& result : threadResults) {
      mayHaveRun[result.m_order] = mayHaveRun[result.m_order] || !result.m_alwaysNotRun;
      done += result.m_succeeded ? 1 : 0;
    }
  }
  for (const auto& [order, count] : runs) {
    BOOST_TEST(count == 1, order << " ran " << count << " times");
    BOOST_TEST(mayHaveRun[order], order << " ran, but each caller was told that it did not");
  }
  BOOST_TEST_MESSAGE(done << " of " << kThreads * kOrdersPerThread << " callers got the answer, "
                          << runs.size() << " orders ran");
}

BOOST_AUTO_TEST_SUITE_END()
