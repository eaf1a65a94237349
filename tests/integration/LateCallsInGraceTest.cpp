#include "base/Digest.h"
#include "tests/harness/PlatformFleet.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

/// \file
/// Tests that calls which reach a stopping node late in its grace period are answered or refused.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

using base::Millis;

/// Grace period in the settings of the nodes.
constexpr Millis kGracePeriod{ 8000 };
/// The last calls are sent this long before the end of the grace period.
constexpr Millis kLastSend{ 50 };
/// A call whose runner is still at work in the last sixth of the grace period may be cut off if it
/// was sent no later than this after the signal.
constexpr Millis kMayBeCutSentUntil{ 3000 };
constexpr Millis kMayBeCutFrom = kGracePeriod * 5 / 6;
/// A request that crosses the close of its connection is not read. Its sender learns that at once.
constexpr Millis kCrossingTime{ 500 };
/// Callers start this long before the signal.
constexpr Millis kLeadTime{ 1500 };
constexpr Millis kPauseBetweenCalls{ 15 };
constexpr Millis kTimeout{ 15000 };
/// Number of connections that are idle from before the signal until each sends one call.
constexpr int kIdleConnections = 96;

struct Kind {
  const char* m_method;
  const char* m_target;
  bool m_mayRepeat;
};

constexpr Kind kKinds[] = {
  { "POST", "/once/a", false },
  { "GET", "/safe/a", true },
  { "POST", "/stream/a", true },
};

/// A call to the stopping node. Times count from the signal.
struct LateCall {
  const Kind* m_kind = nullptr;
  const char* m_connection = "";
  std::string m_id;
  Millis m_sentAt{ 0 };
  Millis m_endedAt{ 0 };
  RawAnswer m_answer;
};

/// Calls one node around its stop. Thread safe.
class LateCallers {
public:
  /// `aStop` is the time at which the node gets the signal.
  LateCallers(base::Address aNode, base::TimePoint aStop)
    : m_node(std::move(aNode))
    , m_stop(aStop) {}
  ~LateCallers() { Join(); }
  LateCallers(const LateCallers&) = delete;
  LateCallers& operator=(const LateCallers&) = delete;
  LateCallers(LateCallers&&) = delete;
  LateCallers& operator=(LateCallers&&) = delete;

  /// Starts all callers.
  void Start() {
    for (const Kind& kind : kKinds) {
      m_threads.emplace_back([this, &kind] { CallOnNewConnections(kind); });
      for (int i = 0; i < 2; ++i) {
        m_threads.emplace_back([this, &kind] { CallOnKeptConnection(kind); });
      }
    }
    for (int i = 0; i < kIdleConnections; ++i) {
      // Most are calls that must not be repeated.
      const Kind& kind = i % 4 < 2 ? kKinds[0] : kKinds[i % 4 - 1];
      const Millis at = (kGracePeriod - kLastSend) * (i + 1) / kIdleConnections;
      m_threads.emplace_back([this, &kind, at] { CallOnIdleConnection(kind, at); });
    }
  }

  /// Waits until all calls have ended, and returns them.
  const std::vector<LateCall>& Join() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
    return m_calls;
  }

private:
  Millis Now() const { return std::chrono::duration_cast<Millis>(base::BootNow() - m_stop); }

  void CallOn(RawCaller& aCaller, const Kind& aKind, const char* aConnection) {
    LateCall call;
    call.m_kind = &aKind;
    call.m_connection = aConnection;
    call.m_id = base::RandomHex(8);
    call.m_sentAt = Now();
    // The answer is read even if the request could not be sent: the node may have refused it.
    aCaller.Send(MakeRawRequest(aKind.m_method, aKind.m_target, call.m_id, kTimeout));
    call.m_answer = aCaller.Receive(kTimeout);
    call.m_endedAt = Now();
    const std::scoped_lock lock(m_mutex);
    m_calls.push_back(std::move(call));
  }

  void CallOnNewConnections(const Kind& aKind) {
    while (Now() < kGracePeriod - kLastSend) {
      RawCaller caller(m_node);
      if (caller.IsOpen()) {
        CallOn(caller, aKind, "new");
      }
      std::this_thread::sleep_for(kPauseBetweenCalls);
    }
  }

  void CallOnKeptConnection(const Kind& aKind) {
    auto caller = std::make_unique<RawCaller>(m_node);
    while (Now() < kGracePeriod - kLastSend) {
      if (caller->IsOpen()) {
        CallOn(*caller, aKind, "kept");
      } else {
        caller = std::make_unique<RawCaller>(m_node);
      }
      std::this_thread::sleep_for(kPauseBetweenCalls);
    }
  }

  void CallOnIdleConnection(const Kind& aKind, Millis aAt) {
    RawCaller caller(m_node);
    CallOn(caller, kKinds[0], "warm");
    std::this_thread::sleep_for(aAt - Now());
    if (caller.IsOpen()) {
      CallOn(caller, aKind, "idle");
    }
  }

  const base::Address m_node;
  const base::TimePoint m_stop;
  std::mutex m_mutex;
  std::vector<LateCall> m_calls;
  std::vector<std::thread> m_threads;
};

/// Returns how often each call reached a runner.
std::map<std::string, int> ArrivalsByCall(const PlatformFleet& aFleet) {
  std::map<std::string, int> arrivals;
  const nlohmann::json report = aFleet.PostControl("report");
  for (const nlohmann::json& arrival : report.at("arrivals")) {
    ++arrivals[arrival.at("call").get<std::string>()];
  }
  return arrivals;
}

