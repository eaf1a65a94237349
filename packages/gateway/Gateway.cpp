#include "gateway/Gateway.h"

#include "base/Json.h"

#include <csignal>

namespace papayafield::gateway {

namespace {

using adapters::http::ExchangePtr;
using base::EventKind;
using requests::Outcome;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
/// Time that the start of a drain takes to reach all nodes through gossip.
constexpr base::Millis kGossipMargin{ 2000 };
constexpr base::Millis kDrainCheckInterval{ 50 };
/// Time reserved for handing over answers before the host terminates.
constexpr base::Millis kHandOverReserve{ 500 };

adapters::http::HttpServerSettings ServerSettings(const settings::NodeSettings& aSettings) {
  adapters::http::HttpServerSettings server;
  server.m_listen = aSettings.m_callerAddress;
  server.m_maxBodyBytes = aSettings.m_limits.m_maxBodyBytes;
  server.m_maxHeaderBytes = aSettings.m_limits.m_maxHeaderBytes;
  server.m_maxConnections = aSettings.m_limits.m_maxConnections;
  server.m_readTimeout = aSettings.m_limits.m_readTimeout;
  return server;
}

adapters::engine::EngineClientSettings EngineSettings(const settings::NodeSettings& aSettings) {
  adapters::engine::EngineClientSettings engine;
  engine.m_connectTimeout = aSettings.m_endpoints.m_connectTimeout;
  engine.m_streamIdleTimeout = aSettings.m_endpoints.m_streamIdleTimeout;
  return engine;
}

} // namespace

Gateway::Gateway(const settings::NodeSettings& aSettings,
                 base::IncarnationId aIncarnation,
                 base::Timeline& aTimeline,
                 tasks::Mailboxes& aMailboxes)
  : m_settings(aSettings)
  , m_log("gateway")
  , m_http(m_loop)
  , m_engines(m_http, EngineSettings(aSettings))
  , m_dispatcher(m_loop, m_metrics, aSettings.m_name)
  , m_context{ aSettings,  std::move(aIncarnation),
               m_loop,     m_http,
               m_engines,  m_dispatcher,
               aTimeline,  m_metrics,
               aMailboxes, {},
               {},         false }
  , m_callers(m_context)
  , m_operators(m_context, [this](std::optional<base::Millis> aTimeLimit) { Drain(aTimeLimit); })
  , m_monitor(m_context, [this](const base::EndpointId& aId) { OnEndpointLeaving(aId, true); })
  , m_server(m_loop, ServerSettings(aSettings), [this](const ExchangePtr& aExchange) {
    OnExchange(aExchange);
  }) {}

int Gateway::Run() {
  m_mailWatch = m_loop.Receive(m_context.m_mailboxes.m_gateway,
                               [this](auto aMessage) { OnMessage(std::move(aMessage)); });
  m_termWatch = m_loop.OnSignal(SIGTERM, [this] { Drain(std::nullopt); });
  m_intWatch = m_loop.OnSignal(SIGINT, [this] { Drain(std::nullopt); });
  if (!m_server.Listen()) {
    m_log.Error("Cannot listen at " + m_settings.m_callerAddress.ToText() + ".");
    return 1;
  }
  m_log.Info("Listening at " + m_settings.m_callerAddress.ToText() + ".");
  m_loop.Run();
  return 0;
}

void Gateway::OnExchange(const ExchangePtr& aExchange) {
  const std::string& path = aExchange->Path();
  if (m_context.m_draining) {
    aExchange->CloseAfterResponse();
  }
  if (path == "/healthz") {
    aExchange->Reply(kOk, {}, "ok\n");
  } else if (path == "/readyz") {
    aExchange->Reply(
      IsReady() ? kOk : kServiceUnavailable, {}, IsReady() ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    m_metrics.SetOpenRequests(static_cast<double>(m_callers.OpenRequestCount()));
    aExchange->Reply(
      kOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.ToPrometheusText());
  } else if (path.starts_with("/operator/")) {
    m_operators.Handle(aExchange);
  } else {
    m_callers.Handle(aExchange);
  }
}

bool Gateway::IsReady() const {
  return m_context.m_configuration.m_generation > 0 && !m_context.m_draining;
}

void Gateway::OnMessage(tasks::GatewayMessage aMessage) {
  std::visit(
    tasks::Overloaded{
      [this](tasks::ConfigurationUpdate& aSeen) {
        ApplyConfiguration(std::move(aSeen.m_configuration));
      },
      [this](const tasks::EndpointListUpdate& aSeen) { UpdateEndpoints(aSeen.m_endpoints); },
      [this](const tasks::EndpointLeavingNotice& aSeen) {
        OnEndpointLeaving(aSeen.m_endpoint, false);
      },
      [this](tasks::MemberListUpdate& aSeen) { m_context.m_members = std::move(aSeen.m_members); },
      [this](const tasks::ApplyResponse& aAnswer) { m_operators.OnApply(aAnswer); },
      [this](const tasks::ClaimResponse& aAnswer) { m_callers.OnClaim(aAnswer); },
    },
    aMessage);
}

void Gateway::ApplyConfiguration(tasks::Configuration aConfiguration) {
  // The generation only ever increases, whatever the source of the configuration.
  if (aConfiguration.m_generation <= m_context.m_configuration.m_generation) {
    return;
  }
  m_context.m_configuration = std::move(aConfiguration);
  m_context.m_timeline.Add(EventKind::GenerationActivated,
                           {},
                           std::to_string(m_context.m_configuration.m_generation),
                           "set by " + m_context.m_configuration.m_setBy);
  m_log.Info("Generation " + std::to_string(m_context.m_configuration.m_generation) +
             " is active.");
}

void Gateway::UpdateEndpoints(const std::vector<routing::EndpointInfo>& aEndpoints) {
  m_dispatcher.Router().SetEndpoints(aEndpoints);
  m_monitor.OnEndpointsChanged();
  for (const routing::EndpointInfo& endpoint : aEndpoints) {
    if (endpoint.m_state == routing::EndpointState::Leaving) {
      OnEndpointLeaving(endpoint.m_id, true);
    }
  }
  m_dispatcher.DispatchAll();
}

void Gateway::OnEndpointLeaving(const base::EndpointId& aEndpoint, bool aNotifyPeers) {
  if (m_dispatcher.Router().MarkLeaving(aEndpoint)) {
    m_monitor.OnEndpointsChanged();
  }
  if (!m_leavingEndpoints.insert(aEndpoint).second) {
    return;
  }
  m_context.m_timeline.Add(EventKind::EndpointLeaving, {}, aEndpoint.Text());
  m_log.Info("Endpoint " + aEndpoint.Text() + " is leaving.");
  if (aNotifyPeers) {
    m_context.m_mailboxes.m_peers.Send(tasks::EndpointLeavingNotice{ aEndpoint });
  }
  m_callers.OnEndpointLeaving(aEndpoint);
}

void Gateway::Drain(std::optional<base::Millis> aTimeLimit) {
  if (aTimeLimit) {
    m_handOverAt = base::SteadyClock().Now() + *aTimeLimit - kHandOverReserve;
  }
  if (m_context.m_draining) {
    return;
  }
  m_context.m_draining = true;
  m_context.m_timeline.Add(EventKind::NodeDraining, {});
  m_log.Info("Draining.");
  m_context.m_mailboxes.m_platform.Send(tasks::DrainStarted{});
  m_context.m_mailboxes.m_peers.Send(tasks::DrainStarted{});
  // Callers may use a discovery response that lists this node until its lifetime ends.
  m_listenUntil = base::SteadyClock().Now() + m_settings.m_discoveryLifetime + kGossipMargin;
  m_drainTimer = m_loop.Every(kDrainCheckInterval, [this] { CheckDrained(); });
}

std::optional<base::Address> Gateway::ChooseHandOverNode() const {
  // Prefer a node in this zone.
  const tasks::Member* next = nullptr;
  for (const tasks::Member& member : m_context.m_members) {
    if (member.m_state == tasks::MemberState::Alive && member.m_node != m_settings.m_name &&
        (next == nullptr || member.m_zone == m_settings.m_zone)) {
      next = &member;
    }
  }
  return next == nullptr ? std::nullopt : std::optional(next->m_callerAddress);
}

void Gateway::CheckDrained() {
  if (m_handOverAt && base::SteadyClock().Now() >= *m_handOverAt) {
    // The host terminates before the answers can complete at this node.
    if (const auto next = ChooseHandOverNode()) {
      m_callers.HandOverAll(*next);
    }
  }
  if (base::SteadyClock().Now() < m_listenUntil) {
    return;
  }
  // No valid discovery response lists this node any more. Open requests run to completion.
  m_server.StopListening();
  m_server.CloseIdleConnections();
  if (m_callers.OpenRequestCount() > 0 || m_server.ConnectionCount() > 0) {
    return;
  }
  m_context.m_timeline.Add(EventKind::NodeStopped, {});
  m_log.Info("Drained.");
  m_loop.Stop();
}

} // namespace papayafield::gateway
