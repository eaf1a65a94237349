#include "serving/NewsExchange.h"

#include "adapters/peer/NewsCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace papayafield::serving {

using adapters::http1::CallResult;
using adapters::http1::RequestHead;
using adapters::http1::SmallAnswer;

namespace {

/// Maximum number of nodes that one round of heartbeats goes to; bounds the traffic of a large
/// fleet.
constexpr size_t kFanout = 12;
/// Lag behind a peer that is tolerated while this node watches the store itself, because the
/// store's own notification is under way.
constexpr base::Millis kNormalLag{ 300 };
constexpr base::Millis kFetchLimit{ 800 };
/// A peer that failed to return its replica is skipped for this long, so that other peers are
/// asked.
constexpr base::Millis kUnansweringFor{ 2000 };

} // namespace

NewsExchange::NewsExchange(adapters::http::EventLoop& aLoop,
                           const ServingSettings& aSettings,
                           const news::Contact& aSelf,
                           news::Members& aMembers,
                           sync::Image& aImage,
                           std::function<news::Beat()> aMakeBeat,
                           std::function<void(const news::Beat&)> aOnBeat)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_self(aSelf)
  , m_members(aMembers)
  , m_image(aImage)
  , m_makeBeat(std::move(aMakeBeat))
  , m_onBeat(std::move(aOnBeat))
  , m_socket({ aSettings.m_host, aSettings.m_gossipPort })
  , m_readable(aLoop.OnReadable(m_socket.Fd(), [this] { Receive(); }))
  , m_server(aLoop, { aSettings.m_host, aSettings.m_replicaPort }, [this](const RequestHead& aHead) {
    return GiveImage(aHead);
  }) {}

std::vector<std::string> NewsExchange::Hosts() const {
  std::set<std::string> hosts;
  for (const auto& [node, peer] : m_members.All()) {
    hosts.insert(peer.m_contact.m_host);
  }
  if (hosts.size() < 2) {
    hosts.insert(m_settings.m_seeds.begin(), m_settings.m_seeds.end());
  }
  hosts.erase(m_settings.m_host);
  return { hosts.begin(), hosts.end() };
}

size_t NewsExchange::Rounds() const {
  return std::max<size_t>((m_members.All().size() + kFanout - 1) / kFanout, 1);
}

void NewsExchange::SendTo(const std::vector<std::string>& aHosts) {
  if (aHosts.empty()) {
    return;
  }
  const std::string bytes = adapters::peer::EncodeBeat(m_makeBeat());
  for (const std::string& host : aHosts) {
    m_socket.Send({ host, m_settings.m_gossipPort }, bytes);
  }
}

void NewsExchange::SendBeats() {
  const std::vector<std::string> hosts = Hosts();
  std::vector<std::string> targets;
  for (size_t i = 0; i < std::min(hosts.size(), kFanout); ++i) {
    targets.push_back(hosts[m_next++ % hosts.size()]);
  }
  SendTo(targets);
}

void NewsExchange::Receive() {
  std::string bytes;
  while (m_socket.Receive(bytes)) {
    const auto news = adapters::peer::DecodeNews(bytes);
    if (!news) {
      m_log.Event("invalid datagram dropped", { { "bytes", bytes.size() } });
    } else if (const auto* update = std::get_if<news::Update>(&*news)) {
      TakeUpdate(*update);
    } else {
      m_onBeat(std::get<news::Beat>(*news));
    }
  }
}

void NewsExchange::SendUpdate(uint64_t aAfter, const std::vector<store::Change>& aChanges) {
  const auto hosts = m_members.HostsOf(m_settings.m_zone, base::BootNow());
  for (const news::Update& update : news::SplitUpdate(m_self, aAfter, aChanges)) {
    const std::string bytes = adapters::peer::EncodeUpdate(update);
    for (const std::string& host : hosts) {
      m_socket.Send({ host, m_settings.m_gossipPort }, bytes);
    }
  }
}

void NewsExchange::TakeUpdate(const news::Update& aUpdate) {
  m_lastUpdate = base::BootNow();
  switch (news::JudgeUpdate(aUpdate, m_image.LastRevision())) {
    case news::UpdateUse::Nothing:
      break;
    case news::UpdateUse::Apply:
      m_image.CatchUp(aUpdate.m_changes, false, aUpdate.m_revision);
      break;
    case news::UpdateUse::Fetch:
      Fetch(aUpdate.m_from.m_host);
      break;
  }
}

