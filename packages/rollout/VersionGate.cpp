#include "rollout/VersionGate.h"

#include "rollout/ExposureLedger.h"

#include <algorithm>

namespace papayafield::rollout {

namespace {

/// Losses at one endpoint within this time are one crash.
constexpr base::Millis kCrashSpan{ 1500 };
/// Maximum number of routes whose answers are counted separately; a heartbeat holds them all.
constexpr size_t kMaxRoutes = 32;

} // namespace

const RolloutRecord* VersionGate::ServiceState::CurrentRecord() const {
  return m_order && m_record && m_record->m_order == m_order->m_position &&
             m_record->m_target == m_order->m_target
           ? &*m_record
           : nullptr;
}

bool VersionGate::ServiceState::IsRunning() const {
  const RolloutRecord* record = CurrentRecord();
  return m_order && (record == nullptr || rollout::IsRunning(record->m_phase));
}

/// A version stays rejected until another order names it, also if the record belongs to an order
/// that was withdrawn.
bool VersionGate::ServiceState::IsRejected(const std::string& aVersion) const {
  if (!m_record) {
    return false;
  }
  const RolloutRecord* current = CurrentRecord();
  if (m_order && current == nullptr && m_order->m_target == aVersion) {
    return false;
  }
  const bool isAbandoned = current == nullptr && rollout::IsRunning(m_record->m_phase);
  return m_record->m_rejected.contains(aVersion) || (isAbandoned && m_record->m_target == aVersion);
}

void VersionGate::SetOrder(const fleet::ServiceId& aService,
                           const std::optional<RolloutOrder>& aOrder) {
  ServiceState& state = m_services[aService];
  const bool isSame = state.m_order && aOrder && state.m_order->m_position == aOrder->m_position;
  state.m_order = aOrder;
  if (!isSame) {
    state.m_counts = {};
    state.m_granted = 0;
    state.m_grantEnd = {};
    state.m_losses.clear();
    if (aOrder) {
      state.m_counts.m_order = aOrder->m_position;
    }
  }
}

void VersionGate::SetRecord(const fleet::ServiceId& aService,
                            const std::optional<RolloutRecord>& aRecord) {
  m_services[aService].m_record = aRecord;
}

void VersionGate::SetGrant(const fleet::ServiceId& aService,
                           const Grant& aGrant,
                           base::TimePoint aNow) {
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return;
  }
  ServiceState& state = found->second;
  if (!state.m_order || state.m_order->m_position != aGrant.m_order ||
      aGrant.m_token < state.m_token) {
    return;
  }
  // A later leader may grant less than an earlier one had.
  state.m_granted =
    aGrant.m_token == state.m_token ? std::max(state.m_granted, aGrant.m_calls) : aGrant.m_calls;
  state.m_token = aGrant.m_token;
  state.m_grantEnd = aNow + kGrantLifetime;
}

void VersionGate::AddExcluded(const fleet::ServiceId& aService,
                              const std::vector<fleet::Endpoint>& aReady,
                              const std::set<base::EndpointId>& aTried,
                              bool aMayExpose,
                              base::TimePoint aNow,
                              std::set<fleet::Incarnation>& aUnavailable) const {
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return;
  }
  const ServiceState& state = found->second;
  const auto isTarget = [&](const fleet::Endpoint& aEndpoint) {
    return state.m_order && aEndpoint.m_version == state.m_order->m_target;
  };
  const auto isUsable = [&](const fleet::Endpoint& aEndpoint) {
    return aEndpoint.m_service == aService &&
           !aTried.contains(aEndpoint.m_incarnation.m_endpoint) &&
           !aUnavailable.contains(aEndpoint.m_incarnation);
  };
  const bool isRunning = state.IsRunning();
  const RolloutRecord* record = state.CurrentRecord();
  const bool isCompleted = record != nullptr && record->m_phase == Phase::Completed;
  const bool mayExpose =
    isRunning && aMayExpose && aNow < state.m_grantEnd && state.m_counts.m_sent < state.m_granted;
  const bool onlyTarget =
    (mayExpose || isCompleted) &&
    std::any_of(aReady.begin(), aReady.end(), [&](const fleet::Endpoint& aEndpoint) {
      return isUsable(aEndpoint) && isTarget(aEndpoint);
    });
  for (const fleet::Endpoint& endpoint : aReady) {
    if (endpoint.m_service != aService) {
      continue;
    }
    const bool excluded = state.IsRejected(endpoint.m_version) ||
                          (isTarget(endpoint) ? isRunning && !onlyTarget : onlyTarget);
    if (excluded) {
      aUnavailable.insert(endpoint.m_incarnation);
    }
  }
}

