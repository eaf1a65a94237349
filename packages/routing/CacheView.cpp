#include "routing/CacheView.h"

#include <algorithm>

namespace papayafield::routing {

namespace {

/// Factor applied to the confidence after a gap in the cache events.
constexpr double kConfidenceFactorAfterGap = 0.7;
/// Amount by which each stored prompt raises the confidence, up to 1.
constexpr double kConfidenceGainPerPrompt = 0.05;

} // namespace

CacheView::CacheView(size_t aCapacity)
  : m_capacity(aCapacity) {}

std::vector<uint64_t> CacheView::Store(std::span<const uint64_t> aBlocks) {
  uint64_t predecessor = 0;
  for (const uint64_t block : aBlocks) {
    InsertIfAbsent(block, predecessor);
    predecessor = block;
  }
  // Move the blocks to the front in reverse order, so that the start of a prefix is evicted last.
  for (size_t left = aBlocks.size(); left > 0; --left) {
    m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, m_blocks.at(aBlocks[left - 1]).m_lruPosition);
  }
  m_confidence = std::min(1.0, m_confidence + kConfidenceGainPerPrompt);
  std::vector<uint64_t> evicted;
  while (m_lruOrder.size() > m_capacity) {
    Remove(m_lruOrder.back(), evicted);
  }
  return evicted;
}

void CacheView::Evict(uint64_t aBlock) {
  std::vector<uint64_t> evicted;
  Remove(aBlock, evicted);
}

void CacheView::LowerConfidence() {
  m_confidence *= kConfidenceFactorAfterGap;
}

double CacheView::CachedBlocks(std::span<const uint64_t> aBlocks) const {
  if (aBlocks.empty() || !m_blocks.contains(aBlocks.front())) {
    return 0;
  }
  // A cached block implies that all blocks before it are cached: binary search for the last one.
  size_t low = 1;
  size_t high = aBlocks.size();
  while (low < high) {
    const size_t middle = (low + high + 1) / 2;
    if (m_blocks.contains(aBlocks[middle - 1])) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return static_cast<double>(low) * m_confidence;
}

void CacheView::InsertIfAbsent(uint64_t aBlock, uint64_t aPredecessor) {
  const auto [entry, inserted] = m_blocks.try_emplace(aBlock);
  if (!inserted) {
    return;
  }
  m_lruOrder.push_front(aBlock);
  entry->second.m_lruPosition = m_lruOrder.begin();
  entry->second.m_predecessor = aPredecessor;
  if (const auto predecessor = m_blocks.find(aPredecessor); predecessor != m_blocks.end()) {
    predecessor->second.m_successors.push_back(aBlock);
  }
}

void CacheView::Remove(uint64_t aBlock, std::vector<uint64_t>& aEvicted) {
  // Iterative, since a long prefix could overflow the stack of a recursive version.
  std::vector<uint64_t> pending{ aBlock };
  if (const auto found = m_blocks.find(aBlock); found != m_blocks.end()) {
    if (const auto predecessor = m_blocks.find(found->second.m_predecessor);
        predecessor != m_blocks.end()) {
      std::erase(predecessor->second.m_successors, aBlock);
    }
  }
  while (!pending.empty()) {
    const auto found = m_blocks.find(pending.back());
    pending.pop_back();
    if (found == m_blocks.end()) {
      continue;
    }
    pending.insert(
      pending.end(), found->second.m_successors.begin(), found->second.m_successors.end());
    aEvicted.push_back(found->first);
    m_lruOrder.erase(found->second.m_lruPosition);
    m_blocks.erase(found);
  }
}

} // namespace papayafield::routing
