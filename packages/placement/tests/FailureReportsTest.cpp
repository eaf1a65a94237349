#include "placement/FailureReports.h"
#include "placement/Placement.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace papayafield;
using namespace papayafield::placement;

namespace {

const base::TimePoint kNow{ std::chrono::hours(1) };
const base::EndpointId kEndpoint("e0");

FailureReports Make() {
  return FailureReports{ FailureReportSettings{} };
}

std::vector<fleet::Endpoint> Endpoints(size_t aCount) {
  std::vector<fleet::Endpoint> endpoints(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    endpoints[i].m_incarnation.m_endpoint = base::EndpointId("e" + std::to_string(i));
    endpoints[i].m_service = fleet::ServiceId("engines");
  }
  return endpoints;
}

/// Nodes that send calls to shared endpoints, of which some fail.
class CrashedFleet {
public:
  CrashedFleet(size_t aNodes, size_t aEndpoints, bool aShares)
    : m_endpoints(Endpoints(aEndpoints))
    , m_shares(aShares) {
    for (size_t i = 0; i < aNodes; ++i) {
      m_failures.push_back(std::make_unique<FailureReports>(FailureReportSettings{}));
      m_placements.push_back(
        std::make_unique<Placement>(PlacementSettings{}, nullptr, m_failures.back().get()));
    }
  }

  /// Sends `aCallsPerSecond` calls for `aDuration`; the first `aFailing` endpoints fail all of
  /// them. Returns the number of failures.
  int Run(base::Millis aDuration, int aCallsPerSecond, size_t aFailing) {
    int failures = 0;
    const auto end = m_now + aDuration;
    for (int i = 0; m_now < end; ++i) {
      m_now += std::chrono::microseconds(1000000 / aCallsPerSecond);
      const size_t node = m_random() % m_placements.size();
      PlacementRequest request;
      request.m_service = fleet::ServiceId("engines");
      request.m_subject = std::to_string(m_random() % 1000);
      request.m_promptTokens = 2000;
      const size_t chosen = *m_placements[node]->Choose(request, m_endpoints, m_now);
      const base::EndpointId& id = m_endpoints[chosen].m_incarnation.m_endpoint;
      m_placements[node]->RecordOutcome(id, chosen >= aFailing, m_now);
      m_failures[node]->Record(id, chosen >= aFailing, m_now);
      failures += chosen < aFailing ? 1 : 0;
      if (m_shares && m_now >= m_nextHeartbeat) {
        m_nextHeartbeat = m_now + base::Millis(250);
        ShareReports();
      }
    }
    return failures;
  }

private:
  void ShareReports() {
    for (size_t from = 0; from < m_failures.size(); ++from) {
      const auto report = m_failures[from]->LocalReport(m_now);
      for (size_t to = 0; to < m_failures.size(); ++to) {
        if (to != from) {
          m_failures[to]->SetPeerReport(std::to_string(from), report, m_now);
        }
      }
    }
  }