void VersionGate::CountRequest(const fleet::ServiceId& aService) {
  const auto found = m_services.find(aService);
  if (found != m_services.end() && found->second.IsRunning()) {
    ++found->second.m_counts.m_requests;
  }
}

AttemptVersion VersionGate::CountSent(const fleet::Endpoint& aEndpoint, base::TimePoint aNow) {
  const auto found = m_services.find(aEndpoint.m_service);
  if (found == m_services.end() || !found->second.IsRunning()) {
    return {};
  }
  ServiceState& state = found->second;
  const bool isTarget = aEndpoint.m_version == state.m_order->m_target;
  ++(isTarget ? state.m_counts.m_sent : state.m_counts.m_oldOpen);
  return { state.m_order->m_position, isTarget, aNow < aEndpoint.m_warmFrom };
}

VersionGate::ServiceState* VersionGate::FindCounted(const fleet::ServiceId& aService,
                                                    const AttemptVersion& aVersion) {
  const auto found = m_services.find(aService);
  return aVersion.m_order && found != m_services.end() &&
             found->second.m_counts.m_order == *aVersion.m_order
           ? &found->second
           : nullptr;
}

AnswerCounts* VersionGate::CountsOf(ServiceState& aState,
                                    const std::string& aRoute,
                                    const AttemptVersion& aVersion) {
  CountsByRoute& routes = aState.m_counts.m_routes;
  if (!routes.contains(aRoute) && routes.size() >= kMaxRoutes) {
    return nullptr;
  }
  RouteCounts& counts = routes[aRoute];
  return aVersion.m_isTarget ? &counts.m_target : &counts.m_old;
}

void VersionGate::CountAnswer(const fleet::ServiceId& aService,
                              const std::string& aRoute,
                              const AttemptVersion& aVersion,
                              double aMillis) {
  ServiceState* state = FindCounted(aService, aVersion);
  AnswerCounts* counts = state == nullptr ? nullptr : CountsOf(*state, aRoute, aVersion);
  if (counts != nullptr) {
    ++counts->m_answers;
    counts->m_times[BucketOf(aMillis)] += aVersion.m_isCold ? 0 : 1;
  }
}

void VersionGate::CountFailure(const fleet::Endpoint& aEndpoint,
                               const std::string& aRoute,
                               const AttemptVersion& aVersion,
                               bool aHasAnswer,
                               bool aIsLoss,
                               base::TimePoint aNow) {
  ServiceState* state = FindCounted(aEndpoint.m_service, aVersion);
  if (state == nullptr) {
    return;
  }
  if (aIsLoss) {
    const auto [loss, isFirst] =
      state->m_losses.try_emplace(aEndpoint.m_incarnation.m_endpoint, aNow);
    if (!isFirst && aNow - loss->second < kCrashSpan) {
      AnswerCounts* crashed = CountsOf(*state, aRoute, aVersion);
      if (crashed != nullptr) {
        ++crashed->m_repeatedLosses;
      }
      return;
    }
    loss->second = aNow;
  }
  AnswerCounts* counts = CountsOf(*state, aRoute, aVersion);
  if (counts != nullptr) {
    counts->m_answers += aHasAnswer ? 0 : 1;
    ++counts->m_failures;
  }
}

void VersionGate::CountEnded(const fleet::ServiceId& aService, const AttemptVersion& aVersion) {
  ServiceState* state = FindCounted(aService, aVersion);
  if (state != nullptr && !aVersion.m_isTarget && state->m_counts.m_oldOpen > 0) {
    --state->m_counts.m_oldOpen;
  }
}

std::map<fleet::ServiceId, NodeCounts> VersionGate::Counts() const {
  std::map<fleet::ServiceId, NodeCounts> counts;
  for (const auto& [service, state] : m_services) {
    if (state.IsRunning()) {
      counts[service] = state.m_counts;
    }
  }
  return counts;
}

bool VersionGate::IsRunning(const fleet::ServiceId& aService) const {
  const auto found = m_services.find(aService);
  return found != m_services.end() && found->second.IsRunning();
}

} // namespace papayafield::rollout
