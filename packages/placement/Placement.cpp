#include "placement/Placement.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace papayafield::placement {

namespace {

/// Consecutive failures after which an endpoint gets no new calls for kAvoidDuration.
constexpr int kMaxConsecutiveFailures = 3;
constexpr base::Millis kAvoidDuration{ 1000 };
/// Fraction of the available endpoints that reports of failures must leave. If more of them fail,
/// the cause is rather the network or a bad prompt, and the others would be overrun.
constexpr double kMinSoundFraction = 0.5;
/// Weight of one outcome in the smoothed failure rate: averages over about the last ten calls.
constexpr double kOutcomeWeight = 0.1;
/// Delay penalty in milliseconds for an endpoint that fails all its calls.
constexpr double kFailurePenaltyMs = 2000;
/// Delay penalty in milliseconds for an endpoint in another availability zone.
constexpr double kOtherZonePenaltyMs = 3;

uint64_t RendezvousRank(const std::string& aSubject, const base::EndpointId& aEndpoint) {
  const std::string text = aSubject + '/' + aEndpoint.Text();
  return XXH3_64bits(text.data(), text.size());
}

/// Expected delays below this have the same weight in a draw, in milliseconds.
constexpr double kMinDrawDelayMs = 1;

std::array<double, 2> NextDraws(std::mt19937_64& aRandom) {
  std::uniform_real_distribution<double> uniform(0, 1);
  const double first = uniform(aRandom);
  return { first, uniform(aRandom) };
}

double SlotsOf(const scheduling::CallNeeds& aNeeds, const fleet::Endpoint& aEndpoint) {
  return aEndpoint.m_slots > 0 ? aEndpoint.m_slots : aNeeds.m_slots;
}

} // namespace

Load& Load::operator+=(const Load& aOther) {
  m_calls += aOther.m_calls;
  m_pendingPromptTokens += aOther.m_pendingPromptTokens;
  m_urgency += aOther.m_urgency;
  m_urgentPromptTokens += aOther.m_urgentPromptTokens;
  return *this;
}

Placement::Placement(PlacementSettings aSettings,
                     const engines::EngineModel* aModel,
                     const FailureReports* aFailures,
                     uint64_t aSeed)
  : m_settings(aSettings)
  , m_model(aModel)
  , m_failures(aFailures)
  , m_random(aSeed)
  , m_draws(NextDraws(m_random)) {}

bool Placement::Matches(const PlacementRequest& aRequest, const fleet::Endpoint& aEndpoint) const {
  return aEndpoint.m_service == aRequest.m_service &&
         !aRequest.m_tried.contains(aEndpoint.m_incarnation.m_endpoint) &&
         !aRequest.m_unavailable.contains(aEndpoint.m_incarnation);
}

bool Placement::IsAvoided(const base::EndpointId& aEndpoint, base::TimePoint aNow) const {
  const auto health = m_health.find(aEndpoint);
  return health != m_health.end() && health->second.m_avoidUntil > aNow;
}

/// Returns the endpoints of `aAvailable` that do not fail at several nodes, or all of them if these
/// are too few to take over the calls.
std::vector<size_t> Placement::WithoutFailing(std::vector<size_t> aAvailable,
                                              const std::vector<fleet::Endpoint>& aEndpoints,
                                              base::TimePoint aNow) const {
  if (m_failures == nullptr) {
    return aAvailable;
  }
  std::vector<size_t> sound;
  sound.reserve(aAvailable.size());
  for (const size_t i : aAvailable) {
    if (!m_failures->IsFailing(aEndpoints[i].m_incarnation.m_endpoint, aNow)) {
      sound.push_back(i);
    }
  }
  const auto minimum = static_cast<double>(aAvailable.size()) * kMinSoundFraction;
  return static_cast<double>(sound.size()) >= minimum ? sound : aAvailable;
}

std::vector<size_t> Placement::Candidates(const PlacementRequest& aRequest,
                                          const std::vector<fleet::Endpoint>& aEndpoints,
                                          base::TimePoint aNow) const {
  std::vector<size_t> matching;
  std::vector<size_t> available;
  for (size_t i = 0; i < aEndpoints.size(); ++i) {
    if (Matches(aRequest, aEndpoints[i])) {
      matching.push_back(i);
      if (!IsAvoided(aEndpoints[i].m_incarnation.m_endpoint, aNow)) {
        available.push_back(i);
      }
    }
  }
  // If all endpoints are avoided, using any of them is better than rejecting the call.
  return available.empty() ? matching : WithoutFailing(std::move(available), aEndpoints, aNow);
}

