#include "forwarding/CallPlanner.h"

#include "forwarding/RetryDecision.h"

#include <algorithm>

namespace papayafield::forwarding {

namespace {

/// Fraction of the shared prompt parts that an endpoint is expected to process again.
constexpr double kSharedPrefillFraction = 0.2;
/// Retry-After in seconds while all endpoints of a service leave: others may register soon.
constexpr double kLeavingRetrySeconds = 1.0;
/// Retry-After in seconds of a service without endpoints.
constexpr double kNoEndpointRetrySeconds = 1.0;
/// Mean Retry-After in seconds while no endpoint of a service has room that is safe to use.
constexpr double kNoRoomRetrySeconds = 0.5;
/// Mean time in seconds over which callers return after the end of an endpoint's pause.
constexpr double kReturnSpreadSeconds = 0.2;
/// Added to the time in seconds until a team's bucket is full enough.
constexpr double kQuotaRetrySeconds = 0.1;
constexpr double kMillisPerSecond = 1000;

} // namespace

fleet::ServiceId CallPlanner::SelectService(const fleet::Route& aRoute, double aDraw) {
  double total = 0;
  for (const fleet::Backend& backend : aRoute.m_backends) {
    total += backend.m_weight;
  }
  double draw = aDraw * total;
  for (const fleet::Backend& backend : aRoute.m_backends) {
    draw -= backend.m_weight;
    if (draw < 0) {
      return backend.m_service;
    }
  }
  return aRoute.m_backends.empty() ? fleet::ServiceId() : aRoute.m_backends.back().m_service;
}

int CallPlanner::PriorityOf(const fleet::Team* aTeam, const fleet::Route& aRoute) {
  return aTeam == nullptr ? aRoute.m_priority : aTeam->m_priority.value_or(aRoute.m_priority);
}

base::TimePoint CallPlanner::DeadlineOf(const fleet::Route& aRoute,
                                        const CallInfo& aCall,
                                        base::TimePoint aArrival) {
  base::Millis timeout = aRoute.m_timeout;
  if (aCall.m_callerTimeout) {
    timeout = std::min(timeout, *aCall.m_callerTimeout);
  }
  return aArrival + timeout;
}

PlannedRefusal CallPlanner::QuotaRefusal(const fleet::Quota& aQuota, double aLevel) {
  return { 429, "over_quota", -aLevel / aQuota.m_ratePerSecond + kQuotaRetrySeconds };
}

base::Millis CallPlanner::TimeLeft(base::TimePoint aNow) const {
  return std::chrono::duration_cast<base::Millis>(m_facts.m_deadline - aNow);
}

double CallPlanner::OwnTokens() const {
  const CallInfo& call = m_facts.m_call;
  return call.m_promptParts.empty() ? call.m_promptTokens.value_or(0)
                                    : call.m_promptParts.back().m_tokens;
}

double CallPlanner::SharedTokens() const {
  return std::max(m_facts.m_call.m_promptTokens.value_or(0) - OwnTokens(), 0.0);
}

double CallPlanner::UncachedTokens() const {
  return m_facts.m_call.m_promptTokens ? OwnTokens() + SharedTokens() * kSharedPrefillFraction : 0;
}

const scheduling::CallClasses* CallPlanner::MixedClasses() const {
  return m_facts.m_call.m_promptTokens ? m_node.MixedClasses(m_facts.m_service) : nullptr;
}

scheduling::CallClass CallPlanner::CallClass() const {
  return { m_facts.m_priority, m_facts.m_route.m_latencyTarget };
}

placement::PlacementRequest CallPlanner::MakePlacementRequest(base::TimePoint aNow) const {
  const fleet::ServiceId& serviceId = m_facts.m_service;
  placement::PlacementRequest request;
  request.m_service = serviceId;
  request.m_subject = m_facts.m_call.SharedPartId();
  request.m_promptTokens = UncachedTokens();
  request.m_zone = m_node.m_zone;
  request.m_tried = m_facts.m_tried;
  request.m_unavailable = m_node.m_availability.Unavailable(aNow);
  const fleet::Service* service = m_facts.m_catalog.FindService(serviceId);
  if (MixedClasses() != nullptr && service != nullptr && service->m_engine) {
    request.m_mix =
      scheduling::CallNeeds{ request.m_promptTokens,
                             MixedClasses()->Urgency(CallClass()),
                             static_cast<double>(service->m_engine->m_slots),
                             SharedTokens(),
                             static_cast<double>(m_facts.m_route.m_latencyTarget.count()) };
    request.m_preference = m_node.PreferenceOf(serviceId, CallClass());
    if (request.m_preference) {
      request.m_sharedTokens = SharedTokens();
    }
  }
  m_node.m_versions.AddExcluded(serviceId,
                                m_node.m_directory.Ready(),
                                m_facts.m_tried,
                                m_facts.m_attempts == 0 && m_facts.m_call.m_lastEventId.empty(),
                                aNow,
                                request.m_unavailable);
  request.m_unavailable.merge(WithoutRoom(aNow));
  if (m_facts.m_version) {
    for (const fleet::Endpoint& endpoint : m_node.m_directory.Ready()) {
      if (endpoint.m_service == serviceId && endpoint.m_version != *m_facts.m_version) {
        request.m_unavailable.insert(endpoint.m_incarnation);
      }
    }
  }
  return request;
}

scheduling::Prospect CallPlanner::MakeProspect(base::TimePoint aNow) const {
  placement::PlacementRequest request = MakePlacementRequest(aNow);
  request.m_tried.clear();
  const placement::Outlook outlook =
    m_node.m_placement.OutlookFor(request, m_node.m_directory.Ready(), aNow);
  return { outlook.m_shortestDelayMs +
             m_node.m_engines.WorkMs(m_facts.m_service, request.m_promptTokens, 0),
           static_cast<double>(TimeLeft(aNow).count()),
           outlook.m_calls,
           outlook.m_waitingCalls,
           outlook.m_slots };
}

double CallPlanner::RetryAfterSeconds(double aRoomInMs,
                                      base::TimePoint aNow,
                                      double aRandom) const {
  const scheduling::CallClasses* classes = MixedClasses();
  return m_node.m_admission.RetryAfterSeconds(
    aRoomInMs,
    static_cast<double>(TimeLeft(aNow).count()),
    { classes->PriorityRank(m_facts.m_priority), classes->PriorityCount() },
    aRandom);
}

PlannedPriority CallPlanner::EnginePriority(double aExpectedDelayMs, base::TimePoint aNow) const {
  const scheduling::CallClasses* classes = MixedClasses();
  if (classes == nullptr || !m_node.m_ordersBySlack) {
    return { m_facts.m_priority, std::nullopt };
  }
  const auto elapsed = std::chrono::duration_cast<base::Millis>(aNow - m_facts.m_arrival);
  const double slackMs = static_cast<double>((m_facts.m_route.m_latencyTarget - elapsed).count()) -
                         aExpectedDelayMs -
                         m_node.m_engines.WorkMs(m_facts.m_service, UncachedTokens(), 0);
  return { classes->EnginePriority(CallClass(), slackMs), slackMs };
}

PlannedRefusal CallPlanner::QuarantineRefusal(base::Millis aRemaining) const {
  return { FinalStatus(m_facts.m_mayHaveRun, false),
           "prompt_quarantined",
           std::chrono::duration<double>(aRemaining).count() };
}

bool CallPlanner::IsVersionGone() const {
  const auto& ready = m_node.m_directory.Ready();
  return m_facts.m_version &&
         std::none_of(ready.begin(), ready.end(), [&](const fleet::Endpoint& aEndpoint) {
           return aEndpoint.m_service == m_facts.m_service &&
                  aEndpoint.m_version == *m_facts.m_version;
         });
}

/// Returns the endpoints of the service that might reject another call for want of room, and do not
/// tolerate that.
std::set<fleet::Incarnation> CallPlanner::WithoutRoom(base::TimePoint aNow) const {
  std::set<fleet::Incarnation> endpoints;
  if (!m_node.m_rejectionLimit.Holds(m_facts.m_service, aNow)) {
    return endpoints;
  }
  for (const fleet::Endpoint& endpoint : m_node.m_directory.Ready()) {
    const fleet::Incarnation& incarnation = endpoint.m_incarnation;
    if (endpoint.m_service == m_facts.m_service &&
        !m_node.m_rejectionLimit.Admits(
          endpoint, m_node.OpenCallsAt(incarnation.m_endpoint), aNow)) {
      endpoints.insert(incarnation);
    }
  }
  return endpoints;
}

/// Returns the refusal of a call that no endpoint may get.
CallPlan CallPlanner::PlanWithoutEndpoint(base::TimePoint aNow) const {
  CallPlan plan;
  const int status = FinalStatus(m_facts.m_mayHaveRun, false);
  if (IsVersionGone()) {
    plan.m_refusal = PlannedRefusal{ status, "version_gone", 0 };
    return plan;
  }
  plan.m_outage =
    m_node.m_availability.FindOutage(m_facts.m_service, m_node.m_directory.Ready(), aNow);
  if (!plan.m_outage && !WithoutRoom(aNow).empty()) {
    plan.m_kind = PlanKind::RejectionLimit;
    plan.m_refusal = PlannedRefusal{ status, "overload", kNoRoomRetrySeconds };
    return plan;
  }
  if (!plan.m_outage) {
    plan.m_refusal = PlannedRefusal{ status, "no_endpoint", kNoEndpointRetrySeconds };
    return plan;
  }
  const bool waiting = plan.m_outage->m_reason == fleet::Unavailability::Waiting;
  plan.m_kind = PlanKind::Outage;
  plan.m_refusal = PlannedRefusal{ status,
                                   std::string(base::NameOf(plan.m_outage->m_reason)),
                                   waiting ? kReturnSpreadSeconds : kLeavingRetrySeconds,
                                   plan.m_outage->m_firstEnd };
  return plan;
}

CallPlan CallPlanner::Decide(base::TimePoint aNow) const {
  const auto& ready = m_node.m_directory.Ready();
  const auto choice = m_node.m_placement.Choose(MakePlacementRequest(aNow), ready, aNow);
  if (!choice) {
    return PlanWithoutEndpoint(aNow);
  }
  CallPlan plan;
  plan.m_kind = PlanKind::Endpoint;
  plan.m_endpoint = choice;
  plan.m_expectedDelayMs = m_node.m_placement.ExpectedLoadDelayMs(
    ready[*choice], m_facts.m_call.m_promptTokens.has_value());
  if (m_facts.m_attempts > 0) {
    return plan;
  }
  if (MixedClasses() != nullptr) {
    plan.m_prospect = MakeProspect(aNow);
    if (m_node.m_admission.Refuses(*plan.m_prospect)) {
      plan.m_kind = PlanKind::Late;
      plan.m_refusal = PlannedRefusal{
        503, "overload", m_node.m_admission.RoomInMs(*plan.m_prospect) / kMillisPerSecond
      };
    }
  } else if (plan.m_expectedDelayMs > static_cast<double>(TimeLeft(aNow).count())) {
    plan.m_kind = PlanKind::Overloaded;
    plan.m_refusal =
      PlannedRefusal{ 503, "overload", plan.m_expectedDelayMs / kMillisPerSecond / 2 };
  }
  return plan;
}

CallPlan CallPlanner::Preview(base::TimePoint aNow) const {
  CallPlan plan;
  if (TimeLeft(aNow) < kMinAttemptTime) {
    plan.m_kind = PlanKind::TimedOut;
    return plan;
  }
  if (const auto remaining = m_node.m_crashGuard.PeekRefusalTime(m_facts.m_call, aNow)) {
    plan.m_kind = PlanKind::Quarantined;
    plan.m_refusal = QuarantineRefusal(*remaining);
    return plan;
  }
  return Decide(aNow);
}

} // namespace papayafield::forwarding
