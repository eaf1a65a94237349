#include "tests/harness/Fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <thread>

/// \file
/// Tests that a leaving endpoint gets no new requests and that a draining node interrupts no
/// answer.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

/// Documented limit on the time in which a leaving endpoint may still get new requests, counted
/// from when the first node learns that it leaves.
constexpr int64_t kMaxDispatchDelayMs = 3000;

/// Sends short requests to all nodes until it is stopped, and counts answered and failed ones.
class BackgroundTraffic {
public:
  explicit BackgroundTraffic(Fleet& aFleet) {
    for (size_t node = 0; node < aFleet.NodeCount(); ++node) {
      const base::Address& address = aFleet.NodeAddress(node);
      m_threads.emplace_back([this, address] {
        while (!m_stop) {
          const Stream stream = Generate(address, "short", 3);
          ++(stream.m_complete ? m_answered : m_failed);
        }
      });
    }
  }
  ~BackgroundTraffic() { Stop(); }
  BackgroundTraffic(const BackgroundTraffic&) = delete;
  BackgroundTraffic& operator=(const BackgroundTraffic&) = delete;
  BackgroundTraffic(BackgroundTraffic&&) = delete;
  BackgroundTraffic& operator=(BackgroundTraffic&&) = delete;

  void Stop() {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }
  int AnsweredCount() const { return m_answered; }
  int FailedCount() const { return m_failed; }

private:
  std::atomic<bool> m_stop{ false };
  std::atomic<int> m_answered{ 0 };
  std::atomic<int> m_failed{ 0 };
  std::vector<std::thread> m_threads;
};

FleetSettings Settings(int aNodes) {
  FleetSettings settings;
  settings.m_nodes = aNodes;
  settings.m_engines = 3;
  settings.m_services = 0;
  settings.m_engineOptions = { "--slots", "64", "--token-ms", "10", "--slowdown", "0" };
  return settings;
}

/// Returns the milliseconds from `aNoticeMs` to the start of the last request at the engine;
/// negative if none was started since then.
int64_t LastDispatchAfter(const ServerProcess& aEngine, int64_t aNoticeMs) {
  return Fleet::EngineCounts(aEngine)["last_start_ms"].get<int64_t>() - aNoticeMs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingTest)

// The notice is in the host list, which only some nodes read often. The platform fails right after
// the first node has read the notice, so the other nodes can only learn it from peers.
BOOST_AUTO_TEST_CASE(NoNewRequestsAfterNoticeInHostList) {
  Fleet fleet(Settings(9));
  BackgroundTraffic traffic(fleet);
  BOOST_TEST(Eventually([&] { return traffic.AnsweredCount() > 200; }));
  const int64_t notice = base::WallMillis();
  fleet.Reclaim(fleet.Engine(0), base::Millis(60000));
  BOOST_TEST(Eventually([&] {
    for (size_t i = 0; i < fleet.NodeCount(); ++i) {
      const nlohmann::json status = fleet.NodeStatus(i);
      for (const auto& endpoint : status["endpoints"]) {
        if (endpoint["endpoint"] == fleet.Engine(0).m_name && endpoint["state"] == "leaving") {
          return true;
        }
      }
    }
    return false;
  }));
  fleet.SetPlatformFaults({ { "outage", true }, { "hosts_down", true } });
  std::this_thread::sleep_for(base::Millis(kMaxDispatchDelayMs + 2000));
  traffic.Stop();
  const int64_t last = LastDispatchAfter(fleet.Engine(0), notice);
  BOOST_TEST_MESSAGE("last dispatch " << last << " ms after the notice");
  BOOST_TEST(last < kMaxDispatchDelayMs);
  BOOST_TEST(traffic.FailedCount() == 0);
}

// The engine itself reports that it leaves. The first node that polls its load learns this and has
// to tell the others.
BOOST_AUTO_TEST_CASE(NoNewRequestsAfterNoticeOfEngine) {
  Fleet fleet(Settings(9));
  BackgroundTraffic traffic(fleet);
  BOOST_TEST(Eventually([&] { return traffic.AnsweredCount() > 200; }));
  fleet.SetPlatformFaults({ { "outage", true }, { "hosts_down", true } });
  const int64_t notice = base::WallMillis();
  Call(fleet.Engine(1).m_address, "POST", "/control/leave");
  std::this_thread::sleep_for(base::Millis(kMaxDispatchDelayMs + 2000));
  traffic.Stop();
  const int64_t last = LastDispatchAfter(fleet.Engine(1), notice);
  BOOST_TEST_MESSAGE("last dispatch " << last << " ms after the engine's notice");
  BOOST_TEST(last < kMaxDispatchDelayMs);
  BOOST_TEST(traffic.FailedCount() == 0);
}

