#include "routing/Router.h"
#include "routing/PrefixHash.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::routing;

namespace {

const base::TimePoint kNow = base::TimePoint{} + base::Millis(1000000);
const base::DeploymentId kDeployment("condolence");

EndpointInfo Engine(const std::string& aName, double aCents = 100) {
  EndpointInfo info;
  info.m_id = base::EndpointId(aName);
  info.m_address = { "127.0.0.1", 1 };
  info.m_zone = base::ZoneId("zone-" + aName);
  info.m_centsPerHour = aCents;
  info.m_deployment = kDeployment;
  return info;
}

RouteQuery Query(const std::string& aPrompt) {
  RouteQuery query;
  query.m_deployment = kDeployment;
  query.m_blocks = PrefixBlocks(aPrompt);
  query.m_promptTokens = EstimateTokens(aPrompt);
  return query;
}

EngineLoad Load(uint32_t aRunning, uint32_t aSlots, uint64_t aQueuedTokens) {
  EngineLoad load;
  load.m_running = aRunning;
  load.m_slots = aSlots;
  load.m_queuedPrefillTokens = aQueuedTokens;
  load.m_prefillRate = 1000;
  load.m_asOf = kNow;
  return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouterTest)

// An endpoint stays leaving whether a peer's report or a stale endpoint list arrives first.
BOOST_AUTO_TEST_CASE(LeavingIsSticky) {
  Router router{ RouterSettings{} };
  router.MarkLeaving(base::EndpointId("a"));
  router.SetEndpoints({ Engine("a") });
  BOOST_TEST(!router.Choose(Query("x")).has_value());
  router.SetEndpoints({ Engine("a"), Engine("b") });
  BOOST_TEST(router.Choose(Query("x"))->m_endpoint.Text() == "b");
  BOOST_TEST(!router.MarkLeaving(base::EndpointId("a")));
}

BOOST_AUTO_TEST_CASE(CheapestEndpointThatMeetsTheTargetIsChosen) {
  Router router{ RouterSettings{} };
  router.SetEndpoints({ Engine("dear", 300), Engine("cheap", 50) });
  router.ReportLoad(base::EndpointId("dear"), Load(0, 8, 0));
  router.ReportLoad(base::EndpointId("cheap"), Load(0, 8, 500));
  BOOST_TEST(router.Choose(Query("x"))->m_endpoint.Text() == "cheap");
  // 5 s of queued prefill exceed the target of 1.8 s.
  router.ReportLoad(base::EndpointId("cheap"), Load(0, 8, 5000));
  BOOST_TEST(router.Choose(Query("x"))->m_endpoint.Text() == "dear");
}

BOOST_AUTO_TEST_CASE(LongestCachedPrefixIsChosenAmongEquals) {
  Router router{ RouterSettings{} };
  router.SetEndpoints({ Engine("a"), Engine("b"), Engine("c") });
  const std::string history(6400, 'h');
  const auto first = router.Choose(Query(history));
  router.RecordRequestSent(first->m_endpoint, Query(history), kNow);
  router.ReportLoad(first->m_endpoint, Load(0, 8, 0));
  const auto second = router.Choose(Query(history + "and the hem"));
  BOOST_TEST(second->m_endpoint.Text() == first->m_endpoint.Text());
  BOOST_TEST(second->m_uncachedTokens < 20U);
}

BOOST_AUTO_TEST_CASE(FullEnginesAreNotChosen) {
  Router router{ RouterSettings{} };
  router.SetEndpoints({ Engine("a") });
  router.ReportLoad(base::EndpointId("a"), Load(2, 2, 0));
  BOOST_TEST(!router.Choose(Query("x")).has_value());
  BOOST_TEST(!router.HasEndpointWithRoom(kDeployment));
  // Requests sent since the last report count too.
  router.ReportLoad(base::EndpointId("a"), Load(1, 2, 0));
  router.RecordRequestSent(base::EndpointId("a"), Query("x"), kNow + base::Millis(1));
  BOOST_TEST(!router.HasEndpointWithRoom(kDeployment));
}

// Before its first report an engine gets one request from each node, since the size of its batch is
// unknown.
BOOST_AUTO_TEST_CASE(UnreportedEngineGetsOneRequest) {
  Router router{ RouterSettings{} };
  router.SetEndpoints({ Engine("a") });
  BOOST_TEST(router.HasEndpointWithRoom(kDeployment));
  router.RecordRequestSent(base::EndpointId("a"), Query("x"), kNow);
  BOOST_TEST(!router.HasEndpointWithRoom(kDeployment));
  router.ReportLoad(base::EndpointId("a"), Load(1, 8, 0));
  BOOST_TEST(router.HasEndpointWithRoom(kDeployment));
}

BOOST_AUTO_TEST_CASE(EventGapLowersConfidenceAndEvictionRemovesBlocks) {
  CacheView view(100);
  const auto blocks = PrefixBlocks(std::string(640, 'h'));
  view.Store(blocks);
  BOOST_TEST(view.CachedBlocks(blocks) == 10.0);
  view.LowerConfidence();
  BOOST_TEST(view.CachedBlocks(blocks) < 8.0);
  view.Evict(blocks[4]);
  BOOST_TEST(view.CachedBlocks(blocks) < 4.0);
}

BOOST_AUTO_TEST_SUITE_END()
