#include "gateway/EndpointMonitor.h"

namespace papayafield::gateway {

namespace {

/// Time between two questions for a load: 25 a second at most.
constexpr base::Millis kAskGap{ 40 };
/// Dropped cache blocks are asked for with each so many-th question to an engine.
constexpr uint64_t kAsksPerEvictions = 4;

} // namespace

EndpointMonitor::EndpointMonitor(GatewayContext& aContext,
                                 std::function<void(const base::EndpointId&)> aOnLeaving)
  : m_context(aContext)
  , m_onLeaving(std::move(aOnLeaving))
  , m_timer(aContext.m_loop.Every(kAskGap, [this] { Tick(); })) {}

void EndpointMonitor::EndpointsChanged() {
  std::unordered_map<base::EndpointId, Progress> progress;
  for (const routing::EndpointInfo& endpoint : m_context.m_dispatcher.Router().Used()) {
    if (endpoint.m_kind == routing::EndpointKind::Engine) {
      progress[endpoint.m_id] = m_progress[endpoint.m_id];
    }
  }
  // Endpoints that are no longer used are forgotten.
  m_progress = std::move(progress);
  for (auto& [id, state] : m_progress) {
    if (state.m_asks == 0) {
      Ask(id, state);
    }
  }
}

void EndpointMonitor::Tick() {
  // The one that has waited longest, if it is due.
  const base::TimePoint due =
    base::SteadyClock().Now() - m_context.m_settings.m_endpoints.m_loadPeriod;
  auto oldest = m_progress.end();
  for (auto at = m_progress.begin(); at != m_progress.end(); ++at) {
    if (!at->second.m_asking && at->second.m_lastAsked <= due &&
        (oldest == m_progress.end() || at->second.m_lastAsked < oldest->second.m_lastAsked)) {
      oldest = at;
    }
  }
  if (oldest != m_progress.end()) {
    Ask(oldest->first, oldest->second);
  }
}

void EndpointMonitor::Ask(const base::EndpointId& aEndpoint, Progress& aProgress) {
  const routing::EndpointInfo* endpoint = m_context.m_dispatcher.Router().Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  aProgress.m_lastAsked = base::SteadyClock().Now();
  aProgress.m_asking = true;
  if (++aProgress.m_asks % kAsksPerEvictions == 0) {
    AskEvictions(*endpoint, aProgress.m_nextEvent);
  }
  AskLoad(*endpoint);
}

void EndpointMonitor::AskLoad(const routing::EndpointInfo& aEndpoint) {
  const base::EndpointId id = aEndpoint.m_id;
  m_context.m_engines.FetchLoad(aEndpoint.m_address, [this, id](const auto& aLoad) {
    if (const auto found = m_progress.find(id); found != m_progress.end()) {
      found->second.m_asking = false;
    }
    if (!aLoad) {
      return;
    }
    m_context.m_dispatcher.Router().ReportLoad(id, *aLoad);
    m_context.m_dispatcher.PumpAll();
    if (aLoad->m_leaving) {
      m_onLeaving(id);
    }
  });
}

void EndpointMonitor::AskEvictions(const routing::EndpointInfo& aEndpoint, uint64_t aFrom) {
  const base::EndpointId id = aEndpoint.m_id;
  m_context.m_engines.FetchEvictions(aEndpoint.m_address, aFrom, [this, id](const auto& aEvents) {
    const auto found = m_progress.find(id);
    if (!aEvents || found == m_progress.end()) {
      return;
    }
    routing::Router& router = m_context.m_dispatcher.Router();
    // The first batch only says where the numbers stand.
    if (aEvents->m_hasGap && found->second.m_nextEvent > 0) {
      router.NoteGap(id);
    }
    found->second.m_nextEvent = aEvents->m_next;
    for (const adapters::engine::CacheEvent& event : aEvents->m_events) {
      if (event.m_evicted) {
        router.NoteEvicted(id, event.m_block);
      }
    }
  });
}

} // namespace papayafield::gateway