Load Placement::TotalLoad(const base::EndpointId& aEndpoint) const {
  Load load;
  if (const auto local = m_localLoad.find(aEndpoint); local != m_localLoad.end()) {
    load = local->second;
  }
  if (const auto peers = m_totalPeerLoad.find(aEndpoint); peers != m_totalPeerLoad.end()) {
    load += peers->second;
  }
  return load;
}

double Placement::MixedDelayAt(scheduling::CallNeeds aNeeds,
                               const fleet::Endpoint& aEndpoint) const {
  const Load load = TotalLoad(aEndpoint.m_incarnation.m_endpoint);
  aNeeds.m_slots = SlotsOf(aNeeds, aEndpoint);
  return scheduling::MixedDelayMs(m_mixSettings,
                                  aNeeds,
                                  { load.m_calls,
                                    load.m_urgency,
                                    load.m_pendingPromptTokens,
                                    load.m_urgentPromptTokens,
                                    1 / Model().ReadMs(aEndpoint, 1) });
}

Outlook Placement::OutlookFor(const PlacementRequest& aRequest,
                              const std::vector<fleet::Endpoint>& aEndpoints,
                              base::TimePoint aNow) const {
  scheduling::CallNeeds needs = aRequest.m_mix.value_or(scheduling::CallNeeds{});
  needs.m_promptTokens = 0;
  Outlook outlook;
  for (const size_t i : Candidates(aRequest, aEndpoints, aNow)) {
    const base::EndpointId& id = aEndpoints[i].m_incarnation.m_endpoint;
    const double delay =
      ExpectedLoadDelayMs(aEndpoints[i], true) + MixedDelayAt(needs, aEndpoints[i]);
    const double calls = TotalLoad(id).m_calls;
    const double slots = SlotsOf(needs, aEndpoints[i]);
    outlook.m_shortestDelayMs =
      outlook.m_endpoints == 0 ? delay : std::min(outlook.m_shortestDelayMs, delay);
    ++outlook.m_endpoints;
    outlook.m_calls += calls;
    outlook.m_waitingCalls += std::max(calls - slots, 0.0);
    outlook.m_slots += slots;
  }
  return outlook;
}

double Placement::FailurePenaltyMs(const base::EndpointId& aEndpoint) const {
  const auto health = m_health.find(aEndpoint);
  return health == m_health.end() ? 0 : health->second.m_failureRate * kFailurePenaltyMs;
}

double Placement::ExpectedLoadDelayMs(const fleet::Endpoint& aEndpoint, bool aIsEngine) const {
  const Load load = TotalLoad(aEndpoint.m_incarnation.m_endpoint);
  return Model().QueueDelayMs(aEndpoint, aIsEngine, load.m_calls, load.m_pendingPromptTokens);
}

double Placement::ExpectedDelayMs(const fleet::Endpoint& aEndpoint, bool aIsEngine) const {
  return ExpectedLoadDelayMs(aEndpoint, aIsEngine) +
         FailurePenaltyMs(aEndpoint.m_incarnation.m_endpoint);
}

double Placement::PreferencePenaltyMs(const PlacementRequest& aRequest,
                                      const fleet::Endpoint& aEndpoint) const {
  const auto& preference = aRequest.m_preference;
  return preference && scheduling::IsLongEngine(aEndpoint.m_incarnation.m_endpoint,
                                                preference->m_longShare) != preference->m_isLong
           ? preference->m_penaltyMs
           : 0;
}

/// Returns the expected time to the first byte with the penalties, in milliseconds.
double Placement::ExpectedStartMs(const PlacementRequest& aRequest,
                                  const fleet::Endpoint& aEndpoint) const {
  const base::EndpointId& id = aEndpoint.m_incarnation.m_endpoint;
  const Load load = TotalLoad(id);
  return Model().FirstByteMs(aEndpoint,
                             aRequest.m_promptTokens > 0,
                             load.m_calls,
                             load.m_pendingPromptTokens,
                             aRequest.m_promptTokens) +
         FailurePenaltyMs(id) + PreferencePenaltyMs(aRequest, aEndpoint) +
         (aEndpoint.m_zone == aRequest.m_zone ? 0 : kOtherZonePenaltyMs);
}

