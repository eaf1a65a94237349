#include "gossip/Update.h"

namespace papayafield::gossip {

namespace {

/// Maximum bytes of changes in one datagram. With its headers it stays below the usual MTU of
/// 1,500.
constexpr size_t kMaxChangeBytesPerUpdate = 1200;
/// Encoding overhead of one change in bytes, besides its key and data.
constexpr size_t kChangeOverheadBytes = 32;
/// More datagrams than this would congest a link of 10 Mbit/s; a fetch has flow control.
constexpr size_t kMaxUpdates = 8;
/// Age of the confirmation if the sender does not state it: the longest time for which a watch of
/// the store hangs before the sender stops sending updates.
constexpr base::Millis kUnstatedAge{ 2700 };

} // namespace

UpdateAction ClassifyUpdate(const Update& aUpdate, const store::Position& aPosition) {
  if (aUpdate.m_position <= aPosition) {
    return UpdateAction::Ignore;
  }
  const bool follows = aUpdate.m_position.m_era == aPosition.m_era &&
                       aUpdate.m_after <= aPosition.m_revision && !aUpdate.m_changes.empty();
  return follows ? UpdateAction::Apply : UpdateAction::Fetch;
}

bool Confirms(const Update& aUpdate, const store::Position& aPosition) {
  return aUpdate.m_position == aPosition ||
         ClassifyUpdate(aUpdate, aPosition) == UpdateAction::Apply;
}

base::TimePoint ConfirmationTime(const Update& aUpdate, base::TimePoint aArrival) {
  return aArrival - aUpdate.m_confirmedAge.value_or(kUnstatedAge);
}

std::vector<Update> SplitUpdate(const Contact& aFrom,
                                const store::Position& aAfter,
                                const std::vector<store::Change>& aChanges) {
  std::vector<Update> updates;
  size_t bytes = kMaxChangeBytesPerUpdate;
  store::Position after = aAfter;
  for (const store::Change& change : aChanges) {
    const size_t size =
      change.m_item.m_key.size() + change.m_item.m_data.size() + kChangeOverheadBytes;
    if (bytes + size > kMaxChangeBytesPerUpdate) {
      if (!updates.empty() && change.m_item.m_position == after) {
        // A transaction writes several keys at one position, at which a node has all of them.
        return { { aFrom, aAfter.m_revision, aChanges.back().m_item.m_position, {}, {} } };
      }
      updates.push_back({ aFrom, after.m_revision, after, {}, {} });
      bytes = 0;
    }
    bytes += size;
    after = change.m_item.m_position;
    updates.back().m_position = after;
    updates.back().m_changes.push_back(change);
  }
  if (updates.empty() || updates.size() > kMaxUpdates) {
    return { { aFrom, aAfter.m_revision, after, {}, {} } };
  }
  return updates;
}

} // namespace papayafield::gossip
