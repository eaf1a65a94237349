#pragma once

#include "base/Log.h"
#include "gateway/CallerApi.h"
#include "gateway/EndpointMonitor.h"
#include "gateway/OperatorApi.h"

namespace papayafield::gateway {

/// The gateway task: owns the callers' connections, the queues, the attempts and the engine
/// streams. Runs on one thread with its own event loop.
class Gateway {
public:
  /// Prepares the task. All arguments must outlive it.
  Gateway(const settings::NodeSettings& aSettings,
          base::IncarnationId aIncarnation,
          base::Timeline& aTimeline,
          tasks::Mailboxes& aMailboxes);

  /// Serves until the node has drained; returns the process's exit code.
  int Run();

private:
  void OnExchange(const adapters::http::ExchangePtr& aExchange);
  void OnMessage(tasks::GatewayMessage aMessage);
  void Adopt(tasks::Configuration aConfiguration);
  void TakeEndpoints(const std::vector<routing::EndpointInfo>& aEndpoints);
  void Leaving(const base::EndpointId& aEndpoint, bool aTellOthers);
  void Drain(std::optional<base::Millis> aWithin);
  std::optional<base::Address> NextNode() const;
  void CheckDrained();
  bool Ready() const;

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
  std::set<base::EndpointId> m_leaving;
  base::TimePoint m_listenUntil{};
  /// When answers that have not ended are handed over to another node; unset when there is no
  /// hurry.
  std::optional<base::TimePoint> m_handOverAt;
  adapters::http::EventHandlePtr m_mailWatch;
  adapters::http::EventHandlePtr m_termWatch;
  adapters::http::EventHandlePtr m_intWatch;
  adapters::http::EventHandlePtr m_drainTimer;
};

} // namespace papayafield::gateway
