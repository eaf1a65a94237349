#include "routing/CacheView.h"

#include <algorithm>

namespace papayafield::routing {

namespace {

/// What is left of the trust after a gap in the events.
constexpr double kTrustAfterGap = 0.7;
/// How far each prompt sent brings the trust back to 1.
constexpr double kTrustRegained = 0.05;

} // namespace

CacheView::CacheView(size_t aCapacity)
  : m_capacity(aCapacity) {}

void CacheView::Store(std::span<const uint64_t> aBlocks) {
  // Backwards, so that the start of a prefix is the last to go.
  for (size_t left = aBlocks.size(); left > 0; --left) {
    Touch(aBlocks[left - 1]);
  }
  m_trust = std::min(1.0, m_trust + kTrustRegained);
  while (m_order.size() > m_capacity) {
    m_blocks.erase(m_order.back());
    m_order.pop_back();
  }
}

void CacheView::Evict(uint64_t aBlock) {
  const auto found = m_blocks.find(aBlock);
  if (found != m_blocks.end()) {
    m_order.erase(found->second);
    m_blocks.erase(found);
  }
}

void CacheView::LoseTrust() {
  m_trust *= kTrustAfterGap;
}

double CacheView::CachedBlocks(std::span<const uint64_t> aBlocks) const {
  if (aBlocks.empty() || !m_blocks.contains(aBlocks.front())) {
    return 0;
  }
  // A block stands for all before it, and the start of a prefix is the last to go: search the end.
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

void CacheView::Touch(uint64_t aBlock) {
  const auto found = m_blocks.find(aBlock);
  if (found != m_blocks.end()) {
    m_order.splice(m_order.begin(), m_order, found->second);
    return;
  }
  m_order.push_front(aBlock);
  m_blocks.emplace(aBlock, m_order.begin());
}

} // namespace papayafield::routing
