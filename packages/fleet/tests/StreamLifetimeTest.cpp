#include "fleet/StreamLifetime.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::fleet;
using base::Millis;

namespace {

const base::TimePoint kStart{ std::chrono::hours(1) };

} // namespace

BOOST_AUTO_TEST_SUITE(StreamLifetimeTest)

BOOST_AUTO_TEST_CASE(LongerLifetimeHoldsAtOnce) {
  StreamLifetime lifetime;
  lifetime.Set(Millis(1000), kStart);
  lifetime.Set(Millis(5000), kStart + Millis(10));
  BOOST_CHECK(lifetime.Longest(kStart + Millis(10)) == Millis(5000));
}

// Streams that had begun with a longer timeout were forgotten when a shorter one came into force.
BOOST_AUTO_TEST_CASE(LongerLifetimeHoldsUntilTheLastOfItsStreamsHasEnded) {
  StreamLifetime lifetime;
  lifetime.Set(Millis(5000), kStart);
  lifetime.Set(Millis(1000), kStart + Millis(100));
  lifetime.Set(Millis(2000), kStart + Millis(200));
  BOOST_CHECK(lifetime.Longest(kStart + Millis(5099)) == Millis(5000));
  BOOST_CHECK(lifetime.Longest(kStart + Millis(5100)) == Millis(2000));
}

BOOST_AUTO_TEST_CASE(LifetimeInForceTwiceEndsWithItsSecondTime) {
  StreamLifetime lifetime;
  lifetime.Set(Millis(5000), kStart);
  lifetime.Set(Millis(1000), kStart + Millis(100));
  lifetime.Set(Millis(5000), kStart + Millis(200));
  lifetime.Set(Millis(1000), kStart + Millis(300));
  BOOST_CHECK(lifetime.Longest(kStart + Millis(5299)) == Millis(5000));
  BOOST_CHECK(lifetime.Longest(kStart + Millis(5300)) == Millis(1000));
}

BOOST_AUTO_TEST_CASE(RecordedLifetimeCountsFromWhenItWasRead) {
  StreamLifetime lifetime;
  lifetime.Set(Millis(1000), kStart);
  lifetime.Extend(Millis(500), kStart);
  BOOST_CHECK(lifetime.Longest(kStart) == Millis(1000));
  lifetime.Extend(Millis(4000), kStart + Millis(100));
  BOOST_CHECK(lifetime.Longest(kStart + Millis(4099)) == Millis(4000));
  BOOST_CHECK(lifetime.Longest(kStart + Millis(4100)) == Millis(1000));
}

BOOST_AUTO_TEST_SUITE_END()
