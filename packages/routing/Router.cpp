#include "routing/Router.h"

#include "base/Digest.h"
#include "routing/PrefixHash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace papayafield::routing {

namespace {

/// Maximum number of open requests that this node sends to an engine without a load report.
constexpr uint32_t kMaxRequestsBeforeReport = 1;

} // namespace

/// Rates an endpoint for a query; the lowest score is the best.
struct Router::Score {
  /// 1 if the endpoint is in the zone to avoid, otherwise 0.
  int m_avoided = 0;
  /// 1 if the estimated time to the first token exceeds the target, otherwise 0.
  int m_missesTarget = 0;
  /// Estimated time to the first token in milliseconds; 0 if it meets the target.
  double m_lateMillis = 0;
  /// Price in cents per hour.
  double m_cents = 0;
  /// Prompt tokens to prefill.
  double m_uncached = 0;
  /// Load: used part of an engine's batch, from 0 to about 1, or open requests of a service.
  double m_load = 0;
  /// Breaks ties the same way on every node.
  uint64_t m_tieBreaker = 0;
  /// Estimated time to the first token in milliseconds; not part of the key.
  double m_firstTokenMillis = 0;

  auto Key() const {
    return std::tuple(
      m_avoided, m_missesTarget, m_lateMillis, m_cents, m_uncached, m_load, m_tieBreaker);
  }
};

Router::Router(RouterSettings aSettings)
  : m_settings(std::move(aSettings)) {}

void Router::SetEndpoints(const std::vector<EndpointInfo>& aEndpoints) {
  std::unordered_map<base::EndpointId, EndpointEntry> endpoints;
  for (const EndpointInfo& info : aEndpoints) {
    // Keep the load and cache state of an endpoint that is still listed.
    const auto previous = m_endpoints.find(info.m_id);
    auto& entry =
      endpoints
        .emplace(info.m_id,
                 previous != m_endpoints.end()
                   ? std::move(previous->second)
                   : EndpointEntry{ info, {}, CacheView(m_settings.m_cacheBlocks), {}, 0 })
        .first->second;
    entry.m_info = info;
    // Leaving is final: a stale list must not revert it.
    if (info.m_state == EndpointState::Leaving) {
      m_leaving.insert(info.m_id);
    } else if (m_leaving.contains(info.m_id)) {
      entry.m_info.m_state = EndpointState::Leaving;
    }
  }
  m_endpoints = std::move(endpoints);
  SelectSubsets();
}

