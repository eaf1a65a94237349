#include "serving/EntryChoice.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace papayafield::serving;

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

BOOST_AUTO_TEST_CASE(SmallFleetIsReturnedWhole) {
  std::mt19937_64 random(1);
  auto sampled = SampleEntryHosts({ "a", "b", "c" }, 64, random);
  std::sort(sampled.begin(), sampled.end());
  BOOST_TEST(sampled == (std::vector<std::string>{ "a", "b", "c" }),
             boost::test_tools::per_element());
  BOOST_TEST(SampleEntryHosts({}, 64, random).empty());
}

BOOST_AUTO_TEST_SUITE_END()
