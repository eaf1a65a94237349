#pragma once

#include "base/EnumNames.h"
#include "fleet/Catalog.h"

namespace papayafield::forwarding {

/// Reason why an attempt failed.
enum class AttemptFault {
  /// No connection was established, so no byte was sent.
  NotSent,
  /// The endpoint states that it did not run the call.
  NotExecuted,
  /// The connection was lost, or the answer was invalid, after bytes were sent.
  Lost,
  /// The answer carries no ID and may belong to an earlier call on the same connection.
  Unattributed,
  /// The endpoint sent nothing within the time limit of an attempt.
  Stalled,
  /// The endpoint ran the call and answered with an error.
  Failed,
};

/// What is known about a call after a failed attempt.
struct AttemptState {
  fleet::CallKind m_kind = fleet::CallKind::Unsafe;
  /// Whether the route allows a call to run more than once.
  bool m_repeatable = false;
  AttemptFault m_fault = AttemptFault::Lost;
  /// Number of endpoints that may have run the call, this one included.
  int m_possibleRuns = 0;
  /// Maximum number of endpoints that the route allows to run one call.
  int m_maxRuns = 1;
  /// Whether the caller has received a part of the answer that another endpoint cannot continue.
  bool m_cannotContinue = false;
};

/// Returns whether a call may be sent to another endpoint, provided that time and retry budget are
/// left. Thread safe.
constexpr bool MayRetry(const AttemptState& aState) {
  if (aState.m_cannotContinue) {
    return false;
  }
  switch (aState.m_fault) {
    case AttemptFault::NotSent:
    case AttemptFault::NotExecuted:
      return aState.m_possibleRuns < aState.m_maxRuns &&
             (aState.m_possibleRuns == 0 || aState.m_repeatable);
    case AttemptFault::Lost:
    case AttemptFault::Unattributed:
    case AttemptFault::Stalled:
      return aState.m_repeatable && aState.m_possibleRuns < aState.m_maxRuns;
    case AttemptFault::Failed:
      return aState.m_kind == fleet::CallKind::Idempotent &&
             aState.m_possibleRuns < aState.m_maxRuns;
  }
  return false;
}

/// Returns the status for an abandoned call: 503 guarantees that it has not run and never will; 502
/// and 504 guarantee nothing. Thread safe.
constexpr int FinalStatus(bool aMayHaveRun, bool aTimedOut) {
  if (!aMayHaveRun) {
    return 503;
  }
  return aTimedOut ? 504 : 502;
}

/// Returns whether callers take the status for a guarantee that the call has not run and never
/// will. Thread safe.
constexpr bool GuaranteesNotRun(int aStatus) {
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace papayafield::forwarding

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<forwarding::AttemptFault> =
  std::to_array<EnumName<forwarding::AttemptFault>>({
    { forwarding::AttemptFault::NotSent, "not_sent" },
    { forwarding::AttemptFault::NotExecuted, "not_executed" },
    { forwarding::AttemptFault::Lost, "lost" },
    { forwarding::AttemptFault::Unattributed, "unattributed" },
    { forwarding::AttemptFault::Stalled, "stalled" },
    { forwarding::AttemptFault::Failed, "failed" },
  });

} // namespace papayafield::base
