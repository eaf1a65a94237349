#include "gossip/PeerTable.h"

#include <algorithm>
#include <utility>

namespace papayafield::gossip {

namespace {

/// A node counts as unavailable after this time without a heartbeat, but not before this many
/// heartbeat intervals.
constexpr base::Millis kLivenessTimeout{ 1500 };
constexpr int kLivenessIntervals = 3;
/// Clients are not directed to a node that has been silent for this time, and for a little over two
/// heartbeat intervals. A frozen node delays every client sent to it, while a node that is excluded
/// by mistake only gets less load for a short time.
constexpr base::Millis kReadyTimeout{ 700 };
constexpr double kReadyIntervals = 2.2;
/// A node that has been neither registered nor heard from for this time is removed. The time
/// exceeds that of a usual network partition, during which a node keeps serving although no peer
/// hears it.
constexpr base::Millis kStaleTimeout{ 30000 };

} // namespace

bool PeerTable::MergeHeartbeat(const Heartbeat& aHeartbeat, base::TimePoint aNow) {
  if (aHeartbeat.m_from.m_node == m_self.m_node || aHeartbeat.m_from.m_node.Empty()) {
    return false;
  }
  Peer& peer = m_peers[aHeartbeat.m_from.m_node];
  if (aHeartbeat.m_from.m_startMs < peer.m_contact.m_startMs) {
    return false;
  }
  const bool registered = peer.m_registered;
  // Datagrams may overtake one another; a node that stops does not return in the same incarnation.
  const bool stopping = peer.m_stopping && aHeartbeat.m_from.m_startMs == peer.m_contact.m_startMs;
  peer = { aHeartbeat.m_from,
           aHeartbeat.m_zone,
           aHeartbeat.m_ready,
           aHeartbeat.m_stopping || stopping,
           aHeartbeat.m_storeReachable,
           aHeartbeat.m_relays,
           aHeartbeat.m_configuration,
           aHeartbeat.m_position,
           aHeartbeat.m_requestedWorkMs,
           registered,
           aNow,
           aNow };
  return true;
}

void PeerTable::RecordContact(const Contact& aContact, bool aRegistered, base::TimePoint aNow) {
  if (aContact.m_node == m_self.m_node || aContact.m_node.Empty()) {
    return;
  }
  Peer& peer = m_peers[aContact.m_node];
  peer.m_registered = peer.m_registered || aRegistered;
  peer.m_lastSeen = aNow;
  if (aContact.m_startMs > peer.m_contact.m_startMs) {
    peer.m_contact = aContact;
    peer.m_lastHeartbeat.reset();
    peer.m_ready = false;
    peer.m_stopping = false;
  }
}

void PeerTable::MarkUnregistered(const base::NodeId& aNode) {
  if (const auto found = m_peers.find(aNode); found != m_peers.end()) {
    found->second.m_registered = false;
  }
}

std::vector<base::NodeId> PeerTable::RemoveStale(base::TimePoint aNow) {
  std::vector<base::NodeId> stale;
  for (const auto& [node, peer] : m_peers) {
    const bool expired = aNow - peer.m_lastSeen > kStaleTimeout;
    const bool stopped = peer.m_stopping && !IsAlive(peer, aNow);
    if (!peer.m_registered && (expired || stopped)) {
      stale.push_back(node);
    }
  }
  for (const base::NodeId& node : stale) {
    m_peers.erase(node);
  }
  return stale;
}

base::Millis PeerTable::LivenessTimeout() const {
  return std::max(kLivenessTimeout, m_heartbeatInterval * kLivenessIntervals);
}

bool PeerTable::IsAlive(const Peer& aPeer, base::TimePoint aNow) const {
  return aPeer.m_lastHeartbeat && aNow - *aPeer.m_lastHeartbeat < LivenessTimeout();
}

bool PeerTable::HeardRecently(const Peer& aPeer, base::TimePoint aNow) const {
  const auto intervals =
    std::chrono::duration_cast<base::Millis>(m_heartbeatInterval * kReadyIntervals);
  return aPeer.m_lastHeartbeat &&
         aNow - *aPeer.m_lastHeartbeat < std::max(kReadyTimeout, intervals);
}

std::vector<ReadyNode> PeerTable::ReadyNodes(base::TimePoint aNow) const {
  std::vector<ReadyNode> nodes;
  for (const auto& [node, peer] : m_peers) {
    if (HeardRecently(peer, aNow) && peer.m_ready && !peer.m_stopping) {
      nodes.push_back({ peer.m_contact.m_host, peer.m_zone });
    }
  }
  return nodes;
}

std::vector<std::string> PeerTable::LiveHostsInZone(const base::ZoneId& aZone,
                                                    base::TimePoint aNow) const {
  std::vector<std::string> hosts;
  for (const auto& [node, peer] : m_peers) {
    if (peer.m_zone == aZone && IsAlive(peer, aNow)) {
      hosts.push_back(peer.m_contact.m_host);
    }
  }
  return hosts;
}

std::vector<std::string> PeerTable::RelayHosts(base::TimePoint aNow) const {
  std::vector<std::string> hosts;
  for (const auto& [node, peer] : m_peers) {
    if (HeardRecently(peer, aNow) && peer.m_relays && !peer.m_stopping) {
      hosts.push_back(peer.m_contact.m_host);
    }
  }
  return hosts;
}

size_t PeerTable::AliveCount(base::TimePoint aNow) const {
  return 1 +
         static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
           return IsAlive(aEntry.second, aNow);
         }));
}

