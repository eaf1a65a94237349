#include "tests/harness/PlatformFleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>
#include <thread>

using namespace papayafield;
using namespace papayafield::tests;

namespace {

std::string WholeStream() {
  std::string text;
  for (int i = 1; i <= 12; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformPathTest)

BOOST_AUTO_TEST_CASE(CallsOfEachKindAreServedOnce) {
  const PlatformFleet fleet(2, 3);
  for (size_t node = 0; node < 2; ++node) {
    const auto stream = fleet.Send(node, "POST", "/stream/a");
    BOOST_TEST(stream.m_status == 200);
    BOOST_TEST(stream.m_body == WholeStream());
    BOOST_TEST(fleet.Send(node, "GET", "/safe/a?x=1").m_body == "answer to /safe/a?x=1");
    const std::string id = "once-" + std::to_string(node);
    BOOST_TEST(fleet.Send(node, "POST", "/once/a", "h.example", "key-1", id).m_status == 200);
    const auto runs = fleet.RunsOf(id);
    BOOST_REQUIRE(runs.size() == 1U);
    BOOST_TEST(runs[0].at("team") == "team-1");
  }
}

BOOST_AUTO_TEST_CASE(WhatIsNotAllowedIsTurnedAway) {
  const PlatformFleet fleet(1, 1);
  BOOST_TEST(fleet.Send(0, "GET", "/safe/a", "h.example", "nobody").m_status == 401);
  BOOST_TEST(fleet.Send(0, "GET", "/none/a").m_status == 404);
  BOOST_TEST(fleet.Send(0, "GET", "/safe/a", "unknown.example").m_status == 404);
  BOOST_TEST(fleet.Control("report").at("runs").empty());
}

// A non-idempotent call whose answer is lost after it ran is neither repeated nor reported as not
// run. An idempotent call is repeated.
BOOST_AUTO_TEST_CASE(LostAnswerOfAnUnsafeCallIsNotRepeated) {
  const PlatformFleet fleet(1, 2);
  for (int runner = 0; runner < 2; ++runner) {
    fleet.Control("runner", { { "index", runner }, { "mode", "lose_answers" } });
  }
  BOOST_TEST(fleet.Send(0, "POST", "/once/a", "h.example", "key-1", "lost").m_status == 502);
  BOOST_TEST(fleet.RunsOf("lost").size() == 1U);
  BOOST_TEST(fleet.Send(0, "GET", "/safe/a", "h.example", "key-1", "safe").m_status == 502);
  BOOST_TEST(fleet.RunsOf("safe").size() == 2U);
}

BOOST_AUTO_TEST_CASE(CallThatNoRunnerTookIsSaidNotToHaveRun) {
  const PlatformFleet fleet(1, 2);
  fleet.Control("runner", { { "index", 0 }, { "mode", "shed" } });
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 200);
  }
  fleet.Control("runner", { { "index", 1 }, { "mode", "shed" } });
  BOOST_TEST(fleet.Send(0, "POST", "/once/a", "h.example", "key-1", "shed").m_status == 503);
  BOOST_TEST(fleet.RunsOf("shed").empty());
}

// A stream that breaks within an event resumes at another runner after its last complete event.
BOOST_AUTO_TEST_CASE(BrokenStreamGoesOnElsewhere) {
  const PlatformFleet fleet(1, 2);
  fleet.Control("runner", { { "index", 0 }, { "mode", "cut" } });
  int resumed = 0;
  for (int i = 0; i < 6; ++i) {
    const std::string id = "stream-" + std::to_string(i);
    const auto answer = fleet.Send(0, "POST", "/stream/a", "h.example", "key-1", id);
    BOOST_TEST(answer.m_status == 200);
    BOOST_TEST(answer.m_body == WholeStream());
    const auto runs = fleet.RunsOf(id);
    BOOST_TEST(runs.size() <= 2U);
    if (runs.size() == 2) {
      ++resumed;
      BOOST_TEST(runs[1].at("last_event") == "5");
    }
  }
  BOOST_TEST(resumed > 0);
}

