#include "rollout/VersionGate.h"
#include "rollout/ExposureLedger.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::rollout;

namespace {

const fleet::ServiceId kService("engines");
const store::Position kOrder{ 0, 5 };
const base::TimePoint kNow{ std::chrono::hours(1) };

std::vector<fleet::Endpoint> MakeEndpoints() {
  std::vector<fleet::Endpoint> endpoints;
  for (const char* id : { "v1-a", "v1-b", "v2-a", "v3-a" }) {
    fleet::Endpoint endpoint;
    endpoint.m_incarnation.m_endpoint = base::EndpointId(id);
    endpoint.m_service = kService;
    endpoint.m_version = std::string(id).substr(0, 2);
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

/// Returns the versions that a call may go to.
std::set<std::string> Usable(const VersionGate& aGate,
                             bool aMayExpose = true,
                             base::TimePoint aNow = kNow) {
  const auto endpoints = MakeEndpoints();
  std::set<fleet::Incarnation> unavailable;
  aGate.AddExcluded(kService, endpoints, {}, aMayExpose, aNow, unavailable);
  std::set<std::string> versions;
  for (const fleet::Endpoint& endpoint : endpoints) {
    if (!unavailable.contains(endpoint.m_incarnation)) {
      versions.insert(endpoint.m_version);
    }
  }
  return versions;
}

RolloutRecord MakeRecord(Phase aPhase) {
  RolloutRecord record;
  record.m_target = "v2";
  record.m_order = kOrder;
  record.m_phase = aPhase;
  if (aPhase == Phase::Reverted) {
    record.m_rejected = { "v2" };
  }
  return record;
}

using Versions = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(VersionGateTest)

BOOST_AUTO_TEST_CASE(AllVersionsAreUsedOutsideRollouts) {
  const VersionGate gate;
  BOOST_TEST((Usable(gate) == Versions{ "v1", "v2", "v3" }));
}

// A node that knows an order and hears no leader sends the target nothing.
BOOST_AUTO_TEST_CASE(TargetNeedsAGrant) {
  VersionGate gate;
  gate.SetOrder(kService, RolloutOrder{ "v2", base::Millis(12000), kOrder });
  BOOST_TEST((Usable(gate) == Versions{ "v1", "v3" }));
  gate.SetRecord(kService, MakeRecord(Phase::Exposing));
  BOOST_TEST((Usable(gate) == Versions{ "v1", "v3" }));
  gate.SetGrant(kService, { { 0, 4 }, 1, 5 }, kNow);
  BOOST_TEST((Usable(gate) == Versions{ "v1", "v3" }));
  gate.SetGrant(kService, { kOrder, 1, 1 }, kNow);
  BOOST_TEST((Usable(gate) == Versions{ "v2" }));
  // Retries and resumed streams do not go to an unproven version.
  BOOST_TEST((Usable(gate, false) == Versions{ "v1", "v3" }));
  BOOST_TEST((Usable(gate, true, kNow + kGrantLifetime) == Versions{ "v1", "v3" }));
  gate.CountSent(MakeEndpoints()[2], kNow);
  BOOST_TEST((Usable(gate) == Versions{ "v1", "v3" }));
}

// A leader that was replaced cannot raise the grants of the next one.
BOOST_AUTO_TEST_CASE(GrantsOfEarlierLeadersAreIgnored) {
  VersionGate gate;
  gate.SetOrder(kService, RolloutOrder{ "v2", base::Millis(12000), kOrder });
  gate.SetGrant(kService, { kOrder, 7, 1 }, kNow);
  gate.CountSent(MakeEndpoints()[2], kNow);
  gate.SetGrant(kService, { kOrder, 6, 9 }, kNow);
  BOOST_TEST((Usable(gate) == Versions{ "v1", "v3" }));
}

BOOST_AUTO_TEST_CASE(CompletedVersionGetsAllCalls) {
  VersionGate gate;
  gate.SetOrder(kService, RolloutOrder{ "v2", base::Millis(12000), kOrder });
  gate.SetRecord(kService, MakeRecord(Phase::Completed));
  BOOST_TEST((Usable(gate) == Versions{ "v2" }));
  BOOST_TEST((Usable(gate, false) == Versions{ "v2" }));
}

// A version that was reverted gets nothing, whether the order stays, is withdrawn or is replaced by
// one for another version, until an order names it.
BOOST_AUTO_TEST_CASE(RevertedVersionStaysOut) {
  VersionGate gate;
  gate.SetOrder(kService, RolloutOrder{ "v2", base::Millis(12000), kOrder });
  gate.SetRecord(kService, MakeRecord(Phase::Reverted));
  gate.SetGrant(kService, { kOrder, 1, 5 }, kNow);
  BOOST_TEST((Usable(gate) == Versions{ "v1", "v3" }));
  gate.SetOrder(kService, std::nullopt);
  BOOST_TEST((Usable(gate) == Versions{ "v1", "v3" }));
  gate.SetOrder(kService, RolloutOrder{ "v3", base::Millis(12000), { 0, 8 } });
  BOOST_TEST((Usable(gate) == Versions{ "v1" }));
  gate.SetOrder(kService, RolloutOrder{ "v2", base::Millis(12000), { 0, 9 } });
  gate.SetGrant(kService, { { 0, 9 }, 1, 5 }, kNow);
  BOOST_TEST((Usable(gate) == Versions{ "v2" }));
}

// Calls that a crash breaks off are one failure, not as many as were open.
BOOST_AUTO_TEST_CASE(CrashCountsOnce) {
  VersionGate gate;
  gate.SetOrder(kService, RolloutOrder{ "v2", base::Millis(12000), kOrder });
  const fleet::Endpoint target = MakeEndpoints()[2];
  const AttemptVersion version = gate.CountSent(target, kNow);
  for (int i = 0; i < 5; ++i) {
    gate.CountFailure(target, "r", version, false, true, kNow + base::Millis(10 * i));
  }
  gate.CountFailure(target, "r", version, false, false, kNow);
  BOOST_TEST(gate.Counts().at(kService).m_routes.at("r").m_target.m_failures == 2U);
  // The rollback time counts each of them.
  BOOST_TEST(gate.Counts().at(kService).m_routes.at("r").m_target.m_repeatedLosses == 4U);
}

// Answers of an endpoint that has just started count, but not their times.
BOOST_AUTO_TEST_CASE(ColdEndpointsShowNoTimes) {
  VersionGate gate;
  gate.SetOrder(kService, RolloutOrder{ "v2", base::Millis(12000), kOrder });
  fleet::Endpoint target = MakeEndpoints()[2];
  target.m_warmFrom = kNow + base::Millis(100);
  gate.CountAnswer(kService, "r", gate.CountSent(target, kNow), 1);
  gate.CountAnswer(kService, "r", gate.CountSent(target, kNow + base::Millis(100)), 1);
  const AnswerCounts counts = gate.Counts().at(kService).m_routes.at("r").m_target;
  BOOST_TEST(counts.m_answers == 2U);
  BOOST_TEST(counts.m_times[0] == 1U);
}

// Attempts of an earlier order do not count for the next one.
BOOST_AUTO_TEST_CASE(CountsBelongToOneOrder) {
  VersionGate gate;
  gate.SetOrder(kService, RolloutOrder{ "v2", base::Millis(12000), kOrder });
  const AttemptVersion version = gate.CountSent(MakeEndpoints()[2], kNow);
  gate.SetOrder(kService, RolloutOrder{ "v3", base::Millis(12000), { 0, 8 } });
  gate.CountAnswer(kService, "r", version, 10);
  BOOST_TEST(gate.Counts().at(kService).m_routes.empty());
  BOOST_TEST(gate.Counts().at(kService).m_sent == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
