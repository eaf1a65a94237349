#include "forwarding/CallExplainer.h"

#include "base/Numbers.h"

#include <algorithm>
#include <tuple>

namespace papayafield::forwarding {

using nlohmann::json;

namespace {

/// Draw that stands for the mean of the random Retry-After of calls to mixed services.
constexpr double kMeanDraw = 0.5;

ExplainResponse MakeError(int aStatus, const char* aReason) {
  return { aStatus, { { "title", aReason }, { "reason", aReason } } };
}

const fleet::Team* FindTeamById(const fleet::Catalog& aCatalog, const std::string& aId) {
  const auto& teams = aCatalog.Teams();
  const auto found = std::find_if(
    teams.begin(), teams.end(), [&](const fleet::Team& aTeam) { return aTeam.m_id.Text() == aId; });
  return found == teams.end() ? nullptr : &*found;
}

/// Returns the backend with the greatest weight. Calls are spread over the backends at random.
fleet::ServiceId MostLikelyService(const fleet::Route& aRoute) {
  const auto& backends = aRoute.m_backends;
  const auto greatest =
    std::max_element(backends.begin(), backends.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_weight < aRight.m_weight;
    });
  return greatest == backends.end() ? fleet::ServiceId() : greatest->m_service;
}

const char* OutcomeOf(PlanKind aKind) {
  switch (aKind) {
    case PlanKind::Endpoint:
      return "endpoint";
    case PlanKind::Quarantined:
      return "quarantined";
    case PlanKind::Outage:
    case PlanKind::NoEndpoint:
      return "no_endpoint";
    case PlanKind::TimedOut:
    case PlanKind::Late:
    case PlanKind::Overloaded:
    case PlanKind::RejectionLimit:
      break;
  }
  return "refused";
}

json DescribeRefusal(const PlannedRefusal& aRefusal, double aRetryAfterSeconds) {
  return { { "status", aRefusal.m_status },
           { "reason", aRefusal.m_reason },
           { "retry_after_s", aRetryAfterSeconds } };
}

json DescribeProspect(const scheduling::Prospect& aProspect) {
  return { { "expected_ms", aProspect.m_expectedMs },
           { "time_left_ms", aProspect.m_timeLeftMs },
           { "calls", aProspect.m_calls },
           { "waiting", aProspect.m_waitingCalls },
           { "slots", aProspect.m_slots } };
}

} // namespace

ExplainResponse CallExplainer::Explain(const std::string& aTarget, base::TimePoint aNow) const {
  const auto query = ParseExplainQuery(aTarget);
  const auto invalid = [](const std::string& aParameter) {
    return ExplainResponse{ 400,
                            { { "title", "invalid parameter " + aParameter },
                              { "reason", "invalid_parameter" },
                              { "parameter", aParameter } } };
  };
  if (!query) {
    return invalid(query.error());
  }
  const fleet::CatalogPtr& catalog = m_node.Catalog();
  if (catalog == nullptr) {
    return MakeError(503, "no_configuration");
  }
  const fleet::Team* team = FindTeamById(*catalog, query->m_team);
  if (!query->m_team.empty() && team == nullptr) {
    return invalid("team");
  }
  const CallInfo& call = query->m_call;
  json body = { { "note", "Snapshot of this node; the next call may go elsewhere." },
                { "configuration", catalog->Version() },
                { "host", call.m_host },
                { "path", call.m_path },
                { "method", query->m_method },
                { "team", query->m_team } };
  const fleet::Route* route = catalog->FindRoute(call.m_host, call.m_path);
  if (route == nullptr) {
    body["outcome"] = "no_route";
    body["refusal"] = DescribeRefusal({ 404, "no_route" }, 0);
  } else {
    // As for callers, a team counts only where the route needs a key.
    const bool needsKey = catalog->NeedsKeys() && !route->m_public;
    body.update(ExplainCall(*catalog, *route, needsKey ? team : nullptr, call, aNow));
  }
  return { 200, std::move(body) };
}

