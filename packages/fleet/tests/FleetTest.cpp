#include "fleet/Catalog.h"
#include "fleet/EndpointDirectory.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::fleet;

namespace {

constexpr base::Millis kGracePeriod{ 2000 };

Registration RegistrationOf(const std::string& aId,
                            const store::Position& aPosition,
                            bool aDraining = false) {
  Endpoint endpoint;
  endpoint.m_incarnation = { base::EndpointId(aId), 1 };
  endpoint.m_service = ServiceId("s");
  endpoint.m_draining = aDraining;
  endpoint.m_position = aPosition;
  return { base::EndpointId(aId), aPosition, endpoint };
}

Registration RegistrationOf(const std::string& aId, uint64_t aRevision, bool aDraining = false) {
  return RegistrationOf(aId, store::Position{ 0, aRevision }, aDraining);
}

/// Returns a registration that is read in the era `aEra`.
Registration RegistrationIn(uint64_t aEra,
                            const std::string& aId,
                            uint64_t aRevision,
                            bool aDraining = false,
                            int64_t aIncarnation = 1) {
  Registration registration = RegistrationOf(aId, aRevision, aDraining);
  registration.m_position.m_era = aEra;
  registration.m_endpoint->m_position.m_era = aEra;
  registration.m_endpoint->m_incarnation = { base::EndpointId(aId), aIncarnation };
  return registration;
}

const base::TimePoint kStart{ std::chrono::hours(1) };
/// Time after which endpoints that were removed and are listed again get work.
constexpr base::Millis kHold{ 5000 };

} // namespace

BOOST_AUTO_TEST_SUITE(FleetTest)

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostIsChosen) {
  Catalog::Contents contents;
  for (const auto& [host, prefix] : std::vector<std::pair<std::string, std::string>>{
         { "a", "/" }, { "a", "/x/" }, { "a", "/x/y/" }, { "b", "/x/" } }) {
    Route route;
    route.m_host = host;
    route.m_prefix = prefix;
    route.m_name = host + prefix;
    contents.m_routes.push_back(route);
  }
  const Catalog catalog(std::move(contents));
  BOOST_TEST(catalog.FindRoute("a", "/x/y/z")->m_name == "a/x/y/");
  BOOST_TEST(catalog.FindRoute("a", "/x/z")->m_name == "a/x/");
  BOOST_TEST(catalog.FindRoute("a", "/xy")->m_name == "a/");
  BOOST_TEST(catalog.FindRoute("b", "/y/") == nullptr);
  BOOST_TEST(catalog.FindRoute("c", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(DrainingAndUnparsableEndpointsAreNotReady) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("a", 1));
  directory.Put(RegistrationOf("b", 2));
  BOOST_TEST(directory.Ready().size() == 2U);
  directory.Put(RegistrationOf("a", 3, true));
  directory.Put({ base::EndpointId("b"), { 0, 4 }, std::nullopt });
  BOOST_TEST(directory.Ready().empty());
}

BOOST_AUTO_TEST_CASE(OlderRevisionsAreIgnored) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("a", 5, true));
  directory.Put(RegistrationOf("a", 4));
  BOOST_TEST(directory.Ready().empty());
  directory.Remove(base::EndpointId("a"), { 0, 6 }, kStart);
  directory.Put(RegistrationOf("a", 5));
  BOOST_TEST(directory.All().empty());
  directory.Put(RegistrationOf("a", 7));
  BOOST_TEST(directory.Ready().size() == 1U);
}

// Registrations that expire together while the store is unavailable must not remove the endpoints
// until the grace period is over.
BOOST_AUTO_TEST_CASE(ExpiredEndpointsStayUntilTheGracePeriodEnds) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("a", 1));
  directory.Put(RegistrationOf("b", 2));
  directory.OnStoreLost();
  directory.Remove(base::EndpointId("a"), { 0, 3 }, kStart);
  directory.Remove(base::EndpointId("b"), { 0, 4 }, kStart);
  BOOST_TEST(directory.Ready().size() == 2U);
  directory.OnStoreRecovered(kStart);
  BOOST_TEST(directory.RemoveExpired(kStart + kGracePeriod / 2).empty());
  directory.Put(RegistrationOf("a", 5));
  BOOST_TEST(directory.RemoveExpired(kStart + kGracePeriod).size() == 1U);
  BOOST_TEST(directory.Ready().size() == 1U);
}

