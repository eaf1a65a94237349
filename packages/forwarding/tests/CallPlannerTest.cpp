#include "forwarding/tests/PlannerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;
using namespace papayafield::forwarding::tests;
using base::Millis;

BOOST_FIXTURE_TEST_SUITE(CallPlannerTest, PlannerFixture)

// Guards against a planner that ignores the load or the endpoints that the call was sent to.
BOOST_AUTO_TEST_CASE(ChoosesTheLeastLoadedEndpointNotTriedYet) {
  for (const char* id : { "e-1", "e-2", "e-3" }) {
    AddEndpoint(id, kPlain);
  }
  AddLoad("e-1", 20, 0);
  AddLoad("e-2", 10, 0);
  CallPlan plan = Preview("plain");
  BOOST_TEST((plan.m_kind == PlanKind::Endpoint));
  BOOST_TEST(ChosenEndpoint(plan) == "e-3");
  BOOST_TEST(!plan.m_refusal.has_value());
  BOOST_TEST(!plan.m_prospect.has_value());
  m_tried.insert(base::EndpointId("e-3"));
  m_attempts = 1;
  plan = Preview("plain");
  BOOST_TEST(ChosenEndpoint(plan) == "e-2");
  BOOST_TEST(plan.m_expectedDelayMs > 0);
}

// A stream that has begun at one version must not go on at another one, whatever the load.
BOOST_AUTO_TEST_CASE(BegunStreamGetsOnlyItsVersion) {
  AddEndpoint("e-1", kPlain, "v1");
  AddEndpoint("e-2", kPlain, "v2");
  AddLoad("e-1", 20, 0);
  BOOST_TEST(ChosenEndpoint(Preview("plain")) == "e-2");
  m_version = "v1";
  BOOST_TEST(ChosenEndpoint(Preview("plain")) == "e-1");
  m_version = "v3";
  const CallPlan plan = Preview("plain");
  BOOST_REQUIRE(plan.m_refusal.has_value());
  BOOST_TEST(plan.m_refusal->m_reason == "version_gone");
  BOOST_TEST(plan.m_refusal->m_status == 503);
  BOOST_TEST(plan.m_refusal->m_retryAfterSeconds == 0);
}

BOOST_AUTO_TEST_CASE(RefusesWithoutEndpoints) {
  AddEndpoint("e-1", kEngines);
  const CallPlan plan = Preview("plain");
  BOOST_TEST((plan.m_kind == PlanKind::NoEndpoint));
  BOOST_REQUIRE(plan.m_refusal.has_value());
  BOOST_TEST(plan.m_refusal->m_status == 503);
  BOOST_TEST(plan.m_refusal->m_reason == "no_endpoint");
  BOOST_TEST(plan.m_refusal->m_retryAfterSeconds == 1.0);
}

// A 503 tells the caller that the call has not run.
BOOST_AUTO_TEST_CASE(RefusalOfACallThatMayHaveRunIsNo503) {
  m_attempts = 1;
  m_mayHaveRun = true;
  BOOST_TEST(Preview("plain").m_refusal->m_status == 502);
  BOOST_TEST(Planner("plain").QuarantineRefusal(Millis(10)).m_status == 502);
}

BOOST_AUTO_TEST_CASE(RefusesDuringAnOutage) {
  AddEndpoint("e-1", kPlain);
  m_node.m_availability.Pause(IncarnationOf("e-1"), Millis(700), m_now);
  CallPlan plan = Preview("plain");
  BOOST_TEST((plan.m_kind == PlanKind::Outage));
  BOOST_REQUIRE(plan.m_refusal.has_value());
  BOOST_TEST(plan.m_refusal->m_reason == "waiting");
  BOOST_TEST(plan.m_refusal->m_minRetryAfter.count() == 700);
  BOOST_TEST(plan.m_refusal->m_retryAfterSeconds == 0.2);
  m_node.m_availability.MarkLeaving(IncarnationOf("e-1"), m_now);
  plan = Preview("plain");
  BOOST_TEST(plan.m_refusal->m_reason == "leaving");
  BOOST_TEST(plan.m_refusal->m_retryAfterSeconds == 1.0);
}

// Only the first attempt is subject to admission control; work that has begun goes on.
BOOST_AUTO_TEST_CASE(RefusesAPlainCallWhoseQueueIsLongerThanItsTime) {
  AddEndpoint("e-1", kPlain);
  AddLoad("e-1", 1000, 0);
  m_timeLeft = Millis(1000);
  const CallPlan plan = Preview("plain");
  BOOST_TEST((plan.m_kind == PlanKind::Overloaded));
  BOOST_REQUIRE(plan.m_refusal.has_value());
  BOOST_TEST(plan.m_refusal->m_status == 503);
  BOOST_TEST(plan.m_refusal->m_reason == "overload");
  BOOST_TEST(plan.m_refusal->m_retryAfterSeconds == plan.m_expectedDelayMs / 2000);
  m_attempts = 1;
  BOOST_TEST((Preview("plain").m_kind == PlanKind::Endpoint));
}

BOOST_AUTO_TEST_CASE(RefusesACallToAMixedServiceThatCannotBeInTime) {
  MakeModelCall();
  AddEndpoint("e-1", kEngines);
  CallPlan plan = Preview("long");
  BOOST_TEST((plan.m_kind == PlanKind::Endpoint));
  BOOST_REQUIRE(plan.m_prospect.has_value());
  BOOST_TEST(plan.m_prospect->m_timeLeftMs == 4000);
  AddLoad("e-1", 100, 10000);
  plan = Preview("long");
  BOOST_TEST((plan.m_kind == PlanKind::Late));
  BOOST_REQUIRE(plan.m_refusal.has_value());
  BOOST_TEST(plan.m_refusal->m_status == 503);
  BOOST_TEST(plan.m_refusal->m_reason == "overload");
  BOOST_TEST(plan.m_prospect->m_calls == 100);
  BOOST_TEST(plan.m_prospect->m_slots == 16);
  BOOST_TEST(plan.m_prospect->m_waitingCalls == 84);
  BOOST_TEST(plan.m_refusal->m_retryAfterSeconds > 0);
  m_attempts = 1;
  BOOST_TEST((Preview("long").m_kind == PlanKind::Endpoint));
}