json CallExplainer::ExplainCall(const fleet::Catalog& aCatalog,
                                const fleet::Route& aRoute,
                                const fleet::Team* aTeam,
                                const CallInfo& aCall,
                                base::TimePoint aNow) const {
  const fleet::ServiceId service = MostLikelyService(aRoute);
  const std::set<base::EndpointId> tried;
  const CallPlanner planner(m_node,
                            { aCatalog,
                              aRoute,
                              aCall,
                              service,
                              CallPlanner::PriorityOf(aTeam, aRoute),
                              aNow,
                              CallPlanner::DeadlineOf(aRoute, aCall, aNow),
                              tried,
                              0,
                              false,
                              std::nullopt });
  const CallPlan plan = planner.Preview(aNow);
  json body = { { "route", aRoute.m_name },     { "service", service.Text() },
                { "backends", json::array() },  { "outcome", OutcomeOf(plan.m_kind) },
                { "endpoint", nullptr },        { "queue_delay_ms", nullptr },
                { "refusal", nullptr },         { "admission", nullptr },
                { "quota", nullptr },           { "peer_loads", DescribePeerLoads() },
                { "engine_priority", nullptr }, { "slack_ms", nullptr } };
  for (const fleet::Backend& backend : aRoute.m_backends) {
    body["backends"].push_back(
      { { "service", backend.m_service.Text() }, { "weight", backend.m_weight } });
  }
  if (plan.m_prospect) {
    body["admission"] = DescribeProspect(*plan.m_prospect);
  }
  if (plan.m_refusal) {
    const double retryAfter =
      plan.m_kind == PlanKind::Late
        ? planner.RetryAfterSeconds(m_node.m_admission.RoomInMs(*plan.m_prospect), aNow, kMeanDraw)
        : plan.m_refusal->m_retryAfterSeconds +
            std::chrono::duration<double>(plan.m_refusal->m_minRetryAfter).count();
    body["refusal"] = DescribeRefusal(*plan.m_refusal, retryAfter);
  }
  const std::string chosen =
    plan.m_kind == PlanKind::Endpoint
      ? m_node.m_directory.Ready()[*plan.m_endpoint].m_incarnation.m_endpoint.Text()
      : "";
  if (!chosen.empty()) {
    body["endpoint"] = chosen;
    body["queue_delay_ms"] = plan.m_expectedDelayMs;
  }
  const bool isEngine = aCall.m_promptTokens.has_value();
  if (plan.m_endpoint && isEngine) {
    const PlannedPriority priority = planner.EnginePriority(plan.m_expectedDelayMs, aNow);
    body["engine_priority"] = priority.m_level;
    if (priority.m_slackMs) {
      body["slack_ms"] = *priority.m_slackMs;
    }
  }
  AddCandidates(planner, chosen, isEngine, aNow, body);
  if (aTeam != nullptr) {
    body["quota"] = DescribeQuota(*aTeam, aNow);
    // Nodes check the quota before anything else is decided on a call.
    if (!body["quota"]["admits"]) {
      const PlannedRefusal refusal = CallPlanner::QuotaRefusal(
        aTeam->m_quota, m_node.m_quota.Preview(aTeam->m_id, aNow).m_level);
      body["outcome"] = "quota";
      body["endpoint"] = nullptr;
      body["queue_delay_ms"] = nullptr;
      body["refusal"] = DescribeRefusal(refusal, refusal.m_retryAfterSeconds);
    }
  }
  return body;
}

json CallExplainer::DescribeQuota(const fleet::Team& aTeam, base::TimePoint aNow) const {
  const auto preview = m_node.m_quota.Preview(aTeam.m_id, aNow);
  return { { "admits", preview.m_admits },
           { "level", preview.m_level },
           { "rate", aTeam.m_quota.m_ratePerSecond },
           { "burst", aTeam.m_quota.m_burst } };
}

json CallExplainer::DescribePeerLoads() const {
  json loads = { { "peers", m_peerLoadAges.size() } };
  if (!m_peerLoadAges.empty()) {
    const auto [youngest, oldest] =
      std::minmax_element(m_peerLoadAges.begin(), m_peerLoadAges.end());
    loads["youngest_ms"] = youngest->count();
    loads["oldest_ms"] = oldest->count();
  }
  return loads;
}

json CallExplainer::DescribeCandidate(const placement::CandidateState& aCandidate,
                                      bool aIsEngine,
                                      base::TimePoint aNow) const {
  const fleet::Endpoint& endpoint = aCandidate.m_endpoint;
  json excluded = nullptr;
  if (aCandidate.m_isExcluded) {
    // Besides what endpoints state about themselves, only a roll-out excludes them.
    const auto reason = m_node.m_availability.Check(endpoint.m_incarnation, aNow);
    excluded = reason ? std::string(base::NameOf(*reason)) : "rollout";
  }
  return { { "endpoint", endpoint.m_incarnation.m_endpoint.Text() },
           { "zone", endpoint.m_zone.Text() },
           { "version", endpoint.m_version },
           { "expected_ms", aCandidate.m_expectedMs },
           { "open_calls", aCandidate.m_load.m_calls },
           { "pending_tokens", aCandidate.m_load.m_pendingPromptTokens },
           { "prefill_tokens_per_ms",
             aIsEngine ? json(1 / m_node.m_engines.ReadMs(endpoint, 1)) : json() },
           { "failure_rate", aCandidate.m_failureRate },
           { "avoided", aCandidate.m_isAvoided ? json("recent failures") : json() },
           { "excluded", excluded },
           { "cache_rank", aCandidate.m_cacheRank > 0 ? json(aCandidate.m_cacheRank) : json() } };
}

void CallExplainer::AddCandidates(const CallPlanner& aPlanner,
                                  const std::string& aChosen,
                                  bool aIsEngine,
                                  base::TimePoint aNow,
                                  json& aBody) const {
  auto candidates = m_node.m_placement.Describe(
    aPlanner.MakePlacementRequest(aNow), m_node.m_directory.Ready(), aNow);
  const auto order = [&](const placement::CandidateState& aCandidate) {
    return std::tuple(aCandidate.m_endpoint.m_incarnation.m_endpoint.Text() != aChosen,
                      aCandidate.m_isExcluded,
                      aCandidate.m_isAvoided,
                      aCandidate.m_expectedMs);
  };
  std::stable_sort(
    candidates.begin(), candidates.end(), [&](const auto& aLeft, const auto& aRight) {
      return order(aLeft) < order(aRight);
    });
  const size_t shown = std::min(candidates.size(), kMaxCandidates);
  aBody["candidates"] = json::array();
  for (size_t i = 0; i < shown; ++i) {
    aBody["candidates"].push_back(DescribeCandidate(candidates[i], aIsEngine, aNow));
  }
  aBody["candidates_omitted"] = candidates.size() - shown;
}

} // namespace papayafield::forwarding
