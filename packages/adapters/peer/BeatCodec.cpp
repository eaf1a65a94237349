#include "adapters/peer/BeatCodec.h"

#include "adapters/peer/news.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace papayafield::adapters::peer {

namespace {

std::string ToString(capnp::Text::Reader aText) {
  return { aText.begin(), aText.size() };
}

void WriteContact(wire::NewsContact::Builder aTo, const news::Contact& aContact) {
  aTo.setNode(aContact.m_node.Text());
  aTo.setBorn(aContact.m_born);
  aTo.setHost(aContact.m_host);
}

news::Contact ReadContact(wire::NewsContact::Reader aFrom) {
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
    aTotals[base::TeamId(ToString(total.getTeam()))] = total.getUnits();
  }
}

void WriteQuota(wire::NewsBeat::Builder aTo, const quota::QuotaLedger::View& aView) {
  const auto size = [](const auto& aTotals) { return static_cast<unsigned>(aTotals.size()); };
  WriteTotals(aTo.initGranted(size(aView.m_granted)), aView.m_granted);
  WriteTotals(aTo.initAsked(size(aView.m_asked)), aView.m_asked);
  WriteTotals(aTo.initLevels(size(aView.m_levels)), aView.m_levels);
}

void WriteLoads(wire::NewsBeat::Builder aTo, const news::Beat& aBeat) {
  auto loads = aTo.initLoads(static_cast<unsigned>(aBeat.m_loads.size()));
  unsigned index = 0;
  for (const auto& [endpoint, load] : aBeat.m_loads) {
    loads[index].setEndpoint(endpoint.Text());
    loads[index].setCalls(static_cast<float>(load.m_calls));
    loads[index++].setWaitingTokens(static_cast<float>(load.m_waitingTokens));
  }
}

void WriteUsage(wire::NewsBeat::Builder aTo, const news::Beat& aBeat) {
  auto windows = aTo.initUsage(static_cast<unsigned>(aBeat.m_usage.size()));
  unsigned index = 0;
  for (const auto& [number, counts] : aBeat.m_usage) {
    windows[index].setNumber(number);
    WriteTotals(windows[index++].initCounts(static_cast<unsigned>(counts.size())), counts);
  }
}

news::Beat ReadBeat(wire::NewsBeat::Reader aFrom) {
  news::Beat beat;
  beat.m_from = ReadContact(aFrom.getFrom());
  beat.m_zone = base::ZoneId(ToString(aFrom.getZone()));
  beat.m_ready = aFrom.getReady();
  beat.m_stopping = aFrom.getStopping();
  beat.m_storeAnswers = aFrom.getStoreAnswers();
  beat.m_configuration = aFrom.getConfiguration();
  beat.m_revision = aFrom.getRevision();
  beat.m_workAsked = aFrom.getWorkAsked();
  for (const auto load : aFrom.getLoads()) {
    beat.m_loads[base::EndpointId(ToString(load.getEndpoint()))] = { load.getCalls(),
                                                                     load.getWaitingTokens() };
  }
  ReadTotals(aFrom.getGranted(), beat.m_quota.m_granted);
  ReadTotals(aFrom.getAsked(), beat.m_quota.m_asked);
  ReadTotals(aFrom.getLevels(), beat.m_quota.m_levels);
  for (const auto window : aFrom.getUsage()) {
    for (const auto total : window.getCounts()) {
      beat.m_usage[window.getNumber()][base::TeamId(ToString(total.getTeam()))] =
        static_cast<uint64_t>(total.getUnits());
    }
  }
  for (const auto contact : aFrom.getContacts()) {
    beat.m_contacts.push_back(ReadContact(contact));
  }
  return beat;
}

} // namespace

std::string EncodeBeat(const news::Beat& aBeat) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::NewsBeat>();
  WriteContact(root.initFrom(), aBeat.m_from);
  root.setZone(aBeat.m_zone.Text());
  root.setReady(aBeat.m_ready);
  root.setStopping(aBeat.m_stopping);
  root.setStoreAnswers(aBeat.m_storeAnswers);
  root.setConfiguration(aBeat.m_configuration);
  root.setRevision(aBeat.m_revision);
  root.setWorkAsked(aBeat.m_workAsked);
  WriteLoads(root, aBeat);
  WriteQuota(root, aBeat.m_quota);
  WriteUsage(root, aBeat);
  auto contacts = root.initContacts(static_cast<unsigned>(aBeat.m_contacts.size()));
  for (unsigned i = 0; i < contacts.size(); ++i) {
    WriteContact(contacts[i], aBeat.m_contacts[i]);
  }
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

std::optional<news::Beat> DecodeBeat(std::string_view aBytes) {
  std::optional<news::Beat> beat;
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
    capnp::PackedMessageReader reader(stream);
    beat = ReadBeat(reader.getRoot<wire::NewsBeat>());
  });
  if (failure != nullptr) {
    return std::nullopt;
  }
  return beat;
}

} // namespace papayafield::adapters::peer
