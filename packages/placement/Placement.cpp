#include "placement/Placement.h"

#include <xxhash.h>

#include <algorithm>

namespace papayafield::placement {

namespace {

/// Consecutive failures after which an endpoint gets no new calls for kAvoidSpan.
constexpr int kFailuresToAvoid = 3;
constexpr base::Millis kAvoidSpan{ 1000 };
/// Weight of one outcome in the smoothed failure rate: averages over about the last ten calls.
constexpr double kOutcomeWeight = 0.1;
/// Delay penalty in milliseconds for an endpoint that fails all its calls.
constexpr double kFailureMs = 2000;
/// Delay penalty in milliseconds for an endpoint in another availability zone.
constexpr double kOtherZoneMs = 3;

uint64_t Rendezvous(const std::string& aSubject, const base::EndpointId& aEndpoint) {
  const std::string text = aSubject + '/' + aEndpoint.Text();
  return XXH3_64bits(text.data(), text.size());
}

} // namespace

bool Placement::Fits(const PlacementRequest& aNeed, const fleet::Endpoint& aEndpoint) const {
  return aEndpoint.m_service == aNeed.m_service &&
         !aNeed.m_tried.contains(aEndpoint.m_incarnation.m_endpoint);
}

bool Placement::Avoided(const base::EndpointId& aEndpoint, base::TimePoint aNow) const {
  const auto health = m_health.find(aEndpoint);
  return health != m_health.end() && health->second.m_avoidUntil > aNow;
}

std::vector<size_t> Placement::Candidates(const PlacementRequest& aNeed,
                                          const std::vector<fleet::Endpoint>& aEndpoints,
                                          base::TimePoint aNow) const {
  std::vector<size_t> fitting;
  std::vector<size_t> sound;
  for (size_t i = 0; i < aEndpoints.size(); ++i) {
    if (Fits(aNeed, aEndpoints[i])) {
      fitting.push_back(i);
      if (!Avoided(aEndpoints[i].m_incarnation.m_endpoint, aNow)) {
        sound.push_back(i);
      }
    }
  }
  // If all endpoints are avoided, using any of them is better than rejecting the call.
  return sound.empty() ? fitting : sound;
}

double Placement::ExpectedLoadDelayMs(const base::EndpointId& aEndpoint, bool aEngine) const {
  Load load;
  if (const auto own = m_own.find(aEndpoint); own != m_own.end()) {
    load = own->second;
  }
  if (const auto peers = m_peerSum.find(aEndpoint); peers != m_peerSum.end()) {
    load.m_calls += peers->second.m_calls;
    load.m_pendingPromptTokens += peers->second.m_pendingPromptTokens;
  }
  return load.m_pendingPromptTokens / m_settings.m_prefillTokensPerMs +
         load.m_calls * (aEngine ? m_settings.m_callMs : m_settings.m_plainCallMs);
}

double Placement::ExpectedDelayMs(const base::EndpointId& aEndpoint, bool aEngine) const {
  double delay = ExpectedLoadDelayMs(aEndpoint, aEngine);
  if (const auto health = m_health.find(aEndpoint); health != m_health.end()) {
    delay += health->second.m_failureRate * kFailureMs;
  }
  return delay;
}

std::optional<size_t> Placement::Choose(const PlacementRequest& aNeed,
                                        const std::vector<fleet::Endpoint>& aEndpoints,
                                        base::TimePoint aNow) const {
  const std::vector<size_t> candidates = Candidates(aNeed, aEndpoints, aNow);
  std::vector<double> delays;
  for (const size_t i : candidates) {
    const fleet::Endpoint& endpoint = aEndpoints[i];
    delays.push_back(ExpectedDelayMs(endpoint.m_incarnation.m_endpoint, aNeed.m_promptTokens > 0) +
                     (endpoint.m_zone == aNeed.m_zone ? 0 : kOtherZoneMs));
  }
  const auto least = std::min_element(delays.begin(), delays.end());
  if (least == delays.end()) {
    return std::nullopt;
  }
  if (aNeed.m_subject.empty()) {
    return candidates[static_cast<size_t>(least - delays.begin())];
  }
  // Choose the endpoint of highest rendezvous rank whose delay is close to the shortest delay. A
  // hot subject thus overflows to few endpoints, which then cache its shared prompt parts too.
  std::optional<size_t> home;
  uint64_t homeRank = 0;
  for (size_t at = 0; at < candidates.size(); ++at) {
    const uint64_t rank =
      Rendezvous(aNeed.m_subject, aEndpoints[candidates[at]].m_incarnation.m_endpoint);
    if (delays[at] <= *least + m_settings.m_affinityMs && (!home || rank > homeRank)) {
      home = candidates[at];
      homeRank = rank;
    }
  }
  return home;
}

void Placement::RecordCallStarted(const base::EndpointId& aEndpoint, double aPromptTokens) {
  Load& load = m_own[aEndpoint];
  load.m_calls += 1;
  load.m_pendingPromptTokens += aPromptTokens;
}

void Placement::RecordAnswerStarted(const base::EndpointId& aEndpoint, double aPromptTokens) {
  Load& load = m_own[aEndpoint];
  load.m_pendingPromptTokens = std::max(load.m_pendingPromptTokens - aPromptTokens, 0.0);
}

void Placement::RecordCallEnded(const base::EndpointId& aEndpoint, double aPromptTokens) {
  Load& load = m_own[aEndpoint];
  load.m_calls = std::max(load.m_calls - 1, 0.0);
  load.m_pendingPromptTokens = std::max(load.m_pendingPromptTokens - aPromptTokens, 0.0);
}

void Placement::RecordOutcome(const base::EndpointId& aEndpoint, bool aGood, base::TimePoint aNow) {
  Health& health = m_health[aEndpoint];
  health.m_failureRate += ((aGood ? 0.0 : 1.0) - health.m_failureRate) * kOutcomeWeight;
  health.m_consecutiveFailures = aGood ? 0 : health.m_consecutiveFailures + 1;
  if (health.m_consecutiveFailures >= kFailuresToAvoid) {
    health.m_avoidUntil = std::max(health.m_avoidUntil, aNow + kAvoidSpan);
  }
}

void Placement::Avoid(const base::EndpointId& aEndpoint, base::TimePoint aUntil) {
  Health& health = m_health[aEndpoint];
  health.m_avoidUntil = std::max(health.m_avoidUntil, aUntil);
}

void Placement::SetPeerLoad(const std::string& aPeer, std::map<base::EndpointId, Load> aLoad) {
  if (aLoad.empty()) {
    m_peers.erase(aPeer);
  } else {
    m_peers[aPeer] = std::move(aLoad);
  }
  m_peerSum.clear();
  for (const auto& [peer, loads] : m_peers) {
    for (const auto& [endpoint, load] : loads) {
      m_peerSum[endpoint].m_calls += load.m_calls;
      m_peerSum[endpoint].m_pendingPromptTokens += load.m_pendingPromptTokens;
    }
  }
}

void Placement::RetainEndpoints(const std::map<base::EndpointId, fleet::Endpoint>& aKnown) {
  const auto unknown = [&](const auto& aEntry) { return !aKnown.contains(aEntry.first); };
  std::erase_if(m_own,
                [&](const auto& aEntry) { return unknown(aEntry) && aEntry.second.m_calls <= 0; });
  std::erase_if(m_health, unknown);
}

} // namespace papayafield::placement
