#pragma once

#include "base/Time.h"

namespace papayafield::forwarding {

/// Times of a planned stop.
struct DrainSettings {
  /// Time between the request to stop and the forced end of the process, in milliseconds.
  base::Millis m_gracePeriod{ 8000 };
  /// Time for which callers may still use the address of this node, in milliseconds.
  base::Millis m_entryUseTime{ 3000 };
};

/// Decides which new calls a node that is stopping takes, and when it ends. Immutable and thread
/// safe.
class DrainPlan {
public:
  /// `aStart` is the time at which the node was asked to stop.
  DrainPlan(DrainSettings aSettings, base::TimePoint aStart);

  /// Returns whether a new call that is expected to take `aExpectedDuration` can be taken. It
  /// cannot if it might outlast the node, or if callers should no longer use this node.
  bool MayAccept(base::Millis aExpectedDuration, base::TimePoint aNow) const;
  /// Returns the time after which no caller should use the address of this node.
  base::TimePoint EntriesExpireAt() const { return m_entriesExpireAt; }
  /// Returns the time at which the node ends all calls that are still open.
  base::TimePoint End() const { return m_end; }
  /// Returns the end of the grace period.
  base::TimePoint ForcedEnd() const { return m_forcedEnd; }

private:
  base::TimePoint m_entriesExpireAt;
  base::TimePoint m_lastAcceptance;
  base::TimePoint m_end;
  base::TimePoint m_forcedEnd;
};

} // namespace papayafield::forwarding
