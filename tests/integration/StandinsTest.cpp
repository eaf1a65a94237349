#include "tests/harness/Fleet.h"
#include "tests/harness/PlatformFleet.h"

#include <boost/test/unit_test.hpp>
#include <thread>

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

/// A client of the users' key-value store.
class UserStore {
public:
  explicit UserStore(const PlatformFleet& aFleet)
    : m_address(aFleet.PlatformAddress()) {}

  CallerAnswer Post(const std::string& aTarget, const nlohmann::json& aBody) const {
    return Call(m_address, "POST", aTarget, base::DumpJson(aBody));
  }
  CallerAnswer Write(const std::string& aKey, uint64_t aLease = 0) const {
    return Post("/-/kv-txn",
                { { "expected_rev", nlohmann::json::array() },
                  { "write", { { { "key", aKey }, { "data", "eA==" }, { "lease_id", aLease } } } },
                  { "remove", nlohmann::json::array() } });
  }
  CallerAnswer Watch(uint64_t aAfter, base::Millis aWait = base::Millis(0)) const {
    return Call(m_address,
                "GET",
                "/-/kv-watch?prefix=&after=" + std::to_string(aAfter) +
                  "&wait_ms=" + std::to_string(aWait.count()));
  }
  CallerAnswer List() const { return Call(m_address, "GET", "/-/kv-range?prefix="); }
  uint64_t Revision() const { return base::ParseJson(List().m_body).at("at"); }
  /// Returns the keys that exist, with their data.
  std::map<std::string, std::string> Items() const {
    std::map<std::string, std::string> items;
    const auto listing = base::ParseJson(List().m_body);
    for (const auto& entry : listing.at("entries")) {
      items[entry.at("key")] = entry.at("data");
    }
    return items;
  }
  uint64_t GrantLease(base::Millis aTtl) const {
    return base::ParseJson(Post("/-/kv-lease", { { "ttl_ms", aTtl.count() } }).m_body)
      .at("lease_id");
  }
  int RenewLease(uint64_t aLease) const {
    return Post("/-/kv-keep/" + std::to_string(aLease), {}).m_status;
  }

private:
  base::Address m_address;
};

std::string EraOf(const CallerAnswer& aAnswer) {
  return aAnswer.m_headers.Find("Store-Era").value_or("");
}

/// Longer than the time between two copies of the store.
constexpr base::Millis kCopyTime{ 250 };

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

// A restored store lacks its last seconds, assigns their revisions and lease ids again, and repeats
// only what was not written by nodes.
BOOST_AUTO_TEST_CASE(StoreIsRestoredFromACopy) {
  PlatformFleet fleet(0, 2);
  const UserStore store(fleet);
  const uint64_t kept = store.GrantLease(base::Millis(2000));
  BOOST_TEST(store.Write("node/kept", kept).m_status == 200);
  std::this_thread::sleep_for(kCopyTime);
  const auto copied = store.Items();
  const uint64_t revision = store.Revision();
  const auto copiedAt = base::BootNow();
  std::this_thread::sleep_for(kCopyTime);

  fleet.ApplyConfiguration("lost.example");
  fleet.PostControl("runner", { { "index", 0 }, { "state", "gone" } });
  const uint64_t lost = store.GrantLease(base::Millis(10000));
  BOOST_TEST(store.Write("node/lost", lost).m_status == 200);
  const auto written = store.Items();
  const uint64_t lostRevision = store.Revision();
  BOOST_TEST(lostRevision >= revision + 3);
  BOOST_TEST(store.RenewLease(kept) == 200);
  BOOST_TEST(EraOf(store.List()) == "1");

  CallerAnswer watch;
  std::thread watcher([&] { watch = store.Watch(lostRevision, base::Millis(10000)); });
  std::this_thread::sleep_for(kCopyTime);
  const auto age = std::chrono::duration_cast<base::Millis>(base::BootNow() - copiedAt);
  BOOST_TEST(fleet.RestoreStore(age, base::Millis(500), base::Millis(800)));
  BOOST_TEST(!fleet.RestoreStore(age, base::Millis(500), base::Millis(800)));
  watcher.join();
  BOOST_TEST(watch.m_status == 0);
  BOOST_TEST(store.List().m_status == 0);
  BOOST_TEST(store.Write("node/down").m_status == 0);
  BOOST_TEST(Eventually([&] { return store.List().m_status == 200; }));

  BOOST_TEST((store.Items() == copied));
  BOOST_TEST(store.Revision() == revision);
  BOOST_TEST(store.Watch(lostRevision).m_status == 410);
  BOOST_TEST(store.Watch(revision).m_status == 200);
  BOOST_TEST(store.RenewLease(lost) == 404);
  BOOST_TEST(store.GrantLease(base::Millis(100)) == lost);
  for (const auto& answer :
       { store.List(), store.Watch(lostRevision), store.Post("/-/kv-none", {}) }) {
    BOOST_TEST(EraOf(answer) == "2");
  }
  const auto again = base::ParseJson(store.Write("node/again").m_body);
  BOOST_TEST(again.at("revision") == revision + 1);

  // The operator's and the runners' writes return; those of nodes do not.
  BOOST_TEST(Eventually([&] {
    return store.Items().at("op/config") == written.at("op/config") &&
           !store.Items().contains("servers/i-0");
  }));
  BOOST_TEST(!store.Items().contains("node/lost"));
  BOOST_TEST(!store.Items().contains("node/down"));
  // The copied lease continues with the time that it had left, and then ends.
  BOOST_TEST(store.Items().contains("node/kept"));
  BOOST_TEST(Eventually([&] { return !store.Items().contains("node/kept"); }));
}

// What is written by the operator while the store is down or not yet complete is not overwritten by
// the repeated writes. A second restore raises the era again.
BOOST_AUTO_TEST_CASE(NewerWritesOutliveARestore) {
  PlatformFleet fleet(0, 1);
  const UserStore store(fleet);
  std::this_thread::sleep_for(2 * kCopyTime);
  const auto first = store.Items().at("op/config");
  fleet.ApplyConfiguration("lost.example");
  BOOST_TEST(fleet.RestoreStore(kCopyTime, base::Millis(300), base::Millis(400)));
  fleet.ApplyConfiguration("down.example");
  BOOST_TEST(Eventually([&] { return store.List().m_status == 200; }));
  BOOST_TEST(store.Items().at("op/config") == first);
  fleet.ApplyConfiguration("newest.example");
  const auto newest = store.Items().at("op/config");
  std::this_thread::sleep_for(base::Millis(600));
  BOOST_TEST(store.Items().at("op/config") == newest);
  BOOST_TEST(fleet.RestoreStore(base::Millis(10000), base::Millis(100), base::Millis(400)));
  BOOST_TEST(Eventually([&] { return store.List().m_status == 200; }));
  BOOST_TEST(EraOf(store.List()) == "3");
  BOOST_TEST((!store.Items().contains("op/config") || store.Items().at("op/config") != newest));
  BOOST_TEST(Eventually([&] {
    const auto items = store.Items();
    return items.contains("op/config") && items.at("op/config") == newest;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
