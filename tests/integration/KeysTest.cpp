#include "tests/harness/Fleet.h"
#include "tests/harness/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>
#include <thread>

/// \file
/// Tests that calls without a valid key are rejected, also where a configuration takes the last
/// keys away or cannot be read.

using namespace papayafield;
using namespace papayafield::tests;
using nlohmann::json;

namespace {

constexpr size_t kNodes = 2;
/// Time within which a configuration is in force at all nodes.
constexpr base::Millis kMaxApplyTime{ 2000 };

/// Keys that no configuration of these tests contains, and the absence of a key.
const char* const kInvalidKeys[] = { "stranger", "" };

/// Sends a call that must not be repeated and returns its status.
int SendOnce(const PlatformFleet& aFleet, size_t aNode, const std::string& aKey) {
  return aFleet.Send(aNode, "POST", "/once/a", "h.example", aKey).m_status;
}

/// Waits until all nodes have applied the newest configuration, which alone has the host `aHost`.
bool AllNodesApply(const PlatformFleet& aFleet, const std::string& aHost) {
  return PlatformFleet::WaitUntil([&] {
    for (size_t node = 0; node < kNodes; ++node) {
      if (aFleet.Send(node, "POST", "/once/a", aHost).m_status == 404) {
        return false;
      }
    }
    return true;
  });
}

/// Checks that all nodes reject calls with `aKeys`, and that no call reaches a runner.
void CheckRejected(const PlatformFleet& aFleet, const std::vector<std::string>& aKeys) {
  const size_t runs = aFleet.PostControl("report").at("runs").size();
  for (size_t node = 0; node < kNodes; ++node) {
    for (const std::string& key : aKeys) {
      BOOST_TEST(SendOnce(aFleet, node, key) == 401, node << " with key '" << key << "'");
    }
  }
  BOOST_TEST(aFleet.PostControl("report").at("runs").size() == runs);
}

std::string ReadFile(const std::string& aPath) {
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeysTest)

// All routes were open to everybody once a version had taken the last tenant away. A version
// reaches a node by a watch, a listing, a peer, or a restored store.
BOOST_AUTO_TEST_CASE(RemovalOfTheLastTenantClosesAllRoutes) {
  PlatformFleet fleet(kNodes, 2);
  BOOST_TEST(SendOnce(fleet, 0, "key-1") == 200);
  ConfigurationOptions options;
  options.m_hosts = { "h.example", "closed.example" };
  options.m_overrides = { { "tenants", json::array() } };
  fleet.ApplyConfiguration(options);
  BOOST_TEST(AllNodesApply(fleet, "closed.example"));
  const std::vector<std::string> keys{ "key-1", "stranger", "" };
  CheckRejected(fleet, keys);
  fleet.PostControl("compact");
  CheckRejected(fleet, keys);
  // The restarted node gets the configuration from the store or from the other node.
  fleet.NodeProcess(1).Kill();
  fleet.StartNode(1);
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return fleet.IsReady(1); }));
  CheckRejected(fleet, keys);
  // With the store away, only the other node has it.
  fleet.PostControl("store", { { "mode", "silent" } });
  fleet.NodeProcess(1).Kill();
  fleet.StartNode(1);
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return SendOnce(fleet, 1, "stranger") == 401; }));
  CheckRejected(fleet, keys);
  fleet.PostControl("store", { { "mode", "ok" } });
  // The copy lacks the newest version.
  BOOST_TEST(fleet.RestoreStore(base::Millis(60000), base::Millis(200), base::Millis(1000)));
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return fleet.IsReady(0) && fleet.IsReady(1); }));
  CheckRejected(fleet, { "stranger", "" });
}

BOOST_AUTO_TEST_CASE(ConfigurationWithoutTenantsNeedsNoKeys) {
  PlatformFleet fleet(kNodes, 2);
  ConfigurationOptions options;
  options.m_hosts = { "h.example", "open.example" };
  options.m_overrides = { { "tenants", nullptr } };
  fleet.ApplyConfiguration(options);
  BOOST_TEST(AllNodesApply(fleet, "open.example"));
  for (const char* key : kInvalidKeys) {
    BOOST_TEST(SendOnce(fleet, 0, key) == 200);
  }
}

// A configuration whose tenants cannot be read opened all routes; the one in force has to stay.
BOOST_AUTO_TEST_CASE(ConfigurationThatCannotBeReadOpensNothing) {
  PlatformFleet fleet(kNodes, 2);
  const json unreadable[] = { json::object(),
                              "x",
                              json::array({ 1 }),
                              json::array({ { { "name", "a" }, { "api_keys", json::object() } } }),
                              json::array({ { { "name", "a" }, { "api_keys", { "" } } } }) };
  for (const json& tenants : unreadable) {
    ConfigurationOptions options;
    options.m_overrides = { { "tenants", tenants } };
    fleet.ApplyConfiguration(options);
    std::this_thread::sleep_for(kMaxApplyTime);
    const std::string readable = "after-" + std::to_string(fleet.Version()) + ".example";
    CheckRejected(fleet, { "stranger", "" });
    BOOST_TEST(SendOnce(fleet, 0, "key-1") == 200);
    fleet.ApplyConfiguration(readable);
    BOOST_TEST(AllNodesApply(fleet, readable));
    CheckRejected(fleet, { "stranger", "" });
  }
}

// With the native interface, an empty list of teams admitted all teams.
BOOST_AUTO_TEST_CASE(EmptyListOfTeamsAdmitsNoTeam) {
  FleetSettings settings;
  settings.m_nodes = 1;
  settings.m_engines = 1;
  Fleet fleet(settings);
  const std::string before = ReadFile(fleet.ManifestFile());
  const std::string completion =
    R"({"model":"condolence","max_tokens":2,"messages":[{"role":"user","content":"x"}]})";
  const auto statusOf = [&](const char* aMethod, const char* aTarget, const std::string& aBody) {
    return CallAs(kTeamKey, fleet.NodeAddress(0), aMethod, aTarget, aBody).m_status;
  };
  BOOST_TEST(statusOf("GET", "/services/orders/stock", "") == 200);
  BOOST_TEST(statusOf("POST", "/v1/chat/completions", completion) == 200);
  std::string closed = before;
  for (const std::string line : { "name = \"condolence\"\n", "name = \"orders\"\n" }) {
    closed.insert(closed.find(line) + line.size(), "teams = []\n");
  }
  std::ofstream(fleet.ManifestFile()) << closed;
  BOOST_REQUIRE(
    fleet.RunCtl({ "apply", fleet.ManifestFile(), "--node", fleet.NodeAddress(0).ToText() }) == 0);
  BOOST_REQUIRE(fleet.WaitUntilActive(2));
  BOOST_TEST(statusOf("GET", "/services/orders/stock", "") == 403);
  BOOST_TEST(statusOf("POST", "/v1/chat/completions", completion) == 403);
}

BOOST_AUTO_TEST_SUITE_END()
