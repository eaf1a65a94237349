#include "tests/harness/PlatformFleet.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <thread>

using namespace papayafield;
using namespace papayafield::tests;
using nlohmann::json;

namespace {

constexpr size_t kCallers = 8;
constexpr int kSeeds = 20;
/// Time after a statement at which an endpoint may still get a call that was under way.
constexpr double kLeavingGraceMs = 2000;
/// Time after which a caller that was refused sends its next call.
constexpr base::Millis kRetryDelay{ 10 };
/// Callers that send calls of all kinds to the nodes until they are destroyed.
class Callers {
public:
  /// Starts `aCount` callers; `aNodes`: the nodes that they use in turn.
  Callers(const PlatformFleet& aFleet, size_t aCount, const std::vector<size_t>& aNodes) {
    for (size_t caller = 0; caller < aCount; ++caller) {
      m_threads.emplace_back([this, &aFleet, aNodes, caller] {
        for (size_t i = 0; !m_stopped; ++i) {
          const size_t node = aNodes[(caller + i) % aNodes.size()];
          switch ((caller + i) % 3) {
            case 0:
              CountStatus(aFleet.Send(node, "GET", "/safe/a").m_status);
              break;
            case 1:
              CountStatus(aFleet.Send(node, "POST", "/once/a").m_status);
              break;
            default:
              CountStatus(aFleet.Send(node, "POST", "/stream/a").m_status);
          }
        }
      });
    }
  }
  ~Callers() {
    m_stopped = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  Callers(Callers&&) = delete;
  Callers& operator=(Callers&&) = delete;

  size_t Served() const { return m_served; }

private:
  void CountStatus(int aStatus) {
    if (aStatus == 200) {
      ++m_served;
    } else {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }

  std::atomic<bool> m_stopped = false;
  std::atomic<size_t> m_served = 0;
  std::vector<std::thread> m_threads;
};

using Incarnation = std::pair<std::string, int64_t>;

Incarnation IncarnationOf(const json& aEntry) {
  return { aEntry.at("runner").get<std::string>(), aEntry.at("born").get<int64_t>() };
}

/// Returns when each incarnation first stated that it leaves, in milliseconds.
std::map<Incarnation, double> LeavingSince(const json& aReport) {
  std::map<Incarnation, double> since;
  for (const json& answer : aReport.at("signals")) {
    if (answer.at("leaving").get<bool>()) {
      since.try_emplace(IncarnationOf(answer), answer.at("at_ms").get<double>());
    }
  }
  return since;
}

/// Counts the calls that reached endpoints later than `aGraceMs` after they stated that they leave.
int CountLateCalls(const json& aReport, double aGraceMs) {
  const auto since = LeavingSince(aReport);
  const auto& arrivals = aReport.at("arrivals");
  return static_cast<int>(
    std::count_if(arrivals.begin(), arrivals.end(), [&](const json& aArrival) {
      const auto leaving = since.find(IncarnationOf(aArrival));
      return leaving != since.end() &&
             aArrival.at("at_ms").get<double>() > leaving->second + aGraceMs;
    }));
}

int CountCalls(const json& aReport, const Incarnation& aIncarnation) {
  const auto& arrivals = aReport.at("arrivals");
  return static_cast<int>(
    std::count_if(arrivals.begin(), arrivals.end(), [&](const json& aArrival) {
      return IncarnationOf(aArrival) == aIncarnation;
    }));
}

void Sleep(int aMillis) {
  std::this_thread::sleep_for(base::Millis(aMillis));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointSignalsTest)

// An endpoint whose answers state that it leaves gets no calls afterwards, although it goes on
// registering as ready. A new incarnation with the same ID and address gets calls again.
BOOST_AUTO_TEST_CASE(LeavingEndpointGetsCallsWhileRegisteredAsReady) {
  constexpr int kLeavers = 5;
  constexpr int kRoundMs = 500;
  const PlatformFleet fleet(2, kLeavers + 1);
  const Callers callers(fleet, kCallers, { 0, 1 });
  for (int round = 0; round < kSeeds + kLeavers; ++round) {
    const int runner = round % kLeavers;
    if (round >= kLeavers) {
      fleet.PostControl("runner",
                        { { "index", runner }, { "born", round + 100 }, { "state", "ready" } });
      Sleep(kRoundMs / 2);
    }
    if (round < kSeeds) {
      fleet.PostControl("runner",
                        { { "index", runner }, { "leaving", true }, { "state", "ready" } });
    }
    Sleep(kRoundMs / 2);
  }
  const json report = fleet.PostControl("report");
  BOOST_TEST(LeavingSince(report).size() == static_cast<size_t>(kSeeds));
  BOOST_TEST(CountLateCalls(report, kLeavingGraceMs) == 0);
  for (int runner = 0; runner < kLeavers; ++runner) {
    const Incarnation last{ "i-" + std::to_string(runner), kSeeds + runner + 100 };
    BOOST_TEST(CountCalls(report, last) > 0, last.first);
  }
  BOOST_TEST(callers.Served() > 0U);
}

// A node that has had no answer of a leaving endpoint learns of it from another node, also while
// the store is silent.
BOOST_AUTO_TEST_CASE(LeavingEndpointGetsCallsOfOtherNodes) {
  for (const char* mode : { "ok", "silent" }) {
    BOOST_TEST_CONTEXT(mode) {
      const PlatformFleet fleet(3, 2);
      fleet.PostControl("store", { { "mode", mode } });
      fleet.PostControl("runner", { { "index", 0 }, { "leaving", true } });
      {
        const Callers first(fleet, kCallers, { 0 });
        Sleep(300);
      }
      const json before = fleet.PostControl("report");
      BOOST_REQUIRE(LeavingSince(before).size() == 1U);
      {
        const Callers others(fleet, kCallers, { 1, 2 });
        Sleep(static_cast<int>(kLeavingGraceMs) + 500);
      }
      const json after = fleet.PostControl("report");
      BOOST_TEST(CountCalls(after, { "i-0", 1 }) == CountCalls(before, { "i-0", 1 }));
      BOOST_TEST(CountLateCalls(after, kLeavingGraceMs) == 0);
    }
  }
}

// A listing after a gap in the watch still names the endpoint as ready.
BOOST_AUTO_TEST_CASE(LeavingEndpointGetsCallsAfterAGapInTheWatch) {
  PlatformFleet fleet(1, 2);
  fleet.PostControl("runner", { { "index", 0 }, { "leaving", true } });
  {
    const Callers callers(fleet, kCallers, { 0 });
    Sleep(300);
  }
  const int before = CountCalls(fleet.PostControl("report"), { "i-0", 1 });
  fleet.ApplyConfiguration("first.example");
  fleet.PostControl("compact");
  fleet.ApplyConfiguration("second.example");
  BOOST_TEST(PlatformFleet::WaitUntil(
    [&] { return fleet.Send(0, "GET", "/safe/a", "second.example").m_status == 200; }));
  {
    const Callers callers(fleet, kCallers, { 0 });
    Sleep(500);
  }
  BOOST_TEST(before > 0);
  BOOST_TEST(CountCalls(fleet.PostControl("report"), { "i-0", 1 }) == before);
}

// While all endpoints of a service leave, calls are refused at once as not run. Callers do not see
// the statement of the endpoint.
BOOST_AUTO_TEST_CASE(CallsGoToTheLastEndpointAlthoughItLeaves) {
  const PlatformFleet fleet(1, 1);
  fleet.PostControl("runner", { { "index", 0 }, { "leaving", true } });
  const CallerAnswer last = fleet.Send(0, "POST", "/stream/a");
  BOOST_TEST(last.m_status == 200);
  BOOST_TEST(!last.m_headers.Find("Server-Leaving").has_value());
  for (const char* target : { "/once/a", "/safe/a", "/stream/a" }) {
    const auto start = base::BootNow();
    const CallerAnswer refused = fleet.Send(0, "POST", target);
    BOOST_TEST(refused.m_status == 503);
    BOOST_TEST(refused.m_headers.Find("Retry-After").has_value());
    BOOST_TEST((base::BootNow() - start < base::Millis(500)));
  }
  BOOST_TEST(CountCalls(fleet.PostControl("report"), { "i-0", 1 }) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
