#include "adapters/peer/GossipCodec.h"

#include "adapters/peer/news.capnp.h"
#include "base/Numbers.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <charconv>
#include <kj/exception.h>
#include <kj/io.h>

#include <cmath>

namespace papayafield::adapters::peer {

namespace {

/// First line of a notice of leaving endpoints. No packed Cap'n Proto message begins like this: it
/// would have millions of segments.
constexpr std::string_view kLeavingNotice = "leaving\n";
/// Maximum number of endpoints that are read from a notice.
constexpr size_t kMaxLeavingMarks = 256;
/// Default of NewsUpdate.confirmedAgeMs: the age is not stated.
constexpr uint32_t kUnstatedAgeMs = UINT32_MAX;

std::string ToString(capnp::Text::Reader aText) {
  return { aText.begin(), aText.size() };
}

void WriteContact(wire::NewsContact::Builder aTo, const gossip::Contact& aContact) {
  aTo.setNode(aContact.m_node.Text());
  aTo.setBorn(aContact.m_startMs);
  aTo.setHost(aContact.m_host);
}

gossip::Contact ReadContact(wire::NewsContact::Reader aFrom) {
  return { base::NodeId(ToString(aFrom.getNode())), aFrom.getBorn(), ToString(aFrom.getHost()) };
}

template<class Map>
void WriteTotals(capnp::List<wire::NewsTotal>::Builder aTo, const Map& aTotals) {
  unsigned index = 0;
  for (const auto& [team, units] : aTotals) {
    aTo[index].setTeam(team.Text());
    aTo[index++].setUnits(static_cast<double>(units));
  }
}

void ReadTotals(capnp::List<wire::NewsTotal>::Reader aFrom, quota::QuotaLedger::Totals& aTotals) {
  for (const auto total : aFrom) {
    if (std::isfinite(total.getUnits())) {
      aTotals[base::TeamId(ToString(total.getTeam()))] = total.getUnits();
    }
  }
}

void WriteQuota(wire::NewsBeat::Builder aTo, const quota::QuotaLedger::View& aView) {
  const auto size = [](const auto& aTotals) { return static_cast<unsigned>(aTotals.size()); };
  WriteTotals(aTo.initGranted(size(aView.m_granted)), aView.m_granted);
  WriteTotals(aTo.initAsked(size(aView.m_requested)), aView.m_requested);
  WriteTotals(aTo.initLevels(size(aView.m_levels)), aView.m_levels);
}

void WriteLoads(wire::NewsBeat::Builder aTo, const gossip::Heartbeat& aHeartbeat) {
  auto loads = aTo.initLoads(static_cast<unsigned>(aHeartbeat.m_loads.size()));
  unsigned index = 0;
  for (const auto& [endpoint, load] : aHeartbeat.m_loads) {
    loads[index].setEndpoint(endpoint.Text());
    loads[index].setCalls(static_cast<float>(load.m_calls));
    loads[index].setWaitingTokens(static_cast<float>(load.m_pendingPromptTokens));
    loads[index].setUrgency(static_cast<float>(load.m_urgency));
    loads[index++].setUrgentTokens(static_cast<float>(load.m_urgentPromptTokens));
  }
}

void WriteFailures(wire::NewsBeat::Builder aTo, const gossip::Heartbeat& aHeartbeat) {
  auto failures = aTo.initFailures(static_cast<unsigned>(aHeartbeat.m_failures.size()));
  unsigned index = 0;
  for (const auto& [endpoint, counts] : aHeartbeat.m_failures) {
    failures[index].setEndpoint(endpoint.Text());
    failures[index].setAttempts(static_cast<float>(counts.m_attempts));
    failures[index++].setFailures(static_cast<float>(counts.m_failures));
  }
}

void WriteUsage(wire::NewsBeat::Builder aTo, const gossip::Heartbeat& aHeartbeat) {
  auto windows = aTo.initUsage(static_cast<unsigned>(aHeartbeat.m_usage.size()));
  unsigned index = 0;
  for (const auto& [number, counts] : aHeartbeat.m_usage) {
    windows[index].setNumber(number);
    WriteTotals(windows[index++].initCounts(static_cast<unsigned>(counts.size())), counts);
  }
}

void WriteAnswers(wire::NewsAnswers::Builder aTo, const rollout::AnswerCounts& aCounts) {
  aTo.setAnswers(aCounts.m_answers);
  aTo.setFailures(aCounts.m_failures);
  aTo.setRepeatedLosses(aCounts.m_repeatedLosses);
  unsigned size = rollout::kTimeBuckets;
  while (size > 0 && aCounts.m_times[size - 1] == 0) {
    --size;
  }
  auto times = aTo.initTimes(size);
  for (unsigned i = 0; i < size; ++i) {
    times.set(i, base::SaturatingCast<uint32_t>(static_cast<double>(aCounts.m_times[i])));
  }
}

rollout::AnswerCounts ReadAnswers(wire::NewsAnswers::Reader aFrom) {
  rollout::AnswerCounts counts;
  counts.m_answers = aFrom.getAnswers();
  counts.m_failures = aFrom.getFailures();
  counts.m_repeatedLosses = aFrom.getRepeatedLosses();
  const auto times = aFrom.getTimes();
  for (unsigned i = 0; i < times.size() && i < rollout::kTimeBuckets; ++i) {
    counts.m_times[i] = times[i];
  }
  return counts;
}

void WriteRollouts(wire::NewsBeat::Builder aTo, const gossip::Heartbeat& aHeartbeat) {
  auto allCounts = aTo.initRolloutCounts(static_cast<unsigned>(aHeartbeat.m_rolloutCounts.size()));
  unsigned index = 0;
  for (const auto& [service, counts] : aHeartbeat.m_rolloutCounts) {
    auto to = allCounts[index++];
    to.setService(service.Text());
    to.setEra(counts.m_order.m_era);
    to.setRevision(counts.m_order.m_revision);
    to.setRequests(counts.m_requests);
    to.setSent(counts.m_sent);
    to.setOldOpen(counts.m_oldOpen);
    auto routes = to.initRoutes(static_cast<unsigned>(counts.m_routes.size()));
    unsigned route = 0;
    for (const auto& [name, versions] : counts.m_routes) {
      routes[route].setRoute(name);
      WriteAnswers(routes[route].initOld(), versions.m_old);
      WriteAnswers(routes[route++].initTarget(), versions.m_target);
    }
  }
  auto allGrants = aTo.initRolloutGrants(static_cast<unsigned>(aHeartbeat.m_rolloutGrants.size()));
  index = 0;
  for (const auto& [service, grants] : aHeartbeat.m_rolloutGrants) {
    auto to = allGrants[index++];
    to.setService(service.Text());
    to.setEra(grants.m_order.m_era);
    to.setRevision(grants.m_order.m_revision);
    to.setFence(grants.m_token);
    auto nodes = to.initNodes(static_cast<unsigned>(grants.m_calls.size()));
    unsigned node = 0;
    for (const auto& [incarnation, calls] : grants.m_calls) {
      nodes[node].setIncarnation(incarnation);
      nodes[node++].setCalls(calls);
    }
  }
}

void ReadRollouts(wire::NewsBeat::Reader aFrom, gossip::Heartbeat& aHeartbeat) {
  for (const auto from : aFrom.getRolloutCounts()) {
    auto& counts = aHeartbeat.m_rolloutCounts[fleet::ServiceId(ToString(from.getService()))];
    counts.m_order = { from.getEra(), from.getRevision() };
    counts.m_requests = from.getRequests();
    counts.m_sent = from.getSent();
    counts.m_oldOpen = from.getOldOpen();
    for (const auto route : from.getRoutes()) {
      counts.m_routes[ToString(route.getRoute())] = { ReadAnswers(route.getOld()),
                                                      ReadAnswers(route.getTarget()) };
    }
  }
  for (const auto from : aFrom.getRolloutGrants()) {
    auto& grants = aHeartbeat.m_rolloutGrants[fleet::ServiceId(ToString(from.getService()))];
    grants.m_order = { from.getEra(), from.getRevision() };
    grants.m_token = from.getFence();
    for (const auto node : from.getNodes()) {
      grants.m_calls[ToString(node.getIncarnation())] = node.getCalls();
    }
  }
}

gossip::Heartbeat ReadHeartbeat(wire::NewsBeat::Reader aFrom) {
  gossip::Heartbeat heartbeat;
  heartbeat.m_from = ReadContact(aFrom.getFrom());
  heartbeat.m_zone = base::ZoneId(ToString(aFrom.getZone()));
  heartbeat.m_ready = aFrom.getReady();
  heartbeat.m_stopping = aFrom.getStopping();
  heartbeat.m_storeReachable = aFrom.getStoreAnswers();
  heartbeat.m_relays = aFrom.getRelays();
  heartbeat.m_configuration = aFrom.getConfiguration();
  heartbeat.m_position = { aFrom.getEra(), aFrom.getRevision() };
  heartbeat.m_requestedWorkMs = base::FiniteAmount(aFrom.getWorkAsked());
  heartbeat.m_engineCalls = base::FiniteAmount(aFrom.getEngineCalls());
  heartbeat.m_lateEngineCalls = base::FiniteAmount(aFrom.getLateEngineCalls());
  for (const auto load : aFrom.getLoads()) {
    heartbeat.m_loads[base::EndpointId(ToString(load.getEndpoint()))] = {
      base::FiniteAmount(load.getCalls()),
      base::FiniteAmount(load.getWaitingTokens()),
      base::FiniteAmount(load.getUrgency()),
      base::FiniteAmount(load.getUrgentTokens())
    };
  }
  for (const auto counts : aFrom.getFailures()) {
    heartbeat.m_failures[base::EndpointId(ToString(counts.getEndpoint()))] = {
      base::FiniteAmount(counts.getAttempts()), base::FiniteAmount(counts.getFailures())
    };
  }
  ReadTotals(aFrom.getGranted(), heartbeat.m_quota.m_granted);
  ReadTotals(aFrom.getAsked(), heartbeat.m_quota.m_requested);
  ReadTotals(aFrom.getLevels(), heartbeat.m_quota.m_levels);
  for (const auto window : aFrom.getUsage()) {
    for (const auto total : window.getCounts()) {
      heartbeat.m_usage[window.getNumber()][base::TeamId(ToString(total.getTeam()))] =
        base::SaturatingCast<uint64_t>(total.getUnits());
    }
  }
  ReadRollouts(aFrom, heartbeat);
  for (const auto contact : aFrom.getContacts()) {
    heartbeat.m_contacts.push_back(ReadContact(contact));
  }
  return heartbeat;
}

void WriteHeartbeat(wire::NewsBeat::Builder aTo, const gossip::Heartbeat& aHeartbeat) {
  WriteContact(aTo.initFrom(), aHeartbeat.m_from);
  aTo.setZone(aHeartbeat.m_zone.Text());
  aTo.setReady(aHeartbeat.m_ready);
  aTo.setStopping(aHeartbeat.m_stopping);
  aTo.setStoreAnswers(aHeartbeat.m_storeReachable);
  aTo.setRelays(aHeartbeat.m_relays);
  aTo.setConfiguration(aHeartbeat.m_configuration);
  aTo.setEra(aHeartbeat.m_position.m_era);
  aTo.setRevision(aHeartbeat.m_position.m_revision);
  aTo.setWorkAsked(aHeartbeat.m_requestedWorkMs);
  aTo.setEngineCalls(aHeartbeat.m_engineCalls);
  aTo.setLateEngineCalls(aHeartbeat.m_lateEngineCalls);
  WriteLoads(aTo, aHeartbeat);
  WriteFailures(aTo, aHeartbeat);
  WriteQuota(aTo, aHeartbeat.m_quota);
  WriteUsage(aTo, aHeartbeat);
  WriteRollouts(aTo, aHeartbeat);
  auto contacts = aTo.initContacts(static_cast<unsigned>(aHeartbeat.m_contacts.size()));
  for (unsigned i = 0; i < contacts.size(); ++i) {
    WriteContact(contacts[i], aHeartbeat.m_contacts[i]);
  }
}

void WriteUpdate(wire::NewsUpdate::Builder aTo, const gossip::Update& aUpdate) {
  WriteContact(aTo.initFrom(), aUpdate.m_from);
  aTo.setAfter(aUpdate.m_after);
  aTo.setEra(aUpdate.m_position.m_era);
  aTo.setRevision(aUpdate.m_position.m_revision);
  if (aUpdate.m_confirmedAge) {
    aTo.setConfirmedAgeMs(static_cast<uint32_t>(
      std::clamp<int64_t>(aUpdate.m_confirmedAge->count(), 0, kUnstatedAgeMs - 1)));
  }
  auto changes = aTo.initChanges(static_cast<unsigned>(aUpdate.m_changes.size()));
  for (unsigned i = 0; i < changes.size(); ++i) {
    const store::Item& item = aUpdate.m_changes[i].m_item;
    changes[i].setKey(item.m_key);
    changes[i].setData(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(item.m_data.data()), item.m_data.size()));
    changes[i].setRevision(item.m_position.m_revision);
    changes[i].setCreated(item.m_created);
    changes[i].setRemoved(aUpdate.m_changes[i].m_removed);
  }
}

gossip::Update ReadUpdate(wire::NewsUpdate::Reader aFrom) {
  gossip::Update update;
  update.m_from = ReadContact(aFrom.getFrom());
  update.m_after = aFrom.getAfter();
  update.m_position = { aFrom.getEra(), aFrom.getRevision() };
  if (aFrom.getConfirmedAgeMs() != kUnstatedAgeMs) {
    update.m_confirmedAge = base::Millis(aFrom.getConfirmedAgeMs());
  }
  for (const auto change : aFrom.getChanges()) {
    const auto data = change.getData();
    update.m_changes.push_back({ { ToString(change.getKey()),
                                   { reinterpret_cast<const char*>(data.begin()), data.size() },
                                   { aFrom.getEra(), change.getRevision() },
                                   change.getCreated() },
                                 change.getRemoved() });
  }
  return update;
}

gossip::OriginNotice ReadOriginNotice(wire::NewsOrigins::Reader aFrom) {
  gossip::OriginNotice notice;
  for (const auto origin : aFrom.getOrigins()) {
    notice.m_origins.push_back({ origin.getStream(), ToString(origin.getVersion()) });
  }
  notice.m_host = ToString(aFrom.getHost());
  for (const uint64_t stream : aFrom.getUnknown()) {
    notice.m_unknown.push_back(stream);
  }
  return notice;
}

gossip::OriginQuery ReadOriginQuery(wire::NewsOriginQuery::Reader aFrom) {
  gossip::OriginQuery query{ ToString(aFrom.getHost()), {} };
  for (const uint64_t stream : aFrom.getStreams()) {
    query.m_streams.push_back(stream);
  }
  return query;
}

GossipMessage ReadGossip(wire::NewsDatagram::Reader aFrom) {
  switch (aFrom.which()) {
    case wire::NewsDatagram::UPDATE:
      return ReadUpdate(aFrom.getUpdate());
    case wire::NewsDatagram::ORIGINS:
      return ReadOriginNotice(aFrom.getOrigins());
    case wire::NewsDatagram::ORIGIN_QUERY:
      return ReadOriginQuery(aFrom.getOriginQuery());
    default:
      return ReadHeartbeat(aFrom.getBeat());
  }
}

/// Takes the number and the space after it from the front of `aText`.
std::optional<int64_t> TakeNumber(std::string_view& aText) {
  int64_t number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const auto length = static_cast<size_t>(end - aText.data());
  if (error != std::errc{} || length >= aText.size() || aText[length] != ' ') {
    return std::nullopt;
  }
  aText.remove_prefix(length + 1);
  return number;
}

/// Reads the lines after the first one. Returns nullopt if one is malformed.
std::optional<gossip::LeavingNotice> ReadLeavingNotice(std::string_view aLines) {
  gossip::LeavingNotice notice;
  while (!aLines.empty() && notice.m_marks.size() < kMaxLeavingMarks) {
    std::string_view line = aLines.substr(0, aLines.find('\n'));
    aLines.remove_prefix(std::min(aLines.size(), line.size() + 1));
    const auto age = TakeNumber(line);
    const auto startMs = age ? TakeNumber(line) : std::nullopt;
    if (!startMs || line.empty()) {
      return std::nullopt;
    }
    notice.m_marks.push_back(
      { { base::EndpointId(std::string(line)), *startMs }, base::Millis(*age) });
  }
  return notice;
}

std::string Pack(capnp::MessageBuilder& aMessage) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, aMessage);
  const auto bytes = stream.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

} // namespace