template<class Value>
const Peer* PeerTable::PeerWithGreatest(Value Peer::*aMember,
                                        const Value& aBound,
                                        base::TimePoint aNow,
                                        const std::set<std::string>& aExcludedHosts) const {
  const Peer* best = nullptr;
  for (const auto& [node, peer] : m_peers) {
    if (IsAlive(peer, aNow) && peer.*aMember > aBound &&
        !aExcludedHosts.contains(peer.m_contact.m_host) &&
        (best == nullptr || peer.*aMember > best->*aMember)) {
      best = &peer;
    }
  }
  return best;
}

const Peer* PeerTable::MostAdvancedPeer(const store::Position& aPosition,
                                        base::TimePoint aNow,
                                        const std::set<std::string>& aExcludedHosts) const {
  return PeerWithGreatest(&Peer::m_position, aPosition, aNow, aExcludedHosts);
}

std::vector<std::string> PeerTable::HostsInLaterEra(
  uint64_t aEra,
  base::TimePoint aNow,
  const std::set<std::string>& aExcludedHosts) const {
  std::vector<std::string> hosts;
  for (const auto& [node, peer] : m_peers) {
    if (IsAlive(peer, aNow) && peer.m_position.m_era > aEra &&
        !aExcludedHosts.contains(peer.m_contact.m_host)) {
      hosts.push_back(peer.m_contact.m_host);
    }
  }
  return hosts;
}

const Peer* PeerTable::PeerWithNewerConfiguration(
  int64_t aVersion,
  base::TimePoint aNow,
  const std::set<std::string>& aExcludedHosts) const {
  return PeerWithGreatest(&Peer::m_configuration, aVersion, aNow, aExcludedHosts);
}

bool PeerTable::AllHeartbeatsWithin(base::Millis aTimeout, base::TimePoint aNow) const {
  return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    const bool recent = peer.m_lastHeartbeat && aNow - *peer.m_lastHeartbeat <= aTimeout;
    return recent || peer.m_stopping;
  });
}

/// Nodes that started within the same millisecond are ordered by identifier.
bool PeerTable::StartedBefore(const Peer& aPeer) const {
  return std::pair(aPeer.m_contact.m_startMs, aPeer.m_contact.m_node) <
         std::pair(m_self.m_startMs, m_self.m_node);
}

size_t PeerTable::OlderReadyCount(base::TimePoint aNow) const {
  return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return IsAlive(peer, aNow) && peer.m_ready && !peer.m_stopping && StartedBefore(peer);
  }));
}

size_t PeerTable::OlderWatcherCount(const base::ZoneId& aZone, base::TimePoint aNow) const {
  return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return peer.m_zone == aZone && peer.m_storeReachable && !peer.m_stopping &&
           IsAlive(peer, aNow) && StartedBefore(peer);
  }));
}

bool PeerTable::AnyReachesStore(base::TimePoint aNow) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    return aEntry.second.m_storeReachable && IsAlive(aEntry.second, aNow);
  });
}

} // namespace papayafield::gossip
