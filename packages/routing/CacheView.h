#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace papayafield::routing {

/// Estimates the contents of one engine's prefix cache from the prompts that this node sent to it
/// and from the engine's eviction events. Blocks are evicted in LRU order. A block is kept only
/// together with all blocks before it in its prefix, since it cannot be used without them. Not
/// thread safe.
class CacheView {
public:
  /// Creates an empty view that holds at most `aCapacity` blocks.
  explicit CacheView(size_t aCapacity);

  /// Adds the blocks of a prompt that was sent to the engine.
  /// \return the blocks that were evicted to make room for them.
  std::vector<uint64_t> Store(std::span<const uint64_t> aBlocks);
  /// Removes `aBlock`, which the engine reported as evicted, and all blocks that follow it in a
  /// prefix.
  void Evict(uint64_t aBlock);
  /// Lowers the confidence in the view after cache events were missed. Each prompt stored later
  /// raises it again.
  void LowerConfidence();
  /// Returns the estimated number of leading blocks of the prompt that are cached, scaled by the
  /// confidence.
  double CachedBlocks(std::span<const uint64_t> aBlocks) const;

private:
  struct Block {
    std::list<uint64_t>::iterator m_lruPosition;
    /// The preceding block in its prefix; 0 for the first block.
    uint64_t m_predecessor = 0;
    /// Blocks that directly follow it in a prefix.
    std::vector<uint64_t> m_successors;
  };

  void InsertIfAbsent(uint64_t aBlock, uint64_t aPredecessor);
  void Remove(uint64_t aBlock, std::vector<uint64_t>& aEvicted);

  size_t m_capacity;
  double m_confidence = 1;
  std::list<uint64_t> m_lruOrder;
  std::unordered_map<uint64_t, Block> m_blocks;
};

} // namespace papayafield::routing
