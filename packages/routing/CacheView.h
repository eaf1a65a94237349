#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace papayafield::routing {

/// What one engine's prefix cache is believed to hold: what this node sent to it, corrected by the
/// engine's events, the least recently used going first. Not thread safe.
class CacheView {
public:
  /// A view of at most `aCapacity` blocks.
  explicit CacheView(size_t aCapacity);

  /// The engine was sent a prompt of these blocks.
  void Store(std::span<const uint64_t> aBlocks);
  /// The engine said that it dropped `aBlock`.
  void Evict(uint64_t aBlock);
  /// Events were missed: what is believed counts for less until it is seen again.
  void LoseTrust();
  /// Leading blocks of the prompt that are believed to be cached, scaled by trust.
  double CachedBlocks(std::span<const uint64_t> aBlocks) const;

private:
  void Touch(uint64_t aBlock);

  size_t m_capacity;
  double m_trust = 1;
  std::list<uint64_t> m_order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
};

} // namespace papayafield::routing
