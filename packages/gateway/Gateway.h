#pragma once

#include "base/Log.h"
#include "gateway/CallerApi.h"
#include "gateway/EndpointMonitor.h"
#include "gateway/OperatorApi.h"

namespace papayafield::gateway {

/// The gateway task. Owns the client connections, the queues, the attempts and the engine streams.
/// Runs on one thread with its own event loop.
class Gateway {
public:
  /// Prepares the task. The referenced arguments must outlive it.
  Gateway(const settings::NodeSettings& aSettings,
          base::IncarnationId aIncarnation,
          base::Timeline& aTimeline,
          tasks::Mailboxes& aMailboxes);

  /// Serves requests until the node has drained. Returns the exit code of the process.
  int Run();

private:
  void OnExchange(const adapters::http::ExchangePtr& aExchange);
  void OnMessage(tasks::GatewayMessage aMessage);
  void ApplyConfiguration(tasks::Configuration aConfiguration);
  void UpdateEndpoints(const std::vector<routing::EndpointInfo>& aEndpoints);
  void OnEndpointLeaving(const base::EndpointId& aEndpoint, bool aNotifyPeers);
  void Drain(std::optional<base::Millis> aTimeLimit);
  std::optional<base::Address> ChooseHandOverNode() const;
  void CheckDrained();
  bool IsReady() const;

  const settings::NodeSettings& m_settings;
  base::Log m_log;
  adapters::http::EventLoop m_loop;
  adapters::http::HttpClient m_http;
  EngineAdapter m_engines;
  Metrics m_metrics;
  Dispatcher m_dispatcher;
  GatewayContext m_context;
  CallerApi m_callers;
  OperatorApi m_operators;
  EndpointMonitor m_monitor;
  adapters::http::HttpServer m_server;
  std::set<base::EndpointId> m_leavingEndpoints;
  base::TimePoint m_listenUntil{};
  /// Time at which incomplete answers are handed over to another node; nullopt if the drain has no
  /// time limit.
  std::optional<base::TimePoint> m_handOverAt;
  adapters::http::EventHandlePtr m_mailWatch;
  adapters::http::EventHandlePtr m_termWatch;
  adapters::http::EventHandlePtr m_intWatch;
  adapters::http::EventHandlePtr m_drainTimer;
};

} // namespace papayafield::gateway
