#include "serving/VersionRecord.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::serving;

namespace {

const fleet::VersionHistory::Versions kVersions{ { fleet::ServiceId("a"), { "v1", "v2" } },
                                                 { fleet::ServiceId("b"), { "v1" } } };

} // namespace

BOOST_AUTO_TEST_SUITE(VersionRecordTest)

BOOST_AUTO_TEST_CASE(RecordIsReadAsWritten) {
  const VersionRecord record{ kVersions, base::Millis(40000) };
  BOOST_CHECK(DecodeVersionRecord(EncodeVersionRecord(record)) == record);
}

// Nodes of an earlier release write the record without a lifetime.
BOOST_AUTO_TEST_CASE(RecordOfAnEarlierReleaseIsRead) {
  const VersionRecord record = DecodeVersionRecord(R"({"a":["v1","v2"],"b":["v1"]})");
  BOOST_CHECK(record.m_versions == kVersions);
  BOOST_CHECK(record.m_streamLifetime == base::Millis(0));
}

BOOST_AUTO_TEST_CASE(MalformedPartsAreLeftOut) {
  for (const char* data : { "",
                            "[]",
                            "{}",
                            R"({"a":3})",
                            R"({"versions":{"a":[3,null]},"stream_lifetime_ms":"4"})",
                            R"({"versions":{},"stream_lifetime_ms":-5})" }) {
    BOOST_CHECK_MESSAGE(DecodeVersionRecord(data) == VersionRecord{}, data);
  }
  BOOST_CHECK(
    DecodeVersionRecord(R"({"versions":{},"stream_lifetime_ms":9e18})").m_streamLifetime <=
    std::chrono::hours(24));
}

BOOST_AUTO_TEST_SUITE_END()
