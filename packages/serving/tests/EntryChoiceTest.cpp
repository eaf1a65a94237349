#include "serving/EntryChoice.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace papayafield::serving;

namespace {

std::vector<papayafield::gossip::ReadyNode> MakeFleet(int aNodes, int aZones) {
  std::vector<papayafield::gossip::ReadyNode> nodes;
  for (int i = 0; i < aNodes; ++i) {
    const int zone = i % aZones;
    nodes.push_back({ "10." + std::to_string(zone) + ".0." + std::to_string(i),
                      papayafield::base::ZoneId("zone-" + std::to_string(zone)) });
  }
  return nodes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryChoiceTest)

// Callers use at most 64 addresses. In a fleet of 81 nodes, an answer that always names the same 64
// leaves the other nodes without calls.
BOOST_AUTO_TEST_CASE(EachNodeOfALargeFleetIsReturned) {
  std::mt19937_64 random(1);
  std::vector<std::string> hosts;
  hosts.reserve(81);
  for (int i = 0; i < 81; ++i) {
    hosts.push_back("10.0.0." + std::to_string(i));
  }
  std::map<std::string, int> returnedCounts;
  for (int answer = 0; answer < 1000; ++answer) {
    const auto sampled = SampleEntryHosts(hosts, 64, random);
    BOOST_TEST(sampled.size() == 64U);
    for (const std::string& host : sampled) {
      ++returnedCounts[host];
    }
  }
  BOOST_TEST(returnedCounts.size() == hosts.size());
  for (const auto& [host, count] : returnedCounts) {
    BOOST_TEST(count > 700);
  }
}

BOOST_AUTO_TEST_CASE(OriginsAreKeptByTheNextNodesOfOtherZones) {
  const std::vector<std::string> hosts{ "a", "b", "c", "d", "e" };
  using Hosts = std::vector<std::string>;
  const auto follows = [&](const char* aSelf) {
    return SelectOriginKeepers(hosts, aSelf, false, 3);
  };
  BOOST_TEST(follows("a") == (Hosts{ "b", "c", "d" }), boost::test_tools::per_element());
  BOOST_TEST(follows("d") == (Hosts{ "e", "a", "b" }), boost::test_tools::per_element());
  BOOST_TEST(follows("other") == (Hosts{ "a", "b", "c" }), boost::test_tools::per_element());
  BOOST_TEST(SelectOriginKeepers(hosts, "b", true, 3) == (Hosts{ "a", "c" }),
             boost::test_tools::per_element());
  BOOST_TEST(SelectOriginKeepers({ "a" }, "a", false, 3).empty());
}

BOOST_AUTO_TEST_CASE(SmallFleetIsReturnedWhole) {
  std::mt19937_64 random(1);
  auto sampled = SampleEntryHosts({ "a", "b", "c" }, 64, random);
  std::sort(sampled.begin(), sampled.end());
  BOOST_TEST(sampled == (std::vector<std::string>{ "a", "b", "c" }),
             boost::test_tools::per_element());
  BOOST_TEST(SampleEntryHosts({}, 64, random).empty());
}

// Nodes that know slightly different fleets direct callers to nearly the same few nodes, equally
// many of each zone.
BOOST_AUTO_TEST_CASE(WorkingSetOfALargeFleetIsSmallAndShared) {
  const auto fleet = MakeFleet(195, 5);
  const WorkingSetSettings settings;
  const auto hosts = SelectWorkingSet(fleet, 900, settings);
  BOOST_TEST(hosts.size() >= 33U);
  BOOST_TEST(hosts.size() <= 37U);
  std::map<papayafield::base::ZoneId, int> zones;
  for (const auto& node : fleet) {
    zones[node.m_zone] += static_cast<int>(std::count(hosts.begin(), hosts.end(), node.m_host));
  }
  for (const auto& [zone, count] : zones) {
    BOOST_TEST(count == 7);
  }
  // Without one of its nodes, the set changes in that one alone.
  auto less = fleet;
  std::erase_if(less, [&](const auto& aNode) { return aNode.m_host == hosts.front(); });
  const auto after = SelectWorkingSet(less, 900, settings);
  const std::set<std::string> before(hosts.begin(), hosts.end());
  BOOST_TEST(std::count_if(after.begin(), after.end(), [&](const std::string& aHost) {
               return !before.contains(aHost);
             }) <= 1);
}

// The burst of a whole day's peak gets more nodes, up to all of them.
BOOST_AUTO_TEST_CASE(WorkingSetGrowsWithTheCalls) {
  const auto fleet = MakeFleet(195, 5);
  BOOST_TEST(SelectWorkingSet(fleet, 3000, {}).size() == 100U);
  BOOST_TEST(SelectWorkingSet(fleet, 8200, {}).size() == 195U);
  BOOST_TEST(SelectWorkingSet(fleet, 0, {}).size() == 35U);
}

// After the loss of most nodes, or of whole zones, the rest serve.
BOOST_AUTO_TEST_CASE(SmallFleetWorksWhole) {
  BOOST_TEST(SelectWorkingSet(MakeFleet(9, 3), 0, {}).size() == 9U);
  BOOST_TEST(SelectWorkingSet(MakeFleet(20, 1), 900, {}).size() == 20U);
  BOOST_TEST(SelectWorkingSet({}, 900, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
