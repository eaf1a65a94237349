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
constexpr double kPauseGraceMs = 500;
/// Time after which a caller that was refused sends its next call.
constexpr base::Millis kRetryDelay{ 10 };
/// Calls that an endpoint may get during the rest of a pause.
constexpr int kMaxCallsInPause = 2;

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

/// Returns the largest number of calls that reached an endpoint between the grace after one of its
/// refusals and the end of the pause that the refusal asked for.
int MaxCallsInPause(const json& aReport, double aPauseMs) {
  int most = 0;
  for (const json& answer : aReport.at("signals")) {
    const double start = answer.at("at_ms").get<double>();
    const auto& arrivals = aReport.at("arrivals");
    most = std::max(
      most,
      static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [&](const json& aArrival) {
        const double time = aArrival.at("at_ms").get<double>();
        return aArrival.at("runner") == answer.at("runner") && time > start + kPauseGraceMs &&
               time < start + aPauseMs;
      })));
  }
  return most;
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

// Endpoints that refuse calls and state for how long they want none get at most two in that time,
// whichever kind of calls the callers send and although each call may be retried.
BOOST_AUTO_TEST_CASE(EndpointGetsCallsDuringItsPause) {
  constexpr int kRunners = 2;
  const PlatformFleet fleet(1, kRunners);
  const Callers callers(fleet, kCallers, { 0 });
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const double pauseMs = 1000 + 70 * seed;
    const size_t refusals = fleet.PostControl("report").at("signals").size();
    for (int runner = 0; runner < kRunners; ++runner) {
      fleet.PostControl("runner",
                        { { "index", runner },
                          { "mode", "shed" },
                          { "retry_after", { std::to_string(pauseMs / 1000) } } });
    }
    Sleep(static_cast<int>(pauseMs));
    json report = fleet.PostControl("report");
    json& signals = report.at("signals");
    signals.erase(signals.begin(), signals.begin() + static_cast<std::ptrdiff_t>(refusals));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(signals.size() >= static_cast<size_t>(kRunners));
      BOOST_TEST(MaxCallsInPause(report, pauseMs) <= kMaxCallsInPause);
    }
    for (int runner = 0; runner < kRunners; ++runner) {
      fleet.PostControl("runner", { { "index", runner } });
    }
    const size_t served = callers.Served();
    BOOST_TEST(PlatformFleet::WaitUntil([&] { return callers.Served() > served + kCallers; }));
  }
}

// While all endpoints of a service pause, calls are refused at once until the first pause ends.
BOOST_AUTO_TEST_CASE(AllEndpointsPause) {
  const PlatformFleet fleet(1, 2);
  const char* const pauses[] = { "2.5", "1.5" };
  for (int runner = 0; runner < 2; ++runner) {
    fleet.PostControl(
      "runner", { { "index", runner }, { "mode", "shed" }, { "retry_after", { pauses[runner] } } });
  }
  const auto start = base::BootNow();
  const CallerAnswer first = fleet.Send(0, "POST", "/once/a");
  BOOST_TEST(first.m_status == 503);
  const size_t arrivals = fleet.PostControl("report").at("arrivals").size();
  BOOST_TEST(arrivals == 2U);
  for (int runner = 0; runner < 2; ++runner) {
    fleet.PostControl("runner", { { "index", runner } });
  }
  for (const char* target : { "/once/a", "/safe/a", "/stream/a" }) {
    const CallerAnswer refused = fleet.Send(0, "POST", target);
    BOOST_TEST(refused.m_status == 503);
    const auto retryAfter = refused.m_headers.Find("Retry-After");
    BOOST_REQUIRE(retryAfter.has_value());
    const std::chrono::duration<double> returnTime =
      base::BootNow() - start + std::chrono::duration<double>(std::stod(std::string(*retryAfter)));
    BOOST_TEST(returnTime.count() >= 1.5);
    BOOST_TEST(returnTime.count() < 2.5);
  }
  BOOST_TEST((base::BootNow() - start < base::Millis(1500)));
  BOOST_TEST(fleet.PostControl("report").at("arrivals").size() == arrivals);
  BOOST_TEST(
    PlatformFleet::WaitUntil([&] { return fleet.Send(0, "POST", "/once/a").m_status == 200; }));
  BOOST_TEST((base::BootNow() - start >= base::Millis(1500)));
}

// A time that cannot be read does not keep calls from an endpoint.
BOOST_AUTO_TEST_CASE(UnreadablePauseIsIgnored) {
  const PlatformFleet fleet(1, 1);
  for (const char* value : { "", "soon", "-3", "nan", "Sun, 06 Nov 1994 08:49:37 GMT", "0" }) {
    BOOST_TEST_CONTEXT(value) {
      fleet.PostControl("runner",
                        { { "index", 0 }, { "mode", "shed" }, { "retry_after", { value } } });
      BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 503);
      fleet.PostControl("runner", { { "index", 0 } });
      BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 200);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
