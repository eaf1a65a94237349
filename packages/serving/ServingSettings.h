#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "forwarding/EndpointRelay.h"
#include "forwarding/Gateway.h"
#include "serving/EntryChoice.h"

#include <optional>
#include <string>
#include <vector>

namespace papayafield::serving {

/// Addresses, time limits and roles of a node.
struct ServingSettings {
  base::NodeId m_node;
  base::ZoneId m_zone;
  /// IP address of this host.
  std::string m_host;
  /// Address at which the node accepts callers.
  base::Address m_callerAddress;
  /// UDP port for gossip between nodes; the same on all hosts.
  uint16_t m_gossipPort = 0;
  /// Port at which nodes serve their store replica to one another; the same on all hosts.
  uint16_t m_replicaPort = 0;
  /// Port at which nodes lead connections to endpoints through for one another; the same on all
  /// hosts. 0 if they do not.
  uint16_t m_relayPort = 0;
  forwarding::EndpointRelaySettings m_relay;
  /// Hosts of some nodes, used to discover the others.
  std::vector<std::string> m_seeds;
  /// Time that the platform leaves a process between SIGTERM and SIGKILL.
  base::Millis m_gracePeriod{ 8000 };
  /// How long callers cache the node addresses that they received.
  base::Millis m_entryCacheTime{ 1000 };
  /// Time after which leadership expires if the leader no longer renews it.
  base::Millis m_leaderLease{ 3000 };
  /// Limit on what the node holds of requests and answers.
  base::BufferBudgetSettings m_buffers;
  forwarding::ConnectionLimits m_connections;
  WorkingSetSettings m_workingSet;
  forwarding::RetryLimits m_retries;
  quota::QuotaTolerance m_quotaTolerance;
  /// Length of a usage window, in milliseconds.
  int64_t m_usageWindowMs = 5000;
  /// Time after the end of a usage window at which its report is due.
  base::Millis m_usageReportDelay{ 10000 };
  /// Whether engines serve calls of one priority in the order of their slack, where routes of one
  /// model service have different targets or priorities.
  bool m_ordersBySlack = false;
  /// Whether the leader sends usage reports, and whether it scales the fleet.
  bool m_reportsUsage = false;
  bool m_autoscales = false;
  /// Limits on unproven versions; nullopt if roll-out orders are ignored.
  std::optional<rollout::ExposureBounds> m_exposure;
};

/// Keys and key prefixes in the store.
struct KeySettings {
  /// Key of the operators' configuration.
  std::string m_configurationKey;
  /// Prefix of the endpoint registrations; each is stored under its endpoint ID.
  std::string m_endpointPrefix;
  /// Prefix of the keys that this software writes itself.
  std::string m_ownPrefix;
};

} // namespace papayafield::serving
