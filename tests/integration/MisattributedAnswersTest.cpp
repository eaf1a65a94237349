#include "tests/harness/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Tests that an answer of an endpoint is taken only for the call that it belongs to.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

void SetMode(const PlatformFleet& aFleet, int aRunner, const char* aMode) {
  aFleet.PostControl("runner", { { "index", aRunner }, { "mode", aMode } });
}

CallerAnswer SendOnce(const PlatformFleet& aFleet, const std::string& aId) {
  return aFleet.Send(0, "POST", "/once/a", "h.example", "key-1", aId);
}

} // namespace

BOOST_AUTO_TEST_SUITE(MisattributedAnswersTest)

// A caller was told that its call had not run although the runner had run it.
BOOST_AUTO_TEST_CASE(RepeatedRejectionWithoutIdIsNoProofThatACallHasNotRun) {
  const PlatformFleet fleet(1, 1);
  BOOST_TEST(SendOnce(fleet, "first").m_status == 200);
  SetMode(fleet, 0, "repeat_rejection_without_id");
  BOOST_TEST(SendOnce(fleet, "second").m_status == 502);
  BOOST_TEST(fleet.RecordedRuns("second").size() == 1U);
}

// The call ran at both runners.
BOOST_AUTO_TEST_CASE(RepeatedRejectionDoesNotRunAnUnsafeCallTwice) {
  for (const char* mode : { "repeat_rejection", "repeat_rejection_without_id" }) {
    const PlatformFleet fleet(1, 2);
    for (int i = 0; i < 4; ++i) {
      BOOST_TEST(SendOnce(fleet, "before-" + std::to_string(i)).m_status == 200);
    }
    SetMode(fleet, 0, mode);
    SetMode(fleet, 1, mode);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "after-" + std::to_string(i);
      const int status = SendOnce(fleet, id).m_status;
      BOOST_TEST((status == 200 || status == 502), mode << ' ' << status);
      BOOST_TEST(fleet.RecordedRuns(id).size() == 1U, mode);
    }
  }
}

BOOST_AUTO_TEST_CASE(RepeatedRejectionOfAnotherCallIsSkipped) {
  const PlatformFleet fleet(1, 1);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(SendOnce(fleet, "call-" + std::to_string(i)).m_status == 200);
    BOOST_TEST(fleet.Send(0, "GET", "/safe/a").m_body == "answer to /safe/a");
    SetMode(fleet, 0, "repeat_rejection");
  }
}

// Runners that never name the call in their rejections cost at most one failed call each.
BOOST_AUTO_TEST_CASE(CallsRejectedWithoutIdAreServedElsewhere) {
  const PlatformFleet fleet(1, 2);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(SendOnce(fleet, "before-" + std::to_string(i)).m_status == 200);
  }
  SetMode(fleet, 0, "shed_without_id");
  int failed = 0;
  for (int i = 0; i < 12; ++i) {
    failed += SendOnce(fleet, "after-" + std::to_string(i)).m_status == 200 ? 0 : 1;
    BOOST_TEST(fleet.Send(0, "GET", "/safe/a").m_status == 200);
  }
  BOOST_TEST(failed <= 1);
  SetMode(fleet, 1, "shed_without_id");
  BOOST_TEST(SendOnce(fleet, "first-at-1").m_status >= 502);
  BOOST_TEST(SendOnce(fleet, "rejected").m_status == 503);
  BOOST_TEST(fleet.RecordedRuns("rejected").empty());
}

BOOST_AUTO_TEST_SUITE_END()
