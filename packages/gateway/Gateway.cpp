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
/// Time that the news of a drain takes to reach all nodes.
constexpr base::Millis kNewsMargin{ 2000 };
constexpr base::Millis kDrainCheck{ 50 };
/// Time kept for handing answers over before the host goes.
constexpr base::Millis kHandOverMargin{ 500 };

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
  engine.m_streamIdle = aSettings.m_endpoints.m_streamIdle;
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
  , m_operators(m_context, [this](std::optional<base::Millis> aWithin) { Drain(aWithin); })
  , m_monitor(m_context, [this](const base::EndpointId& aId) { Leaving(aId, true); })
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
    aExchange->Reply(Ready() ? kOk : kServiceUnavailable, {}, Ready() ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    m_metrics.SetOpen(static_cast<double>(m_callers.OpenRequests()));
    aExchange->Reply(kOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.Page());
  } else if (path.starts_with("/operator/")) {
    m_operators.Handle(aExchange);
  } else {
    m_callers.Handle(aExchange);
  }
}

bool Gateway::Ready() const {
  return m_context.m_configuration.m_generation > 0 && !m_context.m_draining;
}

void Gateway::OnMessage(tasks::GatewayMessage aMessage) {
  std::visit(
    tasks::Overloaded{
      [this](tasks::ConfigurationSeen& aSeen) { Adopt(std::move(aSeen.m_configuration)); },
      [this](const tasks::EndpointsSeen& aSeen) { TakeEndpoints(aSeen.m_endpoints); },
      [this](const tasks::LeavingSeen& aSeen) { Leaving(aSeen.m_endpoint, false); },
      [this](tasks::MembersSeen& aSeen) { m_context.m_members = std::move(aSeen.m_members); },
      [this](const tasks::ApplyAnswer& aAnswer) { m_operators.OnApply(aAnswer); },
      [this](const tasks::ClaimAnswer& aAnswer) { m_callers.OnClaim(aAnswer); },
    },
    aMessage);
}

void Gateway::Adopt(tasks::Configuration aConfiguration) {
  // Only ever upwards, whoever brings it.
  if (aConfiguration.m_generation <= m_context.m_configuration.m_generation) {
    return;
  }
  m_context.m_configuration = std::move(aConfiguration);
  m_context.m_timeline.Add(EventKind::GenerationAdopted,
                           {},
                           std::to_string(m_context.m_configuration.m_generation),
                           "set by " + m_context.m_configuration.m_setBy);
  m_log.Info("Generation " + std::to_string(m_context.m_configuration.m_generation) +
             " is in force.");
}

void Gateway::TakeEndpoints(const std::vector<routing::EndpointInfo>& aEndpoints) {
  m_dispatcher.Router().SetEndpoints(aEndpoints);
  m_monitor.EndpointsChanged();
  for (const routing::EndpointInfo& endpoint : aEndpoints) {
    if (endpoint.m_state == routing::EndpointState::Leaving) {
      Leaving(endpoint.m_id, true);
    }
  }
  m_dispatcher.PumpAll();
}

void Gateway::Leaving(const base::EndpointId& aEndpoint, bool aTellOthers) {
  if (m_dispatcher.Router().MarkLeaving(aEndpoint)) {
    m_monitor.EndpointsChanged();
  }
  if (!m_leaving.insert(aEndpoint).second) {
    return;
  }
  m_context.m_timeline.Add(EventKind::EndpointLeaving, {}, aEndpoint.Text());
  m_log.Info("Endpoint " + aEndpoint.Text() + " is leaving.");
  if (aTellOthers) {
    m_context.m_mailboxes.m_peers.Send(tasks::LeavingSeen{ aEndpoint });
  }
  m_callers.EndpointLeaving(aEndpoint);
}

void Gateway::Drain(std::optional<base::Millis> aWithin) {
  if (aWithin) {
    m_handOverAt = base::SteadyClock().Now() + *aWithin - kHandOverMargin;
  }
  if (m_context.m_draining) {
    return;
  }
  m_context.m_draining = true;
  m_context.m_timeline.Add(EventKind::NodeDraining, {});
  m_log.Info("Draining.");
  m_context.m_mailboxes.m_platform.Send(tasks::DrainStarted{});
  m_context.m_mailboxes.m_peers.Send(tasks::DrainStarted{});
  // Callers may use an answer that names this node for as long as it lasts.
  m_listenUntil = base::SteadyClock().Now() + m_settings.m_discoveryLifetime + kNewsMargin;
  m_drainTimer = m_loop.Every(kDrainCheck, [this] { CheckDrained(); });
}

std::optional<base::Address> Gateway::NextNode() const {
  // One in this zone, else any.
  const tasks::Member* next = nullptr;
  for (const tasks::Member& member : m_context.m_members) {
    if (member.m_state == tasks::MemberState::Alive && member.m_node != m_settings.m_name &&
        (next == nullptr || member.m_zone == m_settings.m_zone)) {
      next = &member;
    }
  }
  return next == nullptr ? std::nullopt : std::optional(next->m_callers);
}

void Gateway::CheckDrained() {
  if (m_handOverAt && base::SteadyClock().Now() >= *m_handOverAt) {
    // The host goes before the answers can end here.
    if (const auto next = NextNode()) {
      m_callers.HandOverAll(*next);
    }
  }
  if (base::SteadyClock().Now() < m_listenUntil) {
    return;
  }
  // Nobody is told of this node any more. What is open goes on to its end.
  m_server.StopListening();
  m_server.CloseIdleConnections();
  if (m_callers.OpenRequests() > 0 || m_server.ConnectionCount() > 0) {
    return;
  }
  m_context.m_timeline.Add(EventKind::NodeStopped, {});
  m_log.Info("Drained.");
  m_loop.Stop();
}

} // namespace papayafield::gateway
