#include "tests/harness/PlatformFleet.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <optional>
#include <set>
#include <thread>

/// \file
/// Tests that nodes keep what was confirmed, and follow the store again, after the store has
/// returned from a copy of its recent past.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

/// Longer than the time between two copies of the store, and than a usage window.
constexpr base::Millis kCopyTime{ 1200 };
/// Time for which the store is down.
constexpr base::Millis kDowntime{ 400 };
/// Time from the return of the store until the operator and the runners have written again.
constexpr base::Millis kRewriteDelay{ 3000 };
/// Time for which a state that was reached must hold.
constexpr base::Millis kHoldTime{ 1500 };
constexpr base::Millis kPollInterval{ 20 };
/// Calls that are sent to a node at the same time.
constexpr size_t kParallelCalls = 4;

void Sleep(base::Millis aDuration) {
  std::this_thread::sleep_for(aDuration);
}

/// Returns whether `aCondition` holds at each poll for `aDuration`.
template<class Condition>
bool Holds(base::Millis aDuration, const Condition& aCondition) {
  const auto end = base::BootNow() + aDuration;
  while (base::BootNow() < end) {
    if (!aCondition()) {
      return false;
    }
    Sleep(kPollInterval);
  }
  return true;
}

/// A fleet whose store loses what is written between Mark() and Restore().
class RestoredFleet {
public:
  RestoredFleet(size_t aNodes, size_t aRunners)
    : m_nodes(aNodes)
    , m_fleet(aNodes, aRunners) {}

  PlatformFleet& Fleet() { return m_fleet; }

  /// Begins the span that the next restore loses.
  void Mark() {
    Sleep(kCopyTime);
    m_mark = base::BootNow();
    Sleep(kCopyTime);
  }

  /// Restores the store as of the last call of Mark and waits until it is back.
  void Restore(base::Millis aRewriteDelay = kRewriteDelay, base::Millis aDowntime = kDowntime) {
    const auto age = std::chrono::duration_cast<base::Millis>(base::BootNow() - m_mark);
    BOOST_REQUIRE(m_fleet.RestoreStore(age, aDowntime, aRewriteDelay));
    Sleep(aDowntime);
    BOOST_REQUIRE(PlatformFleet::WaitUntil([&] {
      return Call(m_fleet.PlatformAddress(), "GET", "/-/kv-range?prefix=op/").m_status == 200;
    }));
    m_returnTime = base::BootNow();
    m_returnWindow = base::WallMillis() / 1000;
  }

  /// Waits until the operator and the runners have written again.
  void AwaitRewrite(base::Millis aRewriteDelay = kRewriteDelay) const {
    std::this_thread::sleep_until(m_returnTime + aRewriteDelay + base::Millis(200));
  }

  /// Whether node `aNode` serves the routes of `aHost`.
  int StatusFor(size_t aNode, const std::string& aHost) const {
    return m_fleet.Send(aNode, "GET", "/safe/a", aHost).m_status;
  }

  bool Serves(size_t aNode, const std::string& aHost, const std::string& aRemovedHost) const {
    return StatusFor(aNode, aHost) == 200 && StatusFor(aNode, aRemovedHost) == 404;
  }

  bool AllServe(const std::string& aHost, const std::string& aRemovedHost) const {
    for (size_t node = 0; node < m_nodes; ++node) {
      if (!Serves(node, aHost, aRemovedHost)) {
        return false;
      }
    }
    return true;
  }

  void AwaitAllServe(const std::string& aHost, const std::string& aRemovedHost) const {
    for (size_t node = 0; node < m_nodes; ++node) {
      BOOST_TEST(PlatformFleet::WaitUntil([&] { return Serves(node, aHost, aRemovedHost); }),
                 "node " << node << " serves " << aHost << " and not " << aRemovedHost);
    }
  }

  std::vector<size_t> Leaders() const {
    std::vector<size_t> leaders;
    for (size_t node = 0; node < m_nodes; ++node) {
      if (m_fleet.ReadMetric(node, "holds_duties") == 1) {
        leaders.push_back(node);
      }
    }
    return leaders;
  }

