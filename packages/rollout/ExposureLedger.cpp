#include "rollout/ExposureLedger.h"

#include <algorithm>
#include <vector>

namespace papayafield::rollout {

namespace {

/// Time after which grants of an earlier leader are certain to have expired: a heartbeat in flight
/// and differences between clocks are included.
constexpr base::Millis kEarlierGrants{ 1300 };
/// Nodes that were silent for this time get no new grants.
constexpr base::Millis kSilence{ 1000 };

} // namespace

ExposureLedger::ExposureLedger(uint64_t aReserved,
                               uint64_t aRequests,
                               bool aHadLeader,
                               base::TimePoint aNow)
  : m_reserved(aReserved)
  , m_requestsBefore(aRequests)
  , m_grantFrom(aHadLeader ? aNow + kEarlierGrants : aNow) {}

void ExposureLedger::Report(const std::string& aIncarnation,
                            uint64_t aRequests,
                            uint64_t aSent,
                            base::TimePoint aNow) {
  const auto [entry, isNew] = m_nodes.try_emplace(aIncarnation);
  Node& node = entry->second;
  if (isNew || aNow < m_grantFrom) {
    // Sent through grants of earlier leaders, which are reserved.
    node.m_sentBefore = std::max(node.m_sentBefore, aSent);
    node.m_granted = std::max(node.m_granted, aSent);
  }
  // Datagrams may overtake one another.
  node.m_newRequests += aRequests > node.m_requests ? aRequests - node.m_requests : 0;
  node.m_requests = std::max(node.m_requests, aRequests);
  node.m_sent = std::max(node.m_sent, aSent);
  node.m_granted = std::max(node.m_granted, node.m_sent);
  node.m_heardAt = aNow;
}

uint64_t ExposureLedger::Exposed() const {
  uint64_t exposed = m_reserved;
  for (const auto& [incarnation, node] : m_nodes) {
    exposed += node.m_granted - node.m_sentBefore;
  }
  return exposed;
}

uint64_t ExposureLedger::Requests() const {
  uint64_t requests = 0;
  for (const auto& [incarnation, node] : m_nodes) {
    requests += node.m_requests;
  }
  return std::max(requests, m_requestsBefore);
}

std::map<std::string, uint64_t> ExposureLedger::Grant(uint64_t aLimit, base::TimePoint aNow) {
  std::map<std::string, uint64_t> grants;
  if (aNow < m_grantFrom) {
    return grants;
  }
  std::vector<std::pair<const std::string*, Node*>> nodes;
  uint64_t newRequests = 0;
  for (auto& [incarnation, node] : m_nodes) {
    if (aNow - node.m_heardAt <= kSilence) {
      nodes.emplace_back(&incarnation, &node);
      newRequests += node.m_newRequests;
    }
  }
  // The nodes with the most requests first; a single call at a time if there are few.
  std::sort(nodes.begin(), nodes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.second->m_newRequests > aRight.second->m_newRequests;
  });
  const uint64_t exposed = Exposed();
  uint64_t free = aLimit > exposed ? aLimit - exposed : 0;
  const uint64_t total = free;
  for (const auto& [incarnation, node] : nodes) {
    const uint64_t unspent = node->m_granted - node->m_sent;
    const uint64_t fair = newRequests == 0 ? 1 : total * node->m_newRequests / newRequests + 1;
    // Unspent calls of a node with few requests would be missing at the others.
    const uint64_t added = std::min(fair > unspent ? fair - unspent : 0, free);
    node->m_granted += added;
    free -= added;
    node->m_newRequests = 0;
    grants[*incarnation] = node->m_granted;
  }
  return grants;
}

} // namespace papayafield::rollout
