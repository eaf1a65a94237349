#include "gateway/EndpointMonitor.h"

namespace papayafield::gateway {

namespace {

/// Cache events are asked for in each of so many rounds.
constexpr uint64_t kRoundsPerEvents = 4;

} // namespace

EndpointMonitor::EndpointMonitor(GatewayContext& aContext,
                                 std::function<void(const base::EndpointId&)> aOnLeaving)
  : m_context(aContext)
  , m_onLeaving(std::move(aOnLeaving))
  , m_timer(
      aContext.m_loop.Every(aContext.m_settings.m_endpoints.m_loadPeriod, [this] { Tick(); })) {}

void EndpointMonitor::KeepListed() {
  std::unordered_map<base::EndpointId, Progress> progress;
  for (const routing::EndpointInfo& endpoint : m_context.m_dispatcher.Router().Used()) {
    if (endpoint.m_kind == routing::EndpointKind::Engine) {
      progress[endpoint.m_id] = m_progress[endpoint.m_id];
    }
  }
  // Endpoints that are no longer used are forgotten.
  m_progress = std::move(progress);
}

void EndpointMonitor::AskNew() {
  KeepListed();
  for (auto& [id, state] : m_progress) {
    if (!state.m_asked) {
      state.m_asked = state.m_asking = true;
      AskLoad(*m_context.m_dispatcher.Router().Find(id));
    }
  }
}

void EndpointMonitor::Tick() {
  ++m_round;
  KeepListed();
  for (auto& [id, state] : m_progress) {
    const routing::EndpointInfo* endpoint = m_context.m_dispatcher.Router().Find(id);
    if (!state.m_asking) {
      state.m_asked = state.m_asking = true;
      AskLoad(*endpoint);
    }
    if (m_round % kRoundsPerEvents == 0 && !state.m_askingEvents) {
      state.m_askingEvents = true;
      AskEvents(*endpoint);
    }
  }
}

void EndpointMonitor::AskLoad(const routing::EndpointInfo& aEndpoint) {
  const base::EndpointId id = aEndpoint.m_id;
  m_context.m_engines.Load(aEndpoint.m_address, [this, id](const auto& aLoad) {
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

void EndpointMonitor::AskEvents(const routing::EndpointInfo& aEndpoint) {
  const base::EndpointId id = aEndpoint.m_id;
  m_context.m_engines.Events(
    aEndpoint.m_address, m_progress[id].m_nextEvent, [this, id](const auto& aEvents) {
      const auto found = m_progress.find(id);
      if (found == m_progress.end()) {
        return;
      }
      found->second.m_askingEvents = false;
      if (!aEvents) {
        return;
      }
      routing::Router& router = m_context.m_dispatcher.Router();
      // The first batch only says where the numbers stand.
      if (aEvents->m_gap && found->second.m_nextEvent > 0) {
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
