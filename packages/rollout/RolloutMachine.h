#pragma once

#include "rollout/RollbackTimer.h"
#include "rollout/RolloutTypes.h"
#include "rollout/VersionJudge.h"

#include <optional>
#include <string_view>

namespace papayafield::rollout {

/// What the leader knows of the roll-out of one service.
struct RolloutInputs {
  std::optional<RolloutOrder> m_order;
  /// The record as it stands in the store.
  std::optional<RolloutRecord> m_record;
  /// The last record that this node saw in an earlier era of the store. It continues an order with
  /// the same contents, since the restore may have undone its last writes; nullopt if the restore
  /// is so long ago that such an order is a new one.
  std::optional<RolloutRecord> m_remembered;
  /// When this node first saw the order, in Unix milliseconds, and the present time.
  int64_t m_orderSeenMs = 0;
  int64_t m_nowMs = 0;
  Verdict m_verdict = Verdict::Undecided;
  RollbackState m_rollback = RollbackState::Clear;
  /// Requests of the service since the order, those per second of late, and calls that the target
  /// has got or may still get.
  uint64_t m_requests = 0;
  double m_requestsPerSecond = 0;
  uint64_t m_exposed = 0;
  /// Whether ready endpoints of the target can carry the whole demand.
  bool m_hasCapacity = false;
  /// Open calls at endpoints of other versions.
  uint64_t m_oldOpen = 0;
};

/// What the leader is to do.
struct RolloutDecision {
  /// The record to write if it differs from that in the store.
  std::optional<RolloutRecord> m_write;
  /// Reason of the write, for the log.
  std::string_view m_reason;
  /// Calls that the target may be exposed to in total, as far as the record in the store covers it.
  uint64_t m_limit = 0;
};

/// Returns the record that the order had in an earlier era of the store, or null if there is none.
/// Precondition: there is an order. Thread safe.
const RolloutRecord* FindEarlierRecord(const RolloutInputs& aInputs);

/// Decides the next step of a roll-out from the record in the store and the present counts alone,
/// so that a leader that takes over continues where the store says. Thread safe.
class RolloutMachine {
public:
  explicit RolloutMachine(ExposureBounds aBounds)
    : m_bounds(aBounds) {}

  /// Returns the next step.
  RolloutDecision Decide(const RolloutInputs& aInputs) const;
  /// Returns the time in Unix milliseconds from which ramping keeps within the bounds up to the
  /// deadline, whatever the version is like.
  int64_t RampStartMs(const RolloutRecord& aRecord, const RolloutInputs& aInputs) const;

private:
  RolloutRecord Begin(const RolloutInputs& aInputs) const;
  void Progress(const RolloutInputs& aInputs, RolloutDecision& aDecision) const;
  void Reserve(const RolloutInputs& aInputs, RolloutDecision& aDecision) const;
  uint64_t RampLimit(const RolloutRecord& aRecord, const RolloutInputs& aInputs) const;
  uint64_t Allowance(Phase aPhase, double aRequests) const;

  ExposureBounds m_bounds;
};

} // namespace papayafield::rollout