/// Returns the extra delay in milliseconds that is accepted to reuse cached prompt parts: the time
/// to read them again at the endpoint that would be chosen otherwise.
double Placement::AffinityDelayMs(const PlacementRequest& aRequest,
                                  const fleet::Endpoint& aAlternative) const {
  if (!aRequest.m_sharedTokens) {
    return m_settings.m_maxAffinityDelayMs;
  }
  return std::min(Model().ReadMs(aAlternative, *aRequest.m_sharedTokens),
                  m_settings.m_maxAffinityDelayMs);
}

/// Returns the delay in milliseconds that endpoints are compared by.
double Placement::ChoiceDelayMs(const PlacementRequest& aRequest,
                                const fleet::Endpoint& aEndpoint) const {
  const bool weighsMix = m_settings.m_weighsPromptMix && aRequest.m_mix;
  return ExpectedStartMs(aRequest, aEndpoint) +
         (weighsMix ? MixedDelayAt(*aRequest.m_mix, aEndpoint) : 0);
}

/// The weight of an endpoint is the inverse of its expected delay without load. It thus follows the
/// endpoint's speed, whatever the peers' loads are, and is small where there are penalties.
size_t Placement::DrawCandidate(const PlacementRequest& aRequest,
                                const std::vector<fleet::Endpoint>& aEndpoints,
                                const std::vector<size_t>& aCandidates,
                                const std::vector<double>& aDelays) const {
  std::vector<double> sums;
  sums.reserve(aCandidates.size());
  double sum = 0;
  for (size_t index = 0; index < aCandidates.size(); ++index) {
    const double loadDelay =
      ExpectedLoadDelayMs(aEndpoints[aCandidates[index]], aRequest.m_promptTokens > 0);
    sum += 1 / std::max(aDelays[index] - loadDelay, kMinDrawDelayMs);
    sums.push_back(sum);
  }
  const auto indexOf = [&](double aDraw) {
    const auto drawn = std::upper_bound(sums.begin(), sums.end(), aDraw * sum);
    return std::min(static_cast<size_t>(drawn - sums.begin()), sums.size() - 1);
  };
  const size_t first = indexOf(m_draws[0]);
  const size_t second = indexOf(m_draws[1]);
  return aDelays[second] < aDelays[first] ? second : first;
}

std::optional<size_t> Placement::Choose(const PlacementRequest& aRequest,
                                        const std::vector<fleet::Endpoint>& aEndpoints,
                                        base::TimePoint aNow) const {
  const std::vector<size_t> candidates = Candidates(aRequest, aEndpoints, aNow);
  const bool weighsMix = m_settings.m_weighsPromptMix && aRequest.m_mix;
  std::vector<double> delays;
  delays.reserve(candidates.size());
  for (const size_t i : candidates) {
    delays.push_back(ChoiceDelayMs(aRequest, aEndpoints[i]));
  }
  const auto shortest = std::min_element(delays.begin(), delays.end());
  if (shortest == delays.end()) {
    return std::nullopt;
  }
  const size_t fastest = candidates[static_cast<size_t>(shortest - delays.begin())];
  if (aRequest.m_subject.empty()) {
    return m_nodeCount > m_settings.m_maxNodesWithoutDraw
             ? candidates[DrawCandidate(aRequest, aEndpoints, candidates, delays)]
             : fastest;
  }
  // Choose the endpoint of highest rendezvous rank whose delay is close to the shortest delay. A
  // hot subject thus overflows to few endpoints, which then cache its shared prompt parts too.
  const double tolerance =
    weighsMix ? scheduling::AffinityToleranceMs(m_mixSettings,
                                                *aRequest.m_mix,
                                                1 / Model().ReadMs(aEndpoints[fastest], 1),
                                                m_settings.m_maxAffinityDelayMs)
              : AffinityDelayMs(aRequest, aEndpoints[fastest]);
  std::optional<size_t> best;
  uint64_t bestRank = 0;
  for (size_t index = 0; index < candidates.size(); ++index) {
    const uint64_t rank =
      RendezvousRank(aRequest.m_subject, aEndpoints[candidates[index]].m_incarnation.m_endpoint);
    if (delays[index] <= *shortest + tolerance && (!best || rank > bestRank)) {
      best = candidates[index];
      bestRank = rank;
    }
  }
  return best;
}