  /// Sends calls to each node until the usage of a window after the restore is reported.
  void AwaitUsageReport() {
    const bool reported = PlatformFleet::WaitUntil([&] {
      SendCalls();
      const auto report = m_fleet.PostControl("report");
      return std::any_of(
        report.at("duties").begin(), report.at("duties").end(), [&](const auto& aCall) {
          return aCall.at("path") == "/usage" &&
                 aCall.at("body").at("window_id").template get<int64_t>() > m_returnWindow;
        });
    });
    BOOST_TEST(reported, "a usage window after the restore is reported");
  }

  void SendCalls() {
    for (size_t node = 0; node < m_nodes; ++node) {
      m_fleet.Send(node, "POST", "/once/usage");
    }
  }

  /// Waits until exactly one node acts as the leader, and checks that it stays so.
  void AwaitOneLeader() const {
    BOOST_TEST(PlatformFleet::WaitUntil([&] { return Leaders().size() == 1; }));
    BOOST_TEST(Holds(kHoldTime, [&] { return Leaders().size() == 1; }), "the leader stays");
  }

  /// Checks the calls of all leaders: fencing tokens never go back, and each usage window is
  /// reported with one set of counts.
  void CheckLeaderCalls() const {
    const auto report = m_fleet.PostControl("report");
    BOOST_TEST(report.at("stale_duties") == 0);
    std::map<std::string, uint64_t> tokens;
    std::map<int64_t, std::set<std::string>> windows;
    for (const auto& call : report.at("duties")) {
      uint64_t& last = tokens[call.at("path")];
      const auto token = call.at("fence").get<uint64_t>();
      BOOST_TEST(token >= last);
      last = token;
      if (call.at("path") == "/usage") {
        windows[call.at("body").at("window_id")].insert(call.at("body").at("counts").dump());
      }
    }
    for (const auto& [window, counts] : windows) {
      BOOST_TEST(counts.size() == 1U, "window " << window << " is reported with one set of counts");
    }
  }

  /// Returns the sum of the reported counts over all windows.
  int ReportedCalls() const {
    std::map<int64_t, int> windows;
    const auto report = m_fleet.PostControl("report");
    for (const auto& call : report.at("duties")) {
      if (call.at("path") == "/usage") {
        const auto& counts = call.at("body").at("counts");
        windows[call.at("body").at("window_id")] = counts.value("team-1", 0);
      }
    }
    int sum = 0;
    for (const auto& [window, count] : windows) {
      sum += count;
    }
    return sum;
  }

  /// Returns the number of calls that ran.
  int ExecutedCalls() const {
    return static_cast<int>(m_fleet.PostControl("report").at("runs").size());
  }

  /// Sends calls to each node, `aCalls` over each of several connections at once, so that they
  /// spread, and returns the runners that they reached.
  std::set<std::string> RunnersUsed(int aCalls) const {
    const size_t before = m_fleet.PostControl("report").at("arrivals").size();
    std::atomic<int> failed{ 0 };
    {
      std::vector<std::jthread> callers;
      for (size_t i = 0; i < m_nodes * kParallelCalls; ++i) {
        callers.emplace_back([&, node = i % m_nodes] {
          for (int call = 0; call < aCalls; ++call) {
            failed += m_fleet.Send(node, "POST", "/once/endpoint").m_status == 200 ? 0 : 1;
          }
        });
      }
    }
    BOOST_TEST(failed == 0);
    const auto report = m_fleet.PostControl("report");
    std::set<std::string> runners;
    for (size_t i = before; i < report.at("arrivals").size(); ++i) {
      runners.insert(report.at("arrivals")[i].at("runner"));
    }
    return runners;
  }

private:
  size_t m_nodes;
  PlatformFleet m_fleet;
  base::TimePoint m_mark{};
  base::TimePoint m_returnTime{};
  int64_t m_returnWindow = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RestoredStoreTest)

// A configuration that is written after the restore comes into force although its revision was
// already assigned before.
BOOST_AUTO_TEST_CASE(ConfigurationWrittenAfterARestoreIsApplied) {
  RestoredFleet restored(3, 2);
  restored.Mark();
  for (const char* host : { "lost-1.example", "lost-2.example", "lost-3.example" }) {
    restored.Fleet().ApplyConfiguration(host);
  }
  restored.AwaitAllServe("lost-3.example", "lost-2.example");
  restored.Restore(base::Millis(300));
  restored.Fleet().ApplyConfiguration("after.example");
  restored.AwaitAllServe("after.example", "lost-3.example");
  BOOST_TEST(
    Holds(kHoldTime, [&] { return restored.AllServe("after.example", "lost-3.example"); }));
}

