#pragma once

#include "base/Timeline.h"
#include "node/ClaimKeeper.h"
#include "node/ConfigurationKeeper.h"
#include "node/NodeRegistry.h"
#include "node/PlatformPorts.h"

namespace papayafield::node {

/// The platform task: owns every connection to the platform. Runs on one thread with its own event
/// loop.
class PlatformTask {
public:
  /// Prepares the task. All arguments must outlive it.
  PlatformTask(const settings::NodeSettings& aSettings,
               const base::IncarnationId& aIncarnation,
               tasks::Mailboxes& aMailboxes);

  /// Works until a StopTask message comes.
  void Run();

private:
  void OnMessage(tasks::PlatformMessage aMessage);
  void OnAdopted(const tasks::Configuration& aConfiguration);
  void TakeMembers(std::vector<tasks::Member> aMembers);
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
  /// Whether this node is one of those that watch the platform for the others.
  bool m_watching = true;
  adapters::http::EventHandlePtr m_mailWatch;
  adapters::http::EventHandlePtr m_hostsTimer;
};

} // namespace papayafield::node