std::vector<CandidateState> Placement::Describe(const PlacementRequest& aRequest,
                                                const std::vector<fleet::Endpoint>& aEndpoints,
                                                base::TimePoint aNow) const {
  std::vector<CandidateState> candidates;
  std::vector<uint64_t> ranks;
  for (const fleet::Endpoint& endpoint : aEndpoints) {
    if (endpoint.m_service != aRequest.m_service) {
      continue;
    }
    const base::EndpointId& id = endpoint.m_incarnation.m_endpoint;
    const auto health = m_health.find(id);
    candidates.push_back(
      { endpoint,
        ChoiceDelayMs(aRequest, endpoint),
        TotalLoad(id),
        health == m_health.end() ? 0 : health->second.m_failureRate,
        IsAvoided(id, aNow) || (m_failures != nullptr && m_failures->IsFailing(id, aNow)),
        !Matches(aRequest, endpoint),
        0 });
    ranks.push_back(RendezvousRank(aRequest.m_subject, id));
  }
  if (aRequest.m_subject.empty()) {
    return candidates;
  }
  std::vector<uint64_t> sorted = ranks;
  std::sort(sorted.begin(), sorted.end(), std::greater<>());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const auto position =
      std::lower_bound(sorted.begin(), sorted.end(), ranks[i], std::greater<>());
    candidates[i].m_cacheRank = static_cast<size_t>(position - sorted.begin()) + 1;
  }
  return candidates;
}

void Placement::RecordCallStarted(const base::EndpointId& aEndpoint,
                                  double aPromptTokens,
                                  double aUrgency) {
  m_draws = NextDraws(m_random);
  m_localLoad[aEndpoint] += { 1, aPromptTokens, aUrgency, aPromptTokens * aUrgency };
}

void Placement::RecordAnswerStarted(const base::EndpointId& aEndpoint,
                                    double aPromptTokens,
                                    double aUrgency) {
  Load& load = m_localLoad[aEndpoint];
  load.m_pendingPromptTokens = std::max(load.m_pendingPromptTokens - aPromptTokens, 0.0);
  load.m_urgentPromptTokens = std::max(load.m_urgentPromptTokens - aPromptTokens * aUrgency, 0.0);
}

void Placement::RecordCallEnded(const base::EndpointId& aEndpoint,
                                double aPromptTokens,
                                double aUrgency) {
  RecordAnswerStarted(aEndpoint, aPromptTokens, aUrgency);
  Load& load = m_localLoad[aEndpoint];
  load.m_calls = std::max(load.m_calls - 1, 0.0);
  load.m_urgency = std::max(load.m_urgency - aUrgency, 0.0);
}

void Placement::RecordOutcome(const base::EndpointId& aEndpoint,
                              bool aSucceeded,
                              base::TimePoint aNow) {
  Health& health = m_health[aEndpoint];
  health.m_failureRate += ((aSucceeded ? 0.0 : 1.0) - health.m_failureRate) * kOutcomeWeight;
  health.m_consecutiveFailures = aSucceeded ? 0 : health.m_consecutiveFailures + 1;
  if (health.m_consecutiveFailures >= kMaxConsecutiveFailures) {
    health.m_avoidUntil = std::max(health.m_avoidUntil, aNow + kAvoidDuration);
  }
}

void Placement::Avoid(const base::EndpointId& aEndpoint, base::TimePoint aUntil) {
  Health& health = m_health[aEndpoint];
  health.m_avoidUntil = std::max(health.m_avoidUntil, aUntil);
}

void Placement::SetPeerLoad(const std::string& aPeer, std::map<base::EndpointId, Load> aLoad) {
  if (aLoad.empty()) {
    m_peerLoads.erase(aPeer);
  } else {
    m_peerLoads[aPeer] = std::move(aLoad);
  }
  m_totalPeerLoad.clear();
  for (const auto& [peer, loads] : m_peerLoads) {
    for (const auto& [endpoint, load] : loads) {
      m_totalPeerLoad[endpoint] += load;
    }
  }
}

void Placement::RetainEndpoints(const std::map<base::EndpointId, fleet::Endpoint>& aKnown) {
  const auto unknown = [&](const auto& aEntry) { return !aKnown.contains(aEntry.first); };
  std::erase_if(m_localLoad,
                [&](const auto& aEntry) { return unknown(aEntry) && aEntry.second.m_calls <= 0; });
  std::erase_if(m_health, unknown);
}

} // namespace papayafield::placement