// Before the operator has written again, the store holds an older configuration than the one in
// force.
BOOST_AUTO_TEST_CASE(ConfirmedConfigurationIsNotReplacedByAnOlderOne) {
  RestoredFleet restored(3, 2);
  restored.Mark();
  restored.Fleet().ApplyConfiguration("lost.example");
  restored.AwaitAllServe("lost.example", "other.example");
  restored.Restore();
  BOOST_TEST(Holds(kRewriteDelay + kHoldTime,
                   [&] { return restored.AllServe("lost.example", "other.example"); }));
  restored.Fleet().ApplyConfiguration("after.example");
  restored.AwaitAllServe("after.example", "lost.example");
}

// A node that starts between the restore and the operator's repeated write learns the newer
// configuration from its peers.
BOOST_AUTO_TEST_CASE(NodeStartedAfterARestoreLearnsTheConfirmedConfiguration) {
  RestoredFleet restored(3, 2);
  restored.Mark();
  restored.Fleet().ApplyConfiguration("lost.example");
  restored.AwaitAllServe("lost.example", "other.example");
  restored.Fleet().NodeProcess(2).Kill();
  constexpr base::Millis kLongRewriteDelay{ 8000 };
  restored.Restore(kLongRewriteDelay);
  restored.Fleet().StartNode(2);
  const auto start = base::BootNow();
  restored.AwaitAllServe("lost.example", "other.example");
  BOOST_TEST((base::BootNow() - start < base::Millis(4000)));
  BOOST_TEST(
    Holds(base::Millis(3000), [&] { return restored.AllServe("lost.example", "other.example"); }));
  restored.AwaitRewrite(kLongRewriteDelay);
  BOOST_TEST(Holds(kHoldTime, [&] { return restored.AllServe("lost.example", "other.example"); }));
}

// All nodes restart one by one before the operator has written again.
BOOST_AUTO_TEST_CASE(ConfirmedConfigurationOutlivesRestartsAfterARestore) {
  RestoredFleet restored(3, 2);
  restored.Mark();
  restored.Fleet().ApplyConfiguration("lost.example");
  restored.AwaitAllServe("lost.example", "other.example");
  constexpr base::Millis kLongRewriteDelay{ 15000 };
  restored.Restore(kLongRewriteDelay);
  for (size_t node = 0; node < 3; ++node) {
    restored.Fleet().NodeProcess(node).Kill();
    restored.Fleet().StartNode(node);
    restored.AwaitAllServe("lost.example", "other.example");
  }
  BOOST_TEST(Holds(kHoldTime, [&] { return restored.AllServe("lost.example", "other.example"); }));
  restored.AwaitRewrite(kLongRewriteDelay);
  restored.Fleet().ApplyConfiguration("after.example");
  restored.AwaitAllServe("after.example", "lost.example");
}

// The leader's key is in the copy: the leader goes on and reports every call once.
BOOST_AUTO_TEST_CASE(UsageIsReportedOnceAcrossARestore) {
  RestoredFleet restored(3, 2);
  restored.AwaitOneLeader();
  restored.Mark();
  for (int i = 0; i < 10; ++i) {
    restored.SendCalls();
    Sleep(base::Millis(300));
  }
  restored.Restore();
  restored.AwaitUsageReport();
  restored.AwaitOneLeader();
  BOOST_TEST(
    PlatformFleet::WaitUntil([&] { return restored.ReportedCalls() == restored.ExecutedCalls(); }),
    "reported: " << restored.ReportedCalls() << ", executed: " << restored.ExecutedCalls());
  restored.CheckLeaderCalls();
}

// The next leader comes more than four usage windows after the last report.
BOOST_AUTO_TEST_CASE(UsageIsReportedOnceAcrossALongRestore) {
  RestoredFleet restored(3, 2);
  restored.AwaitOneLeader();
  restored.Mark();
  for (int i = 0; i < 10; ++i) {
    restored.SendCalls();
    Sleep(base::Millis(300));
  }
  constexpr base::Millis kLongDowntime{ 2000 };
  restored.Restore(kRewriteDelay, kLongDowntime);
  restored.AwaitUsageReport();
  restored.AwaitOneLeader();
  BOOST_TEST(
    PlatformFleet::WaitUntil([&] { return restored.ReportedCalls() == restored.ExecutedCalls(); }),
    "reported: " << restored.ReportedCalls() << ", executed: " << restored.ExecutedCalls());
  restored.CheckLeaderCalls();
}

