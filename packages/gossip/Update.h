#pragma once

#include "base/Time.h"
#include "gossip/Heartbeat.h"
#include "store/StorePort.h"

#include <optional>
#include <vector>

namespace papayafield::gossip {

/// Store changes that a node which watches the store broadcasts at once.
struct Update {
  Contact m_from;
  /// `m_changes` holds all changes after this revision, up to `m_position` in its era. If it is
  /// empty although the two revisions differ, the changes are too many for datagrams and must be
  /// fetched.
  uint64_t m_after = 0;
  store::Position m_position;
  std::vector<store::Change> m_changes;
  /// Time since the store last confirmed the sender's replica; nullopt if the sender does not state
  /// it, as in earlier releases.
  std::optional<base::Millis> m_confirmedAge;
};

/// Action that a node takes on an update.
enum class UpdateAction : uint8_t {
  /// Ignore it: the node already has its changes.
  Ignore,
  /// Apply it: its changes continue from the node's revision.
  Apply,
  /// Fetch the changes from the sender, since some in between are missing.
  Fetch,
};

/// Returns the action to take by a node that has applied all changes up to `aPosition`. Thread
/// safe.
UpdateAction ClassifyUpdate(const Update& aUpdate, const store::Position& aPosition);

/// Returns whether a node that has applied all changes up to `aPosition` has missed none that the
/// sender of `aUpdate` knows, once it has taken the action Ignore or Apply. Thread safe.
bool Confirms(const Update& aUpdate, const store::Position& aPosition);

/// Returns when the store confirmed what `aUpdate`, which arrived at `aArrival`, tells. The delay
/// of the datagram is not known and not included. Thread safe.
base::TimePoint ConfirmationTime(const Update& aUpdate, base::TimePoint aArrival);

/// Splits `aChanges` in order into updates that fit one datagram each. Returns a single update
/// without changes if there are none or too many, or if those at one position do not fit in the
/// rest of a datagram. Precondition: `aChanges` are sorted by revision, belong to the era of
/// `aAfter`, and are all changes after it. Thread safe.
std::vector<Update> SplitUpdate(const Contact& aFrom,
                                const store::Position& aAfter,
                                const std::vector<store::Change>& aChanges);

} // namespace papayafield::gossip
