#include "scheduling/Admission.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace papayafield::scheduling;

BOOST_AUTO_TEST_SUITE(AdmissionTest)

// Earlier rules refused calls that would have been served late but in time.
BOOST_AUTO_TEST_CASE(OnlyCallsThatMissTheirDeadlineAreRefused) {
  const Admission admission{ AdmissionSettings{} };
  BOOST_TEST(!admission.Refuses({ 1999, 2000, 100, 20, 100 }));
  BOOST_TEST(admission.Refuses({ 2001, 2000, 100, 20, 100 }));
  BOOST_TEST(admission.RoomInMs({ 2600, 2000, 100, 20, 100 }) == 600);
}

// A wrong estimate must not refuse calls while there is room.
BOOST_AUTO_TEST_CASE(NothingIsRefusedWhileHalfOfTheSlotsAreFree) {
  const Admission admission{ AdmissionSettings{} };
  BOOST_TEST(!admission.Refuses({ 1e6, 10, 49, 0, 100 }));
  BOOST_TEST(admission.Refuses({ 1e6, 10, 50, 0, 100 }));
  // Some endpoints are full while others are empty.
  BOOST_TEST(admission.Refuses({ 1e6, 10, 49, 1, 100 }));
}

BOOST_AUTO_TEST_CASE(MoreUrgentCallsReturnFirst) {
  const Admission admission{ AdmissionSettings{} };
  for (const double roomMs : { 0.0, 600.0, 1e9 }) {
    for (size_t rank = 0; rank < 2; ++rank) {
      BOOST_TEST(admission.RetryAfterSeconds(roomMs, 10000, { rank, 3 }, 0.999) <
                 admission.RetryAfterSeconds(roomMs, 10000, { rank + 1, 3 }, 0));
    }
  }
}

// Callers that are refused together must not return together, also at the bound.
BOOST_AUTO_TEST_CASE(ReturnsAreSpread) {
  const Admission admission{ AdmissionSettings{} };
  for (const double roomMs : { 600.0, 1e9 }) {
    const double first = admission.RetryAfterSeconds(roomMs, 10000, { 0, 1 }, 0);
    const double last = admission.RetryAfterSeconds(roomMs, 10000, { 0, 1 }, 0.999);
    BOOST_TEST(last > first * 1.4);
  }
}

BOOST_AUTO_TEST_CASE(RetryAfterIsWithinAThirdOfTheTimeLeft) {
  const Admission admission{ AdmissionSettings{} };
  for (const double timeLeftMs : { -5.0, 0.0, 300.0, 10000.0 }) {
    for (size_t rank = 0; rank < 4; ++rank) {
      const double delay = admission.RetryAfterSeconds(1e9, timeLeftMs, { rank, 3 }, 0.999);
      BOOST_TEST(delay >= 0);
      BOOST_TEST(delay <= std::max(timeLeftMs, 0.0) / 1000 / 3);
    }
  }
  // Not before the room is expected, where the bound allows that.
  BOOST_TEST(admission.RetryAfterSeconds(600, 10000, { 0, 3 }, 0) == 0.6);
}

BOOST_AUTO_TEST_SUITE_END()
