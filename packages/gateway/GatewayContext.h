#pragma once

#include "base/Timeline.h"
#include "gateway/Dispatcher.h"
#include "gateway/EnginePort.h"
#include "gateway/Metrics.h"
#include "settings/NodeSettings.h"
#include "tasks/Messages.h"

#include <map>

namespace papayafield::gateway {

class IdempotencyTable;

/// State shared by the gateway's components. Must only be used on the gateway thread, except for
/// the timeline, the metrics and the mailboxes, which are thread-safe.
struct GatewayContext {
  const settings::NodeSettings& m_settings;
  /// Incarnation id of this process.
  base::IncarnationId m_incarnation;
  adapters::http::EventLoop& m_loop;
  adapters::http::HttpClient& m_http;
  EngineAdapter& m_engines;
  Dispatcher& m_dispatcher;
  base::Timeline& m_timeline;
  Metrics& m_metrics;
  tasks::Mailboxes& m_mailboxes;
  /// The active configuration.
  tasks::Configuration m_configuration;
  /// The members of the fleet, including this node.
  std::vector<tasks::Member> m_members;
  /// Whether this node is draining.
  bool m_draining = false;
};

} // namespace papayafield::gateway