void Router::SelectSubsets() {
  m_usedByDeployment.clear();
  for (auto& [id, entry] : m_endpoints) {
    if (entry.m_info.m_state == EndpointState::Live) {
      m_usedByDeployment[entry.m_info.m_deployment].push_back(&entry);
    }
  }
  // Each node uses a subset of the endpoints; rendezvous hashing keeps it stable while they live.
  for (auto& [deployment, group] : m_usedByDeployment) {
    std::vector<std::pair<uint64_t, EndpointEntry*>> weighted;
    weighted.reserve(group.size());
    for (EndpointEntry* entry : group) {
      weighted.emplace_back(base::RendezvousWeight(m_settings.m_node, entry->m_info.m_id.Text()),
                            entry);
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
    weighted.resize(std::min(weighted.size(), m_settings.m_maxEndpointsPerDeployment));
    group.clear();
    for (const auto& [rendezvousWeight, entry] : weighted) {
      group.push_back(entry);
    }
  }
}

bool Router::MarkLeaving(const base::EndpointId& aEndpoint) {
  const bool isNew = m_leaving.insert(aEndpoint).second;
  EndpointEntry* entry = FindEntry(aEndpoint);
  if (entry != nullptr && entry->m_info.m_state == EndpointState::Live) {
    entry->m_info.m_state = EndpointState::Leaving;
    // Another endpoint takes its place in the subset.
    SelectSubsets();
  }
  return isNew;
}

void Router::ReportLoad(const base::EndpointId& aEndpoint, const EngineLoad& aLoad) {
  EndpointEntry* entry = FindEntry(aEndpoint);
  if (entry == nullptr || aLoad.m_asOf < entry->m_load.m_asOf) {
    return;
  }
  entry->m_load = aLoad;
  // The report already counts requests that were sent before its time.
  std::erase_if(entry->m_sent, [&](const SentRequest& aSentRequest) {
    return aSentRequest.m_sentAt < aLoad.m_asOf;
  });
}

void Router::RecordRequestSent(const base::EndpointId& aEndpoint,
                               const RouteQuery& aQuery,
                               base::TimePoint aNow) {
  EndpointEntry* entry = FindEntry(aEndpoint);
  if (entry == nullptr) {
    return;
  }
  const double cached =
    entry->m_cache.CachedBlocks(aQuery.m_blocks) * static_cast<double>(kBlockTokens);
  const auto tokens =
    static_cast<uint64_t>(std::max(0.0, static_cast<double>(aQuery.m_promptTokens) - cached));
  entry->m_sent.push_back({ aNow, tokens });
  entry->m_cache.Store(aQuery.m_blocks);
  ++entry->m_outstanding;
}

void Router::RecordRequestEnded(const base::EndpointId& aEndpoint) {
  EndpointEntry* entry = FindEntry(aEndpoint);
  if (entry != nullptr && entry->m_outstanding > 0) {
    --entry->m_outstanding;
  }
}

void Router::RecordCacheEviction(const base::EndpointId& aEndpoint, uint64_t aBlock) {
  if (EndpointEntry* entry = FindEntry(aEndpoint)) {
    entry->m_cache.Evict(aBlock);
  }
}

void Router::RecordCacheEventGap(const base::EndpointId& aEndpoint) {
  if (EndpointEntry* entry = FindEntry(aEndpoint)) {
    entry->m_cache.LowerConfidence();
  }
}

std::optional<RouteChoice> Router::Choose(const RouteQuery& aQuery) const {
  const auto group = m_usedByDeployment.find(aQuery.m_deployment);
  if (group == m_usedByDeployment.end()) {
    return std::nullopt;
  }
  const EndpointEntry* best = nullptr;
  Score bestScore;
  for (const EndpointEntry* entry : group->second) {
    // Skip endpoints that have no room or were tried already.
    if (!HasRoom(*entry) ||
        (!aQuery.m_exclude.empty() && aQuery.m_exclude.contains(entry->m_info.m_id))) {
      continue;
    }
    const Score score = ComputeScore(*entry, aQuery);
    if (best == nullptr || score.Key() < bestScore.Key()) {
      best = entry;
      bestScore = score;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return RouteChoice{ best->m_info.m_id,
                      best->m_info.m_address,
                      base::Millis(std::llround(bestScore.m_firstTokenMillis)),
                      static_cast<uint64_t>(bestScore.m_uncached) };
}

bool Router::HasEndpointWithRoom(const base::DeploymentId& aDeployment) const {
  const auto group = m_usedByDeployment.find(aDeployment);
  return group != m_usedByDeployment.end() &&
         std::any_of(group->second.begin(), group->second.end(), [](const EndpointEntry* aEntry) {
           return HasRoom(*aEntry);
         });
}

const EndpointInfo* Router::Find(const base::EndpointId& aEndpoint) const {
  const auto found = m_endpoints.find(aEndpoint);
  return found == m_endpoints.end() ? nullptr : &found->second.m_info;
}

std::vector<EndpointInfo> Router::Endpoints() const {
  std::vector<EndpointInfo> list;
  list.reserve(m_endpoints.size());
  for (const auto& [id, entry] : m_endpoints) {
    list.push_back(entry.m_info);
  }
  return list;
}

std::vector<EndpointInfo> Router::UsedEndpoints() const {
  std::vector<EndpointInfo> list;
  for (const auto& [deployment, group] : m_usedByDeployment) {
    for (const EndpointEntry* entry : group) {
      list.push_back(entry->m_info);
    }
  }
  return list;
}

Router::EndpointEntry* Router::FindEntry(const base::EndpointId& aEndpoint) {
  const auto found = m_endpoints.find(aEndpoint);
  return found == m_endpoints.end() ? nullptr : &found->second;
}

bool Router::HasRoom(const EndpointEntry& aEntry) {
  if (aEntry.m_info.m_kind == EndpointKind::Service) {
    return true;
  }
  // The size of its batch is unknown before its first report.
  if (aEntry.m_load.m_asOf == base::TimePoint{}) {
    return aEntry.m_outstanding < kMaxRequestsBeforeReport;
  }
  const auto used = aEntry.m_load.m_running + aEntry.m_load.m_queued + aEntry.m_sent.size();
  return std::max<size_t>(used, aEntry.m_outstanding) < aEntry.m_load.m_slots;
}

Router::Score Router::ComputeScore(const EndpointEntry& aEntry, const RouteQuery& aQuery) {
  Score score;
  // Tokens to prefill before this request: those in the last report and those sent since.
  double queuedTokens = static_cast<double>(aEntry.m_load.m_queuedPrefillTokens);
  for (const SentRequest& sent : aEntry.m_sent) {
    queuedTokens += static_cast<double>(sent.m_tokens);
  }
  const double cached =
    aEntry.m_cache.CachedBlocks(aQuery.m_blocks) * static_cast<double>(kBlockTokens);
  score.m_uncached = std::max(0.0, static_cast<double>(aQuery.m_promptTokens) - cached);
  constexpr double kMillisPerSecond = 1000;
  score.m_firstTokenMillis =
    (queuedTokens + score.m_uncached) / aEntry.m_load.m_prefillRate * kMillisPerSecond;
  const auto target = static_cast<double>(aQuery.m_firstTokenTarget.count());
  if (score.m_firstTokenMillis > target) {
    score.m_missesTarget = 1;
    score.m_lateMillis = score.m_firstTokenMillis;
  }
  score.m_avoided = !aQuery.m_avoidZone.Empty() && aEntry.m_info.m_zone == aQuery.m_avoidZone;
  score.m_cents = aEntry.m_info.m_centsPerHour;
  score.m_load = aEntry.m_info.m_kind == EndpointKind::Service
                   ? static_cast<double>(aEntry.m_outstanding)
                   : static_cast<double>(aEntry.m_load.m_running + aEntry.m_sent.size()) /
                       std::max(1U, aEntry.m_load.m_slots);
  // Break ties by a hash of the prompt's first block, which is the same on every node.
  const uint64_t start = aQuery.m_blocks.empty() ? 0 : aQuery.m_blocks.front();
  score.m_tieBreaker = ~base::Hash64(aEntry.m_info.m_id.Text(), start);
  return score;
}

} // namespace papayafield::routing