// All nodes are restarted one after another under load, while callers use each discovery answer for
// its full lifetime: no request fails and no answer is interrupted.
BOOST_AUTO_TEST_CASE(RollingDrainInterruptsNoAnswer) {
  Fleet fleet(Settings(3));
  std::atomic<bool> stop{ false };
  std::atomic<int> answered{ 0 };
  std::atomic<int> failed{ 0 };
  std::atomic<size_t> drainingNode{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      base::Address entry;
      auto until = std::chrono::steady_clock::now();
      while (!stop) {
        if (std::chrono::steady_clock::now() >= until) {
          // Asks a node that is not stopping, and uses the answer for its full lifetime.
          const size_t node = (drainingNode + 1) % fleet.NodeCount();
          const auto answer =
            base::ParseJson(Call(fleet.NodeAddress(node), "GET", "/v1/entries").m_body);
          if (!answer.is_object() || answer["entries"].empty()) {
            ++failed;
            continue;
          }
          const auto& entries = answer["entries"];
          entry = base::Address::Parse(
            entries[static_cast<size_t>(i) % entries.size()]["address"].get<std::string>());
          until =
            std::chrono::steady_clock::now() + base::Millis(answer["valid_for_ms"].get<int64_t>());
        }
        // Every other caller requests long answers.
        const Stream stream = Generate(entry, "roll", i % 2 == 0 ? 5 : 150);
        ++(stream.m_complete ? answered : failed);
      }
    });
  }
  BOOST_TEST(Eventually([&] { return answered > 20; }));
  for (size_t node = 0; node < fleet.NodeCount(); ++node) {
    drainingNode = node;
    if (node == 1) {
      BOOST_TEST(fleet.RunCtl({ "drain", "--node", fleet.NodeAddress(node).ToText() }) == 0);
    } else {
      fleet.NodeProcess(node).Signal(SIGTERM);
    }
    BOOST_TEST(fleet.NodeProcess(node).WaitForExit() == 0);
    fleet.RestartNode(node);
    // Waits until all nodes see the restarted node before the next one is stopped.
    BOOST_TEST(Eventually([&] {
      for (size_t i = 0; i < fleet.NodeCount(); ++i) {
        const nlohmann::json status = fleet.NodeStatus(i);
        if (!status.is_object() || status["generation"] != 1 || status["endpoints"].size() != 3) {
          return false;
        }
        for (const auto& member : status["members"]) {
          if (member["state"] != "alive") {
            return false;
          }
        }
      }
      return true;
    }));
  }
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST_MESSAGE(answered << " answers during the rolling restart");
  BOOST_TEST(failed == 0);
}

// An entry host is reclaimed with less notice than its pending answers need: a stream resumes at
// another node, a non-streamed answer is fetched through a redirect, and a queued request is
// redirected to the other node without having run.
BOOST_AUTO_TEST_CASE(ShortNoticeHandsAnswersOver) {
  FleetSettings settings = Settings(2);
  settings.m_engines = 1;
  settings.m_engineOptions = { "--slots", "2", "--token-ms", "20", "--slowdown", "0" };
  Fleet fleet(settings);
  constexpr uint64_t kTokens = 250;
  const auto makeBody = [&](const std::string& aPrompt) {
    const nlohmann::json body = { { "model", "condolence" },
                                  { "max_tokens", kTokens },
                                  { "messages",
                                    { { { "role", "user" }, { "content", aPrompt } } } } };
    return base::DumpJson(body);
  };
  Stream stream;
  CallerAnswer whole;
  CallerAnswer waiting;
  std::atomic<bool> begun{ false };
  std::thread streamer([&] {
    stream =
      Generate(fleet.NodeAddress(0), "stream", kTokens, [&](size_t) { return begun = true; });
  });
  std::thread asker([&] {
    whole =
      CallAs(kTeamKey, fleet.NodeAddress(0), "POST", "/v1/chat/completions", makeBody("whole"));
  });
  BOOST_TEST(
    Eventually([&] { return begun && Fleet::EngineCounts(fleet.Engine(0))["active"] == 2; }));
  std::thread waiter([&] {
    waiting =
      CallAs(kTeamKey, fleet.NodeAddress(0), "POST", "/v1/chat/completions", makeBody("waiting"));
  });
  BOOST_TEST(Eventually([&] {
    return Call(fleet.NodeAddress(0), "GET", "/metrics")
             .m_body.find("papayafield_requests_open 3") != std::string::npos;
  }));
  BOOST_TEST(fleet.RunCtl({ "drain", "--node", fleet.NodeAddress(0).ToText(), "--within", "1" }) ==
             0);
  streamer.join();
  asker.join();
  waiter.join();
  // The stream ends with an event that names the next node.
  BOOST_TEST(stream.m_type == "moved");
  BOOST_TEST(!stream.m_complete);
  stream = Generate(fleet.NodeAddress(1), "stream", kTokens, {}, &stream);
  BOOST_TEST((stream.m_text == ExpectedText("stream", kTokens)));
  // The non-streamed answer is available at the location of the redirect.
  const std::string at = "http://" + fleet.NodeAddress(1).ToText();
  BOOST_TEST(whole.m_status == 303);
  const std::string location = whole.m_headers.Find("Location").value_or("");
  BOOST_REQUIRE(location.starts_with(at));
  const CallerAnswer found =
    CallAs(kTeamKey, fleet.NodeAddress(1), "GET", location.substr(at.size()));
  BOOST_TEST(found.m_status == 200, found.m_body);
  BOOST_TEST((base::ParseJson(found.m_body)["choices"][0]["message"]["content"] ==
              ExpectedText("whole", kTokens)));
  // The queued request has not run and is redirected to the other node.
  BOOST_TEST(waiting.m_status == 307);
  BOOST_TEST(waiting.m_outcome == "not run");
  BOOST_TEST(fleet.NodeProcess(0).WaitForExit() == 0);
  BOOST_TEST(Fleet::EngineCounts(fleet.Engine(0))["recomputed"] == 0);
}

BOOST_AUTO_TEST_SUITE_END()
