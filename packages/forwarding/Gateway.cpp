#include "forwarding/Gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayafield::forwarding {

using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;

namespace {

/// Retry-After of a node that has no configuration yet, in seconds.
constexpr double kNotReadyRetrySeconds = 0.5;
/// Retry-After of a node that is stopping, in seconds: other nodes can take the call at once.
constexpr double kStoppingRetrySeconds = 0.05;
/// Callers honour a Retry-After of up to this fraction of their remaining time.
constexpr double kMaxRetryAfterFraction = 0.33;
/// Maximum number of connections above the limit that are open until their refusal has been sent.
/// Others are closed without an answer, so that a burst cannot use up the descriptors.
constexpr size_t kMaxRefusing = 32;
/// Maximum size of a request head, in bytes.
constexpr size_t kMaxHeadBytes = 65536;

} // namespace

Gateway::Gateway(NodeState& aNode, const base::Address& aAddress, ConnectionLimits aLimits)
  : m_node(aNode)
  , m_maxTotalConnections(aLimits.m_total)
  , m_listener(aNode.m_loop, aAddress, kMaxHeadBytes, [this](auto aConnection) {
    auto caller = std::make_shared<CallerConnection>(
      m_node.m_loop,
      m_node.m_buffers,
      std::move(aConnection),
      m_settings,
      [this](
        RequestHead&& aHead, RequestBodyPtr aBody, base::TimePoint aArrival, AnswerSink aSink) {
        return OnRequest(std::move(aHead), std::move(aBody), aArrival, std::move(aSink));
      },
      [this](const std::shared_ptr<CallerConnection>& aClosed) { m_connections.erase(aClosed); });
    const bool hasRoom = MakeRoom();
    if (!hasRoom && !MayRefuse()) {
      ++m_settings.m_load->m_refused;
      return;
    }
    m_connections.insert(caller);
    if (hasRoom) {
      caller->Start();
    } else {
      caller->Refuse();
    }
  }) {
  m_settings.m_maxConnections = aLimits.m_callers;
}

/// Returns whether one more connection is possible. Each open call has one to its endpoint.
bool Gateway::HasDescriptors() const {
  return m_maxTotalConnections == 0 ||
         m_connections.size() + m_node.m_pool.OpenCount() < m_maxTotalConnections;
}

/// Returns whether one more connection may stay open until its refusal has been sent. Many are
/// accepted at a time, and all of them are open until then.
bool Gateway::MayRefuse() const {
  const size_t callers = m_connections.size();
  return callers < m_settings.m_maxConnections + kMaxRefusing &&
         (m_maxTotalConnections == 0 ||
          callers + m_node.m_pool.OpenCount() < m_maxTotalConnections + kMaxRefusing);
}

/// Makes room for the connection of one more caller, by closing an idle one if necessary. Returns
/// whether there is room.
bool Gateway::MakeRoom() {
  const bool isBelowLimit =
    m_settings.m_maxConnections == 0 || m_connections.size() < m_settings.m_maxConnections;
  if (isBelowLimit && (HasDescriptors() || m_node.m_pool.CloseLongestIdle())) {
    return true;
  }
  return CloseLongestIdle();
}

/// Makes room for a connection to an endpoint, by closing an idle one if necessary. Returns whether
/// there is room.
bool Gateway::MakeRoomForCall() {
  return HasDescriptors() || m_node.m_pool.CloseLongestIdle() || CloseLongestIdle();
}

