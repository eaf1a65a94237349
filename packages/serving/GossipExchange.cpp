#include "serving/GossipExchange.h"

#include "adapters/peer/GossipCodec.h"
#include "adapters/peer/QuarantineCodec.h"
#include "gossip/SendBursts.h"
#include "serving/ReplicaCodec.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

namespace papayafield::serving {

using adapters::http1::CallResult;
using adapters::http1::RequestHead;
using adapters::http1::SimpleResponse;

namespace {

/// Maximum number of nodes that one round of heartbeats goes to; bounds the traffic of a large
/// fleet.
constexpr size_t kFanout = 12;
/// Hosts of one burst in a round that goes to more than kFanout of them: about 20 kB, which the
/// queue of a link with 10 Mbit/s holds.
constexpr size_t kMaxBurst = 6;
/// Delay of an announcement, in which endpoints that become known to leave are collected.
constexpr base::Millis kAnnounceDelay{ 10 };
/// Lag behind a peer that is tolerated while this node watches the store itself, because the
/// store's own notification is under way.
constexpr base::Millis kNormalLag{ 300 };
/// Time without bytes of a peer's replica after which another peer is asked, and the longest time
/// for all of it.
constexpr adapters::http1::CallTimeouts kFetchTimeouts{ base::Millis(800), base::Millis(3000) };
/// The nodes of a zone learn of a restore of the store at the same time, and each fetches a
/// complete replica. They start at random within this time for each known node, so that those that
/// already have one share the load.
constexpr base::Millis kNewEraFetchSpreadPerNode{ 3 };
/// A peer that failed to return its replica is skipped for this long, so that other peers are
/// asked.
constexpr base::Millis kUnresponsiveTime{ 2000 };

/// Streams that one datagram is about; keeps it below the size of a packet.
constexpr size_t kStreamsPerDatagram = 64;

} // namespace

GossipExchange::GossipExchange(
  adapters::http::EventLoop& aLoop,
  const ServingSettings& aSettings,
  const gossip::Contact& aSelf,
  gossip::PeerTable& aPeerTable,
  sync::StoreReplica& aReplica,
  std::function<gossip::Heartbeat()> aMakeHeartbeat,
  std::function<void(const gossip::Heartbeat&)> aOnHeartbeat,
  std::function<gossip::LeavingNotice()> aMakeLeavingNotice,
  std::function<void(const gossip::LeavingNotice&)> aOnLeavingNotice,
  std::function<void(const quarantine::Report&)> aOnQuarantineReport,
  std::function<void(const gossip::OriginNotice&)> aOnOriginNotice,
  std::function<gossip::OriginNotice(const gossip::OriginQuery&)> aOnOriginQuery,
  const ActiveConfiguration& aConfiguration,
  std::function<void(const std::string& aData)> aOnConfiguration)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_self(aSelf)
  , m_peerTable(aPeerTable)
  , m_replica(aReplica)
  , m_makeHeartbeat(std::move(aMakeHeartbeat))
  , m_onHeartbeat(std::move(aOnHeartbeat))
  , m_makeLeavingNotice(std::move(aMakeLeavingNotice))
  , m_onLeavingNotice(std::move(aOnLeavingNotice))
  , m_onQuarantineReport(std::move(aOnQuarantineReport))
  , m_onOriginNotice(std::move(aOnOriginNotice))
  , m_onOriginQuery(std::move(aOnOriginQuery))
  , m_configuration(aConfiguration)
  , m_onConfiguration(std::move(aOnConfiguration))
  , m_socket({ aSettings.m_host, aSettings.m_gossipPort })
  , m_readable(aLoop.OnReadable(m_socket.Fd(), [this] { Receive(); }))
  , m_server(aLoop,
             { aSettings.m_host, aSettings.m_replicaPort },
             [this](const RequestHead& aHead) { return HandleReplicaRequest(aHead); }) {}

std::vector<std::string> GossipExchange::Hosts() const {
  std::set<std::string> hosts;
  for (const auto& [node, peer] : m_peerTable.All()) {
    hosts.insert(peer.m_contact.m_host);
  }
  if (hosts.size() < 2) {
    hosts.insert(m_settings.m_seeds.begin(), m_settings.m_seeds.end());
  }
  hosts.erase(m_settings.m_host);
  return { hosts.begin(), hosts.end() };
}

size_t GossipExchange::RoundsPerFleet() const {
  return std::max<size_t>((m_peerTable.All().size() + kFanout - 1) / kFanout, 1);
}

void GossipExchange::SendTo(const std::vector<std::string>& aHosts, const std::string& aHeartbeat) {
  for (const std::string& host : aHosts) {
    m_socket.Send({ host, m_settings.m_gossipPort }, aHeartbeat);
  }
  SendLeavingNotice(aHosts);
}

void GossipExchange::SendNextBurst() {
  m_burstTimer.reset();
  if (m_bursts.empty()) {
    return;
  }
  SendTo(m_bursts.back(), m_heartbeat);
  m_bursts.pop_back();
  if (!m_bursts.empty()) {
    m_burstTimer = m_loop.After(m_burstInterval, [this] { SendNextBurst(); });
  }
}

void GossipExchange::SendLeavingNotice(const std::vector<std::string>& aHosts) {
  const gossip::LeavingNotice notice = m_makeLeavingNotice();
  if (notice.m_marks.empty()) {
    return;
  }
  const std::string bytes = adapters::peer::EncodeLeavingNotice(notice);
  for (const std::string& host : aHosts) {
    m_socket.Send({ host, m_settings.m_gossipPort }, bytes);
  }
}

void GossipExchange::AnnounceLeaving() {
  if (m_announceTimer != nullptr) {
    return;
  }
  m_announceTimer = m_loop.After(kAnnounceDelay, [this] {
    m_announceTimer.reset();
    const std::vector<std::string> hosts = Hosts();
    std::vector<std::string> targets;
    std::sample(hosts.begin(), hosts.end(), std::back_inserter(targets), kFanout, m_random);
    SendLeavingNotice(targets);
  });
}

void GossipExchange::SendHeartbeats(const std::vector<std::string>& aAlways,
                                    base::Millis aDuration) {
  const std::vector<std::string> hosts = Hosts();
  std::set<std::string> targets(aAlways.begin(), aAlways.end());
  for (size_t i = 0; i < std::min(hosts.size(), kFanout); ++i) {
    targets.insert(hosts[m_nextHost++ % hosts.size()]);
  }
  targets.erase(m_settings.m_host);
  if (targets.empty()) {
    return;
  }
  m_heartbeat = adapters::peer::EncodeHeartbeat(m_makeHeartbeat());
  m_bursts =
    gossip::SplitIntoBursts({ targets.begin(), targets.end() }, kFanout, kMaxBurst, m_random);
  m_burstInterval = aDuration / static_cast<int64_t>(m_bursts.size());
  SendNextBurst();
}

void GossipExchange::SendQuarantineReport(const quarantine::Report& aReport,
                                          const std::vector<std::string>& aAlways) {
  std::vector<std::string> hosts = Hosts();
  std::shuffle(hosts.begin(), hosts.end(), m_random);
  hosts.resize(std::min(hosts.size(), kFanout));
  std::set<std::string> targets(aAlways.begin(), aAlways.end());
  targets.insert(hosts.begin(), hosts.end());
  targets.erase(m_settings.m_host);
  const std::string bytes = adapters::peer::EncodeQuarantineReport(aReport);
  for (const std::string& host : targets) {
    m_socket.Send({ host, m_settings.m_gossipPort }, bytes);
  }
}

void GossipExchange::ReceiveQuarantineReport(const std::string& aBytes) {
  if (const auto report = adapters::peer::DecodeQuarantineReport(aBytes)) {
    m_onQuarantineReport(*report);
  } else {
    m_log.Event("invalid quarantine report dropped", { { "bytes", aBytes.size() } });
  }
}

void GossipExchange::SendOrigins(const std::string& aHost,
                                 const std::vector<fleet::StreamOrigin>& aOrigins) {
  for (size_t first = 0; first < aOrigins.size(); first += kStreamsPerDatagram) {
    const size_t end = std::min(first + kStreamsPerDatagram, aOrigins.size());
    const gossip::OriginNotice notice{ { aOrigins.begin() + static_cast<std::ptrdiff_t>(first),
                                         aOrigins.begin() + static_cast<std::ptrdiff_t>(end) },
                                       {},
                                       {} };
    m_socket.Send({ aHost, m_settings.m_gossipPort }, adapters::peer::EncodeOriginNotice(notice));
  }
}

size_t GossipExchange::SendOriginQuery(const std::vector<fleet::StreamKey>& aStreams) {
  const auto now = base::BootNow();
  std::vector<std::string> hosts;
  for (const auto& [node, peer] : m_peerTable.All()) {
    if (m_peerTable.IsAlive(peer, now) && peer.m_contact.m_host != m_settings.m_host) {
      hosts.push_back(peer.m_contact.m_host);
    }
  }
  for (size_t first = 0; first < aStreams.size(); first += kStreamsPerDatagram) {
    const size_t end = std::min(first + kStreamsPerDatagram, aStreams.size());
    const std::string bytes = adapters::peer::EncodeOriginQuery(
      { m_settings.m_host,
        { aStreams.begin() + static_cast<std::ptrdiff_t>(first),
          aStreams.begin() + static_cast<std::ptrdiff_t>(end) } });
    for (const std::string& host : hosts) {
      m_socket.Send({ host, m_settings.m_gossipPort }, bytes);
    }
  }
  return hosts.empty() ? m_peerTable.KnownCount() - 1 : hosts.size();
}

void GossipExchange::HandleOriginQuery(const gossip::OriginQuery& aQuery) {
  gossip::OriginNotice reply = m_onOriginQuery(aQuery);
  reply.m_host = m_settings.m_host;
  m_socket.Send({ aQuery.m_host, m_settings.m_gossipPort },
                adapters::peer::EncodeOriginNotice(reply));
}

void GossipExchange::Receive() {
  std::string bytes;
  while (m_socket.Receive(bytes)) {
    if (adapters::peer::IsQuarantineReport(bytes)) {
      ReceiveQuarantineReport(bytes);
      continue;
    }
    const auto message = adapters::peer::DecodeGossip(bytes);
    if (!message) {
      m_log.Event("invalid datagram dropped", { { "bytes", bytes.size() } });
    } else if (const auto* update = std::get_if<gossip::Update>(&*message)) {
      HandleUpdate(*update);
    } else if (const auto* notice = std::get_if<gossip::LeavingNotice>(&*message)) {
      m_onLeavingNotice(*notice);
    } else if (const auto* origins = std::get_if<gossip::OriginNotice>(&*message)) {
      m_onOriginNotice(*origins);
    } else if (const auto* query = std::get_if<gossip::OriginQuery>(&*message)) {
      HandleOriginQuery(*query);
    } else {
      m_onHeartbeat(std::get<gossip::Heartbeat>(*message));
    }
  }
}

void GossipExchange::SendUpdate(const store::Position& aAfter,
                                const std::vector<store::Change>& aChanges,
                                base::TimePoint aConfirmedAt) {
  const auto now = base::BootNow();
  const auto hosts = m_peerTable.LiveHostsInZone(m_settings.m_zone, now);
  for (gossip::Update& update : gossip::SplitUpdate(m_self, aAfter, aChanges)) {
    update.m_confirmedAge = std::chrono::ceil<base::Millis>(now - aConfirmedAt);
    const std::string bytes = adapters::peer::EncodeUpdate(update);
    for (const std::string& host : hosts) {
      m_socket.Send({ host, m_settings.m_gossipPort }, bytes);
    }
  }
}

void GossipExchange::HandleUpdate(const gossip::Update& aUpdate) {
  const uint64_t era = m_replica.LastPosition().m_era;
  if (aUpdate.m_position.m_era < era) {
    // The sender follows a history that the store has lost.
    return;
  }
  if (aUpdate.m_position.m_era > era) {
    FetchNewEra(aUpdate.m_from.m_host);
    return;
  }
  const auto now = base::BootNow();
  const base::TimePoint confirmedAt = gossip::ConfirmationTime(aUpdate, now);
  if (gossip::Confirms(aUpdate, m_replica.LastPosition())) {
    RecordConfirmation(now, confirmedAt);
  }
  switch (gossip::ClassifyUpdate(aUpdate, m_replica.LastPosition())) {
    case gossip::UpdateAction::Ignore:
      break;
    case gossip::UpdateAction::Apply:
      m_replica.CatchUp(aUpdate.m_changes, false, aUpdate.m_position);
      break;
    case gossip::UpdateAction::Fetch:
      Fetch(aUpdate.m_from.m_host, Announcement{ aUpdate.m_position, confirmedAt });
      break;
  }
}

void GossipExchange::RecordConfirmation(base::TimePoint aArrival, base::TimePoint aConfirmedAt) {
  m_lastUpdateTime = std::max(m_lastUpdateTime.value_or(aArrival), aArrival);
  m_confirmedAt = std::max(m_confirmedAt, aConfirmedAt);
}

SimpleResponse GossipExchange::HandleReplicaRequest(const RequestHead& aHead) const {
  const auto number = [&](const char* aName) {
    return std::strtoull(
      adapters::http1::QueryParameter(aHead.m_target, aName).c_str(), nullptr, 10);
  };
  const store::Position after{ number("era"), number("after") };
  const auto version = static_cast<int64_t>(number("configuration"));
  return { 200,
           "application/cbor",
           EncodeReplica(m_replica, after, ConfigurationMissingInStore(after.m_era, version)) };
}

/// Returns the configuration in force if it is newer than `aKnownVersion` and a node in `aEra`
/// can't read it from this replica, which is so between a restore and the operator's next write.
std::optional<std::string> GossipExchange::ConfigurationMissingInStore(
  uint64_t aEra,
  int64_t aKnownVersion) const {
  const store::Item* item = m_replica.Find(m_configuration.m_key);
  const bool isStored =
    item != nullptr && item->m_data == m_configuration.m_data && item->m_position.m_era >= aEra;
  if (aKnownVersion >= m_configuration.m_version || isStored) {
    return std::nullopt;
  }
  return m_configuration.m_data;
}

void GossipExchange::ApplyReplica(const std::string& aBytes, const store::Position& aAfter) {
  const auto snapshot = DecodeReplica(aBytes);
  if (!snapshot) {
    m_log.Event("invalid store replica dropped", { { "bytes", aBytes.size() } });
    return;
  }
  m_replica.CatchUp(
    snapshot->m_changes, snapshot->m_complete, snapshot->m_position, aAfter, snapshot->m_gap);
  if (snapshot->m_configuration) {
    m_onConfiguration(*snapshot->m_configuration);
  }
}

const gossip::Peer* GossipExchange::FindPeerAhead(base::TimePoint aNow) {
  const std::set<std::string> excluded = UnresponsiveHosts(aNow);
  const gossip::Peer* ahead =
    m_peerTable.MostAdvancedPeer(m_replica.LastPosition(), aNow, excluded);
  return ahead != nullptr
           ? ahead
           : m_peerTable.PeerWithNewerConfiguration(m_configuration.m_version, aNow, excluded);
}

void GossipExchange::FetchIfBehind(bool aOwnStoreReachable) {
  const auto now = base::BootNow();
  const gossip::Peer* ahead = FindPeerAhead(now);
  if (ahead == nullptr) {
    m_behindSince.reset();
    return;
  }
  if (!m_behindSince) {
    m_behindSince = now;
  }
  if (aOwnStoreReachable && now - *m_behindSince < kNormalLag) {
    return;
  }
  if (ahead->m_position.m_era > m_replica.LastPosition().m_era) {
    FetchNewEra(ahead->m_contact.m_host);
  } else {
    Fetch(ahead->m_contact.m_host);
  }
}

void GossipExchange::FetchNewEra(const std::string& aHost) {
  if (m_newEraTimer != nullptr) {
    return;
  }
  const auto spread = kNewEraFetchSpreadPerNode * static_cast<int64_t>(m_peerTable.KnownCount());
  const base::Millis delay(std::uniform_int_distribution<int64_t>(0, spread.count())(m_random));
  m_newEraTimer = m_loop.After(delay, [this, aHost] {
    m_newEraTimer.reset();
    const auto now = base::BootNow();
    const std::vector<std::string> hosts =
      m_peerTable.HostsInLaterEra(m_replica.LastPosition().m_era, now, UnresponsiveHosts(now));
    Fetch(hosts.empty() ? aHost : hosts[m_random() % hosts.size()]);
  });
}

std::set<std::string> GossipExchange::UnresponsiveHosts(base::TimePoint aNow) {
  std::erase_if(m_unresponsive,
                [&](const auto& aEntry) { return aNow - aEntry.second > kUnresponsiveTime; });
  std::set<std::string> hosts;
  for (const auto& [host, since] : m_unresponsive) {
    hosts.insert(host);
  }
  return hosts;
}

void GossipExchange::Fetch(const std::string& aHost,
                           const std::optional<Announcement>& aAnnounced) {
  if (m_fetching) {
    return;
  }
  m_fetching = true;
  auto& client = m_clients[aHost];
  if (client == nullptr) {
    client = std::make_unique<adapters::http1::JsonClient>(
      m_loop, base::Address{ aHost, m_settings.m_replicaPort });
  }
  const store::Position before = m_replica.LastPosition();
  const std::string target = "/image?after=" + std::to_string(before.m_revision) +
                             "&era=" + std::to_string(before.m_era) +
                             "&configuration=" + std::to_string(m_configuration.m_version);
  const auto onResult =
    [this, host = aHost, before, aAnnounced, start = base::BootNow()](const CallResult& aResult) {
      m_fetching = false;
      m_behindSince.reset();
      const store::Position beforeResult = m_replica.LastPosition();
      const int64_t versionBefore = m_configuration.m_version;
      if (aResult.m_status == 200) {
        ApplyReplica(aResult.m_body, before);
      }
      if (aAnnounced && m_replica.LastPosition() >= aAnnounced->m_position) {
        RecordConfirmation(start, aAnnounced->m_confirmedAt);
      }
      if (m_replica.LastPosition() == beforeResult && m_configuration.m_version == versionBefore) {
        m_unresponsive[host] = base::BootNow();
      }
      m_log.Event("store replica fetch ended",
                  { { "host", host },
                    { "status", aResult.m_status },
                    { "era_before", beforeResult.m_era },
                    { "revision_before", beforeResult.m_revision },
                    { "era", m_replica.LastPosition().m_era },
                    { "revision", m_replica.LastPosition().m_revision },
                    { "version", m_configuration.m_version } });
    };
  client->Call("GET", target, {}, {}, kFetchTimeouts, onResult);
}

} // namespace papayafield::serving