BOOST_AUTO_TEST_CASE(DrainingEndpointIsRemovedWhileTheStoreIsUnavailable) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("a", 1, true));
  directory.OnStoreLost();
  directory.Remove(base::EndpointId("a"), { 0, 2 }, kStart);
  BOOST_TEST(directory.All().empty());
}

BOOST_AUTO_TEST_CASE(CompleteListingRemovesMissingEndpoints) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("a", 1));
  directory.Put(RegistrationOf("b", 9));
  directory.Replace({ RegistrationOf("c", 3) }, { 0, 5 }, kStart);
  // "b" was written after the listing was made.
  BOOST_TEST(directory.All().size() == 2U);
  BOOST_TEST(!directory.All().contains(base::EndpointId("a")));
}

// An endpoint that lost its registration once, and registered again in the same era, got no work
// after a restore.
BOOST_AUTO_TEST_CASE(EndpointThatRegisteredAgainBeforeTheRestoreIsNotHeld) {
  const auto at = [](uint64_t aEra, uint64_t aRevision) {
    Registration registration = RegistrationOf("a", aRevision);
    registration.m_position = { aEra, aRevision };
    registration.m_endpoint->m_position = { aEra, aRevision };
    return registration;
  };
  EndpointDirectory directory(kGracePeriod);
  directory.Put(at(1, 10));
  directory.Remove(base::EndpointId("a"), { 1, 20 }, kStart);
  directory.Put(at(1, 30));
  BOOST_TEST(directory.Ready().size() == 1U);
  const auto restored = kStart + std::chrono::minutes(10);
  directory.RemoveExpired(restored);
  directory.OnStoreRestored(restored);
  directory.Put(at(2, 30));
  BOOST_TEST(directory.Ready().size() == 1U);
  directory.Put(at(2, 50));
  BOOST_TEST(directory.Ready().size() == 1U);
}

// A store that is restored from a copy lists an endpoint as ready although it has said that it
// drains; work for it would be lost.
BOOST_AUTO_TEST_CASE(DrainingEndpointStaysDrainingAfterARestore) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationIn(1, "a", 5));
  directory.Put(RegistrationIn(1, "a", 9, true));
  directory.OnStoreRestored(kStart);
  directory.Put(RegistrationIn(2, "a", 5));
  BOOST_TEST(directory.Ready().empty());
  directory.RemoveExpired(kStart + kHold * 2);
  BOOST_TEST(directory.Ready().empty());
  // The next process under the same name is another incarnation.
  directory.Put(RegistrationIn(2, "a", 8, false, 2));
  BOOST_TEST(directory.Ready().size() == 1U);
}

// An endpoint that was removed and is listed again gets no work until its old registration would
// have expired.
BOOST_AUTO_TEST_CASE(RemovedEndpointIsHeldAfterARestore) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationIn(1, "a", 5));
  directory.Put(RegistrationIn(1, "b", 6));
  directory.Remove(base::EndpointId("a"), { 1, 9 }, kStart);
  directory.Remove(base::EndpointId("b"), { 1, 10 }, kStart);
  directory.OnStoreRestored(kStart);
  directory.Put(RegistrationIn(2, "a", 5));
  directory.Put(RegistrationIn(2, "b", 7, false, 2));
  BOOST_REQUIRE(directory.Ready().size() == 1U);
  BOOST_TEST(directory.Ready()[0].m_incarnation.m_endpoint.Text() == "b");
  directory.RemoveExpired(kStart + kHold - base::Millis(1));
  BOOST_TEST(directory.Ready().size() == 1U);
  directory.RemoveExpired(kStart + kHold);
  BOOST_TEST(directory.Ready().size() == 2U);
}

