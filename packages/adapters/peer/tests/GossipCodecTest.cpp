#include "adapters/peer/GossipCodec.h"
#include "adapters/peer/news.capnp.h"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <random>

using namespace papayafield;
using namespace papayafield::adapters::peer;

namespace {

gossip::Heartbeat MakeFullHeartbeat() {
  gossip::Heartbeat heartbeat;
  heartbeat.m_from = { base::NodeId("n1"), 1234567890123, "10.1.0.14" };
  heartbeat.m_zone = base::ZoneId("a");
  heartbeat.m_ready = true;
  heartbeat.m_storeReachable = true;
  heartbeat.m_relays = true;
  heartbeat.m_configuration = 42;
  heartbeat.m_position = { 3, 77 };
  heartbeat.m_requestedWorkMs = 12.5;
  heartbeat.m_loads[base::EndpointId("e1")] = { 3, 4000, 1.5, 500 };
  heartbeat.m_failures[base::EndpointId("e2")] = { 4, 1.5 };
  heartbeat.m_quota.m_granted[base::TeamId("t")] = 100;
  heartbeat.m_quota.m_requested[base::TeamId("t")] = 150;
  heartbeat.m_quota.m_levels[base::TeamId("t")] = -5;
  heartbeat.m_usage[9][base::TeamId("t")] = 6;
  heartbeat.m_contacts.push_back({ base::NodeId("n2"), 5, "10.1.0.15" });
  return heartbeat;
}

gossip::Update MakeFullUpdate() {
  return { { base::NodeId("n1"), 5, "10.1.0.14" },
           4,
           { 2, 7 },
           { { { "p/a", std::string("\0x", 2), { 2, 5 }, 2 }, false },
             { { "p/b", "", { 2, 7 }, 0 }, true } },
           {} };
}

gossip::LeavingNotice MakeLeavingNotice() {
  return { { { { base::EndpointId("i-1"), 1234567890123 }, base::Millis(250) },
             { { base::EndpointId("with a space"), -1 }, base::Millis(0) } } };
}

/// Returns the bytes of a datagram, as a node sends them.
std::string PackDatagram(capnp::MessageBuilder& aMessage) {
  kj::VectorOutputStream bytes;
  capnp::writePackedMessage(bytes, aMessage);
  const auto array = bytes.getArray();
  return { reinterpret_cast<const char*>(array.begin()), array.size() };
}

void DecodeMutatedBytes(const std::string& aValidBytes) {
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = aValidBytes.substr(0, random() % (aValidBytes.size() + 1));
    for (int change = 0; change < 4 && !bytes.empty(); ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    DecodeGossip(bytes);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(GossipCodecTest)

BOOST_AUTO_TEST_CASE(HeartbeatRoundTrips) {
  const auto news = DecodeGossip(EncodeHeartbeat(MakeFullHeartbeat()));
  BOOST_REQUIRE(news.has_value());
  const auto* heartbeat = std::get_if<gossip::Heartbeat>(&*news);
  BOOST_REQUIRE(heartbeat != nullptr);
  BOOST_TEST(heartbeat->m_from.IncarnationKey() == "n1@1234567890123");
  BOOST_TEST(heartbeat->m_ready);
  BOOST_TEST(heartbeat->m_relays);
  BOOST_TEST(!heartbeat->m_stopping);
  BOOST_TEST(heartbeat->m_configuration == 42);
  BOOST_TEST((heartbeat->m_position == store::Position{ 3, 77 }));
  BOOST_TEST(heartbeat->m_loads.at(base::EndpointId("e1")).m_pendingPromptTokens == 4000);
  BOOST_TEST(heartbeat->m_loads.at(base::EndpointId("e1")).m_urgency == 1.5);
  BOOST_TEST(heartbeat->m_failures.at(base::EndpointId("e2")).m_attempts == 4);
  BOOST_TEST(heartbeat->m_failures.at(base::EndpointId("e2")).m_failures == 1.5);
  BOOST_TEST(heartbeat->m_loads.at(base::EndpointId("e1")).m_urgentPromptTokens == 500);
  BOOST_TEST(heartbeat->m_quota.m_requested.at(base::TeamId("t")) == 150);
  BOOST_TEST(heartbeat->m_quota.m_levels.at(base::TeamId("t")) == -5);
  BOOST_TEST(heartbeat->m_usage.at(9).at(base::TeamId("t")) == 6U);
  BOOST_TEST(heartbeat->m_contacts.at(0).m_host == "10.1.0.15");
}

BOOST_AUTO_TEST_CASE(UpdateRoundTrips) {
  const auto news = DecodeGossip(EncodeUpdate(MakeFullUpdate()));
  BOOST_REQUIRE(news.has_value());
  const auto* update = std::get_if<gossip::Update>(&*news);
  BOOST_REQUIRE(update != nullptr);
  BOOST_TEST(update->m_from.m_host == "10.1.0.14");
  BOOST_TEST(update->m_after == 4U);
  BOOST_TEST((update->m_position == store::Position{ 2, 7 }));
  BOOST_REQUIRE(update->m_changes.size() == 2U);
  BOOST_TEST(update->m_changes[0].m_item.m_key == "p/a");
  BOOST_TEST(update->m_changes[0].m_item.m_data == std::string("\0x", 2));
  BOOST_TEST(update->m_changes[0].m_item.m_created == 2U);
  BOOST_TEST(!update->m_changes[0].m_removed);
  BOOST_TEST((update->m_changes[1].m_item.m_position == store::Position{ 2, 7 }));
  BOOST_TEST(update->m_changes[1].m_removed);
}

BOOST_AUTO_TEST_CASE(ConfirmationOfAnUpdateRoundTrips) {
  for (const int64_t ageMs : { 0, 1, 2700, 600000 }) {
    gossip::Update sent = MakeFullUpdate();
    sent.m_confirmedAge = base::Millis(ageMs);
    const auto news = DecodeGossip(EncodeUpdate(sent));
    BOOST_REQUIRE(news.has_value());
    BOOST_TEST((std::get<gossip::Update>(*news).m_confirmedAge == base::Millis(ageMs)));
  }
}

// Earlier releases do not know the field, which must not read as a view that was just confirmed.
BOOST_AUTO_TEST_CASE(UpdateOfAnEarlierReleaseStatesNoConfirmation) {
  capnp::MallocMessageBuilder message;
  auto update = message.initRoot<wire::NewsDatagram>().initUpdate();
  update.initFrom().setHost("10.1.0.14");
  update.setRevision(7);
  const auto news = DecodeGossip(PackDatagram(message));
  BOOST_REQUIRE(news.has_value());
  BOOST_TEST(std::get<gossip::Update>(*news).m_position.m_revision == 7U);
  BOOST_TEST(!std::get<gossip::Update>(*news).m_confirmedAge.has_value());
}

BOOST_AUTO_TEST_CASE(LeavingNoticeRoundTrips) {
  const auto news = DecodeGossip(EncodeLeavingNotice(MakeLeavingNotice()));
  BOOST_REQUIRE(news.has_value());
  const auto* notice = std::get_if<gossip::LeavingNotice>(&*news);
  BOOST_REQUIRE(notice != nullptr);
  BOOST_REQUIRE(notice->m_marks.size() == 2U);
  BOOST_TEST((notice->m_marks[0].m_incarnation ==
              fleet::Incarnation{ base::EndpointId("i-1"), 1234567890123 }));
  BOOST_TEST(notice->m_marks[0].m_age.count() == 250);
  BOOST_TEST(notice->m_marks[1].m_incarnation.m_endpoint.Text() == "with a space");
}

BOOST_AUTO_TEST_CASE(MalformedLeavingNoticeIsDropped) {
  for (const char* lines : { "x\n", "1\n", "1 2\n", "1 2 \n", "1 x i-1\n", " 1 2 i-1\n", "\n" }) {
    BOOST_TEST(!DecodeGossip(std::string("leaving\n") + lines).has_value(), lines);
  }
  BOOST_TEST(!DecodeGossip("leaving\n99999999999999999999 2 i-1\n").has_value());
}

BOOST_AUTO_TEST_CASE(StreamOriginsRoundTrip) {
  const auto notice = DecodeGossip(
    EncodeOriginNotice({ { { 7, "v1" }, { UINT64_MAX, "" } }, "10.1.0.15", { 9, UINT64_MAX } }));
  BOOST_REQUIRE(notice.has_value());
  const auto& origins = std::get<gossip::OriginNotice>(*notice).m_origins;
  BOOST_REQUIRE(origins.size() == 2);
  BOOST_TEST(origins[0].m_version == "v1");
  BOOST_TEST(origins[1].m_stream == UINT64_MAX);
  BOOST_TEST(std::get<gossip::OriginNotice>(*notice).m_host == "10.1.0.15");
  BOOST_TEST(std::get<gossip::OriginNotice>(*notice).m_unknown.at(1) == UINT64_MAX);
  const auto query = DecodeGossip(EncodeOriginQuery({ "10.1.0.14", { 7, 8 } }));
  BOOST_REQUIRE(query.has_value());
  BOOST_TEST(std::get<gossip::OriginQuery>(*query).m_host == "10.1.0.14");
  BOOST_TEST(std::get<gossip::OriginQuery>(*query).m_streams.at(1) == 8U);
}

// Earlier releases reply without their host and without the streams that they do not know, which
// must not read as the reply of a node that knows none.
BOOST_AUTO_TEST_CASE(OriginsOfAnEarlierReleaseNameNoUnknownStream) {
  capnp::MallocMessageBuilder message;
  auto origins = message.initRoot<wire::NewsDatagram>().initOrigins().initOrigins(1);
  origins[0].setStream(7);
  origins[0].setVersion("v1");
  const auto notice = DecodeGossip(PackDatagram(message));
  BOOST_REQUIRE(notice.has_value());
  BOOST_TEST(std::get<gossip::OriginNotice>(*notice).m_origins.at(0).m_version == "v1");
  BOOST_TEST(std::get<gossip::OriginNotice>(*notice).m_host.empty());
  BOOST_TEST(std::get<gossip::OriginNotice>(*notice).m_unknown.empty());
}

// Earlier releases have no relay, and their address for it refuses connections.
BOOST_AUTO_TEST_CASE(HeartbeatOfAnEarlierReleaseOffersNoRelay) {
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::NewsDatagram>().initBeat().initFrom().setHost("10.1.0.14");
  const auto heartbeat = DecodeGossip(PackDatagram(message));
  BOOST_REQUIRE(heartbeat.has_value());
  BOOST_TEST(!std::get<gossip::Heartbeat>(*heartbeat).m_relays);
}

BOOST_AUTO_TEST_CASE(MutatedBytesAreHandledSafely) {
  DecodeMutatedBytes(EncodeOriginNotice({ { { 7, "v1" }, { 9, "v2" } }, "10.1.0.15", { 8 } }));
  DecodeMutatedBytes(EncodeOriginQuery({ "10.1.0.14", { 7, 8 } }));
  DecodeMutatedBytes(EncodeLeavingNotice(MakeLeavingNotice()));
  DecodeMutatedBytes(EncodeHeartbeat(MakeFullHeartbeat()));
  DecodeMutatedBytes(EncodeUpdate(MakeFullUpdate()));
  BOOST_TEST(!DecodeGossip("").has_value());
}

// Counts and grants of roll-outs arrive as they were sent, also those of the last bucket.
BOOST_AUTO_TEST_CASE(RolloutsRoundTrip) {
  gossip::Heartbeat sent = MakeFullHeartbeat();
  rollout::NodeCounts& counts = sent.m_rolloutCounts[fleet::ServiceId("s")];
  counts.m_order = { 2, 7 };
  counts.m_requests = 100;
  counts.m_sent = 9;
  counts.m_oldOpen = 3;
  counts.m_routes["r"].m_old.m_answers = 80;
  counts.m_routes["r"].m_old.m_times[rollout::kTimeBuckets - 1] = 80;
  counts.m_routes["r"].m_target.m_answers = 9;
  counts.m_routes["r"].m_target.m_failures = 4;
  counts.m_routes["r"].m_target.m_repeatedLosses = 6;
  counts.m_routes["r"].m_target.m_times[2] = 5;
  sent.m_rolloutGrants[fleet::ServiceId("s")] = { { 2, 7 }, 12, { { "n2@5", 17 } } };
  const auto news = DecodeGossip(EncodeHeartbeat(sent));
  BOOST_REQUIRE(news.has_value());
  const auto& read = std::get<gossip::Heartbeat>(*news);
  const rollout::NodeCounts& readCounts = read.m_rolloutCounts.at(fleet::ServiceId("s"));
  BOOST_TEST((readCounts.m_order == store::Position{ 2, 7 }));
  BOOST_TEST(readCounts.m_requests == 100U);
  BOOST_TEST(readCounts.m_sent == 9U);
  BOOST_TEST(readCounts.m_oldOpen == 3U);
  BOOST_TEST((readCounts.m_routes.at("r").m_old.m_times == counts.m_routes["r"].m_old.m_times));
  BOOST_TEST(readCounts.m_routes.at("r").m_target.m_failures == 4U);
  BOOST_TEST(readCounts.m_routes.at("r").m_target.m_repeatedLosses == 6U);
  BOOST_TEST(
    (readCounts.m_routes.at("r").m_target.m_times == counts.m_routes["r"].m_target.m_times));
  const rollout::RolloutGrants& grants = read.m_rolloutGrants.at(fleet::ServiceId("s"));
  BOOST_TEST(grants.m_token == 12U);
  BOOST_TEST(grants.m_calls.at("n2@5") == 17U);
}

BOOST_AUTO_TEST_SUITE_END()
