#include "tests/harness/PlatformFleet.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Tests that calls which an endpoint never answers do not count as its load for ever.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

constexpr base::Millis kTimeout{ 400 };
constexpr int kCalls = 12;

} // namespace

BOOST_AUTO_TEST_SUITE(UnansweredCallsTest)

// Calls that must not be repeated are not cancelled when their callers give up. While one of three
// endpoints was silent for 7 s, such calls stayed open until the node ended: the endpoint counted
// as the busiest one and got no call again, and the others were overloaded.
BOOST_AUTO_TEST_CASE(AttemptsEndSoonAfterTheirDeadline) {
  PlatformFleet fleet(1, 1, PlatformFleet::Proxies::All);
  const auto sendCall = [&](const std::string& aId, bool aWaits) {
    RawCaller caller(fleet.CallerAddress(0));
    BOOST_REQUIRE(caller.Send(MakeRawRequest("POST", "/once/a", aId, kTimeout)));
    // A caller that does not wait closes its connection right after its request.
    return aWaits ? caller.Receive(base::Millis(5000)).m_status : 0;
  };
  BOOST_REQUIRE(sendCall("before", true) == 200);
  fleet.SetProxyFaults(1, { { "lose_answers", true }, { "silence", true } });
  for (int i = 0; i < kCalls; ++i) {
    const int status = sendCall("silent-" + std::to_string(i), i % 2 == 0);
    BOOST_TEST(status != 200);
    BOOST_TEST(status != 503);
  }
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return fleet.ReadMetric(0, "attempts_open") == 0; }));
  fleet.SetProxyFaults(1, { { "lose_answers", false } });
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return sendCall("after", true) == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
