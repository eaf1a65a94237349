#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"
#include "store/Position.h"

#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <string>

/// \file
/// Data of a roll-out: the operator's order, the leader's record, and what nodes count.

namespace papayafield::rollout {

/// Progress of a roll-out.
enum class Phase {
  /// The target gets single calls through grants.
  Exposing,
  /// The target gets all new calls for which there are grants.
  Ramping,
  /// The target gets all calls.
  Completed,
  /// The target gets no calls.
  Reverted,
};

/// Returns whether a roll-out in `aPhase` is still running. Thread safe.
constexpr bool IsRunning(Phase aPhase) {
  return aPhase == Phase::Exposing || aPhase == Phase::Ramping;
}

/// An operator's order to move the traffic of a service to the version `m_target`.
struct RolloutOrder {
  std::string m_target;
  /// Time from the order within which the roll-out must have been completed or reverted.
  base::Millis m_duration{ 0 };
  /// Store position at which the order was written.
  store::Position m_position;
};

/// The leader's record of a roll-out, as written to the store.
struct RolloutRecord {
  std::string m_target;
  /// Position of the order that the record belongs to.
  store::Position m_order;
  base::Millis m_duration{ 0 };
  Phase m_phase = Phase::Exposing;
  /// Time of the order, and of the start of ramping (0 before it), in Unix milliseconds.
  int64_t m_startMs = 0;
  int64_t m_rampMs = 0;
  /// Upper bound of the calls that leaders may have granted. It is written before it is used, so
  /// that a later leader knows a bound on what was sent.
  uint64_t m_reserved = 0;
  /// Requests of the service since the order, as last written.
  uint64_t m_requests = 0;
  /// Versions that were reverted and have not been ordered again.
  std::set<std::string> m_rejected;

  int64_t DeadlineMs() const { return m_startMs + m_duration.count(); }
  bool operator==(const RolloutRecord&) const = default;
};

/// Limits on what an unproven version may get (`[bounds]` of the settings file).
struct ExposureBounds {
  /// Share of the requests since the order.
  double m_share = 0.1;
  /// Requests in addition to the share.
  double m_slack = 50;
  /// Time from the 50th bad answer after which the version gets no call.
  base::Millis m_rollback{ 5000 };
};

/// Number of buckets of a histogram of times. Each is wider by kBucketFactor than the one before;
/// the last one starts at about 7 s.
inline constexpr size_t kTimeBuckets = 32;
inline constexpr double kBucketFactor = 1.33;

/// Returns the bucket of a time of `aMillis`. Thread safe.
inline size_t BucketOf(double aMillis) {
  if (!(aMillis > 1)) {
    return 0;
  }
  const double bucket = std::log(aMillis) / std::log(kBucketFactor);
  return bucket >= kTimeBuckets ? kTimeBuckets - 1 : static_cast<size_t>(bucket);
}

/// Running totals of the answers of one version.
struct AnswerCounts {
  /// Calls that have ended, with or without a usable answer.
  uint64_t m_answers = 0;
  uint64_t m_failures = 0;
  /// Broken calls that are not among the failures, since they belong to a crash of an endpoint that
  /// is counted as one failure.
  uint64_t m_repeatedLosses = 0;
  /// Usable answers by their time.
  std::array<uint64_t, kTimeBuckets> m_times{};

  AnswerCounts& operator+=(const AnswerCounts& aOther) {
    m_answers += aOther.m_answers;
    m_failures += aOther.m_failures;
    m_repeatedLosses += aOther.m_repeatedLosses;
    for (size_t i = 0; i < kTimeBuckets; ++i) {
      m_times[i] += aOther.m_times[i];
    }
    return *this;
  }
};

/// The target's bad answers.
struct BadAnswers {
  /// Failures, and answers much slower than those of the old version.
  uint64_t m_bad = 0;
  /// Those that exceed what the old version gave at the same moment; may decrease.
  double m_unexcused = 0;
};

/// Running totals of one route, for the target and for all other versions.
struct RouteCounts {
  AnswerCounts m_old;
  AnswerCounts m_target;

  RouteCounts& operator+=(const RouteCounts& aOther) {
    m_old += aOther.m_old;
    m_target += aOther.m_target;
    return *this;
  }
};

using CountsByRoute = std::map<std::string, RouteCounts>;

/// Running totals of one node for one service, since it learned of the order.
struct NodeCounts {
  /// Position of the order.
  store::Position m_order;
  /// Requests of callers for the service.
  uint64_t m_requests = 0;
  /// Attempts that were sent to the target.
  uint64_t m_sent = 0;
  /// Open attempts at endpoints of other versions.
  uint64_t m_oldOpen = 0;
  CountsByRoute m_routes;
};

/// What the leader grants for the roll-out of one service.
struct RolloutGrants {
  /// Position of the order.
  store::Position m_order;
  /// Fencing token of the leader.
  uint64_t m_token = 0;
  /// Running totals of calls to the target, by incarnation of a node.
  std::map<std::string, uint64_t> m_calls;
};

} // namespace papayafield::rollout

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<rollout::Phase> = std::to_array<EnumName<rollout::Phase>>({
  { rollout::Phase::Exposing, "exposing" },
  { rollout::Phase::Ramping, "ramping" },
  { rollout::Phase::Completed, "completed" },
  { rollout::Phase::Reverted, "reverted" },
});

} // namespace papayafield::base
