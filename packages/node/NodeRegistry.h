#pragma once

#include "node/PlatformPorts.h"
#include "settings/NodeSettings.h"
#include "tasks/Messages.h"

#include <functional>
#include <vector>

namespace papayafield::node {

/// Registers this node in the key-value service under a lease that it renews, and periodically
/// lists the registered nodes, which lets members discover each other. Used only on the platform
/// task's thread.
class NodeRegistry {
public:
  /// Calls `aOnListed` with the registered nodes after each successful list.
  NodeRegistry(adapters::http::EventLoop& aLoop,
               KeyValueAdapter& aStore,
               const settings::NodeSettings& aSettings,
               base::IncarnationId aIncarnation,
               std::function<void(std::vector<tasks::Member>)> aOnListed);

  /// Marks this node's registration as draining.
  void Drain();

private:
  void Register();
  void WriteRegistration(uint64_t aVersion);
  void RenewLease();
  void List();
  std::string RegistrationValue() const;

  adapters::http::EventLoop& m_loop;
  KeyValueAdapter& m_store;
  const settings::NodeSettings& m_settings;
  base::IncarnationId m_incarnation;
  std::function<void(std::vector<tasks::Member>)> m_onListed;
  std::string m_lease;
  bool m_draining = false;
  int m_listCount = 0;
  adapters::http::EventHandlePtr m_leaseTimer;
  adapters::http::EventHandlePtr m_listTimer;
};

} // namespace papayafield::node
