#include "rollout/RollbackTimer.h"
#include "rollout/ExposureLedger.h"
#include "rollout/RolloutMachine.h"
#include "rollout/VersionJudge.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace papayafield;
using namespace papayafield::rollout;

namespace {

constexpr base::Millis kRollback{ 5000 };
constexpr base::TimePoint kStart{ std::chrono::hours(1) };
constexpr int64_t kTickMs = 250;

/// A disturbance or fault: the failure rates of both versions in a span of time.
struct Fault {
  int64_t m_fromMs = 0;
  int64_t m_toMs = 0;
  double m_oldRate = 0;
  double m_targetRate = 0;
};

/// Course of a simulated roll-out.
struct Course {
  double m_callsPerSecond = 300;
  /// Share of heartbeats that are lost, in either direction.
  double m_losses = 0;
  std::vector<Fault> m_faults;
  /// Time at which the leader is lost; negative if it is not.
  int64_t m_leaderLostMs = -1;
  /// Whether the judge may revert the version.
  bool m_hasJudge = false;
  bool m_losesWrites = false;
};

/// Times in milliseconds since the order.
struct Result {
  /// The 50th bad answer, and the last call to the target; negative if there was none.
  int64_t m_fiftieth = -1;
  int64_t m_lastSent = -1;
  /// When the version was completed; negative if it was not.
  int64_t m_completed = -1;
  bool m_isStopped = false;
  Phase m_phase = Phase::Exposing;
};

struct SimulatedNode {
  NodeCounts m_counts;
  uint64_t m_granted = 0;
  int64_t m_grantEnd = -1;
  /// Counts as the leader knows them.
  NodeCounts m_reported;
  base::TimePoint m_reportedAt{};
};

/// Runs a roll-out of 12 s with the leader's parts as in serving/RolloutTask.
Result Run(const Course& aCourse, unsigned aSeed) {
  constexpr size_t kNodes = 5;
  constexpr int64_t kLeaseMs = 3000;
  constexpr int64_t kDurationMs = 12000;
  std::mt19937_64 random(aSeed);
  const auto chance = [&](double aProbability) {
    return std::bernoulli_distribution(aProbability)(random);
  };
  ExposureBounds bounds;
  bounds.m_rollback = kRollback;
  const RolloutMachine machine(bounds);
  std::vector<SimulatedNode> nodes(kNodes);
  RolloutInputs inputs;
  inputs.m_order = RolloutOrder{ "v2", base::Millis(kDurationMs), { 0, 7 } };
  inputs.m_requestsPerSecond = aCourse.m_callsPerSecond;
  inputs.m_hasCapacity = true;
  std::unique_ptr<ExposureLedger> ledger;
  std::unique_ptr<VersionJudge> judge;
  std::unique_ptr<RollbackTimer> timer;
  bool hadLeader = false;
  uint64_t bad = 0;
  Result result;
  for (int64_t ms = 0; ms < kDurationMs + 6000; ++ms) {
    const base::TimePoint now = kStart + base::Millis(ms);
    const bool completed = inputs.m_record && inputs.m_record->m_phase == Phase::Completed;
    const bool reverted = inputs.m_record && inputs.m_record->m_phase == Phase::Reverted;
    std::poisson_distribution<int> calls(aCourse.m_callsPerSecond / 1000);
    for (int i = calls(random); i > 0; --i) {
      SimulatedNode& node = nodes[std::uniform_int_distribution<size_t>(0, kNodes - 1)(random)];
      ++node.m_counts.m_requests;
      const bool granted = ms < node.m_grantEnd && node.m_counts.m_sent < node.m_granted;
      const bool target = completed || (granted && !reverted);
      double rate = 0.002;
      for (const Fault& fault : aCourse.m_faults) {
        if (ms >= fault.m_fromMs && ms < fault.m_toMs) {
          rate = std::max(rate, target ? fault.m_targetRate : fault.m_oldRate);
        }
      }
      const bool failed = chance(rate);
      RouteCounts& counts = node.m_counts.m_routes["r"];
      AnswerCounts& version = target ? counts.m_target : counts.m_old;
      ++version.m_answers;
      version.m_failures += failed ? 1 : 0;
      if (target) {
        ++node.m_counts.m_sent;
        result.m_lastSent = ms;
        bad += failed ? 1 : 0;
        if (bad == RollbackTimer::kBadAnswers && result.m_fiftieth < 0) {
          result.m_fiftieth = ms;
        }
      }
    }
    if (ms % kTickMs != 0) {
      continue;
    }
    if (ms == aCourse.m_leaderLostMs) {
      ledger.reset();
    }
    const bool hasLeader = aCourse.m_leaderLostMs < 0 || ms < aCourse.m_leaderLostMs ||
                           ms >= aCourse.m_leaderLostMs + kLeaseMs;
    if (!hasLeader || completed || reverted) {
      continue;
    }
    if (ledger == nullptr) {
      const auto& record = inputs.m_record;
      ledger = std::make_unique<ExposureLedger>(
        record ? record->m_reserved : 0, record ? record->m_requests : 0, hadLeader, now);
      judge = std::make_unique<VersionJudge>(JudgeSettings{});
      timer = std::make_unique<RollbackTimer>(kRollback, hadLeader, now);
      hadLeader = true;
    }
    CountsByRoute totals;
    for (size_t i = 0; i < kNodes; ++i) {
      SimulatedNode& node = nodes[i];
      if (!chance(aCourse.m_losses)) {
        node.m_reported = node.m_counts;
        ledger->Report(std::to_string(i), node.m_counts.m_requests, node.m_counts.m_sent, now);
      }
      for (const auto& [route, counts] : node.m_reported.m_routes) {
        totals[route] += counts;
      }
    }
    judge->Record(totals, now);
    const Judgement judgement = judge->Judge();
    inputs.m_verdict = aCourse.m_hasJudge ? judgement.m_verdict : Verdict::Good;
    inputs.m_rollback = timer->Update(judge->Bad(), now);
    result.m_isStopped = result.m_isStopped || inputs.m_rollback == RollbackState::Stopped;
    inputs.m_nowMs = ms + 1000000;
    inputs.m_orderSeenMs = 1000000;
    inputs.m_requests = ledger->Requests();
    inputs.m_exposed = ledger->Exposed();
    const RolloutDecision decision = machine.Decide(inputs);
    const auto grants = ledger->Grant(decision.m_limit, now);
    for (size_t i = 0; i < kNodes && decision.m_limit > 0; ++i) {
      const auto grant = grants.find(std::to_string(i));
      if (grant != grants.end() && !chance(aCourse.m_losses)) {
        nodes[i].m_granted = std::max(nodes[i].m_granted, grant->second);
        nodes[i].m_grantEnd = ms + kGrantLifetime.count();
      }
    }
    const bool isBegin = !inputs.m_record;
    if (decision.m_write && (isBegin || !aCourse.m_losesWrites)) {
      inputs.m_record = decision.m_write;
      if (decision.m_write->m_phase == Phase::Completed) {
        result.m_completed = ms;
      }
    }
  }
  result.m_phase = inputs.m_record->m_phase;
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RollbackTimerTest)

// The states follow one another in time, and an excuse that is seen before the end clears them.
BOOST_AUTO_TEST_CASE(StatesFollowTheTime) {
  RollbackTimer timer(kRollback, false, kStart);
  BOOST_TEST((timer.Update({ 49, 49 }, kStart) == RollbackState::Clear));
  BOOST_TEST((timer.Update({ 50, 50 }, kStart) == RollbackState::Pending));
  const auto at = [](int64_t aMs) { return kStart + base::Millis(aMs); };
  BOOST_TEST((timer.Update({ 60, 60 }, at(2449)) == RollbackState::Pending));
  BOOST_TEST((timer.Update({ 60, 60 }, at(2450)) == RollbackState::Stopped));
  BOOST_TEST((timer.Update({ 60, 5 }, at(2700)) == RollbackState::Clear));
  BOOST_TEST((timer.Update({ 109, 54 }, at(3000)) == RollbackState::Clear));
  BOOST_TEST((timer.Update({ 110, 55 }, at(3250)) == RollbackState::Pending));
  BOOST_TEST((timer.Update({ 110, 55 }, at(3250 + 3749)) == RollbackState::Stopped));
  BOOST_TEST((timer.Update({ 110, 55 }, at(3250 + 3750)) == RollbackState::Expired));
  BOOST_TEST((timer.Update({ 110, 0 }, at(9000)) == RollbackState::Expired));
}

// A leader that takes over does not know when the bad answers were given.
BOOST_AUTO_TEST_CASE(BadAnswersOfUnknownAgeEndTheRollout) {
  RollbackTimer timer(kRollback, true, kStart);
  BOOST_TEST((timer.Update({ 30, 30 }, kStart) == RollbackState::Clear));
  BOOST_TEST((timer.Update({ 70, 5 }, kStart + base::Millis(250)) == RollbackState::Clear));
  BOOST_TEST((timer.Update({ 130, 60 }, kStart + base::Millis(500)) == RollbackState::Expired));
  RollbackTimer later(kRollback, true, kStart);
  BOOST_TEST((later.Update({ 49, 49 }, kStart + base::Millis(1250)) == RollbackState::Clear));
  BOOST_TEST((later.Update({ 50, 50 }, kStart + base::Millis(1500)) == RollbackState::Pending));
}

// Each call that a crash breaks off is a bad answer, although the verdict counts one failure.
BOOST_AUTO_TEST_CASE(BrokenCallsOfACrashAreBad) {
  VersionJudge judge{ JudgeSettings{} };
  CountsByRoute totals;
  judge.Record(totals, kStart);
  totals["r"].m_old.m_answers = 1000;
  totals["r"].m_target.m_answers = 10;
  totals["r"].m_target.m_failures = 1;
  totals["r"].m_target.m_repeatedLosses = 60;
  judge.Record(totals, kStart + base::Millis(250));
  BOOST_TEST(judge.Bad().m_bad == 61U);
  BOOST_TEST(judge.Bad().m_unexcused == 61);
}

// Answers much slower than those of the old version count, unless it is as slow at that moment. A
// disturbance of the old version excuses nothing after it.
BOOST_AUTO_TEST_CASE(SlowAnswersAreBad) {
  VersionJudge judge{ JudgeSettings{} };
  CountsByRoute totals;
  judge.Record(totals, kStart);
  const auto record = [&](int aTick, size_t aOldSlow, size_t aTargetSlow) {
    RouteCounts& counts = totals["r"];
    counts.m_old.m_answers += 1000;
    counts.m_old.m_times[10] += 1000 - aOldSlow;
    counts.m_old.m_times[20] += aOldSlow;
    counts.m_target.m_answers += 100;
    counts.m_target.m_times[10] += 100 - aTargetSlow;
    counts.m_target.m_times[20] += aTargetSlow;
    judge.Record(totals, kStart + base::Millis(250 * aTick));
  };
  record(1, 0, 0);
  BOOST_TEST(judge.Bad().m_bad == 0U);
  for (int tick = 2; tick < 10; ++tick) {
    record(tick, 40, 4);
  }
  BOOST_TEST(judge.Bad().m_bad == 32U);
  BOOST_TEST(judge.Bad().m_unexcused == 0);
  for (int tick = 10; tick < 14; ++tick) {
    record(tick, 0, 100);
  }
  BOOST_TEST(judge.Bad().m_bad == 432U);
  BOOST_TEST(judge.Bad().m_unexcused >= 350);
}

// Guards the rollback time itself: with a judge that takes every version for good, nothing is sent
// later than that after the 50th bad answer, whatever is lost, and such a version is not completed.
BOOST_AUTO_TEST_CASE(BadVersionGetsNothingAfterTheRollbackTime) {
  for (const double rate : { 0.1, 0.3, 1.0 }) {
    for (const int64_t from : { 0, 3000, 7000, 10000 }) {
      for (const double losses : { 0.0, 0.1, 0.3 }) {
        for (const int64_t leaderLost : { -1, 2000, 5000, 9000 }) {
          for (const bool losesWrites : { false, true }) {
            int64_t longest = 0;
            int fiftieth = 0;
            for (unsigned seed = 1; seed <= 20; ++seed) {
              Course course;
              course.m_callsPerSecond = 900;
              course.m_losses = losses;
              course.m_faults = { { from, 60000, 0, rate } };
              course.m_leaderLostMs = leaderLost;
              course.m_losesWrites = losesWrites;
              const Result result = Run(course, seed);
              // A version that gave fewer bad answers before it was completed is not the timer's.
              if (result.m_fiftieth >= 0 &&
                  (result.m_completed < 0 ||
                   result.m_fiftieth + RollbackTimer::kReportDelay.count() < result.m_completed)) {
                BOOST_TEST((result.m_phase != Phase::Completed));
                ++fiftieth;
                longest = std::max(longest, result.m_lastSent - result.m_fiftieth);
              }
            }
            BOOST_TEST_MESSAGE("rate " << rate << ", from " << from << ", losses " << losses
                                       << ", leader lost " << leaderLost << ", writes lost "
                                       << losesWrites << ": " << fiftieth << " of 20, last call "
                                       << longest << " ms after the 50th bad answer");
            BOOST_TEST(longest <= kRollback.count());
          }
        }
      }
    }
  }
}

// Guards against reverting a good version for a disturbance of both, early, halfway and just
// before the ramp.
BOOST_AUTO_TEST_CASE(GoodVersionsSurviveDisturbances) {
  for (const double calls : { 300.0, 1000.0, 3000.0 }) {
    for (const double rate : { 0.0, 0.1, 0.2, 0.5, 0.9 }) {
      for (const int64_t from : { 0, 2000, 5300, 8600 }) {
        for (const int64_t span : { 500, 2000, 4000 }) {
          int completed = 0;
          int stopped = 0;
          constexpr int kSeeds = 20;
          for (unsigned seed = 1; seed <= kSeeds; ++seed) {
            Course course;
            course.m_callsPerSecond = calls;
            course.m_hasJudge = true;
            course.m_faults = { { from, from + span, rate, rate } };
            const Result result = Run(course, seed);
            completed += result.m_phase == Phase::Completed ? 1 : 0;
            stopped += result.m_isStopped ? 1 : 0;
          }
          BOOST_TEST_MESSAGE("calls/s " << calls << ", " << rate << " fail from " << from << " for "
                                        << span << " ms: " << completed << " of " << kSeeds
                                        << " completed, grants stopped in " << stopped);
          BOOST_TEST(completed == kSeeds);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
