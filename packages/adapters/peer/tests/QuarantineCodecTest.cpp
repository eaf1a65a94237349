#include "adapters/peer/QuarantineCodec.h"

#include "adapters/peer/GossipCodec.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace papayafield;
using namespace papayafield::adapters::peer;
using base::Millis;

namespace {

quarantine::Report MakeFullReport() {
  quarantine::Report report;
  report.m_crashes.push_back({ "e1", "c1", { "p1", "p2" }, Millis(250) });
  report.m_successes.push_back({ "p1", Millis(12) });
  report.m_bans.push_back({ "p2", 3, Millis(500), Millis(59500) });
  return report;
}

const std::string kHeader = EncodeQuarantineReport({});

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineCodecTest)

BOOST_AUTO_TEST_CASE(ReportRoundTrips) {
  const std::string bytes = EncodeQuarantineReport(MakeFullReport());
  BOOST_TEST(IsQuarantineReport(bytes));
  const auto report = DecodeQuarantineReport(bytes);
  BOOST_REQUIRE(report.has_value());
  BOOST_REQUIRE(report->m_crashes.size() == 1U);
  BOOST_TEST(report->m_crashes[0].m_endpoint == "e1");
  BOOST_TEST(report->m_crashes[0].m_call == "c1");
  BOOST_TEST((report->m_crashes[0].m_parts == std::vector<std::string>{ "p1", "p2" }));
  BOOST_TEST(report->m_crashes[0].m_age.count() == 250);
  BOOST_REQUIRE(report->m_successes.size() == 1U);
  BOOST_TEST(report->m_successes[0].m_part == "p1");
  BOOST_TEST(report->m_successes[0].m_age.count() == 12);
  BOOST_REQUIRE(report->m_bans.size() == 1U);
  BOOST_TEST(report->m_bans[0].m_part == "p2");
  BOOST_TEST(report->m_bans[0].m_level == 3);
  BOOST_TEST(report->m_bans[0].m_age.count() == 500);
  BOOST_TEST(report->m_bans[0].m_remaining.count() == 59500);
}

BOOST_AUTO_TEST_CASE(InvalidReportsAreRejected) {
  std::string manyParts = "crash 1 e c";
  std::string manyEntries;
  for (int i = 0; i < 17; ++i) {
    manyParts += " p";
  }
  for (int i = 0; i < 257; ++i) {
    manyEntries += "answer 1 p\n";
  }
  for (const std::string& text : { std::string("crash 1 e c\n"),
                                   std::string("crash 1 e c p"),
                                   std::string("crash -1 e c p\n"),
                                   std::string("crash 99999999999999999999 e c p\n"),
                                   std::string("crash 1  c p\n"),
                                   std::string("answer 1 p q\n"),
                                   std::string("answer x p\n"),
                                   std::string("ban 1 p 2 0\n"),
                                   std::string("ban 1 p 2 101\n"),
                                   std::string("ban 1 p 90000000 1\n"),
                                   std::string("other 1 p\n"),
                                   std::string("\n"),
                                   "answer 1 " + std::string(65, 'p') + "\n",
                                   std::string("answer 1 p\x01\n"),
                                   manyParts + "\n",
                                   manyEntries }) {
    BOOST_TEST(!DecodeQuarantineReport(kHeader + text).has_value(), text);
  }
  BOOST_TEST(DecodeQuarantineReport(kHeader).has_value());
  BOOST_TEST(!DecodeQuarantineReport("").has_value());
}

BOOST_AUTO_TEST_CASE(HeartbeatsAreNoReports) {
  gossip::Heartbeat heartbeat;
  heartbeat.m_from = { base::NodeId("n1"), 1234567890123, "10.1.0.14" };
  for (int i = 0; i < 500; ++i) {
    heartbeat.m_loads[base::EndpointId("e" + std::to_string(i))] = { 3, 4000 };
  }
  BOOST_TEST(!IsQuarantineReport(EncodeHeartbeat(heartbeat)));
}

BOOST_AUTO_TEST_CASE(MutatedBytesAreHandledSafely) {
  const std::string valid = EncodeQuarantineReport(MakeFullReport());
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = valid.substr(0, random() % (valid.size() + 1));
    for (int change = 0; change < 4 && !bytes.empty(); ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    DecodeQuarantineReport(bytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