BOOST_AUTO_TEST_CASE(CallWithoutTimeIsNotSent) {
  AddEndpoint("e-1", kPlain);
  m_timeLeft = kMinAttemptTime - Millis(1);
  BOOST_TEST((Preview("plain").m_kind == PlanKind::TimedOut));
  m_timeLeft = kMinAttemptTime;
  BOOST_TEST((Preview("plain").m_kind == PlanKind::Endpoint));
}

// A preview must not use up the trial that decides whether a ban is lifted.
BOOST_AUTO_TEST_CASE(QuarantinedPromptIsRefusedAndAPreviewStartsNoTrial) {
  MakeModelCall();
  AddEndpoint("e-1", kEngines);
  quarantine::Report report;
  report.m_bans.push_back({ "system", 1, Millis(100), Millis(400) });
  m_node.m_crashGuard.Merge(report, m_now);
  const CallPlan plan = Preview("long");
  BOOST_TEST((plan.m_kind == PlanKind::Quarantined));
  BOOST_REQUIRE(plan.m_refusal.has_value());
  BOOST_TEST(plan.m_refusal->m_reason == "prompt_quarantined");
  BOOST_TEST(plan.m_refusal->m_retryAfterSeconds == 0.4);
  // On probation, one call is let through as a trial and the next is refused.
  const auto onProbation = m_now + Millis(400) + Millis(30000);
  const auto peek = [&] { return m_node.m_crashGuard.PeekRefusalTime(m_call, onProbation); };
  BOOST_TEST(!peek().has_value());
  BOOST_TEST(!peek().has_value());
  BOOST_TEST(!m_node.m_crashGuard.RefusalTime(m_call, onProbation).has_value());
  BOOST_TEST(peek().has_value());
  BOOST_TEST(m_node.m_crashGuard.RefusalTime(m_call, onProbation).has_value());
}

// First tries and retries count alike.
BOOST_AUTO_TEST_CASE(CallsGoWhereNoRejectionIsExpected) {
  AddEndpoint("e-1", kPlain);
  AddEndpoint("e-2", kPlain);
  const auto& ready = m_node.m_directory.Ready();
  m_node.m_rejectionLimit.SetTolerance(ready[0], 0, m_now);
  m_node.m_rejectionLimit.RecordRejection(ready[0], 1, m_now);
  for (m_attempts = 0; m_attempts < 2; ++m_attempts) {
    BOOST_TEST(ChosenEndpoint(Preview("plain")) == "e-2");
  }
  m_node.m_rejectionLimit.RecordRejection(ready[1], 1, m_now);
  for (m_attempts = 0; m_attempts < 2; ++m_attempts) {
    const CallPlan plan = Preview("plain");
    BOOST_TEST((plan.m_kind == PlanKind::RejectionLimit));
    BOOST_REQUIRE(plan.m_refusal.has_value());
    BOOST_TEST(plan.m_refusal->m_status == 503);
    BOOST_TEST(plan.m_refusal->m_reason == "overload");
    BOOST_TEST(plan.m_refusal->m_retryAfterSeconds > 0);
  }
  m_mayHaveRun = true;
  BOOST_TEST(Preview("plain").m_refusal->m_status == 502);
}

BOOST_AUTO_TEST_CASE(ServiceFollowsTheWeights) {
  fleet::Route route;
  BOOST_TEST(CallPlanner::SelectService(route, 0.5).Text().empty());
  route.m_backends = { { kEngines, 1 }, { kPlain, 3 } };
  BOOST_TEST(CallPlanner::SelectService(route, 0).Text() == "engines");
  BOOST_TEST(CallPlanner::SelectService(route, 0.24).Text() == "engines");
  BOOST_TEST(CallPlanner::SelectService(route, 0.25).Text() == "plain");
  BOOST_TEST(CallPlanner::SelectService(route, 0.999).Text() == "plain");
}

BOOST_AUTO_TEST_CASE(EnginePriorityFollowsTheSlackOfMixedCallsOnly) {
  BOOST_TEST(Planner("short").EnginePriority(0, m_now).m_level == 0);
  BOOST_TEST(!Planner("short").EnginePriority(0, m_now).m_slackMs.has_value());
  MakeModelCall();
  const PlannedPriority early = Planner("long").EnginePriority(0, m_now);
  const PlannedPriority late = Planner("long").EnginePriority(3000, m_now);
  BOOST_REQUIRE(early.m_slackMs.has_value());
  BOOST_REQUIRE(late.m_slackMs.has_value());
  BOOST_TEST(*early.m_slackMs - *late.m_slackMs == 3000, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Planner("short").EnginePriority(0, m_now).m_level < early.m_level);
}

// Own parts count in full, shared ones by the part that is expected to be read again.
BOOST_AUTO_TEST_CASE(TokensOfSharedPartsCountInPart) {
  MakeModelCall();
  const CallPlanner planner = Planner("short");
  BOOST_TEST(planner.OwnTokens() == 400);
  BOOST_TEST(planner.SharedTokens() == 600);
  BOOST_TEST(planner.UncachedTokens() == 520);
  BOOST_TEST(planner.MakePlacementRequest(m_now).m_subject == "system");
}

BOOST_AUTO_TEST_SUITE_END()