// An endpoint that registered in the lost span is served from until it has had time to register
// again.
BOOST_AUTO_TEST_CASE(EndpointOfTheLostSpanStaysForTheGracePeriod) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationIn(1, "a", 8));
  directory.Put(RegistrationIn(1, "b", 9));
  directory.OnStoreRestored(kStart);
  directory.Remove(base::EndpointId("a"), { 2, 6 }, kStart);
  directory.Remove(base::EndpointId("b"), { 2, 6 }, kStart);
  BOOST_TEST(directory.Ready().size() == 2U);
  directory.Put(RegistrationIn(2, "b", 7));
  const auto expired = directory.RemoveExpired(kStart + kGracePeriod);
  BOOST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(expired[0].Text() == "a");
  BOOST_TEST(directory.Ready().size() == 1U);
}

// Found by the soak with seeds 3 and 17: endpoints that had left and registered again, in the same
// incarnation, got no work for seconds after each further restore.
BOOST_AUTO_TEST_CASE(EndpointThatRegisteredAgainIsNotHeldAfterARestore) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("removed", 1));
  directory.Put(RegistrationOf("drained", 2));
  directory.Remove(base::EndpointId("removed"), { 0, 3 }, kStart);
  directory.Put(RegistrationOf("drained", 4, true));
  BOOST_TEST(directory.Ready().empty());
  directory.Put(RegistrationOf("removed", 5));
  directory.Put(RegistrationOf("drained", 6));
  BOOST_TEST(directory.Ready().size() == 2U);
  directory.OnStoreRestored(kStart);
  directory.Put(RegistrationOf("removed", { 1, 5 }));
  directory.Put(RegistrationOf("drained", { 1, 6 }));
  BOOST_TEST(directory.Ready().size() == 2U);
}

// A departure outlasts the copy that a store returns from, and not what is written after it.
BOOST_AUTO_TEST_CASE(RegistrationWrittenAfterARestoreEndsADeparture) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("removed", 1));
  directory.Put(RegistrationOf("drained", 2));
  directory.Remove(base::EndpointId("removed"), { 0, 3 }, kStart);
  directory.Put(RegistrationOf("drained", 4, true));
  for (const uint64_t era : { 1U, 2U }) {
    directory.OnStoreRestored(kStart);
    for (int i = 0; i < 2; ++i) {
      directory.Put(RegistrationOf("removed", { era, 1 }));
      directory.Put(RegistrationOf("drained", { era, 2 }));
      BOOST_TEST(directory.Ready().empty());
    }
  }
  directory.Put(RegistrationOf("removed", { 2, 3 }));
  directory.Put(RegistrationOf("drained", { 2, 4 }));
  BOOST_TEST(directory.Ready().size() == 2U);
}

// Found by the soak with seeds 3 and 17: a copy lacked all endpoints, and they were held when they
// registered after the next restore.
BOOST_AUTO_TEST_CASE(EndpointMissingInACopyHasNotLeft) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("a", 5));
  directory.OnStoreRestored(kStart);
  directory.Remove(base::EndpointId("a"), { 1, 2 }, kStart);
  BOOST_TEST(directory.Ready().size() == 1U);
  BOOST_TEST(directory.RemoveExpired(kStart + 2 * kGracePeriod).size() == 1U);
  directory.OnStoreRestored(kStart + 2 * kGracePeriod);
  directory.Put(RegistrationOf("a", { 2, 3 }));
  BOOST_TEST(directory.Ready().size() == 1U);
}

// An endpoint whose hold has ended is not held again after the next restore.
BOOST_AUTO_TEST_CASE(EndpointIsHeldOnce) {
  EndpointDirectory directory(kGracePeriod);
  directory.Put(RegistrationOf("a", 1));
  directory.Remove(base::EndpointId("a"), { 0, 2 }, kStart);
  directory.OnStoreRestored(kStart);
  directory.Put(RegistrationOf("a", { 1, 1 }));
  BOOST_TEST(directory.Ready().empty());
  const auto later = kStart + base::Millis(60000);
  directory.RemoveExpired(later);
  BOOST_TEST(directory.Ready().size() == 1U);
  directory.OnStoreRestored(later);
  directory.Put(RegistrationOf("a", { 2, 1 }));
  BOOST_TEST(directory.Ready().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