// The copy lists a leader that has been killed since; the leader that followed it is lost.
BOOST_AUTO_TEST_CASE(LeadershipIsTakenAgainIfTheCopyListsAnEarlierLeader) {
  RestoredFleet restored(3, 2);
  restored.AwaitOneLeader();
  restored.SendCalls();
  restored.Mark();
  const size_t first = restored.Leaders().at(0);
  restored.Fleet().NodeProcess(first).Kill();
  BOOST_REQUIRE(PlatformFleet::WaitUntil([&] { return restored.Leaders().size() == 1; }));
  BOOST_TEST(restored.Leaders().at(0) != first);
  restored.Fleet().StartNode(first);
  restored.SendCalls();
  Sleep(kCopyTime);
  restored.Restore();
  restored.AwaitUsageReport();
  restored.AwaitOneLeader();
  restored.AwaitUsageReport();
  restored.CheckLeaderCalls();
}

// The copy is from a time without a leader: a node takes the leadership again, with tokens that go
// on.
BOOST_AUTO_TEST_CASE(LeadershipIsTakenAgainIfTheCopyListsNoLeader) {
  RestoredFleet restored(3, 2);
  for (size_t node = 0; node < 3; ++node) {
    restored.Fleet().NodeProcess(node).Kill();
  }
  Sleep(base::Millis(4000));
  restored.Mark();
  for (size_t node = 0; node < 3; ++node) {
    restored.Fleet().StartNode(node);
  }
  restored.AwaitOneLeader();
  const auto tokensBefore = restored.Fleet().PostControl("report").at("duties").size();
  restored.SendCalls();
  BOOST_TEST(PlatformFleet::WaitUntil(
    [&] { return restored.Fleet().PostControl("report").at("duties").size() > tokensBefore; }));
  restored.Restore();
  restored.AwaitUsageReport();
  restored.AwaitOneLeader();
  restored.CheckLeaderCalls();
}

// An endpoint that left in the lost span stays out of use although the copy lists it as ready, and
// one that was added stays in use.
BOOST_AUTO_TEST_CASE(EndpointsKeepTheirLastStateAcrossARestore) {
  RestoredFleet restored(2, 4);
  PlatformFleet& fleet = restored.Fleet();
  const auto ready = [&](double aCount) {
    return PlatformFleet::WaitUntil([&] {
      return fleet.ReadMetric(0, "endpoints_ready") == aCount &&
             fleet.ReadMetric(1, "endpoints_ready") == aCount;
    });
  };
  fleet.PostControl("runner", { { "index", 2 }, { "state", "gone" } });
  BOOST_TEST(ready(3));
  restored.Mark();
  fleet.PostControl("runner", { { "index", 2 }, { "state", "ready" }, { "born", 2 } });
  BOOST_TEST(ready(4));
  fleet.PostControl("runner", { { "index", 0 }, { "state", "draining" } });
  fleet.PostControl("runner", { { "index", 1 }, { "state", "gone" } });
  BOOST_TEST(ready(2));
  const std::set<std::string> expected{ "i-2", "i-3" };
  BOOST_TEST((restored.RunnersUsed(5) == expected));
  restored.Restore();
  const auto used = [&] {
    std::set<std::string> runners;
    BOOST_TEST(Holds(kRewriteDelay - base::Millis(500), [&] {
      runners.merge(restored.RunnersUsed(1));
      return true;
    }));
    return runners;
  };
  const auto before = used();
  BOOST_TEST(!before.contains("i-0"));
  BOOST_TEST(!before.contains("i-1"));
  BOOST_TEST(before.contains("i-2"));
  BOOST_TEST(before.contains("i-3"));
  restored.AwaitRewrite();
  BOOST_TEST((used() == expected));
  // A new incarnation of the endpoint that was removed is used again.
  fleet.PostControl("runner", { { "index", 1 }, { "state", "ready" }, { "born", 3 } });
  BOOST_TEST(ready(3));
  BOOST_TEST((restored.RunnersUsed(5) == std::set<std::string>{ "i-1", "i-2", "i-3" }));
}

