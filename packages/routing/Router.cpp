#include "routing/Router.h"

#include "base/Digest.h"
#include "routing/PrefixHash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace papayafield::routing {

namespace {

/// Maximum number of open requests that this node sends to an engine without a load report.
constexpr uint32_t kUnreportedRoom = 1;

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
  uint64_t m_tie = 0;
  /// Estimated time to the first token in milliseconds; not part of the key.
  double m_firstTokenMillis = 0;

  auto Key() const {
    return std::tuple(m_avoided, m_missesTarget, m_lateMillis, m_cents, m_uncached, m_load, m_tie);
  }
};

Router::Router(RouterSettings aSettings)
  : m_settings(std::move(aSettings)) {}

void Router::SetEndpoints(const std::vector<EndpointInfo>& aEndpoints) {
  std::unordered_map<base::EndpointId, Known> known;
  for (const EndpointInfo& info : aEndpoints) {
    // Keep the load and cache state of an endpoint that is still listed.
    const auto old = m_known.find(info.m_id);
    auto& entry = known
                    .emplace(info.m_id,
                             old != m_known.end()
                               ? std::move(old->second)
                               : Known{ info, {}, CacheView(m_settings.m_cacheBlocks), {}, 0 })
                    .first->second;
    entry.m_info = info;
    // Leaving is final: a stale list must not revert it.
    if (info.m_state == EndpointState::Leaving) {
      m_leaving.insert(info.m_id);
    } else if (m_leaving.contains(info.m_id)) {
      entry.m_info.m_state = EndpointState::Leaving;
    }
  }
  m_known = std::move(known);
  ChooseSubsets();
}

