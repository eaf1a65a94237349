#pragma once

#include "base/Timeline.h"
#include "node/ClaimKeeper.h"
#include "node/ConfigurationKeeper.h"
#include "node/NodeRegistry.h"
#include "node/PlatformPorts.h"

namespace papayafield::node {

/// The task that owns every connection to the platform. Runs on one thread with its own event loop.
class PlatformTask {
public:
  /// All arguments must outlive this object.
  PlatformTask(const settings::NodeSettings& aSettings,
               const base::IncarnationId& aIncarnation,
               tasks::Mailboxes& aMailboxes);

  /// Runs the event loop until a StopTask message arrives.
  void Run();

private:
  void OnMessage(tasks::PlatformMessage aMessage);
  void OnConfigurationActivated(const tasks::Configuration& aConfiguration);
  void UpdateMembers(std::vector<tasks::Member> aMembers);
  bool IsWatcher(const std::vector<tasks::Member>& aMembers) const;
  void ReadHosts();

  const settings::NodeSettings& m_settings;
  tasks::Mailboxes& m_mailboxes;
  base::Log m_log;
  adapters::http::EventLoop m_loop;
  adapters::http::HttpClient m_http;
  KeyValueAdapter m_store;
  HostListAdapter m_hosts;
  ConfigurationKeeper m_configuration;
  NodeRegistry m_registry;
  ClaimKeeper m_claims;
  /// True if this node is a watcher: it watches the platform on behalf of its availability zone.
  bool m_watching = true;
  adapters::http::EventHandlePtr m_mailboxWatch;
  adapters::http::EventHandlePtr m_hostsTimer;
};

} // namespace papayafield::node
