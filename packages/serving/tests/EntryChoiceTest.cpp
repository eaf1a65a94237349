#include "serving/EntryChoice.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace papayafield::serving;

BOOST_AUTO_TEST_SUITE(EntryChoiceTest)

// Callers use at most 64 addresses. In a fleet of 81 nodes, an answer that always names the same 64
// leaves the other nodes without calls.
BOOST_AUTO_TEST_CASE(EachNodeOfALargeFleetIsTold) {
  std::mt19937_64 random(1);
  std::vector<std::string> hosts;
  hosts.reserve(81);
  for (int i = 0; i < 81; ++i) {
    hosts.push_back("10.0.0." + std::to_string(i));
  }
  std::map<std::string, int> told;
  for (int answer = 0; answer < 1000; ++answer) {
    const auto drawn = DrawEntries(hosts, 64, random);
    BOOST_TEST(drawn.size() == 64U);
    for (const std::string& host : drawn) {
      ++told[host];
    }
  }
  BOOST_TEST(told.size() == hosts.size());
  for (const auto& [host, count] : told) {
    BOOST_TEST(count > 700);
  }
}

BOOST_AUTO_TEST_CASE(SmallFleetIsToldWhole) {
  std::mt19937_64 random(1);
  auto drawn = DrawEntries({ "a", "b", "c" }, 64, random);
  std::sort(drawn.begin(), drawn.end());
  BOOST_TEST(drawn == (std::vector<std::string>{ "a", "b", "c" }),
             boost::test_tools::per_element());
  BOOST_TEST(DrawEntries({}, 64, random).empty());
}

BOOST_AUTO_TEST_SUITE_END()