// The second restore begins before the operator has written again after the first one.
BOOST_AUTO_TEST_CASE(TwoRestoresInARow) {
  RestoredFleet restored(3, 2);
  restored.AwaitOneLeader();
  restored.Mark();
  restored.Fleet().ApplyConfiguration("lost-1.example");
  restored.AwaitAllServe("lost-1.example", "other.example");
  restored.Fleet().ApplyConfiguration("lost-2.example");
  restored.AwaitAllServe("lost-2.example", "lost-1.example");
  restored.SendCalls();
  restored.Restore();
  Sleep(base::Millis(700));
  restored.Restore();
  BOOST_TEST(
    Holds(kRewriteDelay, [&] { return restored.AllServe("lost-2.example", "lost-1.example"); }));
  restored.AwaitRewrite();
  restored.Fleet().ApplyConfiguration("after.example");
  restored.AwaitAllServe("after.example", "lost-2.example");
  restored.AwaitUsageReport();
  restored.AwaitOneLeader();
  restored.CheckLeaderCalls();
}

// Like the above, with a second restore that loses writes made after the first one.
BOOST_AUTO_TEST_CASE(SecondRestoreLosesWritesMadeAfterTheFirst) {
  RestoredFleet restored(3, 2);
  restored.AwaitOneLeader();
  for (const char* name : { "first", "second" }) {
    const std::string host = std::string(name) + ".example";
    restored.Mark();
    restored.Fleet().ApplyConfiguration("lost-" + host);
    restored.AwaitAllServe("lost-" + host, "other.example");
    restored.Restore();
    BOOST_TEST(
      Holds(kHoldTime, [&] { return restored.AllServe("lost-" + host, "other.example"); }));
    restored.Fleet().ApplyConfiguration("after-" + host);
    restored.AwaitAllServe("after-" + host, "lost-" + host);
    restored.AwaitUsageReport();
  }
  restored.AwaitOneLeader();
  restored.CheckLeaderCalls();
}

// A node without contact to the store during and after a restore follows by its peers.
BOOST_AUTO_TEST_CASE(NodeCutOffFromTheStoreFollowsARestore) {
  RestoredFleet restored(3, 2);
  PlatformFleet& fleet = restored.Fleet();
  const size_t proxy = fleet.AddPlatformProxy(2);
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return fleet.IsReady(2); }));
  restored.Mark();
  fleet.ApplyConfiguration("lost.example");
  restored.AwaitAllServe("lost.example", "other.example");
  fleet.SetProxyFaults(proxy, { { "refuse", true }, { "cut", true } });
  restored.Restore();
  BOOST_TEST(Holds(kHoldTime, [&] { return restored.AllServe("lost.example", "other.example"); }));
  restored.AwaitRewrite();
  fleet.ApplyConfiguration("after.example");
  restored.AwaitAllServe("after.example", "lost.example");
  fleet.ApplyConfiguration("last.example");
  restored.AwaitAllServe("last.example", "after.example");
  fleet.SetProxyFaults(proxy, { { "refuse", false } });
  BOOST_TEST(Holds(kHoldTime, [&] { return restored.AllServe("last.example", "after.example"); }));
  fleet.ApplyConfiguration("reached.example");
  restored.AwaitAllServe("reached.example", "last.example");
  restored.AwaitOneLeader();
  restored.CheckLeaderCalls();
}

// A node that is paused from before the restore until after the operator's repeated write.
BOOST_AUTO_TEST_CASE(PausedNodeFollowsARestore) {
  for (const bool pausesLeader : { false, true }) {
    RestoredFleet restored(3, 2);
    PlatformFleet& fleet = restored.Fleet();
    restored.AwaitOneLeader();
    restored.Mark();
    fleet.ApplyConfiguration("lost.example");
    restored.AwaitAllServe("lost.example", "other.example");
    restored.SendCalls();
    const size_t leader = restored.Leaders().at(0);
    const size_t paused = pausesLeader ? leader : (leader + 1) % 3;
    fleet.NodeProcess(paused).Signal(SIGSTOP);
    restored.Restore();
    restored.AwaitRewrite();
    fleet.ApplyConfiguration("after.example");
    Sleep(kHoldTime);
    fleet.NodeProcess(paused).Signal(SIGCONT);
    restored.AwaitAllServe("after.example", "lost.example");
    restored.AwaitUsageReport();
    restored.AwaitOneLeader();
    restored.CheckLeaderCalls();
  }
}

BOOST_AUTO_TEST_SUITE_END()
