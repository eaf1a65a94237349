#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace papayafield::routing {

/// What one engine's prefix cache is believed to hold: what this node sent to it, corrected by the
/// engine's events, the least recently used going first. A block is held only together with all
/// that come before it in its prefix, since without them it is of no use. Not thread safe.
class CacheView {
public:
  /// A view of at most `aCapacity` blocks.
  explicit CacheView(size_t aCapacity);

  /// The engine was sent a prompt of these blocks.
  /// \return the blocks that had to go for them.
  std::vector<uint64_t> Store(std::span<const uint64_t> aBlocks);
  /// The engine said that it dropped `aBlock`; those that build on it go too.
  void Evict(uint64_t aBlock);
  /// Events were missed: what is believed counts for less until it is seen again.
  void LoseTrust();
  /// Leading blocks of the prompt that are believed to be cached, scaled by trust.
  double CachedBlocks(std::span<const uint64_t> aBlocks) const;

private:
  struct Block {
    std::list<uint64_t>::iterator m_place;
    /// The block before it in its prefix; 0 for the first.
    uint64_t m_before = 0;
    /// Blocks that build on it.
    std::vector<uint64_t> m_after;
  };

  void Touch(uint64_t aBlock, uint64_t aBefore);
  void Remove(uint64_t aBlock, std::vector<uint64_t>& aGone);

  size_t m_capacity;
  double m_trust = 1;
  std::list<uint64_t> m_order;
  std::unordered_map<uint64_t, Block> m_blocks;
};

} // namespace papayafield::routing
