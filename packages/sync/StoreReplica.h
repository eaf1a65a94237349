#pragma once

#include "store/StorePort.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayafield::sync {

/// A node's local replica of the store: items as they were written, and tombstones of removed ones.
/// The revision of a key never decreases, so changes may be applied in any order and from any
/// source. Not thread safe.
class StoreReplica {
public:
  /// Called with each item that was added or changed; `aItem` is nullopt if the item was removed.
  using OnChange = std::function<
    void(const std::string& aKey, const std::optional<store::Item>& aItem, uint64_t aRevision)>;

  explicit StoreReplica(OnChange aOnChange)
    : m_onChange(std::move(aOnChange)) {}

  /// Applies the next change of the store. Precondition: all earlier changes have been applied.
  void Apply(const store::Change& aChange);
  /// Replaces all items under `aPrefix` with `aItems`, a listing at `aRevision`. Items that are not
  /// listed are removed unless they are newer. LastRevision does not change, since other prefixes
  /// may not have been listed yet.
  void Replace(const std::string& aPrefix,
               const std::vector<store::Item>& aItems,
               uint64_t aRevision);

  /// Records that all changes up to `aRevision` have been applied, because the listing is complete.
  void Advance(uint64_t aRevision);

  /// Applies a snapshot of a peer's replica at `aRevision`: its complete contents (`aComplete`), or
  /// the changes after this replica's LastRevision.
  void CatchUp(const std::vector<store::Change>& aChanges, bool aComplete, uint64_t aRevision);

  /// Returns all items by key.
  const std::map<std::string, store::Item>& Items() const { return m_items; }
  /// Returns the revisions of the tombstones by key.
  const std::map<std::string, uint64_t>& Tombstones() const { return m_tombstones; }
  /// Returns the revision after which every removal has a tombstone.
  uint64_t TombstonesFrom() const { return m_tombstonesFrom; }
  /// Returns the item, or null if there is none.
  const store::Item* Find(const std::string& aKey) const;
  /// Returns the revision up to which all changes have been applied.
  uint64_t LastRevision() const { return m_lastRevision; }

private:
  void Merge(const store::Change& aChange);

  OnChange m_onChange;
  std::map<std::string, store::Item> m_items;
  std::map<std::string, uint64_t> m_tombstones;
  uint64_t m_lastRevision = 0;
  uint64_t m_tombstonesFrom = 0;
};

} // namespace papayafield::sync
