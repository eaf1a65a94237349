#pragma once

#include <compare>
#include <cstdint>

namespace papayafield::store {

/// A point in the store's history. A restore of the store from a copy starts a new era, in which
/// revisions are assigned again, so a position of a later era is later whatever its revision.
struct Position {
  /// Number of restores, as the store counts them; 0 if the store does not state it.
  uint64_t m_era = 0;
  /// Revision of the store within the era.
  uint64_t m_revision = 0;

  constexpr Position() = default;
  constexpr Position(uint64_t aEra, uint64_t aRevision)
    : m_era(aEra)
    , m_revision(aRevision) {}

  /// Orders by era, then by revision.
  constexpr auto operator<=>(const Position&) const = default;
};

} // namespace papayafield::store
