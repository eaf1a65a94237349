#include "gateway/EndpointMonitor.h"

namespace papayafield::gateway {

namespace {

/// Interval between two polls, which limits the rate to 25 polls per second.
constexpr base::Millis kPollInterval{ 40 };
/// Evicted cache blocks are requested with every n-th poll of an engine.
constexpr uint64_t kPollsPerEvictionQuery = 4;

} // namespace

EndpointMonitor::EndpointMonitor(GatewayContext& aContext,
                                 std::function<void(const base::EndpointId&)> aOnLeaving)
  : m_context(aContext)
  , m_onLeaving(std::move(aOnLeaving))
  , m_timer(aContext.m_loop.Every(kPollInterval, [this] { Tick(); })) {}

void EndpointMonitor::OnEndpointsChanged() {
  std::unordered_map<base::EndpointId, PollState> pollStates;
  for (const routing::EndpointInfo& endpoint : m_context.m_dispatcher.Router().UsedEndpoints()) {
    if (endpoint.m_kind == routing::EndpointKind::Engine) {
      pollStates[endpoint.m_id] = m_pollStates[endpoint.m_id];
    }
  }
  // Drop the state of endpoints that are no longer used.
  m_pollStates = std::move(pollStates);
  for (auto& [id, state] : m_pollStates) {
    if (state.m_pollCount == 0) {
      Poll(id, state);
    }
  }
}

void EndpointMonitor::Tick() {
  // Poll the engine with the oldest poll if its load period has elapsed.
  const base::TimePoint due =
    base::SteadyClock().Now() - m_context.m_settings.m_endpoints.m_loadPollInterval;
  auto oldest = m_pollStates.end();
  for (auto at = m_pollStates.begin(); at != m_pollStates.end(); ++at) {
    if (!at->second.m_pollInFlight && at->second.m_lastPolled <= due &&
        (oldest == m_pollStates.end() || at->second.m_lastPolled < oldest->second.m_lastPolled)) {
      oldest = at;
    }
  }
  if (oldest != m_pollStates.end()) {
    Poll(oldest->first, oldest->second);
  }
}

void EndpointMonitor::Poll(const base::EndpointId& aEndpoint, PollState& aState) {
  const routing::EndpointInfo* endpoint = m_context.m_dispatcher.Router().Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  aState.m_lastPolled = base::SteadyClock().Now();
  aState.m_pollInFlight = true;
  if (++aState.m_pollCount % kPollsPerEvictionQuery == 0) {
    PollEvictions(*endpoint, aState.m_nextEvent);
  }
  PollLoad(*endpoint);
}

void EndpointMonitor::PollLoad(const routing::EndpointInfo& aEndpoint) {
  const base::EndpointId id = aEndpoint.m_id;
  m_context.m_engines.FetchLoad(aEndpoint.m_address, [this, id](const auto& aLoad) {
    if (const auto found = m_pollStates.find(id); found != m_pollStates.end()) {
      found->second.m_pollInFlight = false;
    }
    if (!aLoad) {
      return;
    }
    m_context.m_dispatcher.Router().ReportLoad(id, *aLoad);
    m_context.m_dispatcher.DispatchAll();
    if (aLoad->m_leaving) {
      m_onLeaving(id);
    }
  });
}

void EndpointMonitor::PollEvictions(const routing::EndpointInfo& aEndpoint, uint64_t aFrom) {
  const base::EndpointId id = aEndpoint.m_id;
  m_context.m_engines.FetchEvictions(aEndpoint.m_address, aFrom, [this, id](const auto& aEvents) {
    const auto found = m_pollStates.find(id);
    if (!aEvents || found == m_pollStates.end()) {
      return;
    }
    routing::Router& router = m_context.m_dispatcher.Router();
    // The first batch only establishes the current sequence number, so a gap in it is not reported.
    if (aEvents->m_hasGap && found->second.m_nextEvent > 0) {
      router.RecordCacheEventGap(id);
    }
    found->second.m_nextEvent = aEvents->m_next;
    for (const adapters::engine::CacheEvent& event : aEvents->m_events) {
      if (event.m_evicted) {
        router.RecordCacheEviction(id, event.m_block);
      }
    }
  });
}

} // namespace papayafield::gateway
