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

} // namespace

UpdateAction ClassifyUpdate(const Update& aUpdate, uint64_t aRevision) {
  if (aUpdate.m_revision <= aRevision) {
    return UpdateAction::Ignore;
  }
  const bool follows = aUpdate.m_after <= aRevision && !aUpdate.m_changes.empty();
  return follows ? UpdateAction::Apply : UpdateAction::Fetch;
}

std::vector<Update> SplitUpdate(const Contact& aFrom,
                                uint64_t aAfter,
                                const std::vector<store::Change>& aChanges) {
  std::vector<Update> updates;
  size_t bytes = kMaxChangeBytesPerUpdate;
  uint64_t after = aAfter;
  for (const store::Change& change : aChanges) {
    const size_t size =
      change.m_item.m_key.size() + change.m_item.m_data.size() + kChangeOverheadBytes;
    if (bytes + size > kMaxChangeBytesPerUpdate) {
      updates.push_back({ aFrom, after, after, {} });
      bytes = 0;
    }
    bytes += size;
    after = change.m_item.m_revision;
    updates.back().m_revision = after;
    updates.back().m_changes.push_back(change);
  }
  if (updates.empty() || updates.size() > kMaxUpdates) {
    return { { aFrom, aAfter, after, {} } };
  }
  return updates;
}

} // namespace papayafield::gossip
