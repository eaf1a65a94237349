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
  size_t count = 0;
  while (count < aBlocks.size() && m_blocks.contains(aBlocks[count])) {
    ++count;
  }
  return static_cast<double>(count) * m_trust;
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
