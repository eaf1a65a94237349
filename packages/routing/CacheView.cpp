#include "routing/CacheView.h"

#include <algorithm>

namespace papayafield::routing {

namespace {

/// Factor applied to the confidence after a gap in the cache events.
constexpr double kTrustAfterGap = 0.7;
/// Amount by which each stored prompt raises the confidence, up to 1.
constexpr double kTrustRegained = 0.05;

} // namespace

CacheView::CacheView(size_t aCapacity)
  : m_capacity(aCapacity) {}

std::vector<uint64_t> CacheView::Store(std::span<const uint64_t> aBlocks) {
  uint64_t before = 0;
  for (const uint64_t block : aBlocks) {
    Touch(block, before);
    before = block;
  }
  // Move the blocks to the front in reverse order, so that the start of a prefix is evicted last.
  for (size_t left = aBlocks.size(); left > 0; --left) {
    m_order.splice(m_order.begin(), m_order, m_blocks.at(aBlocks[left - 1]).m_place);
  }
  m_trust = std::min(1.0, m_trust + kTrustRegained);
  std::vector<uint64_t> gone;
  while (m_order.size() > m_capacity) {
    Remove(m_order.back(), gone);
  }
  return gone;
}

void CacheView::Evict(uint64_t aBlock) {
  std::vector<uint64_t> gone;
  Remove(aBlock, gone);
}

void CacheView::LoseTrust() {
  m_trust *= kTrustAfterGap;
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
  return static_cast<double>(low) * m_trust;
}

void CacheView::Touch(uint64_t aBlock, uint64_t aBefore) {
  const auto [place, fresh] = m_blocks.try_emplace(aBlock);
  if (!fresh) {
    return;
  }
  m_order.push_front(aBlock);
  place->second.m_place = m_order.begin();
  place->second.m_before = aBefore;
  if (const auto before = m_blocks.find(aBefore); before != m_blocks.end()) {
    before->second.m_after.push_back(aBlock);
  }
}

void CacheView::Remove(uint64_t aBlock, std::vector<uint64_t>& aGone) {
  // Iterative, since a long prefix could overflow the stack of a recursive version.
  std::vector<uint64_t> open{ aBlock };
  if (const auto found = m_blocks.find(aBlock); found != m_blocks.end()) {
    if (const auto before = m_blocks.find(found->second.m_before); before != m_blocks.end()) {
      std::erase(before->second.m_after, aBlock);
    }
  }
  while (!open.empty()) {
    const auto found = m_blocks.find(open.back());
    open.pop_back();
    if (found == m_blocks.end()) {
      continue;
    }
    open.insert(open.end(), found->second.m_after.begin(), found->second.m_after.end());
    aGone.push_back(found->first);
    m_order.erase(found->second.m_place);
    m_blocks.erase(found);
  }
}

} // namespace papayafield::routing
