#include "duties/ScalingPolicy.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::duties;

namespace {

const base::TimePoint kStart{ std::chrono::hours(1) };

fleet::Service Engines() {
  fleet::Service service;
  service.m_id = fleet::ServiceId("engines");
  service.m_engine = { 64, 456855, 5 };
  service.m_scaling = fleet::ScalingBounds{
    1,
    6,
    base::Millis(4000),
    0.22,
    { { base::ZoneId("a"), 0.85 }, { base::ZoneId("b"), 1.2 }, { base::ZoneId("c"), 1.0 } }
  };
  return service;
}

std::vector<fleet::Endpoint> Running(size_t aCount,
                                     bool aReclaimable,
                                     const std::string& aZone = "a") {
  std::vector<fleet::Endpoint> endpoints(aCount);
  for (fleet::Endpoint& endpoint : endpoints) {
    endpoint.m_reclaimable = aReclaimable;
    endpoint.m_zone = base::ZoneId(aZone);
  }
  return endpoints;
}

int Count(const std::vector<ScalingOrder>& aOrders, bool aReclaimable) {
  int count = 0;
  for (const ScalingOrder& order : aOrders) {
    count += order.m_reclaimable == aReclaimable ? order.m_count : 0;
  }
  return count;
}

/// Returns a policy that has observed the demand of `aEngines` engines for ten seconds.
ScalingPolicy Loaded(double aEngines) {
  ScalingPolicy policy{ ScalingSettings{} };
  for (int second = 0; second <= 10; ++second) {
    policy.NoteDemand(aEngines * 1000, kStart + std::chrono::seconds(second));
  }
  return policy;
}

const base::TimePoint kLater = kStart + std::chrono::seconds(10);

} // namespace

BOOST_AUTO_TEST_SUITE(ScalingPolicyTest)

// The fleet must not shrink in the first half second of traffic, before the demand is known.
BOOST_AUTO_TEST_CASE(FleetKeepsItsSizeBeforeDemandIsKnown) {
  ScalingPolicy policy{ ScalingSettings{} };
  const auto engines = Running(9, false);
  BOOST_TEST(policy.Plan(Engines(), engines, kStart).empty());
  policy.NoteDemand(500, kStart + base::Millis(2000));
  for (const int millis : { 2000, 2500, 4000, 6900 }) {
    const auto orders = policy.Plan(Engines(), engines, kStart + base::Millis(millis));
    // Reclaimable engines are ordered while the full-price ones stay until those are ready.
    BOOST_TEST(Count(orders, false) == 9);
    BOOST_TEST(Count(orders, true) > 0);
  }
  BOOST_TEST(Count(policy.Plan(Engines(), engines, kStart + base::Millis(7000)), false) < 9);
}

// Five quiet seconds after the start must not halve the fleet before the first peak arrives.
BOOST_AUTO_TEST_CASE(FewQuietSecondsDoNotHalveTheFleet) {
  ScalingPolicy policy{ ScalingSettings{} };
  const auto engines = Running(9, false);
  const auto total = [&](int aSecond) {
    policy.NoteDemand(1500, kStart + std::chrono::seconds(aSecond));
    const auto orders = policy.Plan(Engines(), engines, kStart + std::chrono::seconds(aSecond));
    return Count(orders, false);
  };
  policy.Plan(Engines(), engines, kStart - std::chrono::seconds(5));
  total(0);
  BOOST_TEST(total(5) >= 5);
  BOOST_TEST(total(5) < 9);
  BOOST_TEST(total(13) <= 3);
}

// A fleet that is too small grows before demand counts as known; otherwise cold engines are
// overloaded for ten seconds on a larger site.
BOOST_AUTO_TEST_CASE(FleetGrowsAtOnceWhenItIsTooSmall) {
  ScalingPolicy policy{ ScalingSettings{} };
  const auto engines = Running(9, false);
  policy.Plan(Engines(), engines, kStart);
  policy.Plan(Engines(), engines, kStart + std::chrono::seconds(3));
  policy.NoteDemand(8000, kStart + std::chrono::seconds(4));
  const auto orders = policy.Plan(Engines(), engines, kStart + std::chrono::seconds(4));
  BOOST_TEST(Count(orders, false) + Count(orders, true) >= 16);
}

