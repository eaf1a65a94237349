#pragma once

#include "store/StorePort.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayafield::sync {

/// A node's local replica of the store: items as they were written, and tombstones of removed ones.
/// All of them belong to one era, in which the position of a key never decreases, so changes may be
/// applied in any order and from any source. Only complete contents start a later era; changes of
/// any other era are ignored. Not thread safe.
class StoreReplica {
public:
  /// Called with each item that was added or changed; `aItem` is nullopt if the item was removed.
  using OnChange = std::function<void(const std::string& aKey,
                                      const std::optional<store::Item>& aItem,
                                      const store::Position& aPosition)>;
  /// Called when the contents of a later era replace those up to `aLast`, before their changes.
  using OnRestored = std::function<void(const store::Position& aLast, uint64_t aEra)>;

  /// Span of the store's history in which items that were written and removed are unknown.
  struct Gap {
    store::Position m_from;
    store::Position m_to;
  };

  explicit StoreReplica(OnChange aOnChange, OnRestored aOnRestored = {})
    : m_onChange(std::move(aOnChange))
    , m_onRestored(std::move(aOnRestored)) {}

  /// Applies the next change of the store. Precondition: all earlier changes have been applied.
  void Apply(const store::Change& aChange);
  /// Replaces all items under `aPrefix` with `aItems`, a listing at `aPosition`. Items that are not
  /// listed are removed unless they are newer. The revision of LastPosition does not change, since
  /// other prefixes may not have been listed yet.
  void Replace(const std::string& aPrefix,
               const std::vector<store::Item>& aItems,
               const store::Position& aPosition);

  /// Records that all changes up to `aPosition` have been applied, because the listing is complete.
  /// Removes what remains of an earlier era.
  void Advance(const store::Position& aPosition);

  /// Applies a snapshot of a peer's replica at `aPosition`: its complete contents (`aComplete`), or
  /// the changes after this replica's LastPosition. Ignores an earlier era, and changes of a later
  /// one. `aItemsAfter` is set if the changes are all of the peer's items after that position and
  /// the removals that it knows: other items after it are removed. This replica may have read them
  /// from elsewhere while the snapshot was on its way. `aGap` is the peer's latest gap if it lies
  /// after `aItemsAfter`; this replica does not know the removals within it either.
  void CatchUp(const std::vector<store::Change>& aChanges,
               bool aComplete,
               const store::Position& aPosition,
               const std::optional<store::Position>& aItemsAfter = {},
               const std::optional<Gap>& aGap = {});

  /// Returns all items by key.
  const std::map<std::string, store::Item>& Items() const { return m_items; }
  /// Returns the positions of the tombstones by key.
  const std::map<std::string, store::Position>& Tombstones() const { return m_tombstones; }
  /// Returns the position after which every removal has a tombstone, apart from those of items that
  /// this replica has not seen because of a gap before a listing.
  const store::Position& TombstonesFrom() const { return m_tombstonesFrom; }
  /// Returns whether a replica at `aAfter` learns of all removals since then from this one's
  /// tombstones.
  bool KnowsRemovalsSince(const store::Position& aAfter) const;
  /// Returns the latest gap; both of its ends are at the start of the history if there was none.
  const Gap& LatestGap() const { return m_gap; }
  /// Returns the item, or null if there is none.
  const store::Item* Find(const std::string& aKey) const;
  /// Returns the position up to which all changes have been applied.
  const store::Position& LastPosition() const { return m_lastPosition; }

private:
  void Merge(const store::Change& aChange);
  /// Merges a change that may be older than the contents.
  void MergeUnlessUndone(const store::Change& aChange);
  /// Removes items after `aAfter`, up to `aPosition`, that `aChanges` does not contain.
  void RemoveMissing(const std::vector<store::Change>& aChanges,
                     const store::Position& aAfter,
                     const store::Position& aPosition);
  void EnterEra(uint64_t aEra);
  void RecordGap(const Gap& aGap);
  void RemoveEarlierEras(const store::Position& aPosition);

  OnChange m_onChange;
  OnRestored m_onRestored;
  std::map<std::string, store::Item> m_items;
  std::map<std::string, store::Position> m_tombstones;
  store::Position m_lastPosition;
  store::Position m_tombstonesFrom;
  /// Latest position at which a key without an item is known to have had none.
  store::Position m_completeAt;
  Gap m_gap;
  /// Whether items of an earlier era may remain, because the present one is not listed completely.
  bool m_hasEarlierEras = false;
};

} // namespace papayafield::sync
