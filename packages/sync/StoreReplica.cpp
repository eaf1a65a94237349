#include "sync/StoreReplica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papayafield::sync {

namespace {

/// Maximum number of tombstones kept. A tombstone lets a delayed older write be recognized as
/// stale.
constexpr size_t kMaxTombstones = 4096;

} // namespace

const store::Item* StoreReplica::Find(const std::string& aKey) const {
  const auto found = m_items.find(aKey);
  return found == m_items.end() ? nullptr : &found->second;
}

void StoreReplica::Apply(const store::Change& aChange) {
  if (aChange.m_item.m_position.m_era == m_lastPosition.m_era) {
    MergeUnlessUndone(aChange);
    m_lastPosition = std::max(m_lastPosition, aChange.m_item.m_position);
  }
}

void StoreReplica::Advance(const store::Position& aPosition) {
  if (aPosition.m_era < m_lastPosition.m_era) {
    return;
  }
  EnterEra(aPosition.m_era);
  m_lastPosition = std::max(m_lastPosition, aPosition);
  m_completeAt = m_lastPosition;
  RemoveEarlierEras(aPosition);
}

void StoreReplica::EnterEra(uint64_t aEra) {
  if (aEra <= m_lastPosition.m_era) {
    return;
  }
  const store::Position last = m_lastPosition;
  m_lastPosition = { aEra, 0 };
  m_hasEarlierEras = true;
  // Tombstones of the earlier era would hide keys that are written again.
  m_tombstones.clear();
  if (m_onRestored && last != store::Position{}) {
    m_onRestored(last, aEra);
  }
}

void StoreReplica::RemoveEarlierEras(const store::Position& aPosition) {
  if (!std::exchange(m_hasEarlierEras, false)) {
    return;
  }
  std::vector<std::string> earlier;
  for (const auto& [key, item] : m_items) {
    if (item.m_position.m_era < m_lastPosition.m_era) {
      earlier.push_back(key);
    }
  }
  for (const std::string& key : earlier) {
    Merge({ { key, {}, aPosition, 0 }, true });
  }
}

void StoreReplica::Merge(const store::Change& aChange) {
  const store::Item& item = aChange.m_item;
  const auto known = m_items.find(item.m_key);
  const auto removed = m_tombstones.find(item.m_key);
  const store::Position knownPosition =
    std::max(known == m_items.end() ? store::Position{} : known->second.m_position,
             removed == m_tombstones.end() ? store::Position{} : removed->second);
  if (item.m_position <= knownPosition) {
    return;
  }
  if (aChange.m_removed) {
    if (m_tombstones.size() >= kMaxTombstones) {
      m_tombstones.clear();
      m_tombstonesFrom = std::max({ m_tombstonesFrom, m_lastPosition, item.m_position });
    }
    m_tombstones[item.m_key] = item.m_position;
    if (known != m_items.end()) {
      m_items.erase(known);
      m_onChange(item.m_key, std::nullopt, item.m_position);
    }
    return;
  }
  m_tombstones.erase(item.m_key);
  m_items[item.m_key] = item;
  m_onChange(item.m_key, item, item.m_position);
}

void StoreReplica::MergeUnlessUndone(const store::Change& aChange) {
  // Removals before a listing or a snapshot may have left no tombstone. A write from before the
  // present contents whose item they lack has been undone by one of them.
  if (aChange.m_removed || aChange.m_item.m_position > m_completeAt ||
      m_items.contains(aChange.m_item.m_key)) {
    Merge(aChange);
  }
}

void StoreReplica::Replace(const std::string& aPrefix,
                           const std::vector<store::Item>& aItems,
                           const store::Position& aPosition) {
  if (aPosition.m_era < m_lastPosition.m_era) {
    return;
  }
  // The listing does not contain removals, so those before it are unknown: all of them if it is the
  // first one, and those that a restore has undone.
  if (m_items.empty() || aPosition.m_era > m_tombstonesFrom.m_era) {
    m_tombstonesFrom = std::max(m_tombstonesFrom, aPosition);
  } else if (aPosition > m_lastPosition) {
    RecordGap({ m_lastPosition, aPosition });
  }
  EnterEra(aPosition.m_era);
  std::set<std::string> listed;
  for (const store::Item& item : aItems) {
    listed.insert(item.m_key);
    // An item unknown here although its write has been applied has been removed since the listing.
    if (item.m_position > m_lastPosition || aPosition >= m_lastPosition ||
        m_items.contains(item.m_key)) {
      Merge({ item, false });
    }
  }
  std::vector<std::string> absent;
  for (auto at = m_items.lower_bound(aPrefix);
       at != m_items.end() && at->first.starts_with(aPrefix);
       ++at) {
    if (!listed.contains(at->first) && at->second.m_position <= aPosition) {
      absent.push_back(at->first);
    }
  }
  for (const std::string& key : absent) {
    // The exact position of the removal is unknown; the key was absent at this position.
    Merge({ { key, {}, aPosition, 0 }, true });
  }
}

void StoreReplica::RecordGap(const Gap& aGap) {
  if (m_gap.m_from != aGap.m_from) {
    // Only the latest gap is kept.
    m_tombstonesFrom = std::max(m_tombstonesFrom, m_gap.m_to);
    m_gap.m_from = aGap.m_from;
  }
  m_gap.m_to = std::max(m_gap.m_to, aGap.m_to);
}

bool StoreReplica::KnowsRemovalsSince(const store::Position& aAfter) const {
  const bool inGap = aAfter > m_gap.m_from && aAfter < m_gap.m_to;
  return aAfter.m_era == m_lastPosition.m_era && aAfter >= m_tombstonesFrom && !inGap;
}

void StoreReplica::CatchUp(const std::vector<store::Change>& aChanges,
                           bool aComplete,
                           const store::Position& aPosition,
                           const std::optional<store::Position>& aItemsAfter,
                           const std::optional<Gap>& aGap) {
  const bool isLaterEra = aPosition.m_era > m_lastPosition.m_era;
  // An older snapshot may have items whose removal is known only by their absence.
  if (aPosition <= m_lastPosition || (isLaterEra && !aComplete)) {
    return;
  }
  std::vector<store::Item> items;
  for (const store::Change& change : aChanges) {
    if (aComplete && !change.m_removed) {
      items.push_back(change.m_item);
    } else {
      MergeUnlessUndone(change);
    }
  }
  if (aComplete) {
    Replace("", items, aPosition);
    // The full snapshot does not contain removals, so those before it are unknown.
    m_tombstonesFrom = std::max(m_tombstonesFrom, aPosition);
  } else if (aItemsAfter) {
    RemoveMissing(aChanges, *aItemsAfter, aPosition);
  }
  if (aGap && !aComplete) {
    RecordGap(*aGap);
  }
  Advance(aPosition);
}

void StoreReplica::RemoveMissing(const std::vector<store::Change>& aChanges,
                                 const store::Position& aAfter,
                                 const store::Position& aPosition) {
  std::set<std::string> present;
  for (const store::Change& change : aChanges) {
    if (!change.m_removed) {
      present.insert(change.m_item.m_key);
    }
  }
  std::vector<std::string> missing;
  for (const auto& [key, item] : m_items) {
    if (item.m_position > aAfter && item.m_position <= aPosition && !present.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    Merge({ { key, {}, aPosition, 0 }, true });
  }
}

} // namespace papayafield::sync
