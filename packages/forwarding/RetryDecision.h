#pragma once

#include "base/EnumNames.h"
#include "fleet/Catalog.h"

namespace papayafield::forwarding {

/// How one attempt failed.
enum class AttemptFault {
  /// No connection came about, so no byte was sent.
  NotSent,
  /// The endpoint states that it did not run the call.
  NotExecuted,
  /// The connection was lost, or the answer is none, after bytes were sent.
  Lost,
  /// The endpoint gave no sign in the time that an attempt may take.
  Stalled,
  /// The endpoint ran the call and answers with a failure.
  Failed,
};

/// What is known when an attempt has failed.
struct AttemptState {
  fleet::CallKind m_kind = fleet::CallKind::Unsafe;
  /// Whether the route lets a call run again.
  bool m_repeatable = false;
  AttemptFault m_fault = AttemptFault::Lost;
  /// Endpoints that may have run the call, this one included.
  int m_runs = 0;
  /// Endpoints that the route lets one call run on.
  int m_maxRuns = 1;
  /// Whether the caller has already got a part of the answer.
  bool m_answerBegun = false;
};

/// Whether a call may be sent to another endpoint, time and budget permitting. Thread safe.
constexpr bool MayTryAnother(const AttemptState& aState) {
  switch (aState.m_fault) {
    case AttemptFault::NotSent:
    case AttemptFault::NotExecuted:
      return aState.m_runs < aState.m_maxRuns && (aState.m_runs == 0 || aState.m_repeatable);
    case AttemptFault::Lost:
    case AttemptFault::Stalled:
      return aState.m_repeatable && aState.m_runs < aState.m_maxRuns;
    case AttemptFault::Failed:
      return aState.m_kind == fleet::CallKind::Idempotent && aState.m_runs < aState.m_maxRuns;
  }
  return false;
}

/// The status for a call that is given up: 503 promises that it has not run and never will, 502 and
/// 504 promise nothing. Thread safe.
constexpr int FinalStatus(bool aMayHaveRun, bool aTimeIsUp) {
  if (!aMayHaveRun) {
    return 503;
  }
  return aTimeIsUp ? 504 : 502;
}

} // namespace papayafield::forwarding

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<forwarding::AttemptFault> =
  std::to_array<EnumName<forwarding::AttemptFault>>({
    { forwarding::AttemptFault::NotSent, "not_sent" },
    { forwarding::AttemptFault::NotExecuted, "not_executed" },
    { forwarding::AttemptFault::Lost, "lost" },
    { forwarding::AttemptFault::Stalled, "stalled" },
    { forwarding::AttemptFault::Failed, "failed" },
  });

} // namespace papayafield::base
