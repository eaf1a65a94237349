#include "gossip/SendBursts.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace papayafield::gossip;

namespace {

std::vector<std::string> Hosts(size_t aCount) {
  std::vector<std::string> hosts;
  for (size_t i = 0; i < aCount; ++i) {
    hosts.push_back("10.3.0." + std::to_string(i));
  }
  return hosts;
}

/// Link of 10 Mbit/s whose queue holds `m_queueBytes` and drops what does not fit.
struct SlowLink {
  size_t m_queueBytes;
  size_t m_bytesPerMs = 1250;
  size_t m_queued = 0;

  bool Send(size_t aBytes) {
    if (m_queued + aBytes > m_queueBytes) {
      return false;
    }
    m_queued += aBytes;
    return true;
  }
  void Pass(size_t aMillis) { m_queued -= std::min(m_queued, aMillis * m_bytesPerMs); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SendBurstsTest)

BOOST_AUTO_TEST_CASE(EachHostIsSentToOnce) {
  std::mt19937_64 random(1);
  for (const size_t count : { 0, 1, 11, 12, 13, 32, 80 }) {
    std::multiset<std::string> sent;
    for (const auto& burst : SplitIntoBursts(Hosts(count), 12, 6, random)) {
      BOOST_TEST(burst.size() <= (count <= 12 ? 12U : 6U));
      sent.insert(burst.begin(), burst.end());
    }
    const auto hosts = Hosts(count);
    BOOST_TEST((sent == std::multiset<std::string>(hosts.begin(), hosts.end())));
  }
}

// 32 heartbeats of 3 kB at once overflow the queue of a host with 10 Mbit/s. In a fixed order the
// same hosts, the leader among them, heard nothing of their busy peers for 20 s.
BOOST_AUTO_TEST_CASE(NoHostStaysUnreachedOnASlowLink) {
  constexpr size_t kHeartbeatBytes = 3000;
  constexpr size_t kRoundMs = 250;
  std::mt19937_64 random(7);
  std::map<std::string, int> received;
  SlowLink link{ 50000 };
  constexpr int kRounds = 40;
  for (int round = 0; round < kRounds; ++round) {
    const auto bursts = SplitIntoBursts(Hosts(32), 12, 6, random);
    for (const auto& burst : bursts) {
      for (const std::string& host : burst) {
        received[host] += link.Send(kHeartbeatBytes) ? 1 : 0;
      }
      link.Pass(kRoundMs / bursts.size());
    }
  }
  for (const std::string& host : Hosts(32)) {
    BOOST_TEST(received[host] == kRounds);
  }
}

// Where even single bursts overflow the queue, the losses are spread over all hosts.
BOOST_AUTO_TEST_CASE(LossesAreSpreadOverTheHosts) {
  constexpr int kRounds = 200;
  std::mt19937_64 random(7);
  std::map<std::string, int> received;
  for (int round = 0; round < kRounds; ++round) {
    SlowLink link{ 12000 };
    for (const auto& burst : SplitIntoBursts(Hosts(12), 12, 6, random)) {
      for (const std::string& host : burst) {
        received[host] += link.Send(3000) ? 1 : 0;
      }
    }
  }
  for (const std::string& host : Hosts(12)) {
    BOOST_TEST(received[host] > kRounds / 5);
  }
}

BOOST_AUTO_TEST_SUITE_END()
