#pragma once

#include "base/EnumNames.h"
#include "requests/Outcome.h"

#include <array>

/// \file
/// Table of the reaction to each fault of an attempt, for each kind of call.

namespace papayafield::requests {

/// Faults of one attempt, or of the request that it belongs to.
enum class Fault {
  /// The endpoint refused the connection, or connecting timed out; no byte was sent.
  NotConnected,
  /// The connection was established, but lost before any part of the response arrived.
  ResetBeforeAnswer,
  /// The connection was lost in the middle of the response.
  ResetInAnswer,
  /// The endpoint sent nothing for longer than the idle timeout.
  IdleTimeout,
  /// The endpoint responded with a server error (5xx).
  ServerError,
  /// The endpoint reported that it did not start the request.
  NotStarted,
  /// A response arrived for an attempt that has been superseded.
  LateAnswer,
  /// A response carries the number of another attempt.
  MisdirectedAnswer,
  /// The caller closed its connection.
  CallerDisconnected,
  /// The request waited too long and was removed from the queue before dispatch.
  QueueTimeout,
  /// The queue timeout expired after dispatch.
  QueueTimeoutAfterDispatch,
};

/// Reaction to a fault.
enum class Reaction {
  /// Send the request to another endpoint, within the retry budget.
  RetryElsewhere,
  /// Request the rest of the stream from the same engine over a new connection, or else from
  /// another engine.
  Resume,
  /// End the request, and report the outcome of the rule to the caller.
  Stop,
  /// Ignore the response, and continue to wait for the present attempt.
  DropAnswer,
  /// Cancel the request at the engine, and discard it.
  CancelAtEndpoint,
  /// Let the attempt finish, and keep its response for a caller that repeats the request.
  FinishAndKeep,
  /// Do nothing; the present attempt continues.
  ContinueAttempt,
};

/// Reaction to one fault of one kind of call.
struct FaultRule {
  Fault m_fault;
  CallKind m_kind;
  Reaction m_reaction;
  /// Outcome to report to the caller if the request ends here, because the reaction is Stop or no
  /// further attempt is possible.
  Outcome m_outcome;
};

/// Exactly one rule for each fault and kind of call.
inline constexpr auto kFaultRules = std::to_array<FaultRule>({
  { Fault::NotConnected, CallKind::Repeatable, Reaction::RetryElsewhere, Outcome::NotRun },
  { Fault::NotConnected, CallKind::NotRepeatable, Reaction::RetryElsewhere, Outcome::NotRun },
  { Fault::ResetBeforeAnswer, CallKind::Repeatable, Reaction::RetryElsewhere, Outcome::Unknown },
  { Fault::ResetBeforeAnswer, CallKind::NotRepeatable, Reaction::Stop, Outcome::Unknown },
  { Fault::ResetInAnswer, CallKind::Repeatable, Reaction::Resume, Outcome::Unknown },
  { Fault::ResetInAnswer, CallKind::NotRepeatable, Reaction::Stop, Outcome::Unknown },
  { Fault::IdleTimeout, CallKind::Repeatable, Reaction::Resume, Outcome::Unknown },
  { Fault::IdleTimeout, CallKind::NotRepeatable, Reaction::Stop, Outcome::Unknown },
  { Fault::ServerError, CallKind::Repeatable, Reaction::RetryElsewhere, Outcome::Unknown },
  { Fault::ServerError, CallKind::NotRepeatable, Reaction::Stop, Outcome::Unknown },
  { Fault::NotStarted, CallKind::Repeatable, Reaction::RetryElsewhere, Outcome::NotRun },
  { Fault::NotStarted, CallKind::NotRepeatable, Reaction::RetryElsewhere, Outcome::NotRun },
  { Fault::LateAnswer, CallKind::Repeatable, Reaction::DropAnswer, Outcome::Unknown },
  { Fault::LateAnswer, CallKind::NotRepeatable, Reaction::DropAnswer, Outcome::Unknown },
  { Fault::MisdirectedAnswer, CallKind::Repeatable, Reaction::RetryElsewhere, Outcome::Unknown },
  { Fault::MisdirectedAnswer, CallKind::NotRepeatable, Reaction::Stop, Outcome::Unknown },
  { Fault::CallerDisconnected, CallKind::Repeatable, Reaction::CancelAtEndpoint, Outcome::Unknown },
  { Fault::CallerDisconnected, CallKind::NotRepeatable, Reaction::FinishAndKeep, Outcome::Unknown },
  { Fault::QueueTimeout, CallKind::Repeatable, Reaction::Stop, Outcome::NotRun },
  { Fault::QueueTimeout, CallKind::NotRepeatable, Reaction::Stop, Outcome::NotRun },
  { Fault::QueueTimeoutAfterDispatch,
    CallKind::Repeatable,
    Reaction::ContinueAttempt,
    Outcome::Unknown },
  { Fault::QueueTimeoutAfterDispatch,
    CallKind::NotRepeatable,
    Reaction::ContinueAttempt,
    Outcome::Unknown },
});

/// Returns the rule for `aFault` of a call of the kind `aKind`. Thread safe.
constexpr const FaultRule& RuleFor(Fault aFault, CallKind aKind) {
  for (const FaultRule& rule : kFaultRules) {
    if (rule.m_fault == aFault && rule.m_kind == aKind) {
      return rule;
    }
  }
  // Unreachable: a static_assert checks that the table is complete.
  return kFaultRules.front();
}

} // namespace papayafield::requests

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<requests::Fault> = std::to_array<EnumName<requests::Fault>>({
  { requests::Fault::NotConnected, "not connected" },
  { requests::Fault::ResetBeforeAnswer, "connection lost before the answer" },
  { requests::Fault::ResetInAnswer, "connection lost within the answer" },
  { requests::Fault::IdleTimeout, "silence" },
  { requests::Fault::ServerError, "server error" },
  { requests::Fault::NotStarted, "not started" },
  { requests::Fault::LateAnswer, "late answer" },
  { requests::Fault::MisdirectedAnswer, "crossed answer" },
  { requests::Fault::CallerDisconnected, "caller gone" },
  { requests::Fault::QueueTimeout, "queue time-out" },
  { requests::Fault::QueueTimeoutAfterDispatch, "queue time-out after dispatch" },
});

template<>
inline constexpr auto kEnumNames<requests::Reaction> = std::to_array<EnumName<requests::Reaction>>({
  { requests::Reaction::RetryElsewhere, "try another" },
  { requests::Reaction::Resume, "resume" },
  { requests::Reaction::Stop, "stop" },
  { requests::Reaction::DropAnswer, "drop answer" },
  { requests::Reaction::CancelAtEndpoint, "cancel at endpoint" },
  { requests::Reaction::FinishAndKeep, "finish and keep" },
  { requests::Reaction::ContinueAttempt, "go on" },
});

} // namespace papayafield::base

namespace papayafield::requests {

/// Returns whether each fault has exactly one rule for each kind of call.
constexpr bool FaultTableIsComplete() {
  for (const auto& fault : base::kEnumNames<Fault>) {
    for (const auto& kind : base::kEnumNames<CallKind>) {
      int rules = 0;
      for (const FaultRule& rule : kFaultRules) {
        rules += rule.m_fault == fault.m_value && rule.m_kind == kind.m_value ? 1 : 0;
      }
      if (rules != 1) {
        return false;
      }
    }
  }
  return kFaultRules.size() == base::kEnumNames<Fault>.size() * base::kEnumNames<CallKind>.size();
}

static_assert(FaultTableIsComplete(), "each fault needs one rule for each kind of call");

} // namespace papayafield::requests
