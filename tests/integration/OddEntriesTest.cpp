#include "tests/harness/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Tests that nodes stay up and follow the list of runners when it contains entries that cannot be
/// used.

using namespace papayafield;
using namespace papayafield::tests;
using nlohmann::json;

namespace {

constexpr size_t kNodes = 2;

/// Returns the entry of a runner with one member replaced by `aValue`, which is JSON text.
std::string EntryWith(const std::string& aMember, const std::string& aValue) {
  std::string text = "{";
  for (const auto& [name, value] :
       { std::pair<std::string, std::string>{ "service", "\"engines\"" },
         { "address", "\"127.0.0.1:9\"" },
         { "zone", "\"a\"" },
         { "slots", "64" },
         { "state", "\"ready\"" },
         { "sequence", "1" },
         { "born", "1" } }) {
    text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + (name == aMember ? aValue : value);
  }
  return text + "}";
}

std::vector<std::string> OddEntries() {
  const std::string deep(50000, '[');
  std::vector<std::string> entries{ deep, "{\"a\":" + deep, "", "1e999", "null", "[]", "\"x\"" };
  for (const char* address : { "\"127.0.0.1:99999\"",
                               "\"127.0.0.1:4294967297\"",
                               "\"127.0.0.1:-1\"",
                               "\"127.0.0.1:0\"",
                               "\"127.0.0.1:\"",
                               "\"nowhere:80\"",
                               "\"1.2.3:80\"",
                               "\":80\"",
                               "[\"127.0.0.1:80\"]",
                               "1" }) {
    entries.push_back(EntryWith("address", address));
  }
  for (const char* number : { "1e300",
                              "-1e300",
                              "1e999",
                              "18446744073709551616",
                              "99999999999999999999999",
                              "-1",
                              "{}" }) {
    entries.push_back(EntryWith("slots", number));
    entries.push_back(EntryWith("born", number));
  }
  for (const char* member : { "service", "zone", "state" }) {
    entries.push_back(EntryWith(member, "1e300"));
    entries.push_back(EntryWith(member, deep));
  }
  return entries;
}

bool AllKnow(const PlatformFleet& aFleet, int aRunners) {
  return PlatformFleet::WaitUntil([&] {
    for (size_t node = 0; node < kNodes; ++node) {
      if (aFleet.ReadMetric(node, "endpoints_ready") != aRunners) {
        return false;
      }
    }
    return true;
  });
}

/// Checks that runners that join and leave the list are noticed, and that calls are served.
void CheckFollowing(PlatformFleet& aFleet) {
  aFleet.PostControl("runner", { { "index", 1 }, { "state", "gone" } });
  BOOST_TEST(AllKnow(aFleet, 1));
  aFleet.PostControl("runner", { { "index", 1 }, { "state", "ready" } });
  BOOST_TEST(AllKnow(aFleet, 2));
  for (size_t node = 0; node < kNodes; ++node) {
    BOOST_TEST(aFleet.NodeProcess(node).IsRunning());
    BOOST_TEST(aFleet.Send(node, "POST", "/once/a").m_status == 200);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntriesTest)

BOOST_AUTO_TEST_CASE(OddEntriesDoNotStopNodesFromFollowingTheList) {
  PlatformFleet fleet(kNodes, 2);
  int number = 0;
  for (const std::string& text : OddEntries()) {
    fleet.PostControl("put",
                      { { "key", "servers/odd-" + std::to_string(number++) }, { "text", text } });
  }
  // Bytes that are no UTF-8, and data that is no base64.
  for (const char* data : { "//79/A==", "eyJ", "=", "====", "*", " \n" }) {
    fleet.PostControl("put",
                      { { "key", "servers/odd-" + std::to_string(number++) }, { "data", data } });
  }
  fleet.PostControl("put", { { "key", "servers/odd\r\nX: y" }, { "text", EntryWith("", "") } });
  fleet.PostControl("put", { { "key", "servers/" }, { "text", EntryWith("", "") } });
  CheckFollowing(fleet);
  // A listing and the replica of a peer contain the same entries.
  fleet.PostControl("compact");
  CheckFollowing(fleet);
  fleet.NodeProcess(1).Kill();
  fleet.StartNode(1);
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return fleet.IsReady(1); }));
  CheckFollowing(fleet);
}

// The nodes' own records were changed by another writer.
BOOST_AUTO_TEST_CASE(OddRecordsOfTheNodesDoNotEndThem) {
  PlatformFleet fleet(kNodes, 2);
  const json report = fleet.PostControl("report");
  for (const char* text : { R"([{"window":1}])",
                            R"([{"window":1,"counts":{"team-1":"x"}}])",
                            R"([{"window":9223372036854775807,"counts":{"team-1":1}}])",
                            R"({"rates":{"team-1":1e308},"at":-9223372036854775808})",
                            R"([1])" }) {
    for (const char* key : { "usage", "demand", "nodes/x", "leader" }) {
      fleet.PostControl("put", { { "key", std::string("papayafield/") + key }, { "text", text } });
    }
    BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 200);
  }
  const size_t before = fleet.PostControl("report").at("duties").size();
  BOOST_TEST(fleet.Send(0, "POST", "/once/a").m_status == 200);
  BOOST_TEST(PlatformFleet::WaitUntil(
    [&] { return fleet.PostControl("report").at("duties").size() > before; }));
  CheckFollowing(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
