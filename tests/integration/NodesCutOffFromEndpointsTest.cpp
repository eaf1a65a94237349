#include "tests/harness/PlatformFleet.h"

#include "base/Digest.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

/// \file
/// Tests that callers of a node that is cut off from all endpoints are served like those of other
/// nodes.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

using base::Millis;
using nlohmann::json;

constexpr size_t kNodes = 4;
constexpr size_t kRunners = 4;
/// Time after which a cut must no longer be noticed by callers, and time for which that is checked.
constexpr Millis kAdaptTime{ 3000 };
constexpr Millis kObservedTime{ 4000 };
constexpr Millis kPauseBetweenCalls{ 20 };
constexpr Millis kRecoveryTime{ 2000 };

/// How the links of a node fail.
struct Cut {
  const char* m_name;
  json m_faults;
  json m_end;
};

const Cut kCuts[] = {
  { "hanging", { { "hang", true }, { "silence", true } }, { { "hang", false }, { "cut", true } } },
  { "reset", { { "refuse", true }, { "cut", true } }, { { "refuse", false } } },
  { "new connections refused", { { "refuse", true } }, { { "refuse", false } } },
  { "new connections hanging", { { "hang", true } }, { { "hang", false } } },
};

struct Kind {
  const char* m_method;
  const char* m_target;
};

constexpr Kind kKinds[] = { { "GET", "/safe/a" }, { "POST", "/once/a" }, { "POST", "/stream/a" } };

struct Outcomes {
  int m_served = 0;
  int m_failed = 0;
};

/// Calls one node with all kinds of calls, one after the other per kind, until it is destroyed.
/// Thread safe.
class Callers {
public:
  Callers(const PlatformFleet& aFleet, size_t aNode)
    : m_fleet(aFleet)
    , m_node(aNode) {
    for (const Kind& kind : kKinds) {
      m_threads.emplace_back([this, &kind] { Run(kind); });
    }
  }
  ~Callers() {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  Callers(Callers&&) = delete;
  Callers& operator=(Callers&&) = delete;

  /// Returns the outcomes of the calls that were sent since the last time, and ended.
  Outcomes Take() {
    const std::lock_guard lock(m_mutex);
    m_since = base::BootNow();
    return std::exchange(m_outcomes, {});
  }

private:
  void Run(const Kind& aKind) {
    while (!m_stop) {
      const auto sent = base::BootNow();
      const CallerAnswer answer = m_fleet.Send(m_node, aKind.m_method, aKind.m_target);
      {
        const std::lock_guard lock(m_mutex);
        if (sent >= m_since) {
          ++(answer.m_status == 200 ? m_outcomes.m_served : m_outcomes.m_failed);
        }
      }
      std::this_thread::sleep_for(kPauseBetweenCalls);
    }
  }

  const PlatformFleet& m_fleet;
  const size_t m_node;
  std::mutex m_mutex;
  base::TimePoint m_since{};
  Outcomes m_outcomes;
  std::atomic<bool> m_stop{ false };
  std::vector<std::thread> m_threads;
};

void SetFaults(const PlatformFleet& aFleet, const json& aFaults) {
  for (size_t proxy = 0; proxy < kRunners; ++proxy) {
    aFleet.SetProxyFaults(proxy, aFaults);
  }
}

/// Sends a call with the shared prompt part "deadly" to node `aNode` and returns its status.
int SendDeadlyCall(const PlatformFleet& aFleet, size_t aNode) {
  const std::string id = base::RandomHex(8);
  adapters::http::Headers headers;
  for (const auto& field : MakeCallerHeaders("h.example", "key-1", id, Millis(5000))) {
    headers.Add(field.m_name, field.m_value);
  }
  headers.Add("Papayafield-Model", "m");
  headers.Add("Papayafield-Token-Usage", "900,60");
  headers.Add("Papayafield-Prefix-Hash", "deadly:50," + id + ":100");
  return Call(aFleet.CallerAddress(aNode), "POST", "/stream/a", "{}", headers).m_status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NodesCutOffFromEndpointsTest)

BOOST_AUTO_TEST_CASE(CallersOfACutOffNodeAreServed) {
  PlatformFleet fleet(kNodes, kRunners, PlatformFleet::Proxies::RunnersOfFirstNode);
  Callers cutOff(fleet, 0);
  Callers others(fleet, 1);
  for (const Cut& cut : kCuts) {
    BOOST_TEST_CONTEXT(cut.m_name) {
      SetFaults(fleet, cut.m_faults);
      std::this_thread::sleep_for(kAdaptTime);
      cutOff.Take();
      others.Take();
      std::this_thread::sleep_for(kObservedTime);
      const Outcomes atNode = cutOff.Take();
      const Outcomes elsewhere = others.Take();
      BOOST_TEST_MESSAGE(cut.m_name << ": " << atNode.m_served << " served, " << atNode.m_failed
                                    << " failed; elsewhere " << elsewhere.m_served << " and "
                                    << elsewhere.m_failed);
      BOOST_TEST(elsewhere.m_failed == 0);
      BOOST_TEST(atNode.m_failed * 50 <= atNode.m_served);
      BOOST_TEST(atNode.m_served * 3 >= elsewhere.m_served * 2);
      SetFaults(fleet, cut.m_end);
      std::this_thread::sleep_for(kRecoveryTime);
      BOOST_TEST(fleet.ReadMetric(0, "isolated") <= 0);
    }
  }
}

// The attempts of a node that is cut off lead through relays, which do not read the calls. Crashes
// that these calls caused were not counted, and the part was never refused.
BOOST_AUTO_TEST_CASE(DeadlyPartIsRefusedByACutOffNode) {
  constexpr int kMaxCalls = 20;
  constexpr size_t kMaxCrashes = 10;
  constexpr Millis kPauseBetweenDeadlyCalls{ 700 };
  PlatformFleet fleet(kNodes, kRunners, PlatformFleet::Proxies::RunnersOfFirstNode);
  const Callers others(fleet, 1);
  Callers cutOff(fleet, 0);
  SetFaults(fleet, { { "refuse", true }, { "cut", true } });
  BOOST_REQUIRE(PlatformFleet::WaitUntil([&] { return fleet.ReadMetric(0, "isolated") == 1; }));
  fleet.PostControl("deadly_part", { { "part", "deadly" }, { "down_ms", 300 } });
  int calls = 0;
  while (calls < kMaxCalls && fleet.ReadMetric(0, "quarantine_banned_parts") != 1) {
    ++calls;
    SendDeadlyCall(fleet, 0);
    std::this_thread::sleep_for(kPauseBetweenDeadlyCalls);
  }
  const size_t crashes = fleet.PostControl("report").at("crashes").size();
  BOOST_TEST_MESSAGE(calls << " calls, " << crashes << " crashes");
  BOOST_TEST(fleet.ReadMetric(0, "isolated") == 1);
  BOOST_TEST(fleet.ReadMetric(0, "quarantine_banned_parts") == 1);
  BOOST_TEST(crashes <= kMaxCrashes);
  BOOST_TEST(SendDeadlyCall(fleet, 0) == 503);
  BOOST_TEST(fleet.PostControl("report").at("crashes").size() == crashes);
  cutOff.Take();
  std::this_thread::sleep_for(kObservedTime);
  const Outcomes sound = cutOff.Take();
  BOOST_TEST(sound.m_failed * 50 <= sound.m_served);
}

BOOST_AUTO_TEST_SUITE_END()