void Router::ChooseSubsets() {
  m_byRuns.clear();
  for (auto& [id, known] : m_known) {
    if (known.m_info.m_state == EndpointState::Live) {
      m_byRuns[known.m_info.m_deployment].push_back(&known);
    }
  }
  // Each node uses a subset of the endpoints; rendezvous hashing keeps it stable while they live.
  for (auto& [runs, group] : m_byRuns) {
    std::vector<std::pair<uint64_t, Known*>> weighted;
    weighted.reserve(group.size());
    for (Known* known : group) {
      weighted.emplace_back(base::RendezvousWeight(m_settings.m_node, known->m_info.m_id.Text()),
                            known);
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
    weighted.resize(std::min(weighted.size(), m_settings.m_subset));
    group.clear();
    for (const auto& [weight, known] : weighted) {
      group.push_back(known);
    }
  }
}

bool Router::MarkLeaving(const base::EndpointId& aEndpoint) {
  const bool news = m_leaving.insert(aEndpoint).second;
  Known* known = Get(aEndpoint);
  if (known != nullptr && known->m_info.m_state == EndpointState::Live) {
    known->m_info.m_state = EndpointState::Leaving;
    // Another endpoint takes its place in the subset.
    ChooseSubsets();
  }
  return news;
}

void Router::ReportLoad(const base::EndpointId& aEndpoint, const EngineLoad& aLoad) {
  Known* known = Get(aEndpoint);
  if (known == nullptr || aLoad.m_asOf < known->m_load.m_asOf) {
    return;
  }
  known->m_load = aLoad;
  // The report already counts requests that were sent before its time.
  std::erase_if(known->m_sent, [&](const Sent& aSent) { return aSent.m_when < aLoad.m_asOf; });
}

void Router::RecordRequestSent(const base::EndpointId& aEndpoint,
                      const RouteQuery& aQuery,
                      base::TimePoint aNow) {
  Known* known = Get(aEndpoint);
  if (known == nullptr) {
    return;
  }
  const double cached =
    known->m_cache.CachedBlocks(aQuery.m_blocks) * static_cast<double>(kBlockTokens);
  const auto tokens =
    static_cast<uint64_t>(std::max(0.0, static_cast<double>(aQuery.m_promptTokens) - cached));
  known->m_sent.push_back({ aNow, tokens });
  known->m_cache.Store(aQuery.m_blocks);
  ++known->m_outstanding;
}

void Router::RecordRequestEnded(const base::EndpointId& aEndpoint) {
  Known* known = Get(aEndpoint);
  if (known != nullptr && known->m_outstanding > 0) {
    --known->m_outstanding;
  }
}

void Router::RecordCacheEviction(const base::EndpointId& aEndpoint, uint64_t aBlock) {
  if (Known* known = Get(aEndpoint)) {
    known->m_cache.Evict(aBlock);
  }
}

void Router::RecordCacheEventGap(const base::EndpointId& aEndpoint) {
  if (Known* known = Get(aEndpoint)) {
    known->m_cache.LoseTrust();
  }
}

std::optional<RouteChoice> Router::Choose(const RouteQuery& aQuery) const {
  const auto group = m_byRuns.find(aQuery.m_deployment);
  if (group == m_byRuns.end()) {
    return std::nullopt;
  }
  const Known* best = nullptr;
  Score bestScore;
  for (const Known* known : group->second) {
    // Skip endpoints that have no room or were tried already.
    if (!HasRoom(*known) ||
        (!aQuery.m_exclude.empty() && aQuery.m_exclude.contains(known->m_info.m_id))) {
      continue;
    }
    const Score score = Rate(*known, aQuery);
    if (best == nullptr || score.Key() < bestScore.Key()) {
      best = known;
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

bool Router::HasEndpointWithRoom(const base::DeploymentId& aRuns) const {
  const auto group = m_byRuns.find(aRuns);
  return group != m_byRuns.end() &&
         std::any_of(group->second.begin(), group->second.end(), [](const Known* aKnown) {
           return HasRoom(*aKnown);
         });
}

const EndpointInfo* Router::Find(const base::EndpointId& aEndpoint) const {
  const auto found = m_known.find(aEndpoint);
  return found == m_known.end() ? nullptr : &found->second.m_info;
}

std::vector<EndpointInfo> Router::Endpoints() const {
  std::vector<EndpointInfo> list;
  list.reserve(m_known.size());
  for (const auto& [id, known] : m_known) {
    list.push_back(known.m_info);
  }
  return list;
}

std::vector<EndpointInfo> Router::UsedEndpoints() const {
  std::vector<EndpointInfo> list;
  for (const auto& [runs, group] : m_byRuns) {
    for (const Known* known : group) {
      list.push_back(known->m_info);
    }
  }
  return list;
}

Router::Known* Router::Get(const base::EndpointId& aEndpoint) {
  const auto found = m_known.find(aEndpoint);
  return found == m_known.end() ? nullptr : &found->second;
}

bool Router::HasRoom(const Known& aKnown) {
  if (aKnown.m_info.m_kind == EndpointKind::Service) {
    return true;
  }
  // The size of its batch is unknown before its first report.
  if (aKnown.m_load.m_asOf == base::TimePoint{}) {
    return aKnown.m_outstanding < kUnreportedRoom;
  }
  const auto used = aKnown.m_load.m_running + aKnown.m_load.m_queued + aKnown.m_sent.size();
  return std::max<size_t>(used, aKnown.m_outstanding) < aKnown.m_load.m_slots;
}

Router::Score Router::Rate(const Known& aKnown, const RouteQuery& aQuery) {
  Score score;
  // Tokens to prefill before this request: those in the last report and those sent since.
  double ahead = static_cast<double>(aKnown.m_load.m_queuedPrefillTokens);
  for (const Sent& sent : aKnown.m_sent) {
    ahead += static_cast<double>(sent.m_tokens);
  }
  const double cached =
    aKnown.m_cache.CachedBlocks(aQuery.m_blocks) * static_cast<double>(kBlockTokens);
  score.m_uncached = std::max(0.0, static_cast<double>(aQuery.m_promptTokens) - cached);
  constexpr double kMillisPerSecond = 1000;
  score.m_firstTokenMillis =
    (ahead + score.m_uncached) / aKnown.m_load.m_prefillRate * kMillisPerSecond;
  const auto target = static_cast<double>(aQuery.m_firstToken.count());
  if (score.m_firstTokenMillis > target) {
    score.m_missesTarget = 1;
    score.m_lateMillis = score.m_firstTokenMillis;
  }
  score.m_avoided = !aQuery.m_avoidZone.Empty() && aKnown.m_info.m_zone == aQuery.m_avoidZone;
  score.m_cents = aKnown.m_info.m_centsPerHour;
  score.m_load = aKnown.m_info.m_kind == EndpointKind::Service
                   ? static_cast<double>(aKnown.m_outstanding)
                   : static_cast<double>(aKnown.m_load.m_running + aKnown.m_sent.size()) /
                       std::max(1U, aKnown.m_load.m_slots);
  // Break ties by a hash of the prompt's first block, which is the same on every node.
  const uint64_t start = aQuery.m_blocks.empty() ? 0 : aQuery.m_blocks.front();
  score.m_tie = ~base::Hash64(aKnown.m_info.m_id.Text(), start);
  return score;
}

} // namespace papayafield::routing
