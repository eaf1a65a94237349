#include "fleet/VersionHistory.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::fleet;
using base::Millis;

namespace {

const ServiceId kService("engines");
const base::TimePoint kStart{ std::chrono::hours(1) };
constexpr Millis kSpan{ 30000 };

Endpoint MakeEndpoint(const std::string& aVersion) {
  Endpoint endpoint;
  endpoint.m_service = kService;
  endpoint.m_version = aVersion;
  return endpoint;
}

} // namespace

BOOST_AUTO_TEST_SUITE(VersionHistoryTest)

BOOST_AUTO_TEST_CASE(VersionThatLeftCountsForTheWholeSpan) {
  VersionHistory history;
  history.SetComplete();
  history.Add(MakeEndpoint("v1"), kStart);
  BOOST_TEST(history.OnlyVersion(kService, kStart).value() == "v1");
  history.Add(MakeEndpoint("v2"), kStart + Millis(10));
  BOOST_TEST(!history.OnlyVersion(kService, kStart + Millis(10)));
  const auto seeAndPrune = [&](base::TimePoint aNow) {
    history.Add(MakeEndpoint("v2"), aNow);
    history.Prune(kSpan, aNow);
  };
  seeAndPrune(kStart + kSpan);
  BOOST_TEST(!history.OnlyVersion(kService, kStart + kSpan));
  seeAndPrune(kStart + kSpan + Millis(1));
  BOOST_TEST(history.OnlyVersion(kService, kStart + kSpan + Millis(1)).value() == "v2");
  BOOST_TEST(!history.OnlyVersion(ServiceId("other"), kStart));
}

// A node that had stood still took the time at which it had last seen a version for its end.
BOOST_AUTO_TEST_CASE(VersionsThatTheNodeDidNotWatchCountFromWhenItDoesAgain) {
  VersionHistory history;
  history.SetComplete();
  history.Add(MakeEndpoint("v1"), kStart);
  history.Add(MakeEndpoint("v2"), kStart);
  const auto wake = kStart + kSpan * 2;
  history.Extend(wake);
  history.Add(MakeEndpoint("v1"), wake);
  history.Prune(kSpan, wake);
  BOOST_TEST(!history.OnlyVersion(kService, wake));
  history.Add(MakeEndpoint("v1"), wake + kSpan + Millis(1));
  history.Prune(kSpan, wake + kSpan + Millis(1));
  BOOST_TEST(history.OnlyVersion(kService, wake + kSpan + Millis(1)).value() == "v1");
}

BOOST_AUTO_TEST_CASE(NothingIsCertainWhileRegistrationsMayBeMissing) {
  VersionHistory history;
  history.SetComplete();
  history.Add(MakeEndpoint("v1"), kStart);
  history.Suspend(kStart + Millis(10));
  BOOST_TEST(!history.OnlyVersion(kService, kStart + Millis(9)));
  BOOST_TEST(history.OnlyVersion(kService, kStart + Millis(10)).value() == "v1");
}

// A node that has just started must not take the versions that it sees for all there were.
BOOST_AUTO_TEST_CASE(NothingIsCertainBeforeTheRecordHasBeenRead) {
  VersionHistory history;
  history.Add(MakeEndpoint("v2"), kStart);
  BOOST_TEST(!history.OnlyVersion(kService, kStart));
  history.Merge({ { kService, { "v1", "v2" } } }, kStart);
  history.SetComplete();
  history.Prune(kSpan, kStart + kSpan);
  BOOST_TEST(!history.OnlyVersion(kService, kStart + kSpan));
  BOOST_TEST((history.All() == VersionHistory::Versions{ { kService, { "v1", "v2" } } }));
}

BOOST_AUTO_TEST_CASE(PrunedVersionsAreNotRecorded) {
  VersionHistory history;
  history.Add(MakeEndpoint("v1"), kStart);
  history.Add(MakeEndpoint("v2"), kStart + Millis(5));
  history.Prune(kSpan, kStart + kSpan + Millis(1));
  BOOST_TEST((history.All() == VersionHistory::Versions{ { kService, { "v2" } } }));
  history.Prune(kSpan, kStart + kSpan * 2);
  BOOST_TEST(history.All().empty());
}

BOOST_AUTO_TEST_SUITE_END()
