#include "fleet/Catalog.h"
#include "fleet/EndpointDirectory.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::fleet;

namespace {

constexpr base::Millis kGrace{ 2000 };

Registration Ready(const std::string& aId, uint64_t aRevision, bool aDraining = false) {
  Endpoint endpoint;
  endpoint.m_incarnation = { base::EndpointId(aId), 1 };
  endpoint.m_service = ServiceId("s");
  endpoint.m_draining = aDraining;
  endpoint.m_revision = aRevision;
  return { base::EndpointId(aId), aRevision, endpoint };
}

const base::TimePoint kStart{ std::chrono::hours(1) };

} // namespace

BOOST_AUTO_TEST_SUITE(FleetTest)

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  Catalog::Parts parts;
  for (const auto& [host, prefix] : std::vector<std::pair<std::string, std::string>>{
         { "a", "/" }, { "a", "/x/" }, { "a", "/x/y/" }, { "b", "/x/" } }) {
    Route route;
    route.m_host = host;
    route.m_prefix = prefix;
    route.m_name = host + prefix;
    parts.m_routes.push_back(route);
  }
  const Catalog catalog(std::move(parts));
  BOOST_TEST(catalog.FindRoute("a", "/x/y/z")->m_name == "a/x/y/");
  BOOST_TEST(catalog.FindRoute("a", "/x/z")->m_name == "a/x/");
  BOOST_TEST(catalog.FindRoute("a", "/xy")->m_name == "a/");
  BOOST_TEST(catalog.FindRoute("b", "/y/") == nullptr);
  BOOST_TEST(catalog.FindRoute("c", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(DrainingAndUnreadableEndpointsGetNoWork) {
  EndpointDirectory directory(kGrace);
  directory.Put(Ready("a", 1));
  directory.Put(Ready("b", 2));
  BOOST_TEST(directory.Ready().size() == 2U);
  directory.Put(Ready("a", 3, true));
  directory.Put({ base::EndpointId("b"), 4, std::nullopt });
  BOOST_TEST(directory.Ready().empty());
}

BOOST_AUTO_TEST_CASE(OlderNewsChangesNothing) {
  EndpointDirectory directory(kGrace);
  directory.Put(Ready("a", 5, true));
  directory.Put(Ready("a", 4));
  BOOST_TEST(directory.Ready().empty());
  directory.Remove(base::EndpointId("a"), 6, kStart);
  directory.Put(Ready("a", 5));
  BOOST_TEST(directory.All().empty());
  directory.Put(Ready("a", 7));
  BOOST_TEST(directory.Ready().size() == 1U);
}

// Registrations that expire together while the store is unavailable must not remove the endpoints
// until the grace period is over.
BOOST_AUTO_TEST_CASE(LapsedEndpointsServeUntilTheGraceIsOver) {
  EndpointDirectory directory(kGrace);
  directory.Put(Ready("a", 1));
  directory.Put(Ready("b", 2));
  directory.StoreLost();
  directory.Remove(base::EndpointId("a"), 3, kStart);
  directory.Remove(base::EndpointId("b"), 4, kStart);
  BOOST_TEST(directory.Ready().size() == 2U);
  directory.StoreBack(kStart);
  BOOST_TEST(directory.Expire(kStart + kGrace / 2).empty());
  directory.Put(Ready("a", 5));
  BOOST_TEST(directory.Expire(kStart + kGrace).size() == 1U);
  BOOST_TEST(directory.Ready().size() == 1U);
}

BOOST_AUTO_TEST_CASE(DrainingEndpointGoesAtOnceEvenWhileTheStoreIsAway) {
  EndpointDirectory directory(kGrace);
  directory.Put(Ready("a", 1, true));
  directory.StoreLost();
  directory.Remove(base::EndpointId("a"), 2, kStart);
  BOOST_TEST(directory.All().empty());
}

BOOST_AUTO_TEST_CASE(WholeListRemovesWhatIsMissing) {
  EndpointDirectory directory(kGrace);
  directory.Put(Ready("a", 1));
  directory.Put(Ready("b", 9));
  directory.Replace({ Ready("c", 3) }, 5, kStart);
  // "b" was written after the listing was made.
  BOOST_TEST(directory.All().size() == 2U);
  BOOST_TEST(!directory.All().contains(base::EndpointId("a")));
}

BOOST_AUTO_TEST_SUITE_END()
