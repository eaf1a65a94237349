#pragma once

#include "adapters/http1/JsonClient.h"
#include "adapters/http1/SimpleServer.h"
#include "adapters/peer/DatagramSocket.h"
#include "base/Digest.h"
#include "gossip/LeavingNotice.h"
#include "gossip/PeerTable.h"
#include "gossip/StreamOrigins.h"
#include "gossip/Update.h"
#include "quarantine/Report.h"
#include "serving/ServingSettings.h"
#include "sync/StoreReplica.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayafield::serving {

/// Sends and receives heartbeats, and fetches the store replica of a peer that is ahead. A node
/// whose own store requests are rejected therefore still receives changes of the configuration and
/// the endpoints. Belongs to the event loop's thread.
class GossipExchange {
public:
  /// The configuration in force at this node.
  struct ActiveConfiguration {
    /// Key of the configuration in the store.
    std::string m_key;
    int64_t m_version = 0;
    std::string m_data;
  };

  GossipExchange(adapters::http::EventLoop& aLoop,
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
                 std::function<void(const std::string& aData)> aOnConfiguration);

  /// Returns whether both ports could be bound.
  bool Bound() const { return m_socket.Bound() && m_server.Listening(); }
  /// Sends a heartbeat to all nodes of a small fleet, to the next ones in rotation of a large
  /// fleet, and to the hosts `aAlways` in each case. Many hosts are sent to in bursts over
  /// `aDuration`, the first one now.
  void SendHeartbeats(const std::vector<std::string>& aAlways = {},
                      base::Millis aDuration = base::Millis(0));
  /// Sends a quarantine report now: to all nodes of a small fleet, to some drawn at random of a
  /// large one, and to the hosts `aAlways` in each case. Nodes pass reports on.
  void SendQuarantineReport(const quarantine::Report& aReport,
                            const std::vector<std::string>& aAlways);
  /// Sends the origins of streams to the host `aHost`.
  void SendOrigins(const std::string& aHost, const std::vector<fleet::StreamOrigin>& aOrigins);
  /// Asks all other live nodes for the origins of streams. Returns from how many nodes an answer
  /// may come; if none is live, from all that are known, since those may be asked later.
  size_t SendOriginQuery(const std::vector<fleet::StreamKey>& aStreams);
  /// Returns the number of rounds after which each node has been sent a heartbeat.
  size_t RoundsPerFleet() const;
  /// Sends changes to the other nodes of this zone at once: all changes after `aAfter`, in order.
  /// `aConfirmedAt`: when the store last confirmed this node's replica.
  void SendUpdate(const store::Position& aAfter,
                  const std::vector<store::Change>& aChanges,
                  base::TimePoint aConfirmedAt);
  /// Informs other nodes of the endpoints that leave: all nodes of a small fleet, some of a large
  /// one, which pass it on. Several calls in a short time cause one datagram to each of them. Each
  /// round of heartbeats repeats it.
  void AnnounceLeaving();
  /// Returns when the last update arrived that left no change missing here, from a node that
  /// watches the store; nullopt before the first one.
  std::optional<base::TimePoint> LastUpdateTime() const { return m_lastUpdateTime; }
  /// Returns when the store confirmed what the updates have told; the epoch before the first one.
  base::TimePoint ConfirmedAt() const { return m_confirmedAt; }
  /// Fetches the replica of a peer whose store position is later or whose configuration in force is
  /// newer. `aOwnStoreReachable`: this node watches the store directly, so a short lag is normal.
  void FetchIfBehind(bool aOwnStoreReachable);

private:
  const gossip::Peer* FindPeerAhead(base::TimePoint aNow);
  std::optional<std::string> ConfigurationMissingInStore(uint64_t aEra,
                                                         int64_t aKnownVersion) const;
  std::vector<std::string> Hosts() const;
  void SendTo(const std::vector<std::string>& aHosts, const std::string& aHeartbeat);
  void SendNextBurst();
  void SendLeavingNotice(const std::vector<std::string>& aHosts);
  void Receive();
  void ReceiveQuarantineReport(const std::string& aBytes);
  void HandleUpdate(const gossip::Update& aUpdate);
  void HandleOriginQuery(const gossip::OriginQuery& aQuery);
  /// Position that an update has just stated, and when the store confirmed it.
  struct Announcement {
    store::Position m_position;
    base::TimePoint m_confirmedAt;
  };
  /// Fetches the replica of `aHost`.
  void Fetch(const std::string& aHost, const std::optional<Announcement>& aAnnounced = {});
  /// Records that an update, which arrived at `aArrival`, has left no change missing here.
  void RecordConfirmation(base::TimePoint aArrival, base::TimePoint aConfirmedAt);
  /// Fetches a complete replica of a later era after a random delay: from a random node that is
  /// known to have one, or else from `aHost`.
  void FetchNewEra(const std::string& aHost);
  std::set<std::string> UnresponsiveHosts(base::TimePoint aNow);
  adapters::http1::SimpleResponse HandleReplicaRequest(
    const adapters::http1::RequestHead& aHead) const;
  void ApplyReplica(const std::string& aBytes, const store::Position& aAfter);

  adapters::http::EventLoop& m_loop;
  const ServingSettings& m_settings;
  const gossip::Contact& m_self;
  gossip::PeerTable& m_peerTable;
  sync::StoreReplica& m_replica;
  std::function<gossip::Heartbeat()> m_makeHeartbeat;
  std::function<void(const gossip::Heartbeat&)> m_onHeartbeat;
  std::function<gossip::LeavingNotice()> m_makeLeavingNotice;
  std::function<void(const gossip::LeavingNotice&)> m_onLeavingNotice;
  std::function<void(const quarantine::Report&)> m_onQuarantineReport;
  std::function<void(const gossip::OriginNotice&)> m_onOriginNotice;
  std::function<gossip::OriginNotice(const gossip::OriginQuery&)> m_onOriginQuery;
  const ActiveConfiguration& m_configuration;
  std::function<void(const std::string& aData)> m_onConfiguration;
  const base::Log m_log{ "news" };
  adapters::peer::DatagramSocket m_socket;
  adapters::http::EventHandlePtr m_readable;
  adapters::http1::SimpleServer m_server;
  std::map<std::string, std::unique_ptr<adapters::http1::JsonClient>> m_clients;
  std::mt19937_64 m_random{ base::RandomSeed() };
  /// Index of the host at which the next round of heartbeats begins.
  size_t m_nextHost = 0;
  /// Rest of the present round of heartbeats, and the interval between its bursts.
  std::vector<std::vector<std::string>> m_bursts;
  std::string m_heartbeat;
  base::Millis m_burstInterval{ 0 };
  adapters::http::EventHandlePtr m_burstTimer;
  /// Set while an announcement of leaving endpoints is about to be sent.
  adapters::http::EventHandlePtr m_announceTimer;
  bool m_fetching = false;
  /// Set while the fetch of a later era is about to start.
  adapters::http::EventHandlePtr m_newEraTimer;
  std::optional<base::TimePoint> m_lastUpdateTime;
  base::TimePoint m_confirmedAt{};
  /// Hosts whose replica recently was not returned or brought nothing new, with the time of that.
  std::map<std::string, base::TimePoint> m_unresponsive;
  std::optional<base::TimePoint> m_behindSince;
};

} // namespace papayafield::serving
