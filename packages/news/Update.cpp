#include "news/Update.h"

namespace papayafield::news {

namespace {

/// Maximum bytes of changes in one datagram. With its headers it stays below the usual MTU of
/// 1,500.
constexpr size_t kUpdateBytes = 1200;
/// Encoding overhead of one change in bytes, besides its key and data.
constexpr size_t kChangeBytes = 32;
/// More datagrams than this would congest a link of 10 Mbit/s; a fetch has flow control.
constexpr size_t kMostUpdates = 8;

} // namespace

UpdateUse JudgeUpdate(const Update& aUpdate, uint64_t aKnown) {
  if (aUpdate.m_revision <= aKnown) {
    return UpdateUse::Nothing;
  }
  const bool follows = aUpdate.m_after <= aKnown && !aUpdate.m_changes.empty();
  return follows ? UpdateUse::Apply : UpdateUse::Fetch;
}

std::vector<Update> SplitUpdate(const Contact& aFrom,
                                uint64_t aAfter,
                                const std::vector<store::Change>& aChanges) {
  std::vector<Update> updates;
  size_t bytes = kUpdateBytes;
  uint64_t after = aAfter;
  for (const store::Change& change : aChanges) {
    const size_t size = change.m_item.m_key.size() + change.m_item.m_data.size() + kChangeBytes;
    if (bytes + size > kUpdateBytes) {
      updates.push_back({ aFrom, after, after, {} });
      bytes = 0;
    }
    bytes += size;
    after = change.m_item.m_revision;
    updates.back().m_revision = after;
    updates.back().m_changes.push_back(change);
  }
  if (updates.empty() || updates.size() > kMostUpdates) {
    return { { aFrom, aAfter, after, {} } };
  }
  return updates;
}

} // namespace papayafield::news
