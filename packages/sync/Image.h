#pragma once

#include "store/StorePort.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayafield::sync {

/// What a node knows of the store: items as they were written, and removals. Items only move
/// forward, so changes may come in any order and from any source. Not thread safe.
class Image {
public:
  /// Hears of each item that came or changed (set) or went (nothing).
  using OnChange = std::function<
    void(const std::string& aKey, const std::optional<store::Item>& aItem, uint64_t aRevision)>;

  explicit Image(OnChange aOnChange)
    : m_onChange(std::move(aOnChange)) {}

  /// The next change of the store: all earlier ones are known.
  void Apply(const store::Change& aChange);
  /// All items under `aPrefix` as they stood at `aRevision`; known ones that are missing have gone.
  /// The last revision stays, since other prefixes may not have been listed yet.
  void Replace(const std::string& aPrefix,
               const std::vector<store::Item>& aItems,
               uint64_t aRevision);

  /// All changes up to `aRevision` are known: the listing is whole.
  void Advance(uint64_t aRevision);

  /// What a peer knew when `aRevision` was the last change it had seen: everything (`aWhole`), or
  /// what had changed after this image's last revision.
  void CatchUp(const std::vector<store::Change>& aChanges, bool aWhole, uint64_t aRevision);

  /// All items, by key.
  const std::map<std::string, store::Item>& Items() const { return m_items; }
  /// Removals that are remembered, by key.
  const std::map<std::string, uint64_t>& Removals() const { return m_removed; }
  /// All removals after this revision are remembered.
  uint64_t RemovalsFrom() const { return m_removalsFrom; }
  /// The item; null when there is none.
  const store::Item* Find(const std::string& aKey) const;
  /// All changes up to this one are known.
  uint64_t LastRevision() const { return m_lastRevision; }

private:
  void Take(const store::Change& aChange);

  OnChange m_onChange;
  std::map<std::string, store::Item> m_items;
  std::map<std::string, uint64_t> m_removed;
  uint64_t m_lastRevision = 0;
  uint64_t m_removalsFrom = 0;
};

} // namespace papayafield::sync
