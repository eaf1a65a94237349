#pragma once

#include "adapters/http1/JsonClient.h"
#include "adapters/http1/SmallServer.h"
#include "adapters/peer/DatagramSocket.h"
#include "base/Digest.h"
#include "news/PeerTable.h"
#include "news/Update.h"
#include "serving/ServingSettings.h"
#include "sync/StoreReplica.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayafield::serving {

/// Sends and hears beats, and fetches what a peer knows of the store when that peer is ahead. So a
/// node that the store turns away still follows the configuration and the endpoints. Belongs to the
/// thread of the loop.
class NewsExchange {
public:
  NewsExchange(adapters::http::EventLoop& aLoop,
               const ServingSettings& aSettings,
               const news::Contact& aSelf,
               news::PeerTable& aMembers,
               sync::StoreReplica& aImage,
               std::function<news::Heartbeat()> aMakeBeat,
               std::function<void(const news::Heartbeat&)> aOnBeat);

  /// Whether both ports could be had.
  bool Bound() const { return m_socket.Bound() && m_server.Listening(); }
  /// Sends beats now: to all nodes of a small fleet, to the next ones in turn of a large one.
  void SendBeats();
  /// How many rounds it takes until each node has had a beat.
  size_t Rounds() const;
  /// Tells the other nodes of this zone of changes at once: all that came after `aAfter`, in order.
  void SendUpdate(uint64_t aAfter, const std::vector<store::Change>& aChanges);
  /// When the last update came from a node that follows the store; nothing before the first.
  std::optional<base::TimePoint> LastUpdate() const { return m_lastUpdate; }
  /// Fetches a peer's image when that peer knows more. `aOwnStoreAnswers`: the store is followed
  /// directly, so a short lag is normal.
  void CatchUp(bool aOwnStoreAnswers);

private:
  std::vector<std::string> Hosts() const;
  void SendTo(const std::vector<std::string>& aHosts);
  void Receive();
  void TakeUpdate(const news::Update& aUpdate);
  void Fetch(const std::string& aHost);
  std::set<std::string> Unanswering(base::TimePoint aNow);
  adapters::http1::SmallAnswer GiveImage(const adapters::http1::RequestHead& aHead) const;
  void TakeImage(const std::string& aBytes);

  adapters::http::EventLoop& m_loop;
  const ServingSettings& m_settings;
  const news::Contact& m_self;
  news::PeerTable& m_members;
  sync::StoreReplica& m_image;
  std::function<news::Heartbeat()> m_makeBeat;
  std::function<void(const news::Heartbeat&)> m_onBeat;
  const base::Log m_log{ "news" };
  adapters::peer::DatagramSocket m_socket;
  adapters::http::WatchPtr m_readable;
  adapters::http1::SmallServer m_server;
  std::map<std::string, std::unique_ptr<adapters::http1::JsonClient>> m_clients;
  /// Where the next round of beats begins.
  size_t m_next = 0;
  bool m_fetching = false;
  std::optional<base::TimePoint> m_lastUpdate;
  /// Hosts that did not give their image lately.
  std::map<std::string, base::TimePoint> m_unanswering;
  std::optional<base::TimePoint> m_behindSince;
};

} // namespace papayafield::serving
