#include "soak/StreamChecks.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Tests that the checks of the soak report streams that violate a guarantee, and no others.

using namespace papayafield;
using namespace papayafield::soak;

namespace {

const base::Address kNode{ "127.0.0.10", 1000 };
const base::Address kOtherNode{ "127.0.0.11", 1000 };

struct ChecksFixture {
  base::TimePoint At(int aMs) const { return m_start + base::Millis(aMs); }

  /// Returns a try with events of `aVersion` that arrive every 10 ms.
  StreamTry MakeTry(const base::Address& aNode,
                    int aSentMs,
                    int aLastEvent,
                    int aEvents,
                    const std::string& aVersion) const {
    StreamTry attempt;
    attempt.m_id = "try-" + std::to_string(aSentMs);
    attempt.m_node = aNode;
    attempt.m_sentAt = At(aSentMs);
    attempt.m_endedAt = At(aSentMs + 10 + aEvents * 10);
    attempt.m_status = aEvents > 0 ? 200 : 503;
    attempt.m_lastEvent = aLastEvent;
    for (int i = 1; i <= aEvents; ++i) {
      attempt.m_events.push_back({ aLastEvent + i, "i-0", aVersion, At(aSentMs + i * 10) });
    }
    return attempt;
  }

  /// Adds `aCount` streams that begin at one node, of which `aResumed` go on at the other one.
  void AddResumedStreams(int aCount, int aResumed) {
    for (int i = 0; i < aCount; ++i) {
      StreamRecord record;
      record.m_eventCount = 4;
      record.m_tries.push_back(MakeTry(kNode, 5000 + i, 0, 2, "v1"));
      record.m_tries.push_back(MakeTry(kOtherNode, 6000 + i, 2, i < aResumed ? 2 : 0, "v1"));
      m_records.push_back(record);
    }
  }

  StreamCheckResult Check() const {
    return CheckStreams(m_records, { m_endpoints, m_disruptions, m_stops, m_launches });
  }

  base::TimePoint m_start = base::BootNow();
  std::vector<StreamRecord> m_records;
  std::vector<EndpointSpan> m_endpoints{ { "i-0", "v1", m_start, std::nullopt },
                                         { "i-1", "v1", m_start, std::nullopt } };
  std::vector<NodeSpan> m_disruptions;
  std::vector<PlannedStop> m_stops;
  std::vector<NodeLaunch> m_launches;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamChecksTest, ChecksFixture)

BOOST_AUTO_TEST_CASE(CompleteStreamsViolateNothing) {
  AddResumedStreams(20, 20);
  const StreamCheckResult result = Check();
  BOOST_TEST(result.m_violations.empty());
  BOOST_TEST(result.m_resumable.m_requested == 20);
  BOOST_TEST(result.m_resumable.m_served == 20);
  BOOST_TEST(result.m_new.m_served == 20);
}

BOOST_AUTO_TEST_CASE(StreamOfTwoVersionsIsReported) {
  StreamRecord record;
  record.m_tries = { MakeTry(kNode, 5000, 0, 2, "v1"), MakeTry(kOtherNode, 6000, 2, 2, "v2") };
  m_records.push_back(record);
  const StreamCheckResult result = Check();
  BOOST_TEST(result.m_mixed == 1);
  BOOST_TEST(result.m_violations.size() == 1);
}

BOOST_AUTO_TEST_CASE(RepeatedAndMissingEventsAreReported) {
  for (const int lastEvent : { 1, 3 }) {
    StreamRecord record;
    record.m_tries = { MakeTry(kNode, 5000, 0, 2, "v1"),
                       MakeTry(kOtherNode, 6000, lastEvent, 2, "v1") };
    m_records.push_back(record);
  }
  BOOST_TEST(Check().m_violations.size() == 2);
}

BOOST_AUTO_TEST_CASE(RefusedStreamsAreReportedBelowHalfOfNewOnes) {
  AddResumedStreams(12, 6);
  BOOST_TEST(Check().m_violations.empty());
  m_records.clear();
  AddResumedStreams(12, 5);
  BOOST_TEST(Check().m_violations.size() == 1);
}

BOOST_AUTO_TEST_CASE(FewerThanTwelveRefusedStreamsAreAllowed) {
  AddResumedStreams(11, 0);
  BOOST_TEST(Check().m_violations.empty());
}

BOOST_AUTO_TEST_CASE(StreamsWithoutTwoEndpointsOfTheirVersionDoNotCount) {
  AddResumedStreams(20, 0);
  m_endpoints.back().m_end = At(5500);
  BOOST_TEST(Check().m_violations.empty());
}

BOOST_AUTO_TEST_CASE(NodesOutOfTouchDoNotCount) {
  AddResumedStreams(20, 0);
  m_disruptions.push_back({ NodeDisruption::Paused, kOtherNode, At(1000), At(4000) });
  BOOST_TEST(Check().m_violations.empty());
}

// The share of the run hid the streams of one node.
BOOST_AUTO_TEST_CASE(StreamsOfADisruptedNodeAreCheckedByThemselves) {
  AddResumedStreams(12, 0);
  for (StreamRecord& record : m_records) {
    record.m_tries.front().m_node = kNode;
  }
  for (int i = 0; i < 40; ++i) {
    StreamRecord record;
    record.m_tries = { MakeTry(kOtherNode, 5000 + i, 0, 2, "v1"),
                       MakeTry(kOtherNode, 6000 + i, 2, 2, "v1") };
    m_records.push_back(record);
  }
  BOOST_TEST(Check().m_violations.empty());
  m_disruptions.push_back({ NodeDisruption::Paused, kNode, At(5010), At(5200) });
  BOOST_TEST(Check().m_violations.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
