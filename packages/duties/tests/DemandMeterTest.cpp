#include "duties/DemandMeter.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using duties::DemandMeter;

namespace {

const base::TimePoint kStart{ std::chrono::hours(1) };

base::TimePoint At(double aSeconds) {
  return kStart + base::Millis(static_cast<int64_t>(aSeconds * 1000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(DemandMeterTest)

BOOST_AUTO_TEST_CASE(RatesOfAllNodesAreAdded) {
  DemandMeter meter;
  for (int tick = 0; tick <= 6; ++tick) {
    meter.Record("a", 100.0 * tick, At(tick * 0.25));
    meter.Record("b", 1000 + 50.0 * tick, At(tick * 0.25));
  }
  BOOST_TEST(meter.Measure(At(1.5)) == 600, boost::test_tools::tolerance(0.01));
}

// Heartbeats of busy nodes were lost for 20 s: the fleet was cut to a third of the demand, and the
// totals that came in at once then ordered the largest possible fleet.
BOOST_AUTO_TEST_CASE(LostHeartbeatsChangeTheRateLittle) {
  DemandMeter meter;
  double lowest = 1e9;
  double highest = 0;
  for (int tick = 0; tick <= 80; ++tick) {
    const double now = tick * 0.25;
    const bool lost = now > 6 && now < 10;
    meter.Record("calm", 100.0 * now, At(now));
    if (!lost) {
      meter.Record("busy", 1000.0 * now, At(now));
    }
    if (tick > 0 && tick % 6 == 0) {
      const double rate = meter.Measure(At(now));
      lowest = std::min(lowest, rate);
      highest = std::max(highest, rate);
    }
  }
  BOOST_TEST(lowest >= 1000);
  BOOST_TEST(highest <= 1200);
}

BOOST_AUTO_TEST_CASE(NodesThatEndedNoLongerCount) {
  DemandMeter meter;
  meter.Record("a", 0, At(0));
  meter.Record("a", 1000, At(1));
  BOOST_TEST(meter.Measure(At(1.5)) == 1000);
  BOOST_TEST(meter.Measure(At(3)) == 1000);
  BOOST_TEST(meter.Measure(At(7)) == 0);
  // The total of a node that returns says nothing about when it was reached.
  meter.Record("a", 9000, At(8));
  BOOST_TEST(meter.Measure(At(8)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