std::string EncodeHeartbeat(const gossip::Heartbeat& aHeartbeat) {
  capnp::MallocMessageBuilder message;
  WriteHeartbeat(message.initRoot<wire::NewsDatagram>().initBeat(), aHeartbeat);
  return Pack(message);
}

std::string EncodeUpdate(const gossip::Update& aUpdate) {
  capnp::MallocMessageBuilder message;
  WriteUpdate(message.initRoot<wire::NewsDatagram>().initUpdate(), aUpdate);
  return Pack(message);
}

std::string EncodeOriginNotice(const gossip::OriginNotice& aNotice) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::NewsDatagram>().initOrigins();
  auto origins = root.initOrigins(static_cast<unsigned>(aNotice.m_origins.size()));
  for (unsigned i = 0; i < origins.size(); ++i) {
    origins[i].setStream(aNotice.m_origins[i].m_stream);
    origins[i].setVersion(aNotice.m_origins[i].m_version);
  }
  root.setHost(aNotice.m_host);
  auto unknown = root.initUnknown(static_cast<unsigned>(aNotice.m_unknown.size()));
  for (unsigned i = 0; i < unknown.size(); ++i) {
    unknown.set(i, aNotice.m_unknown[i]);
  }
  return Pack(message);
}

std::string EncodeOriginQuery(const gossip::OriginQuery& aQuery) {
  capnp::MallocMessageBuilder message;
  auto query = message.initRoot<wire::NewsDatagram>().initOriginQuery();
  query.setHost(aQuery.m_host);
  auto streams = query.initStreams(static_cast<unsigned>(aQuery.m_streams.size()));
  for (unsigned i = 0; i < streams.size(); ++i) {
    streams.set(i, aQuery.m_streams[i]);
  }
  return Pack(message);
}

std::string EncodeLeavingNotice(const gossip::LeavingNotice& aNotice) {
  std::string text(kLeavingNotice);
  for (const fleet::LeavingMark& mark : aNotice.m_marks) {
    const std::string& id = mark.m_incarnation.m_endpoint.Text();
    if (!id.empty() && id.find('\n') == std::string::npos) {
      text += std::to_string(mark.m_age.count()) + ' ' +
              std::to_string(mark.m_incarnation.m_startMs) + ' ' + id + '\n';
    }
  }
  return text;
}

std::optional<GossipMessage> DecodeGossip(std::string_view aBytes) {
  if (aBytes.starts_with(kLeavingNotice)) {
    return ReadLeavingNotice(aBytes.substr(kLeavingNotice.size()));
  }
  std::optional<GossipMessage> news;
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
    capnp::PackedMessageReader reader(stream);
    news = ReadGossip(reader.getRoot<wire::NewsDatagram>());
  });
  if (failure != nullptr) {
    return std::nullopt;
  }
  return news;
}

} // namespace papayafield::adapters::peer
