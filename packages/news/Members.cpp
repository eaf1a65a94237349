#include "news/Members.h"

#include <algorithm>
#include <utility>

namespace papayafield::news {

namespace {

/// A node counts as unavailable after this time without a heartbeat, but not before this many
/// heartbeat intervals.
constexpr base::Millis kAliveFor{ 1500 };
constexpr int kAliveBeats = 3;
/// Clients are not directed to a node that has been silent for this time, and for a little over two
/// heartbeat intervals. A frozen node delays every client sent to it, while a node that is excluded
/// by mistake only gets less load for a short time.
constexpr base::Millis kToldFor{ 700 };
constexpr double kToldBeats = 2.2;
/// A node that has been neither registered nor heard from for this time is removed. The time
/// exceeds that of a usual network partition, during which a node keeps serving although no peer
/// hears it.
constexpr base::Millis kKnownFor{ 30000 };

} // namespace

bool Members::Hear(const Beat& aBeat, base::TimePoint aNow) {
  if (aBeat.m_from.m_node == m_self.m_node || aBeat.m_from.m_node.Empty()) {
    return false;
  }
  Peer& peer = m_peers[aBeat.m_from.m_node];
  if (aBeat.m_from.m_born < peer.m_contact.m_born) {
    return false;
  }
  const bool registered = peer.m_registered;
  peer = { aBeat.m_from,
           aBeat.m_zone,
           aBeat.m_ready,
           aBeat.m_stopping,
           aBeat.m_storeAnswers,
           aBeat.m_configuration,
           aBeat.m_revision,
           aBeat.m_workAsked,
           registered,
           aNow,
           aNow };
  return true;
}

void Members::Learn(const Contact& aContact, bool aRegistered, base::TimePoint aNow) {
  if (aContact.m_node == m_self.m_node || aContact.m_node.Empty()) {
    return;
  }
  Peer& peer = m_peers[aContact.m_node];
  peer.m_registered = peer.m_registered || aRegistered;
  peer.m_known = aNow;
  if (aContact.m_born > peer.m_contact.m_born) {
    peer.m_contact = aContact;
    peer.m_heard.reset();
    peer.m_ready = false;
    peer.m_stopping = false;
  }
}

void Members::Unregister(const base::NodeId& aNode) {
  if (const auto found = m_peers.find(aNode); found != m_peers.end()) {
    found->second.m_registered = false;
  }
}

std::vector<base::NodeId> Members::Forget(base::TimePoint aNow) {
  std::vector<base::NodeId> gone;
  for (const auto& [node, peer] : m_peers) {
    const bool silent = aNow - peer.m_known > kKnownFor;
    const bool ended = peer.m_stopping && !Alive(peer, aNow);
    if (!peer.m_registered && (silent || ended)) {
      gone.push_back(node);
    }
  }
  for (const base::NodeId& node : gone) {
    m_peers.erase(node);
  }
  return gone;
}

bool Members::Alive(const Peer& aPeer, base::TimePoint aNow) const {
  return aPeer.m_heard && aNow - *aPeer.m_heard < std::max(kAliveFor, m_interval * kAliveBeats);
}

bool Members::HeardLately(const Peer& aPeer, base::TimePoint aNow) const {
  const auto beats = std::chrono::duration_cast<base::Millis>(m_interval * kToldBeats);
  return aPeer.m_heard && aNow - *aPeer.m_heard < std::max(kToldFor, beats);
}

std::vector<std::string> Members::ReadyHosts(base::TimePoint aNow) const {
  std::vector<std::string> hosts;
  for (const auto& [node, peer] : m_peers) {
    if (HeardLately(peer, aNow) && peer.m_ready && !peer.m_stopping) {
      hosts.push_back(peer.m_contact.m_host);
    }
  }
  return hosts;
}

std::vector<std::string> Members::HostsOf(const base::ZoneId& aZone, base::TimePoint aNow) const {
  std::vector<std::string> hosts;
  for (const auto& [node, peer] : m_peers) {
    if (peer.m_zone == aZone && Alive(peer, aNow)) {
      hosts.push_back(peer.m_contact.m_host);
    }
  }
  return hosts;
}

size_t Members::AliveCount(base::TimePoint aNow) const {
  return 1 +
         static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
           return Alive(aEntry.second, aNow);
         }));
}

const Peer* Members::Ahead(uint64_t aRevision,
                           base::TimePoint aNow,
                           const std::set<std::string>& aSkipped) const {
  const Peer* best = nullptr;
  for (const auto& [node, peer] : m_peers) {
    if (Alive(peer, aNow) && peer.m_revision > aRevision &&
        !aSkipped.contains(peer.m_contact.m_host) &&
        (best == nullptr || peer.m_revision > best->m_revision)) {
      best = &peer;
    }
  }
  return best;
}

bool Members::AllHeardWithin(base::Millis aSpan, base::TimePoint aNow) const {
  return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    const bool heard = peer.m_heard && aNow - *peer.m_heard <= aSpan;
    return heard || peer.m_stopping;
  });
}

/// Nodes that started within the same millisecond are ordered by identifier.
bool Members::Older(const Peer& aPeer) const {
  return std::pair(aPeer.m_contact.m_born, aPeer.m_contact.m_node) <
         std::pair(m_self.m_born, m_self.m_node);
}

size_t Members::OlderCount(base::TimePoint aNow) const {
  return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return Alive(peer, aNow) && peer.m_ready && !peer.m_stopping && Older(peer);
  }));
}

size_t Members::OlderFollowers(const base::ZoneId& aZone, base::TimePoint aNow) const {
  return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    const Peer& peer = aEntry.second;
    return peer.m_zone == aZone && peer.m_storeAnswers && !peer.m_stopping && Alive(peer, aNow) &&
           Older(peer);
  }));
}

bool Members::AnyStoreAnswers(base::TimePoint aNow) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& aEntry) {
    return aEntry.second.m_storeAnswers && Alive(aEntry.second, aNow);
  });
}

} // namespace papayafield::news
