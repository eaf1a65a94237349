#include "rollout/RolloutMachine.h"

#include <algorithm>
#include <cmath>

namespace papayafield::rollout {

namespace {

/// Parts of the exposure share and of the slack that grants may use. While exposing, most of the
/// share is kept for ramping: at 0.1 and 12 s, it carries all calls of about 0.7 s.
constexpr double kExposingFraction = 0.4;
constexpr double kRampingFraction = 0.8;
constexpr double kSlackFraction = 0.5;
/// Part of the bound that ramping is planned with, up to the deadline.
constexpr double kPlannedFraction = 0.94;
/// Standard deviations of the calls up to the deadline that the plan leaves free: at few calls per
/// second, chance alone brings 20 % more.
constexpr double kPlannedDeviations = 3;
/// Ramping begins at least this time before the deadline: two heartbeats and two writes to the
/// store. It ends after this part of the time left, or half an interval of decisions before.
constexpr int64_t kMinRampMs = 600;
constexpr double kRampBeforeCompletion = 0.35;
constexpr int64_t kDecisionIntervalMs = 250;
constexpr int64_t kHalfDecisionIntervalMs = kDecisionIntervalMs / 2;
/// Without this time left, a delayed decision completes at once: another one and its write would
/// miss the deadline.
constexpr int64_t kMinLeftForRampMs = kDecisionIntervalMs + 100;
/// Time before the ramp at which its calls are reserved in the store, so that they can be granted
/// with the decision to ramp: time for a write that is repeated.
constexpr int64_t kReserveAheadMs = 1500;
/// An order is seen up to this time after it was written: the pause of the watch after changes.
constexpr int64_t kOrderDelayMs = 150;
/// Time for which new calls go to the target before the old endpoints may be stopped early.
constexpr int64_t kMinTimeRampingMs = 300;
/// Time after the deadline in which a leader may still collect evidence.
constexpr int64_t kGraceMs = 3000;
/// Time of requests by which the reservation is ahead of what may be granted.
constexpr double kReserveSeconds = 1.5;
/// Maximum number of versions that stay rejected.
constexpr size_t kMaxRejected = 16;

bool BelongsTo(const RolloutRecord& aRecord, const RolloutOrder& aOrder) {
  return aRecord.m_order == aOrder.m_position && aRecord.m_target == aOrder.m_target;
}

void Reject(RolloutRecord& aRecord, const std::string& aVersion) {
  if (aRecord.m_rejected.size() >= kMaxRejected) {
    aRecord.m_rejected.erase(aRecord.m_rejected.begin());
  }
  aRecord.m_rejected.insert(aVersion);
}

RolloutRecord Reverted(RolloutRecord aRecord) {
  aRecord.m_phase = Phase::Reverted;
  Reject(aRecord, aRecord.m_target);
  return aRecord;
}

} // namespace

const RolloutRecord* FindEarlierRecord(const RolloutInputs& aInputs) {
  const RolloutOrder& order = *aInputs.m_order;
  const auto matches = [&](const std::optional<RolloutRecord>& aRecord) {
    return aRecord && aRecord->m_order.m_era < order.m_position.m_era &&
           aRecord->m_target == order.m_target && aRecord->m_duration == order.m_duration;
  };
  if (matches(aInputs.m_remembered)) {
    return &*aInputs.m_remembered;
  }
  // An order that is written after the restore has another revision.
  const bool isSame = matches(aInputs.m_record) &&
                      aInputs.m_record->m_order.m_revision == order.m_position.m_revision;
  return isSame ? &*aInputs.m_record : nullptr;
}

uint64_t RolloutMachine::Allowance(Phase aPhase, double aRequests) const {
  const double fraction = aPhase == Phase::Ramping ? kRampingFraction : kExposingFraction;
  return static_cast<uint64_t>(fraction * m_bounds.m_share * aRequests +
                               kSlackFraction * m_bounds.m_slack);
}

/// Begins the roll-out of a new order, or continues that of the same order before a restore.
RolloutRecord RolloutMachine::Begin(const RolloutInputs& aInputs) const {
  const RolloutOrder& order = *aInputs.m_order;
  if (const auto* earlier = FindEarlierRecord(aInputs)) {
    RolloutRecord record = *earlier;
    record.m_order = order.m_position;
    if (aInputs.m_record) {
      record.m_reserved = std::max(record.m_reserved, aInputs.m_record->m_reserved);
    }
    return record;
  }
  RolloutRecord record;
  record.m_target = order.m_target;
  record.m_order = order.m_position;
  record.m_duration = order.m_duration;
  record.m_startMs = std::min(aInputs.m_orderSeenMs, aInputs.m_nowMs) - kOrderDelayMs;
  record.m_reserved = Allowance(Phase::Exposing, 0);
  if (const auto& previous = aInputs.m_record) {
    record.m_rejected = previous->m_rejected;
    if (IsRunning(previous->m_phase)) {
      Reject(record, previous->m_target);
    } else if (previous->m_phase == Phase::Completed && previous->m_target == order.m_target) {
      // The version is serving already.
      record.m_phase = Phase::Completed;
    }
  }
  record.m_rejected.erase(record.m_target);
  return record;
}

int64_t RolloutMachine::RampStartMs(const RolloutRecord& aRecord,
                                    const RolloutInputs& aInputs) const {
  const double rate = std::max(aInputs.m_requestsPerSecond, 1.0);
  const double left =
    std::max(static_cast<double>(aRecord.DeadlineMs() + kOrderDelayMs - aInputs.m_nowMs), 0.0) /
    1000;
  const double total = static_cast<double>(aInputs.m_requests) + rate * left;
  const double free = std::max(kPlannedFraction * (m_bounds.m_share * total + m_bounds.m_slack) -
                                 static_cast<double>(aInputs.m_exposed),
                               0.0);
  // The mean of calls whose number stays below `free` at so many deviations.
  const double root =
    (std::sqrt(kPlannedDeviations * kPlannedDeviations + 4 * free) - kPlannedDeviations) / 2;
  const double calls = root * root;
  const auto longest = aRecord.m_duration.count() / 2;
  const auto span = static_cast<int64_t>(calls / rate * 1000);
  return aRecord.DeadlineMs() + kOrderDelayMs -
         std::clamp(span, kMinRampMs, std::max(longest, kMinRampMs));
}

/// Returns the calls that may be exposed until the next decision. The first interval of the ramp
/// usually begins before the time of RampStartMs, and gets the calls of its later part only.
uint64_t RolloutMachine::RampLimit(const RolloutRecord& aRecord,
                                   const RolloutInputs& aInputs) const {
  const int64_t ramped = aInputs.m_nowMs + kDecisionIntervalMs - RampStartMs(aRecord, aInputs);
  const double calls =
    std::max(static_cast<double>(ramped), 0.0) / 1000 * std::max(aInputs.m_requestsPerSecond, 1.0);
  return aInputs.m_exposed + static_cast<uint64_t>(calls);
}

void RolloutMachine::Progress(const RolloutInputs& aInputs, RolloutDecision& aDecision) const {
  const RolloutRecord& record = *aInputs.m_record;
  const int64_t now = aInputs.m_nowMs;
  // Calls after `completed` need no grants, and could not be stopped in time.
  const bool isClear = aInputs.m_rollback == RollbackState::Clear;
  if (aInputs.m_verdict == Verdict::Bad) {
    aDecision.m_write = Reverted(record);
    aDecision.m_reason = "bad version";
  } else if (aInputs.m_rollback == RollbackState::Expired) {
    aDecision.m_write = Reverted(record);
    aDecision.m_reason = "rollback time";
  } else if (record.m_phase == Phase::Exposing) {
    if (aInputs.m_verdict == Verdict::Good && isClear && aInputs.m_hasCapacity &&
        now + kDecisionIntervalMs > RampStartMs(record, aInputs)) {
      const bool hasTimeToRamp = now + kMinLeftForRampMs <= record.DeadlineMs() + kOrderDelayMs;
      aDecision.m_write = record;
      aDecision.m_write->m_phase = hasTimeToRamp ? Phase::Ramping : Phase::Completed;
      aDecision.m_write->m_rampMs = now;
      aDecision.m_reason = hasTimeToRamp ? "enough evidence" : "no time for a ramp";
    } else if (now > record.DeadlineMs() + kGraceMs) {
      aDecision.m_write = Reverted(record);
      aDecision.m_reason = aInputs.m_hasCapacity ? "too little evidence" : "too few endpoints";
    }
  } else {
    const int64_t latest =
      std::max(record.m_rampMs +
                 static_cast<int64_t>(static_cast<double>(record.DeadlineMs() - record.m_rampMs) *
                                      kRampBeforeCompletion),
               record.m_rampMs);
    const bool oldEnded = aInputs.m_oldOpen == 0 && now >= record.m_rampMs + kMinTimeRampingMs;
    if (aInputs.m_hasCapacity && isClear && (oldEnded || now + kHalfDecisionIntervalMs >= latest)) {
      aDecision.m_write = record;
      aDecision.m_write->m_phase = Phase::Completed;
      aDecision.m_reason = oldEnded ? "old calls ended" : "deadline";
    } else if ((!aInputs.m_hasCapacity || !isClear) && now > record.DeadlineMs() + kGraceMs) {
      aDecision.m_write = Reverted(record);
      aDecision.m_reason = isClear ? "too few endpoints" : "bad answers";
    }
  }
}

/// Raises the reservation in the store ahead of what may be granted.
void RolloutMachine::Reserve(const RolloutInputs& aInputs, RolloutDecision& aDecision) const {
  const RolloutRecord& stored = *aInputs.m_record;
  Phase phase = aDecision.m_write ? aDecision.m_write->m_phase : stored.m_phase;
  if (!IsRunning(phase)) {
    return;
  }
  if (aInputs.m_verdict == Verdict::Good &&
      aInputs.m_nowMs + kReserveAheadMs > RampStartMs(stored, aInputs)) {
    phase = Phase::Ramping;
  }
  const auto requests = static_cast<double>(aInputs.m_requests);
  const double ahead = aInputs.m_requestsPerSecond * kReserveSeconds;
  if (aDecision.m_write || Allowance(phase, requests + ahead / 3) > stored.m_reserved) {
    const bool isNew = !aDecision.m_write;
    RolloutRecord record = aDecision.m_write.value_or(stored);
    record.m_reserved = std::max(stored.m_reserved, Allowance(phase, requests + ahead));
    record.m_requests = std::max(stored.m_requests, aInputs.m_requests);
    if (isNew) {
      aDecision.m_reason = "reservation";
    }
    aDecision.m_write = record;
  }
}

RolloutDecision RolloutMachine::Decide(const RolloutInputs& aInputs) const {
  RolloutDecision decision;
  const auto& record = aInputs.m_record;
  if (!aInputs.m_order) {
    if (record && IsRunning(record->m_phase)) {
      decision.m_write = Reverted(*record);
      decision.m_reason = "order withdrawn";
    }
    return decision;
  }
  if (!record || !BelongsTo(*record, *aInputs.m_order)) {
    decision.m_write = Begin(aInputs);
    decision.m_reason = FindEarlierRecord(aInputs) == nullptr ? "order" : "store restored";
    return decision;
  }
  if (!IsRunning(record->m_phase)) {
    return decision;
  }
  Progress(aInputs, decision);
  Reserve(aInputs, decision);
  const Phase phase = decision.m_write ? decision.m_write->m_phase : record->m_phase;
  decision.m_limit =
    std::min(record->m_reserved, Allowance(phase, static_cast<double>(aInputs.m_requests)));
  if (phase == Phase::Ramping) {
    decision.m_limit = std::min(decision.m_limit, RampLimit(*record, aInputs));
  }
  if (aInputs.m_verdict == Verdict::Bad || aInputs.m_rollback == RollbackState::Stopped ||
      aInputs.m_rollback == RollbackState::Expired) {
    decision.m_limit = 0;
  }
  return decision;
}

} // namespace papayafield::rollout