/// Closes the caller's connection that has been idle for the longest time. Returns false if none is
/// idle.
bool Gateway::CloseLongestIdle() {
  std::shared_ptr<CallerConnection> longest;
  for (const auto& caller : m_connections) {
    const auto since = caller->IdleSince();
    if (since && (longest == nullptr || *since < *longest->IdleSince())) {
      longest = caller;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  CallerLoad& load = *m_settings.m_load;
  ++load.m_idleClosed;
  const auto now = base::BootNow();
  if (load.m_connections.TryTake(now)) {
    m_node.m_log.Event(
      "idle connection closed for a new one",
      { { "idle_ms",
          std::chrono::duration_cast<base::Millis>(now - *longest->IdleSince()).count() },
        { "max_connections", m_settings.m_maxConnections },
        { "closed", load.m_idleClosed },
        { "left_out", load.m_connections.TakeLeftOut() } });
  }
  longest->Close();
  return true;
}

void Gateway::SetMetrics() const {
  const CallerLoad& load = *m_settings.m_load;
  Metrics& metrics = m_node.m_metrics;
  metrics.Set("caller_connections", static_cast<double>(m_connections.size()));
  metrics.Set("caller_connections_limit", static_cast<double>(m_settings.m_maxConnections));
  metrics.Set("endpoint_connections", static_cast<double>(m_node.m_pool.OpenCount()));
  metrics.Set("connections_limit", static_cast<double>(m_maxTotalConnections));
  metrics.Set("connections_refused", static_cast<double>(load.m_refused));
  metrics.Set("idle_connections_closed", static_cast<double>(load.m_idleClosed));
  metrics.Set("requests_discarding", static_cast<double>(load.m_discarding));
  metrics.Set("requests_cut_off", static_cast<double>(load.m_cutOff));
}

size_t Gateway::BusyCount() const {
  return static_cast<size_t>(std::count_if(m_connections.begin(),
                                           m_connections.end(),
                                           [](const auto& aCaller) { return aCaller->IsBusy(); }));
}

void Gateway::ApplyLimits(const fleet::CallerLimits& aLimits) {
  m_settings.m_limits = aLimits;
  for (const auto& caller : m_connections) {
    caller->OnLimitsChanged();
  }
}

void Gateway::AbortCalls() {
  for (const auto& caller : std::set(m_connections)) {
    caller->Abort();
  }
}

void Gateway::Reject(const AnswerSink& aSink,
                     const CallInfo& aCall,
                     int aStatus,
                     const char* aReason,
                     double aRetryAfterSeconds) {
  ResponseHead head;
  head.m_status = aStatus;
  if (!aCall.m_id.empty()) {
    head.m_fields.Add(m_node.m_wire.m_idField, aCall.m_id);
  }
  if (aRetryAfterSeconds > 0) {
    double maxDelay = aRetryAfterSeconds * 2;
    if (aCall.m_callerTimeout) {
      maxDelay =
        std::chrono::duration<double>(*aCall.m_callerTimeout).count() * kMaxRetryAfterFraction;
    }
    char text[16];
    std::snprintf(
      text, sizeof(text), "%.2f", std::min(aRetryAfterSeconds * (0.5 + m_node.Random()), maxDelay));
    head.m_fields.Add("Retry-After", text);
  }
  m_node.m_metrics.CountAnswer(aStatus, aReason);
  m_node.m_log.Event(
    "call rejected",
    { { "request", aCall.m_id },
      { "status", aStatus },
      { "reason", aReason },
      { "host", aCall.m_host },
      { "path", aCall.m_path },
      { "version", m_node.Catalog() == nullptr ? 0 : m_node.Catalog()->Version() } });
  aSink.m_onAnswer(head, {});
}

void Gateway::BeginDrain(const DrainPlan& aPlan) {
  m_settings.m_closeAfterAnswer = true;
  m_drainPlan = aPlan;
}

/// Returns whether a new call is expected to end before this node does.
bool Gateway::FitsDrain(const fleet::Route& aRoute,
                        const CallInfo& aCall,
                        base::TimePoint aNow) const {
  base::Millis oldestOpen{ 0 };
  for (const auto& caller : m_connections) {
    oldestOpen = std::max(oldestOpen, caller->OpenCallAge(aRoute.m_name, aNow));
  }
  const base::Millis expected = std::min(m_node.m_durations.Expected(aRoute, oldestOpen, aNow),
                                         aCall.m_callerTimeout.value_or(base::Millis::max()));
  if (m_drainPlan->MayAccept(expected, aNow)) {
    return true;
  }
  m_node.m_log.Event(
    "call would outlast the stop",
    { { "request", aCall.m_id },
      { "route", aRoute.m_name },
      { "expected_ms", expected.count() },
      { "left_ms", std::chrono::duration_cast<base::Millis>(m_drainPlan->End() - aNow).count() } });
  return false;
}

bool Gateway::TryTakeQuota(const fleet::Team& aTeam, const CallInfo& aCall, base::TimePoint aNow) {
  double units = 1;
  if (aTeam.m_quota.m_countsTokens) {
    units = aCall.m_promptTokens ? *aCall.m_promptTokens + aCall.m_maxOutputTokens
                                 : aTeam.m_quota.m_defaultTokens;
  }
  return m_node.m_quota.TryTake(aTeam.m_id, units, aNow);
}

std::shared_ptr<Exchange> Gateway::OnRequest(RequestHead&& aHead,
                                             RequestBodyPtr aBody,
                                             base::TimePoint aArrival,
                                             AnswerSink aSink) {
  CallInfo call = m_node.m_wire.m_decodeCall(aHead);
  const auto now = base::BootNow();
  if (m_drainPlan && !m_drainPlan->MayAccept(base::Millis(0), now)) {
    Reject(aSink, call, 503, "stopping", kStoppingRetrySeconds);
    return nullptr;
  }
  const fleet::CatalogPtr catalog = m_node.Catalog();
  if (catalog == nullptr) {
    Reject(aSink, call, 503, "no_configuration", kNotReadyRetrySeconds);
    return nullptr;
  }
  const fleet::Route* route = catalog->FindRoute(call.m_host, call.m_path);
  if (route == nullptr) {
    Reject(aSink, call, 404, "no_route", 0);
    return nullptr;
  }
  const fleet::Team* team = nullptr;
  if (catalog->NeedsKeys() && !route->m_public) {
    team = catalog->FindTeam(call.m_key);
    if (team == nullptr) {
      Reject(aSink, call, 401, "unknown_key", 0);
      return nullptr;
    }
  }
  if (m_drainPlan && !FitsDrain(*route, call, now)) {
    Reject(aSink, call, 503, "stopping", kStoppingRetrySeconds);
    return nullptr;
  }
  if (call.m_id.empty()) {
    // Without an ID, the answer cannot be told apart from another call's.
    Reject(aSink, call, 400, "no_request_id", 0);
    return nullptr;
  }
  if (!MakeRoomForCall()) {
    Reject(aSink, call, 503, "no_descriptors", kNotReadyRetrySeconds);
    return nullptr;
  }
  if (team != nullptr && !TryTakeQuota(*team, call, aArrival)) {
    const double level = m_node.m_quota.Level(team->m_id, aArrival);
    const PlannedRefusal refusal = CallPlanner::QuotaRefusal(team->m_quota, level);
    m_node.m_log.Event("quota exceeded",
                       { { "request", call.m_id },
                         { "team", team->m_id.Text() },
                         { "level", level },
                         { "rate", team->m_quota.m_ratePerSecond },
                         { "burst", team->m_quota.m_burst },
                         { "version", catalog->Version() } });
    Reject(aSink, call, refusal.m_status, refusal.m_reason.c_str(), refusal.m_retryAfterSeconds);
    return nullptr;
  }
  return std::make_shared<Exchange>(m_node,
                                    catalog,
                                    *route,
                                    team,
                                    std::move(call),
                                    std::move(aHead),
                                    std::move(aBody),
                                    aArrival,
                                    std::move(aSink));
}

} // namespace papayafield::forwarding
