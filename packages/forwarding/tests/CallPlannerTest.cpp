#include "forwarding/CallPlanner.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;
using base::Millis;

namespace {

const fleet::ServiceId kEngines("engines");
const fleet::ServiceId kPlain("plain");

fleet::Route MakeRoute(const std::string& aName,
                       const fleet::ServiceId& aService,
                       int aPriority,
                       Millis aTarget) {
  fleet::Route route;
  route.m_name = aName;
  route.m_host = "h.example";
  route.m_prefix = "/" + aName + "/";
  route.m_timeout = Millis(4000);
  route.m_latencyTarget = aTarget;
  route.m_priority = aPriority;
  route.m_backends = { { aService, 1 } };
  return route;
}

/// Routes with different targets to one engine service, and one to a plain service.
fleet::CatalogPtr MakeCatalog() {
  fleet::Catalog::Contents contents;
  contents.m_version = 1;
  contents.m_needsKeys = false;
  contents.m_routes = { MakeRoute("short", kEngines, 0, Millis(500)),
                        MakeRoute("long", kEngines, 2, Millis(2000)),
                        MakeRoute("plain", kPlain, 1, Millis(100)) };
  fleet::Service engines;
  engines.m_id = kEngines;
  engines.m_engine = fleet::EngineCapacity{ 16, 0, 1 };
  fleet::Service plain;
  plain.m_id = kPlain;
  contents.m_services = { engines, plain };
  return std::make_shared<const fleet::Catalog>(std::move(contents));
}

/// A node without peers or connections, and one call to it.
struct PlannerFixture {
  PlannerFixture() { m_node.ApplyCatalog(m_catalog); }

  void AddEndpoint(const std::string& aId, const fleet::ServiceId& aService) {
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = IncarnationOf(aId);
    endpoint.m_service = aService;
    const store::Position position{ 0, ++m_revision };
    endpoint.m_position = position;
    m_node.m_directory.Put({ base::EndpointId(aId), position, endpoint });
  }
  static fleet::Incarnation IncarnationOf(const std::string& aId) {
    return { base::EndpointId(aId), 1 };
  }
  /// Sets the load of an endpoint as if this node had sent the calls.
  void AddLoad(const std::string& aId, int aCalls, double aTokens) {
    for (int call = 0; call < aCalls; ++call) {
      m_node.m_placement.RecordCallStarted(base::EndpointId(aId), aTokens);
    }
  }
  void MakeModelCall() {
    m_call.m_promptTokens = 1000;
    m_call.m_promptParts = { { "system", 600 }, { "own", 400 } };
  }
  CallPlanner Planner(const std::string& aRoute) const {
    const fleet::Route* route = m_catalog->FindRoute("h.example", "/" + aRoute + "/x");
    return { m_node,
             { *m_catalog,
               *route,
               m_call,
               route->m_backends.front().m_service,
               route->m_priority,
               m_now,
               m_now + m_timeLeft,
               m_tried,
               m_attempts,
               m_mayHaveRun } };
  }
  CallPlan Preview(const std::string& aRoute) const { return Planner(aRoute).Preview(m_now); }
  std::string ChosenEndpoint(const CallPlan& aPlan) const {
    return aPlan.m_endpoint
             ? m_node.m_directory.Ready()[*aPlan.m_endpoint].m_incarnation.m_endpoint.Text()
             : "";
  }

  adapters::http::EventLoop m_loop;
  NodeState m_node{ m_loop, {}, {}, {}, {}, Millis(0), 1000, {}, true, [] {} };
  const fleet::CatalogPtr m_catalog = MakeCatalog();
  uint64_t m_revision = 0;
  CallInfo m_call;
  std::set<base::EndpointId> m_tried;
  int m_attempts = 0;
  bool m_mayHaveRun = false;
  Millis m_timeLeft{ 4000 };
  const base::TimePoint m_now = base::BootNow();
};

} // namespace

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
