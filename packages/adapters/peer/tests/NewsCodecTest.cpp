#include "adapters/peer/NewsCodec.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace papayafield;
using namespace papayafield::adapters::peer;

namespace {

news::Heartbeat Full() {
  news::Heartbeat beat;
  beat.m_from = { base::NodeId("n1"), 1234567890123, "10.1.0.14" };
  beat.m_zone = base::ZoneId("a");
  beat.m_ready = true;
  beat.m_storeReachable = true;
  beat.m_configuration = 42;
  beat.m_revision = 77;
  beat.m_requestedWorkMs = 12.5;
  beat.m_loads[base::EndpointId("e1")] = { 3, 4000 };
  beat.m_quota.m_granted[base::TeamId("t")] = 100;
  beat.m_quota.m_requested[base::TeamId("t")] = 150;
  beat.m_quota.m_levels[base::TeamId("t")] = -5;
  beat.m_usage[9][base::TeamId("t")] = 6;
  beat.m_contacts.push_back({ base::NodeId("n2"), 5, "10.1.0.15" });
  return beat;
}

news::Update FullUpdate() {
  return { { base::NodeId("n1"), 5, "10.1.0.14" },
           4,
           7,
           { { { "p/a", std::string("\0x", 2), 5, 2 }, false }, { { "p/b", "", 7, 0 }, true } } };
}

void ChangeBytes(const std::string& aGood) {
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = aGood.substr(0, random() % (aGood.size() + 1));
    for (int change = 0; change < 4 && !bytes.empty(); ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    DecodeNews(bytes);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(NewsCodecTest)

BOOST_AUTO_TEST_CASE(BeatComesBackAsItWas) {
  const auto news = DecodeNews(EncodeBeat(Full()));
  BOOST_REQUIRE(news.has_value());
  const auto* beat = std::get_if<news::Heartbeat>(&*news);
  BOOST_REQUIRE(beat != nullptr);
  BOOST_TEST(beat->m_from.IncarnationKey() == "n1@1234567890123");
  BOOST_TEST(beat->m_ready);
  BOOST_TEST(!beat->m_stopping);
  BOOST_TEST(beat->m_configuration == 42);
  BOOST_TEST(beat->m_revision == 77U);
  BOOST_TEST(beat->m_loads.at(base::EndpointId("e1")).m_pendingPromptTokens == 4000);
  BOOST_TEST(beat->m_quota.m_requested.at(base::TeamId("t")) == 150);
  BOOST_TEST(beat->m_quota.m_levels.at(base::TeamId("t")) == -5);
  BOOST_TEST(beat->m_usage.at(9).at(base::TeamId("t")) == 6U);
  BOOST_TEST(beat->m_contacts.at(0).m_host == "10.1.0.15");
}

BOOST_AUTO_TEST_CASE(UpdateComesBackAsItWas) {
  const auto news = DecodeNews(EncodeUpdate(FullUpdate()));
  BOOST_REQUIRE(news.has_value());
  const auto* update = std::get_if<news::Update>(&*news);
  BOOST_REQUIRE(update != nullptr);
  BOOST_TEST(update->m_from.m_host == "10.1.0.14");
  BOOST_TEST(update->m_after == 4U);
  BOOST_TEST(update->m_revision == 7U);
  BOOST_REQUIRE(update->m_changes.size() == 2U);
  BOOST_TEST(update->m_changes[0].m_item.m_key == "p/a");
  BOOST_TEST(update->m_changes[0].m_item.m_data == std::string("\0x", 2));
  BOOST_TEST(update->m_changes[0].m_item.m_created == 2U);
  BOOST_TEST(!update->m_changes[0].m_removed);
  BOOST_TEST(update->m_changes[1].m_item.m_revision == 7U);
  BOOST_TEST(update->m_changes[1].m_removed);
}

BOOST_AUTO_TEST_CASE(ChangedBytesDoNoHarm) {
  ChangeBytes(EncodeBeat(Full()));
  ChangeBytes(EncodeUpdate(FullUpdate()));
  BOOST_TEST(!DecodeNews("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