/// Returns whether the rules allow that a call ended without a complete answer.
bool MayEndWithoutAnswer(const LateCall& aCall, int aArrivals) {
  if (aCall.m_answer.m_status == 0 && aArrivals == 0) {
    return aCall.m_endedAt - aCall.m_sentAt < kCrossingTime;
  }
  return aCall.m_sentAt <= kMayBeCutSentUntil && aCall.m_endedAt >= kMayBeCutFrom;
}

void CheckCalls(const std::vector<LateCall>& aCalls, const std::map<std::string, int>& aArrivals) {
  std::map<std::string, int> outcomes;
  for (const LateCall& call : aCalls) {
    const auto found = aArrivals.find(call.m_id);
    const int arrivals = found == aArrivals.end() ? 0 : found->second;
    const bool complete = call.m_answer.m_end == AnswerEnd::Complete;
    ++outcomes[std::string(call.m_kind->m_target) + " " + call.m_connection + " " +
               std::to_string(call.m_answer.m_status) + " " +
               std::string(base::NameOf(call.m_answer.m_end)) + (arrivals > 0 ? " ran" : "")];
    BOOST_TEST_CONTEXT(call.m_kind->m_target
                       << " on a " << call.m_connection << " connection, sent "
                       << call.m_sentAt.count() << " ms and ended " << call.m_endedAt.count()
                       << " ms after the signal: " << call.m_answer.m_status << " "
                       << base::NameOf(call.m_answer.m_end) << ", reached " << arrivals
                       << " runners, id " << call.m_id) {
      BOOST_TEST((complete || MayEndWithoutAnswer(call, arrivals)));
      BOOST_TEST((!call.m_answer.SaysNotRun() || arrivals == 0));
      BOOST_TEST(arrivals <= (call.m_kind->m_mayRepeat ? 2 : 1));
      BOOST_TEST((call.m_answer.m_status / 100 != 4 || call.m_answer.SaysNotRun()));
    }
  }
  for (const auto& [outcome, count] : outcomes) {
    BOOST_TEST_MESSAGE(outcome << ": " << count);
  }
}

/// Stops a node while callers go on calling it. Its runners have the mode `aBefore` until the
/// signal and `aAfter` from then on. With `aHoldOpen`, a request that never becomes complete keeps
/// the node until it ends all calls.
void CheckStop(const char* aBefore, const char* aAfter, bool aHoldOpen) {
  PlatformFleet fleet(2, 2);
  const auto setModes = [&](const char* aMode) {
    for (int runner = 0; runner < 2; ++runner) {
      fleet.PostControl("runner", { { "index", runner }, { "mode", aMode } });
    }
  };
  RawCaller holder(fleet.CallerAddress(0));
  if (aHoldOpen) {
    holder.Send("POST /once/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n\r\nhalf");
  }
  setModes(aBefore);
  const auto stop = base::BootNow() + kLeadTime;
  LateCallers callers(fleet.CallerAddress(0), stop);
  callers.Start();
  std::this_thread::sleep_until(std::chrono::steady_clock::now() + (stop - base::BootNow()));
  fleet.NodeProcess(0).Signal(SIGTERM);
  setModes(aAfter);
  while (fleet.NodeProcess(0).IsRunning() && base::BootNow() < stop + kGracePeriod) {
    std::this_thread::sleep_for(Millis(5));
  }
  const auto lived = std::chrono::duration_cast<Millis>(base::BootNow() - stop);
  BOOST_TEST_MESSAGE("the process ended " << lived.count() << " ms after the signal");
  BOOST_TEST(!fleet.NodeProcess(0).IsRunning());
  fleet.NodeProcess(0).Kill();
  BOOST_TEST(fleet.NodeProcess(0).WaitForExit() == 0);
  if (aHoldOpen) {
    BOOST_TEST(holder.Receive(kTimeout).m_status == 503);
    BOOST_TEST((lived >= kMayBeCutFrom));
  }
  const std::vector<LateCall>& calls = callers.Join();
  CheckCalls(calls, ArrivalsByCall(fleet));
  // Callers reached the node as long as it lived.
  Millis lastSent{ 0 };
  for (const LateCall& call : calls) {
    lastSent = std::max(lastSent, call.m_sentAt);
  }
  BOOST_TEST((lastSent > lived - Millis(500)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LateCallsInGraceTest)

// Report of another operator: calls that came late in the grace period of a planned stop were
// passed on, and cut at its end without an answer, also calls that must not be repeated.
BOOST_AUTO_TEST_CASE(CallsToFastRunnersAreAnsweredOrRefused) {
  CheckStop("ok", "ok", false);
}

BOOST_AUTO_TEST_CASE(CallsBesideAnIncompleteRequestAreAnsweredOrRefused) {
  CheckStop("ok", "ok", true);
}

BOOST_AUTO_TEST_CASE(CallsToLateRunnersAreAnsweredOrRefused) {
  CheckStop("late", "late", true);
}

// The node knows short durations only when it takes the calls.
BOOST_AUTO_TEST_CASE(CallsToRunnersThatBecomeSlowAreAnsweredOrRefused) {
  CheckStop("ok", "slow", false);
}

BOOST_AUTO_TEST_CASE(CallsToRunnersThatHangAreAnsweredOrRefused) {
  CheckStop("ok", "hang", false);
}

BOOST_AUTO_TEST_SUITE_END()
