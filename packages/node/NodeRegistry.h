#pragma once

#include "node/PlatformPorts.h"
#include "settings/NodeSettings.h"
#include "tasks/Messages.h"

#include <functional>
#include <vector>

namespace papayafield::node {

/// Registers this node in the key-value service under a lease, refreshes it slowly, and reads the
/// registered nodes, from which members find one another. Belongs to the platform task.
class NodeRegistry {
public:
  /// Calls `aOnListed` with the nodes registered, each time they are read.
  NodeRegistry(adapters::http::EventLoop& aLoop,
               KeyValueAdapter& aStore,
               const settings::NodeSettings& aSettings,
               base::IncarnationId aIncarnation,
               std::function<void(std::vector<tasks::Member>)> aOnListed);

  /// This node is leaving: its registration says so.
  void Drain();

private:
  void Register();
  void Write(uint64_t aVersion);
  void RenewLease();
  void List();
  std::string Value() const;

  adapters::http::EventLoop& m_loop;
  KeyValueAdapter& m_store;
  const settings::NodeSettings& m_settings;
  base::IncarnationId m_incarnation;
  std::function<void(std::vector<tasks::Member>)> m_onListed;
  std::string m_lease;
  bool m_draining = false;
  int m_lists = 0;
  adapters::http::WatchPtr m_leaseTimer;
  adapters::http::WatchPtr m_listTimer;
};

} // namespace papayafield::node