  const std::vector<fleet::Endpoint> m_endpoints;
  const bool m_shares;
  std::vector<std::unique_ptr<FailureReports>> m_failures;
  std::vector<std::unique_ptr<Placement>> m_placements;
  std::mt19937 m_random{ 1 };
  base::TimePoint m_now = kNow;
  base::TimePoint m_nextHeartbeat = kNow;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FailureReportsTest)

// A node that is cut off from sound endpoints must not take them out of use for the whole fleet.
BOOST_AUTO_TEST_CASE(OneNodeAloneExcludesNothing) {
  FailureReports reports = Make();
  reports.SetPeerReport("n1", { { kEndpoint, { 20, 20 } } }, kNow);
  BOOST_TEST(!reports.IsFailing(kEndpoint, kNow));
  reports.SetPeerReport("n2", { { kEndpoint, { 1, 1 } } }, kNow);
  BOOST_TEST(reports.IsFailing(kEndpoint, kNow));
  BOOST_TEST(reports.Failing(kNow).size() == 1U);
  // The failures of this node count like a report.
  FailureReports others = Make();
  others.Record(kEndpoint, false, kNow);
  BOOST_TEST(!others.IsFailing(kEndpoint, kNow));
  others.SetPeerReport("n1", { { kEndpoint, { 2, 2 } } }, kNow);
  BOOST_TEST(others.IsFailing(kEndpoint, kNow));
}

// An endpoint that gets no calls because it failed must be tried again.
BOOST_AUTO_TEST_CASE(ReportsAreForgotten) {
  FailureReports reports = Make();
  reports.SetPeerReport("n1", { { kEndpoint, { 10, 10 } } }, kNow);
  reports.SetPeerReport("n2", { { kEndpoint, { 10, 10 } } }, kNow);
  BOOST_TEST(reports.IsFailing(kEndpoint, kNow + base::Millis(1900)));
  BOOST_TEST(!reports.IsFailing(kEndpoint, kNow + base::Millis(2100)));
}

// Single failures, as of prompts that endpoints reject, must not take a busy endpoint out of use.
BOOST_AUTO_TEST_CASE(FewFailuresAmongManyAnswersExcludeNothing) {
  FailureReports reports = Make();
  reports.SetPeerReport("n1", { { kEndpoint, { 20, 3 } } }, kNow);
  reports.SetPeerReport("n2", { { kEndpoint, { 20, 3 } } }, kNow);
  BOOST_TEST(!reports.IsFailing(kEndpoint, kNow));
}

// A node reports only what failed lately, and no state stays for endpoints that are gone.
BOOST_AUTO_TEST_CASE(ReportsAndStateAreBounded) {
  FailureReports reports = Make();
  reports.Record(kEndpoint, true, kNow);
  BOOST_TEST(reports.LocalReport(kNow).empty());
  reports.Record(kEndpoint, false, kNow);
  BOOST_TEST((reports.LocalReport(kNow).at(kEndpoint) == AttemptCounts{ 2, 1 }));
  BOOST_TEST(reports.LocalReport(kNow + base::Millis(3000)).empty());
  reports.SetPeerReport("n1", { { kEndpoint, { 9, 9 } } }, kNow);
  BOOST_TEST(reports.LocalReport(kNow).contains(kEndpoint));
  BOOST_TEST(reports.LocalReport(kNow + base::Millis(600)).empty());
  for (size_t i = 1; i <= 20; ++i) {
    reports.Record(base::EndpointId("e" + std::to_string(i)), false, kNow);
  }
  reports.Record(base::EndpointId("e7"), false, kNow);
  BOOST_TEST(reports.LocalReport(kNow).size() == FailureReportSettings{}.m_maxReported);
  BOOST_TEST(reports.LocalReport(kNow).contains(base::EndpointId("e7")));
  reports.RetainEndpoints({});
  BOOST_TEST(reports.LocalReport(kNow).empty());
  BOOST_TEST(reports.Failing(kNow).empty());
}

// If most endpoints seem to fail, the others would be overrun.
BOOST_AUTO_TEST_CASE(HalfOfTheEndpointsStayInUse) {
  FailureReports reports = Make();
  const Placement placement{ PlacementSettings{}, nullptr, &reports };
  const auto endpoints = Endpoints(4);
  PlacementRequest request;
  request.m_service = fleet::ServiceId("engines");
  const auto report = [&](size_t aCount) {
    FailureReports::Counts counts;
    for (size_t i = 0; i < aCount; ++i) {
      counts[endpoints[i].m_incarnation.m_endpoint] = { 10, 10 };
    }
    reports.SetPeerReport("n1", counts, kNow);
    reports.SetPeerReport("n2", counts, kNow);
  };
  report(2);
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 2U);
  report(3);
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 0U);
}

// A quarter of 140 engines crashed for two seconds. Each of 50 nodes ran into every one of them by
// itself, so that nearly half of the attempts failed and the budget for retries was used up.
BOOST_AUTO_TEST_CASE(CrashedEndpointsAreAvoidedByAllNodes) {
  constexpr size_t kNodes = 50;
  constexpr size_t kEngines = 140;
  constexpr size_t kCrashed = 35;
  constexpr int kCallsPerSecond = 640;
  CrashedFleet alone(kNodes, kEngines, false);
  CrashedFleet sharing(kNodes, kEngines, true);
  for (CrashedFleet* fleet : { &alone, &sharing }) {
    BOOST_TEST(fleet->Run(base::Millis(2000), kCallsPerSecond, 0) == 0);
  }
  const int failuresAlone = alone.Run(base::Millis(2000), kCallsPerSecond, kCrashed);
  const int failuresSharing = sharing.Run(base::Millis(2000), kCallsPerSecond, kCrashed);
  BOOST_TEST_MESSAGE("failures: " << failuresAlone << " alone, " << failuresSharing << " sharing");
  BOOST_TEST(failuresSharing * 2 < failuresAlone);
}

// What a node took for failures of endpoints while it was cut off from all of them.
BOOST_AUTO_TEST_CASE(OwnFailuresCanBeForgotten) {
  FailureReports reports = Make();
  for (int i = 0; i < 5; ++i) {
    reports.Record(kEndpoint, false, kNow);
  }
  reports.SetPeerReport("n1", { { kEndpoint, { 5, 5 } } }, kNow);
  BOOST_TEST(reports.IsFailing(kEndpoint, kNow));
  reports.ForgetLocal();
  BOOST_TEST(!reports.IsFailing(kEndpoint, kNow));
  BOOST_TEST(reports.LocalReport(kNow).empty());
  // One peer alone is no proof, two are.
  reports.SetPeerReport("n1", { { kEndpoint, { 5, 5 } } }, kNow);
  BOOST_TEST(!reports.IsFailing(kEndpoint, kNow));
  reports.SetPeerReport("n2", { { kEndpoint, { 5, 5 } } }, kNow);
  BOOST_TEST(reports.IsFailing(kEndpoint, kNow));
}

BOOST_AUTO_TEST_SUITE_END()
