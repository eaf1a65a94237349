#pragma once

#include "base/Time.h"
#include "gossip/Heartbeat.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayafield::gossip {

/// This node's knowledge of another node.
struct Peer {
  Contact m_contact;
  base::ZoneId m_zone;
  bool m_ready = false;
  bool m_stopping = false;
  bool m_storeReachable = false;
  /// Whether it leads connections of other nodes to the endpoints.
  bool m_relays = false;
  int64_t m_configuration = 0;
  store::Position m_position;
  double m_requestedWorkMs = 0;
  /// Whether the node is registered in the store.
  bool m_registered = false;
  /// Time of the last heartbeat; nullopt before the first one.
  std::optional<base::TimePoint> m_lastHeartbeat;
  /// Time of the last sign of the node: a heartbeat, a registration, or a mention by a peer.
  base::TimePoint m_lastSeen{};
};

/// A node to which clients may be directed.
struct ReadyNode {
  std::string m_host;
  base::ZoneId m_zone;
};

/// Table of the other nodes, built from their heartbeats and their registrations in the store. Not
/// thread safe.
class PeerTable {
public:
  /// Creates an empty table for the node `aSelf`.
  explicit PeerTable(Contact aSelf)
    : m_self(std::move(aSelf)) {}

  /// Merges a heartbeat. Returns false, and ignores it, if it comes from this node or from an
  /// earlier incarnation of the sender.
  bool MergeHeartbeat(const Heartbeat& aHeartbeat, base::TimePoint aNow);
  /// Records a node that is registered in the store, or was named by a peer (`aRegistered` false).
  void RecordContact(const Contact& aContact, bool aRegistered, base::TimePoint aNow);
  /// Records that a node is no longer registered in the store.
  void MarkUnregistered(const base::NodeId& aNode);
  /// Removes unregistered nodes that have stopped or have been silent too long, and returns their
  /// identifiers.
  std::vector<base::NodeId> RemoveStale(base::TimePoint aNow);

  /// Sets the heartbeat interval of the nodes. A node counts as unavailable after several missed
  /// heartbeats.
  void SetHeartbeatInterval(base::Millis aInterval) { m_heartbeatInterval = aInterval; }
  /// Returns the silence after which a node counts as unavailable.
  base::Millis LivenessTimeout() const;
  /// Returns whether a heartbeat arrived within the liveness timeout.
  bool IsAlive(const Peer& aPeer, base::TimePoint aNow) const;
  /// Returns all other nodes by identifier.
  const std::map<base::NodeId, Peer>& All() const { return m_peers; }
  /// Returns the hosts of live nodes in `aZone`, without this one.
  std::vector<std::string> LiveHostsInZone(const base::ZoneId& aZone, base::TimePoint aNow) const;
  /// Returns the other nodes to which clients may be directed.
  std::vector<ReadyNode> ReadyNodes(base::TimePoint aNow) const;
  /// Returns the hosts of the live nodes that lead connections of other nodes to the endpoints.
  std::vector<std::string> RelayHosts(base::TimePoint aNow) const;
  /// Returns the number of live nodes, including this one.
  size_t AliveCount(base::TimePoint aNow) const;
  /// Returns the number of known nodes, including this one. A silent node among them may still be
  /// serving clients.
  size_t KnownCount() const { return m_peers.size() + 1; }
  /// Returns the live peer with the latest store position, or null if none is after `aPosition`.
  /// Peers on the hosts `aExcludedHosts` are not considered.
  const Peer* MostAdvancedPeer(const store::Position& aPosition,
                               base::TimePoint aNow,
                               const std::set<std::string>& aExcludedHosts = {}) const;
  /// Returns the hosts of the live peers that follow an era of the store after `aEra`, without the
  /// hosts `aExcludedHosts`.
  std::vector<std::string> HostsInLaterEra(uint64_t aEra,
                                           base::TimePoint aNow,
                                           const std::set<std::string>& aExcludedHosts = {}) const;
  /// Returns the live peer with the highest version of the configuration in force, or null if none
  /// is above `aVersion`. Peers on the hosts `aExcludedHosts` are not considered.
  const Peer* PeerWithNewerConfiguration(int64_t aVersion,
                                         base::TimePoint aNow,
                                         const std::set<std::string>& aExcludedHosts = {}) const;
  /// Returns whether every known node that is not stopping has sent a heartbeat within `aTimeout`.
  /// A silent node may be frozen or partitioned, and may hold data that it has not yet sent.
  bool AllHeartbeatsWithin(base::Millis aTimeout, base::TimePoint aNow) const;
  /// Returns the number of live, ready nodes that started before this one and so have received more
  /// heartbeats.
  size_t OlderReadyCount(base::TimePoint aNow) const;
  /// Returns the number of live nodes in `aZone` that started before this one and reach the store.
  size_t OlderWatcherCount(const base::ZoneId& aZone, base::TimePoint aNow) const;
  /// Returns whether any live peer can reach the store.
  bool AnyReachesStore(base::TimePoint aNow) const;

private:
  /// Returns the live peer with the greatest value, or null if no value is above `aBound`.
  template<class Value>
  const Peer* PeerWithGreatest(Value Peer::*aMember,
                               const Value& aBound,
                               base::TimePoint aNow,
                               const std::set<std::string>& aExcludedHosts) const;
  bool StartedBefore(const Peer& aPeer) const;
  bool HeardRecently(const Peer& aPeer, base::TimePoint aNow) const;

  Contact m_self;
  base::Millis m_heartbeatInterval{ 250 };
  std::map<base::NodeId, Peer> m_peers;
};

} // namespace papayafield::gossip