// A stream whose runner stops sending resumes at another runner. Found in a large-scale test: such
// streams stayed open until the timeout of the route.
BOOST_AUTO_TEST_CASE(SilentStreamGoesOnElsewhere) {
  const PlatformFleet fleet(1, 2);
  fleet.Control("runner", { { "index", 0 }, { "mode", "stall" } });
  size_t resumed = 0;
  for (int i = 0; i < 6; ++i) {
    const std::string id = "silent-" + std::to_string(i);
    const auto answer = fleet.Send(0, "POST", "/stream/a", "h.example", "key-1", id);
    BOOST_TEST(answer.m_status == 200);
    BOOST_TEST(answer.m_body == WholeStream());
    resumed += fleet.RunsOf(id).size() - 1;
  }
  BOOST_TEST(resumed > 0U);
}

// The call of a caller that disconnected is cancelled at its runner and not started at another one.
BOOST_AUTO_TEST_CASE(WorkForACallerThatHasLeftIsCutOff) {
  const PlatformFleet fleet(1, 2);
  for (int runner = 0; runner < 2; ++runner) {
    fleet.Control("runner", { { "index", runner }, { "mode", "stall" } });
  }
  BOOST_TEST(fleet.SendAndLeave(0, "/stream/a", "left"));
  BOOST_TEST(PlatformFleet::Until([&] {
    const auto report = fleet.Control("report");
    const auto& cutOff = report.at("cut_off");
    return std::find(cutOff.begin(), cutOff.end(), "left") != cutOff.end();
  }));
  BOOST_TEST(fleet.RunsOf("left").size() == 1U);
}

BOOST_AUTO_TEST_CASE(HangingRunnerIsLeftOrTimedOut) {
  const PlatformFleet fleet(1, 2);
  fleet.Control("runner", { { "index", 0 }, { "mode", "hang" } });
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(fleet.Send(0, "GET", "/safe/a").m_status == 200);
  }
  fleet.Control("runner", { { "index", 1 }, { "mode", "hang" } });
  // The call may have run, so the node answers 504 and not 503.
  BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 504);
}

BOOST_AUTO_TEST_CASE(LeavingRunnerGetsNoNewCalls) {
  const PlatformFleet fleet(2, 3);
  fleet.Control("runner", { { "index", 0 }, { "state", "draining" } });
  fleet.Control("runner", { { "index", 1 }, { "state", "gone" } });
  for (size_t node = 0; node < 2; ++node) {
    BOOST_TEST(PlatformFleet::Until([&] { return fleet.Metric(node, "endpoints_ready") == 1; }));
    for (int i = 0; i < 5; ++i) {
      const std::string id = "n" + std::to_string(node) + "-" + std::to_string(i);
      BOOST_TEST(fleet.Send(node, "POST", "/once/a", "h.example", "key-1", id).m_status == 200);
      BOOST_TEST(fleet.RunsOf(id).at(0).at("runner") == "i-2");
    }
  }
}

BOOST_AUTO_TEST_CASE(ServingGoesOnWithoutTheStore) {
  PlatformFleet fleet(2, 2);
  for (const char* mode : { "silent", "busy", "lose_answers" }) {
    fleet.Control("store", { { "mode", mode } });
    const std::string host = std::string(mode) + ".example";
    for (int i = 0; i < 3; ++i) {
      BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 200);
    }
    fleet.Control("store", { { "mode", "ok" } });
    fleet.Configure(host);
    for (size_t node = 0; node < 2; ++node) {
      BOOST_TEST(PlatformFleet::Until(
        [&] { return fleet.Send(node, "GET", "/safe/a", host).m_status == 200; }));
    }
  }
}

BOOST_AUTO_TEST_CASE(LostHistoryIsReadAgain) {
  PlatformFleet fleet(1, 2);
  fleet.Configure("first.example");
  fleet.Control("compact");
  fleet.Configure("second.example");
  BOOST_TEST(PlatformFleet::Until(
    [&] { return fleet.Send(0, "GET", "/safe/a", "second.example").m_status == 200; }));
  BOOST_TEST(fleet.Send(0, "GET", "/safe/a", "first.example").m_status == 404);
}

