#include "forwarding/CallDurations.h"
#include "forwarding/DrainPlan.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;

namespace {

using base::Millis;

constexpr base::TimePoint kStart{ std::chrono::hours(1) };

DrainPlan MakePlan() {
  return { DrainSettings{ Millis(8000), Millis(3000) }, kStart };
}

fleet::Route MakeRoute(const char* aName) {
  fleet::Route route;
  route.m_name = aName;
  route.m_latencyTarget = Millis(400);
  route.m_timeout = Millis(15000);
  return route;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DrainTest)

// Found on a day of slow engines: a stream that a stopping node had taken three seconds after the
// signal was cut at the end of the grace period.
BOOST_AUTO_TEST_CASE(CallThatMightOutlastTheNodeIsNotTaken) {
  const DrainPlan plan = MakePlan();
  BOOST_TEST(plan.MayAccept(Millis(400), kStart));
  BOOST_TEST(plan.MayAccept(Millis(7000), kStart));
  BOOST_TEST(!plan.MayAccept(Millis(7500), kStart));
  BOOST_TEST(plan.MayAccept(Millis(4000), kStart + Millis(2000)));
  BOOST_TEST(!plan.MayAccept(Millis(6000), kStart + Millis(2000)));
}

BOOST_AUTO_TEST_CASE(NoCallIsTakenOnceEntriesHaveExpired) {
  const DrainPlan plan = MakePlan();
  BOOST_TEST(plan.MayAccept(Millis(0), kStart + Millis(2700)));
  BOOST_TEST(!plan.MayAccept(Millis(0), kStart + Millis(2990)));
  BOOST_TEST(!plan.MayAccept(Millis(0), plan.EntriesExpireAt()));
  BOOST_TEST((plan.End() < kStart + Millis(8000)));
}

BOOST_AUTO_TEST_CASE(ExpectedDurationFollowsTheLongestRecentCall) {
  CallDurations durations;
  const fleet::Route route = MakeRoute("chat");
  const Millis none(0);
  BOOST_TEST(durations.Expected(route, none, kStart).count() == 500);
  durations.Record("chat", Millis(4000), kStart);
  durations.Record("chat", Millis(100), kStart);
  BOOST_TEST(durations.Expected(route, none, kStart).count() == 5000);
  BOOST_TEST(durations.Expected(route, none, kStart + Millis(10000)).count() < 2500);
  BOOST_TEST(durations.Expected(route, none, kStart + std::chrono::minutes(5)).count() == 500);
  durations.Record("chat", Millis(20000), kStart + std::chrono::minutes(5));
  BOOST_TEST(durations.Expected(route, none, kStart + std::chrono::minutes(5)).count() == 15000);
}

// Engines that have just become slow show first in calls that do not end.
BOOST_AUTO_TEST_CASE(ExpectedDurationFollowsOpenCalls) {
  CallDurations durations;
  durations.Record("chat", Millis(1000), kStart);
  BOOST_TEST(durations.Expected(MakeRoute("chat"), Millis(6000), kStart).count() == 7500);
}

// The latency target of a stream says nothing about its length.
BOOST_AUTO_TEST_CASE(StreamWithoutARecentOneMayTakeItsTimeout) {
  CallDurations durations;
  fleet::Route route = MakeRoute("chat");
  route.m_kind = fleet::CallKind::Stream;
  BOOST_TEST(durations.Expected(route, Millis(0), kStart).count() == 15000);
  durations.Record("chat", Millis(1000), kStart);
  BOOST_TEST(durations.Expected(route, Millis(0), kStart).count() == 1250);
  BOOST_TEST(durations.Expected(route, Millis(0), kStart + std::chrono::minutes(5)).count() ==
             15000);
}

BOOST_AUTO_TEST_CASE(RemovedRoutesAreForgotten) {
  CallDurations durations;
  durations.Record("chat", Millis(4000), kStart);
  durations.RetainRoutes(fleet::Catalog({}));
  BOOST_TEST(durations.Expected(MakeRoute("chat"), Millis(0), kStart).count() == 500);
}

BOOST_AUTO_TEST_SUITE_END()
