#pragma once

#include "base/Ids.h"
#include "duties/UsageLedger.h"
#include "placement/Placement.h"
#include "quota/QuotaLedger.h"
#include "rollout/RolloutTypes.h"
#include "store/Position.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayafield::gossip {

/// Identity and address at which other nodes reach a node.
struct Contact {
  base::NodeId m_node;
  /// Start time of the process in Unix milliseconds. A later incarnation has a greater value.
  int64_t m_startMs = 0;
  /// IP address; the ports are the same on all hosts.
  std::string m_host;

  /// Returns an identifier of this incarnation of the node.
  std::string IncarnationKey() const { return m_node.Text() + '@' + std::to_string(m_startMs); }
};

/// A heartbeat that a node sends to the others several times a second. Each one carries the
/// complete state, so a lost one does no harm.
struct Heartbeat {
  Contact m_from;
  base::ZoneId m_zone;
  /// Whether clients may be directed to the node.
  bool m_ready = false;
  /// Whether the node is shutting down.
  bool m_stopping = false;
  /// Whether the node can reach the store.
  bool m_storeReachable = false;
  /// Whether the node leads connections of other nodes to the endpoints, which it reaches.
  bool m_relays = false;
  int64_t m_configuration = 0;
  /// Position of the store up to which the node has applied all changes.
  store::Position m_position;
  /// Total engine work requested since the node started, in engine milliseconds.
  double m_requestedWorkMs = 0;
  /// Calls to engines since the node started, and those that missed their latency target.
  double m_engineCalls = 0;
  double m_lateEngineCalls = 0;
  /// Calls of this node in flight, by endpoint.
  std::map<base::EndpointId, placement::Load> m_loads;
  /// Endpoints at which attempts of this node failed lately.
  placement::FailureReports::Counts m_failures;
  /// The node's view of the teams' quotas.
  quota::QuotaLedger::View m_quota;
  /// Usage counts of this node in the latest windows.
  duties::UsageLedger::Windows m_usage;
  /// Counts of this node for running roll-outs, and what it grants as the leader, by service.
  std::map<fleet::ServiceId, rollout::NodeCounts> m_rolloutCounts;
  std::map<fleet::ServiceId, rollout::RolloutGrants> m_rolloutGrants;
  /// Some of the nodes it knows, so that membership spreads without the store.
  std::vector<Contact> m_contacts;
};

} // namespace papayafield::gossip
