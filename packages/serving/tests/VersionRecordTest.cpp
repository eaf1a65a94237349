#include "serving/VersionRecord.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace papayafield;
using namespace papayafield::serving;

namespace {

const fleet::VersionHistory::Versions kVersions{ { fleet::ServiceId("a"), { "v1", "v2" } },
                                                 { fleet::ServiceId("b"), { "v1" } } };

/// Reads a record as the releases do that keep the versions of each service at its top level.
fleet::VersionHistory::Versions ReadAsAnEarlierRelease(const std::string& aData) {
  fleet::VersionHistory::Versions versions;
  const nlohmann::json record = nlohmann::json::parse(aData);
  for (const auto& [service, names] : record.items()) {
    for (const nlohmann::json& name : names) {
      if (name.is_string()) {
        versions[fleet::ServiceId(service)].insert(name.get<std::string>());
      }
    }
  }
  return versions;
}

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

// A node of an earlier release took the record for empty and complete, and then the only version
// that it saw for the only one that had served.
BOOST_AUTO_TEST_CASE(EarlierReleaseFindsAllVersions) {
  const std::string data = EncodeVersionRecord({ kVersions, base::Millis(40000) });
  BOOST_CHECK(ReadAsAnEarlierRelease(data) == kVersions);
}

// The record of a release that had the versions in a member of their own.
BOOST_AUTO_TEST_CASE(RecordWithoutServicesAtItsTopLevelIsRead) {
  const VersionRecord record{ kVersions, base::Millis(40000) };
  BOOST_CHECK(DecodeVersionRecord(
                R"({"stream_lifetime_ms":40000,"versions":{"a":["v1","v2"],"b":["v1"]}})") ==
              record);
}

BOOST_AUTO_TEST_CASE(ServiceNamedLikeAMemberIsReadAsWritten) {
  const VersionRecord record{ { { fleet::ServiceId("versions"), { "v1" } },
                                { fleet::ServiceId("stream_lifetime_ms"), { "v2" } } },
                              base::Millis(40000) };
  BOOST_CHECK(DecodeVersionRecord(EncodeVersionRecord(record)) == record);
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
