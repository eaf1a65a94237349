#pragma once

#include "base/Timeline.h"
#include "gateway/Dispatcher.h"
#include "gateway/EnginePort.h"
#include "gateway/Metrics.h"
#include "settings/NodeSettings.h"
#include "tasks/Messages.h"

#include <map>

namespace papayafield::gateway {

class RunTable;

/// What the gateway's requests share. All of it belongs to the gateway's thread, except the time
/// line, the metrics and the mailboxes, which are thread safe.
struct GatewayContext {
  const settings::NodeSettings& m_settings;
  /// This process's life.
  base::IncarnationId m_incarnation;
  adapters::http::EventLoop& m_loop;
  adapters::http::HttpClient& m_http;
  EngineAdapter& m_engines;
  Dispatcher& m_dispatcher;
  base::Timeline& m_timeline;
  Metrics& m_metrics;
  tasks::Mailboxes& m_mailboxes;
  /// The configuration in force.
  tasks::Configuration m_configuration;
  /// The fleet's members, this node included.
  std::vector<tasks::Member> m_members;
  /// Whether this node is leaving.
  bool m_draining = false;
};

} // namespace papayafield::gateway