/// Returns the whole replica, or only the changes after the requested revision if all removals
/// since then are still known.
SmallAnswer NewsExchange::GiveImage(const RequestHead& aHead) const {
  const uint64_t after =
    std::strtoull(adapters::http1::QueryParameter(aHead.m_target, "after").c_str(), nullptr, 10);
  const bool whole = after < m_image.RemovalsFrom();
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, item] : m_image.Items()) {
    if (whole || item.m_revision > after) {
      items.push_back({ key,
                        nlohmann::json::binary({ item.m_data.begin(), item.m_data.end() }),
                        item.m_revision,
                        item.m_created });
    }
  }
  nlohmann::json removed = nlohmann::json::array();
  for (const auto& [key, revision] : m_image.Removals()) {
    if (!whole && revision > after) {
      removed.push_back({ key, revision });
    }
  }
  const auto bytes = nlohmann::json::to_cbor({ { "revision", m_image.LastRevision() },
                                               { "whole", whole },
                                               { "items", items },
                                               { "removed", removed } });
  return { 200, "application/cbor", std::string(bytes.begin(), bytes.end()) };
}

void NewsExchange::TakeImage(const std::string& aBytes) {
  const nlohmann::json image = nlohmann::json::from_cbor(aBytes, true, false);
  if (!image.is_object()) {
    m_log.Event("invalid store replica dropped", { { "bytes", aBytes.size() } });
    return;
  }
  std::vector<store::Change> changes;
  for (const nlohmann::json& row : image.at("items")) {
    const auto& data = row.at(1).get_binary();
    changes.push_back({ { row.at(0).get<std::string>(),
                          std::string(data.begin(), data.end()),
                          row.at(2).get<uint64_t>(),
                          row.at(3).get<uint64_t>() },
                        false });
  }
  for (const nlohmann::json& row : image.at("removed")) {
    changes.push_back({ { row.at(0).get<std::string>(), {}, row.at(1).get<uint64_t>(), 0 }, true });
  }
  m_image.CatchUp(changes, image.at("whole").get<bool>(), image.at("revision").get<uint64_t>());
}

void NewsExchange::CatchUp(bool aOwnStoreAnswers) {
  const auto now = base::BootNow();
  const news::Peer* ahead = m_members.Ahead(m_image.LastRevision(), now, Unanswering(now));
  if (ahead == nullptr) {
    m_behindSince.reset();
    return;
  }
  if (!m_behindSince) {
    m_behindSince = now;
  }
  if (!aOwnStoreAnswers || now - *m_behindSince >= kNormalLag) {
    Fetch(ahead->m_contact.m_host);
  }
}

std::set<std::string> NewsExchange::Unanswering(base::TimePoint aNow) {
  std::erase_if(m_unanswering,
                [&](const auto& aEntry) { return aNow - aEntry.second > kUnansweringFor; });
  std::set<std::string> hosts;
  for (const auto& [host, since] : m_unanswering) {
    hosts.insert(host);
  }
  return hosts;
}

void NewsExchange::Fetch(const std::string& aHost) {
  if (m_fetching) {
    return;
  }
  m_fetching = true;
  auto& client = m_clients[aHost];
  if (client == nullptr) {
    client = std::make_unique<adapters::http1::JsonClient>(
      m_loop, base::Address{ aHost, m_settings.m_replicaPort });
  }
  const std::string target = "/image?after=" + std::to_string(m_image.LastRevision());
  client->Call("GET", target, {}, {}, kFetchLimit, [this, host = aHost](CallResult aResult) {
    m_fetching = false;
    m_behindSince.reset();
    const uint64_t before = m_image.LastRevision();
    if (aResult.m_status == 200) {
      TakeImage(aResult.m_body);
    } else {
      m_unanswering[host] = base::BootNow();
    }
    m_log.Event("store replica fetch ended",
                { { "host", host },
                  { "status", aResult.m_status },
                  { "revision_before", before },
                  { "revision", m_image.LastRevision() } });
  });
}

} // namespace papayafield::serving
