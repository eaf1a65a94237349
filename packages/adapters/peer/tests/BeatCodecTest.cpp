#include "adapters/peer/BeatCodec.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace papayafield;
using namespace papayafield::adapters::peer;

namespace {

news::Beat Full() {
  news::Beat beat;
  beat.m_from = { base::NodeId("n1"), 1234567890123, "10.1.0.14" };
  beat.m_zone = base::ZoneId("a");
  beat.m_ready = true;
  beat.m_storeAnswers = true;
  beat.m_configuration = 42;
  beat.m_revision = 77;
  beat.m_workAsked = 12.5;
  beat.m_loads[base::EndpointId("e1")] = { 3, 4000 };
  beat.m_quota.m_granted[base::TeamId("t")] = 100;
  beat.m_quota.m_asked[base::TeamId("t")] = 150;
  beat.m_quota.m_levels[base::TeamId("t")] = -5;
  beat.m_usage[9][base::TeamId("t")] = 6;
  beat.m_contacts.push_back({ base::NodeId("n2"), 5, "10.1.0.15" });
  return beat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BeatCodecTest)

BOOST_AUTO_TEST_CASE(BeatComesBackAsItWas) {
  const auto beat = DecodeBeat(EncodeBeat(Full()));
  BOOST_REQUIRE(beat.has_value());
  BOOST_TEST(beat->m_from.Life() == "n1@1234567890123");
  BOOST_TEST(beat->m_ready);
  BOOST_TEST(!beat->m_stopping);
  BOOST_TEST(beat->m_configuration == 42);
  BOOST_TEST(beat->m_revision == 77U);
  BOOST_TEST(beat->m_loads.at(base::EndpointId("e1")).m_waitingTokens == 4000);
  BOOST_TEST(beat->m_quota.m_asked.at(base::TeamId("t")) == 150);
  BOOST_TEST(beat->m_quota.m_levels.at(base::TeamId("t")) == -5);
  BOOST_TEST(beat->m_usage.at(9).at(base::TeamId("t")) == 6U);
  BOOST_TEST(beat->m_contacts.at(0).m_host == "10.1.0.15");
}

BOOST_AUTO_TEST_CASE(ChangedBytesDoNoHarm) {
  const std::string good = EncodeBeat(Full());
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = good.substr(0, random() % (good.size() + 1));
    for (int change = 0; change < 4 && !bytes.empty(); ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    DecodeBeat(bytes);
  }
  BOOST_TEST(!DecodeBeat("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