BOOST_AUTO_TEST_CASE(OrdersKeepTheBoundsOfEachZone) {
  for (const double demand : { 0.1, 1.0, 4.0, 9.0, 50.0 }) {
    std::map<base::ZoneId, int> zones;
    for (const ScalingOrder& order : Loaded(demand).Plan(Engines(), {}, kLater)) {
      zones[order.m_zone] += order.m_count;
    }
    BOOST_TEST(zones.size() == 3U);
    for (const auto& [zone, count] : zones) {
      BOOST_TEST(count >= 1);
      BOOST_TEST(count <= 6);
    }
  }
}

// Full-price engines replace reclaimable ones while those are missing.
BOOST_AUTO_TEST_CASE(ReclaimedEnginesAreStoodInFor) {
  ScalingPolicy policy = Loaded(4);
  const auto all = policy.Plan(Engines(), Running(30, true), kLater);
  const int cheap = Count(all, true);
  const int full = Count(all, false);
  BOOST_TEST(cheap > 0);
  const auto none = policy.Plan(Engines(), {}, kLater);
  BOOST_TEST(Count(none, true) == cheap);
  BOOST_TEST(Count(none, false) >= full + cheap);
}

// No room is reserved in a zone for reclaimable engines that are unavailable. With such a
// reservation, and no reclaimable engines available for ten seconds at full scale, only 8 of 35
// planned engines ran.
BOOST_AUTO_TEST_CASE(MissingEnginesTakeUpNoRoom) {
  ScalingPolicy policy = Loaded(8.5);
  const auto orders = policy.Plan(Engines(), {}, kLater);
  BOOST_TEST(Count(orders, false) >= 17);
  std::map<base::ZoneId, int> zones;
  for (const ScalingOrder& order : orders) {
    zones[order.m_zone] += order.m_count;
  }
  for (const auto& [zone, count] : zones) {
    BOOST_TEST(count <= 6);
  }
}

// No full-price engines are started for reclaimable ones that are still starting, and none stop
// before those are ready. Full-price engines replace them once the platform has no capacity or
// they do not register in time.
BOOST_AUTO_TEST_CASE(EnginesOnTheirWayAreCounted) {
  ScalingPolicy policy = Loaded(4);
  const int floor = Count(policy.Plan(Engines(), Running(30, true), kLater), false);
  const auto first = policy.Plan(Engines(), {}, kLater);
  for (const ScalingOrder& order : first) {
    policy.NoteOutcome(Engines(), order, true, kLater);
  }
  BOOST_TEST(Count(policy.Plan(Engines(), {}, kLater), false) == floor);
  BOOST_TEST(Count(policy.Plan(Engines(), Running(9, false), kLater), false) >= 8);
  BOOST_TEST(Count(policy.Plan(Engines(), {}, kLater + std::chrono::seconds(6)), false) >= 8);
  for (const ScalingOrder& order : first) {
    policy.NoteOutcome(Engines(), order, false, kLater);
  }
  BOOST_TEST(Count(policy.Plan(Engines(), {}, kLater), false) >= 8);
}

BOOST_AUTO_TEST_CASE(PeakOfDemandIsRemembered) {
  ScalingPolicy policy{ ScalingSettings{} };
  policy.NoteDemand(5000, kStart);
  policy.NoteDemand(1000, kStart + std::chrono::seconds(6));
  BOOST_TEST(policy.EnginesOfDemand() == 5.0);
  policy.NoteDemand(1000, kStart + std::chrono::seconds(20));
  BOOST_TEST(policy.EnginesOfDemand() == 1.0);
}

BOOST_AUTO_TEST_CASE(ServicesWithoutBoundsAreLeftAlone) {
  fleet::Service plain;
  BOOST_TEST(Loaded(4).Plan(plain, {}, kLater).empty());
}

BOOST_AUTO_TEST_SUITE_END()
