#include "sync/StoreReplica.h"

#include <algorithm>
#include <set>

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
  Merge(aChange);
  Advance(aChange.m_item.m_revision);
}

void StoreReplica::Advance(uint64_t aRevision) {
  m_lastRevision = std::max(m_lastRevision, aRevision);
}

void StoreReplica::Merge(const store::Change& aChange) {
  const store::Item& item = aChange.m_item;
  const auto known = m_items.find(item.m_key);
  const auto removed = m_tombstones.find(item.m_key);
  const uint64_t knownRevision = std::max(known == m_items.end() ? 0 : known->second.m_revision,
                                          removed == m_tombstones.end() ? 0 : removed->second);
  if (item.m_revision <= knownRevision) {
    return;
  }
  if (aChange.m_removed) {
    if (m_tombstones.size() >= kMaxTombstones) {
      m_tombstones.clear();
      m_tombstonesFrom = std::max({ m_tombstonesFrom, m_lastRevision, item.m_revision });
    }
    m_tombstones[item.m_key] = item.m_revision;
    if (known != m_items.end()) {
      m_items.erase(known);
      m_onChange(item.m_key, std::nullopt, item.m_revision);
    }
    return;
  }
  m_tombstones.erase(item.m_key);
  m_items[item.m_key] = item;
  m_onChange(item.m_key, item, item.m_revision);
}

void StoreReplica::Replace(const std::string& aPrefix,
                           const std::vector<store::Item>& aItems,
                           uint64_t aRevision) {
  // The listing does not contain removals, so those before it are unknown.
  m_tombstonesFrom = std::max(m_tombstonesFrom, m_items.empty() ? aRevision : m_tombstonesFrom);
  std::set<std::string> listed;
  for (const store::Item& item : aItems) {
    listed.insert(item.m_key);
    Merge({ item, false });
  }
  std::vector<std::string> absent;
  for (auto at = m_items.lower_bound(aPrefix);
       at != m_items.end() && at->first.starts_with(aPrefix);
       ++at) {
    if (!listed.contains(at->first) && at->second.m_revision <= aRevision) {
      absent.push_back(at->first);
    }
  }
  for (const std::string& key : absent) {
    store::Change change;
    change.m_item.m_key = key;
    // The exact revision of the removal is unknown; the key was absent at this revision.
    change.m_item.m_revision = aRevision;
    change.m_removed = true;
    Merge(change);
  }
}

void StoreReplica::CatchUp(const std::vector<store::Change>& aChanges,
                           bool aComplete,
                           uint64_t aRevision) {
  std::vector<store::Item> items;
  for (const store::Change& change : aChanges) {
    if (aComplete && !change.m_removed) {
      items.push_back(change.m_item);
    } else {
      Merge(change);
    }
  }
  if (aComplete) {
    Replace("", items, aRevision);
    // The full snapshot does not contain removals, so those before it are unknown.
    m_tombstonesFrom = std::max(m_tombstonesFrom, aRevision);
  }
  Advance(aRevision);
}

} // namespace papayafield::sync
