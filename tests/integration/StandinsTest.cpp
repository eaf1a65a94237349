#include "tests/harness/Fleet.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Tests that the stand-ins fulfil the contracts of the external systems that the adapters rely on.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

FleetSettings Settings(std::vector<std::string> aEngineOptions = {}) {
  FleetSettings settings;
  settings.m_nodes = 0;
  settings.m_engines = 1;
  settings.m_services = 0;
  settings.m_engineOptions = std::move(aEngineOptions);
  settings.m_platformOptions = { "--hosts-lag-ms", "300", "--weights-per-s", "2" };
  settings.m_applyManifest = false;
  return settings;
}

CallerAnswer Put(const base::Address& aStore, const std::string& aTarget) {
  return Call(aStore, "PUT", aTarget, "value");
}

} // namespace

BOOST_AUTO_TEST_SUITE(StandinsTest)

BOOST_AUTO_TEST_CASE(CompareAndSwapLeasesAndWatches) {
  Fleet fleet(Settings());
  const base::Address store = fleet.Platform().m_address;
  BOOST_TEST(Put(store, "/kv/a?expect=0").m_status == 200);
  BOOST_TEST(Put(store, "/kv/a?expect=0").m_status == 409);
  const std::string version = Call(store, "GET", "/kv/a").m_headers.Find("X-Version").value_or("");
  BOOST_TEST(Put(store, "/kv/a?expect=" + version).m_status == 200);
  // A key is deleted when its lease expires.
  const std::string lease = Call(store, "POST", "/leases?ttl_ms=150").m_body;
  BOOST_TEST(Put(store, "/kv/b?expect=0&lease=" + lease).m_status == 200);
  BOOST_TEST(Eventually([&] { return Call(store, "GET", "/kv/b").m_status == 404; }));
  BOOST_TEST(Call(store, "POST", "/leases/" + lease).m_status == 404);
  // A watch returns at the next version, or after its timeout.
  BOOST_TEST(Call(store, "GET", "/kv/a?after=1&wait_ms=60000").m_status == 200);
  // A write during an outage does not take effect.
  fleet.SetPlatformFaults({ { "outage", true } });
  BOOST_TEST(Put(store, "/kv/c?expect=0").m_status == 503);
  fleet.SetPlatformFaults({ { "outage", false } });
  BOOST_TEST(Call(store, "GET", "/kv/c").m_status == 404);
}

// A host is started once per token, so that a start whose answer was lost can be repeated. Starts
// can be rejected, and the host list is updated with a delay.
BOOST_AUTO_TEST_CASE(HostsStartOncePerToken) {
  Fleet fleet(Settings());
  const base::Address cloud = fleet.Platform().m_address;
  Call(cloud, "POST", "/control/pool", R"({"name":"new-1","address":"127.0.0.1:1"})");
  Call(cloud, "POST", "/control/pool", R"({"name":"new-2","address":"127.0.0.1:2"})");
  const std::string startRequest = R"({"zone":"a","class":"gpu","token":"t1"})";
  fleet.SetPlatformFaults({ { "refuse_starts", true } });
  BOOST_TEST(Call(cloud, "POST", "/cloud/hosts", startRequest).m_status == 503);
  fleet.SetPlatformFaults({ { "refuse_starts", false } });
  const std::string first = Call(cloud, "POST", "/cloud/hosts", startRequest).m_body;
  BOOST_TEST(Call(cloud, "POST", "/cloud/hosts", startRequest).m_body == first);
  const auto listed = [&] {
    return Call(cloud, "GET", "/hosts").m_body.find("new-1") != std::string::npos;
  };
  BOOST_TEST(Eventually(listed));
  BOOST_TEST(base::ParseJson(Call(cloud, "GET", "/cloud/hosts").m_body).size() == 1U);
  Call(cloud, "DELETE", "/cloud/hosts?name=new-1");
  BOOST_TEST(Eventually([&] { return !listed(); }));
}

BOOST_AUTO_TEST_CASE(WeightsAreRateLimited) {
  Fleet fleet(Settings());
  int served = 0;
  int rejected = 0;
  for (int i = 0; i < 5; ++i) {
    const int status = Call(fleet.Platform().m_address, "GET", "/weights/card-7b").m_status;
    served += status == 200 ? 1 : 0;
    rejected += status == 429 ? 1 : 0;
  }
  BOOST_TEST(served >= 1);
  BOOST_TEST(rejected >= 1);
}

// An engine that checks fencing tokens rejects an order with an older one; other engines accept it.
BOOST_AUTO_TEST_CASE(OrdersAndFencing) {
  struct Case {
    const char* m_checksFencing;
    int m_statusForOldToken;
    int m_finalToken;
  };
  for (const Case& testCase : { Case{ "1", 409, 7 }, Case{ "0", 200, 5 } }) {
    Fleet fleet(Settings({ "--checks-fencing", testCase.m_checksFencing, "--load-ms", "100" }));
    const base::Address engine = fleet.Engine(0).m_address;
    BOOST_TEST(Call(engine, "POST", "/orders", R"({"model":"b","fencing":7})").m_status == 200);
    BOOST_TEST(Call(engine, "POST", "/orders", R"({"model":"a","fencing":5})").m_status ==
               testCase.m_statusForOldToken);
    BOOST_TEST(Eventually([&] {
      const auto load = base::ParseJson(Call(engine, "GET", "/load").m_body);
      return base::ValueOr(load, "loaded", false) && load.contains("order") &&
             base::ValueOr(load["order"], "fencing", 0) == testCase.m_finalToken;
    }));
  }
}

BOOST_AUTO_TEST_SUITE_END()