BOOST_AUTO_TEST_CASE(KilledNodeLeavesTheAnswersAndComesBack) {
  PlatformFleet fleet(3, 2);
  fleet.Node(1).Kill();
  BOOST_TEST(PlatformFleet::Until(
    [&] { return fleet.Entries(0).size() == 2 && fleet.Entries(2).size() == 2; }));
  fleet.Start(1);
  BOOST_TEST(PlatformFleet::Until([&] { return fleet.Entries(0).size() == 3; }));
  BOOST_TEST(fleet.Send(1, "POST", "/once/a").m_status == 200);
}

// A node that starts while the store is unavailable gets its state from a peer.
BOOST_AUTO_TEST_CASE(NodeStartsWithoutTheStore) {
  PlatformFleet fleet(2, 2);
  fleet.Node(1).Kill();
  fleet.Control("store", { { "mode", "silent" } });
  fleet.Start(1);
  BOOST_TEST(PlatformFleet::Until([&] { return fleet.Ready(1); }));
  BOOST_TEST(fleet.Send(1, "POST", "/once/a").m_status == 200);
}

// SIGHUP does not end a node. Found by the soak with seed 6: it ended a node that had just started.
BOOST_AUTO_TEST_CASE(NodeOutlivesSighup) {
  PlatformFleet fleet(1, 1);
  fleet.Node(0).Kill();
  fleet.Start(0);
  for (int i = 0; i < 5; ++i) {
    fleet.Node(0).Signal(SIGHUP);
  }
  BOOST_TEST(PlatformFleet::Until([&] { return fleet.Ready(0); }));
  BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 200);
}

// After SIGTERM, a node leaves the directory and is not ready, still serves calls, completes the
// pending answers, and exits with code 0.
BOOST_AUTO_TEST_CASE(StopCutsNothing) {
  PlatformFleet fleet(2, 2);
  CallerAnswer answer;
  const int before = static_cast<int>(fleet.Control("report").at("runs").size());
  std::thread caller([&] { answer = fleet.Send(0, "POST", "/stream/a"); });
  PlatformFleet::Until(
    [&] { return static_cast<int>(fleet.Control("report").at("runs").size()) > before; });
  fleet.Node(0).Signal(SIGTERM);
  BOOST_TEST(PlatformFleet::Until([&] { return fleet.Entries(1).size() == 1; }));
  BOOST_TEST(!fleet.Ready(0));
  BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 200);
  caller.join();
  BOOST_TEST(answer.m_body == WholeStream());
  BOOST_TEST(fleet.Node(0).Wait() == 0);
}

// Each usage window is reported with a single set of counts even if the reporting leader is killed,
// and the counts add up to the number of calls that ran.
BOOST_AUTO_TEST_CASE(UsageIsReportedOverTheDeathOfItsReporter) {
  PlatformFleet fleet(3, 2);
  constexpr int kCalls = 30;
  for (int i = 0; i < kCalls; ++i) {
    BOOST_TEST(fleet.Send(static_cast<size_t>(i) % 2, "POST", "/once/a").m_status == 200);
  }
  const auto reported = [&] {
    std::map<int64_t, std::set<std::string>> windows;
    const auto report = fleet.Control("report");
    for (const auto& duty : report.at("duties")) {
      const auto& body = duty.at("body");
      windows[body.at("window_id").get<int64_t>()].insert(body.at("counts").dump());
    }
    return windows;
  };
  const auto total = [&] {
    int sum = 0;
    for (const auto& [window, counts] : reported()) {
      BOOST_TEST(counts.size() == 1U);
      sum += base::ParseJson(*counts.begin()).at("team-1").get<int>();
    }
    return sum;
  };
  BOOST_TEST(PlatformFleet::Until([&] { return total() >= kCalls; }));
  for (size_t node = 0; node < 3; ++node) {
    if (fleet.Metric(node, "holds_duties") == 1) {
      fleet.Node(node).Kill();
      fleet.Start(node);
      break;
    }
  }
  BOOST_TEST(PlatformFleet::Until([&] { return fleet.Ready(0) && fleet.Ready(1); }));
  for (int i = 0; i < kCalls; ++i) {
    BOOST_TEST(fleet.Send(static_cast<size_t>(i) % 2, "POST", "/once/a").m_status == 200);
  }
  BOOST_TEST(PlatformFleet::Until([&] { return total() >= 2 * kCalls; }));
  BOOST_TEST(total() == 2 * kCalls);
}

BOOST_AUTO_TEST_SUITE_END()
