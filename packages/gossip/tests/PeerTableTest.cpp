#include "gossip/PeerTable.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::gossip;

namespace {

const base::TimePoint kNow{ std::chrono::hours(1) };

Contact ContactOf(const std::string& aNode, int64_t aStartMs = 1) {
  return { base::NodeId(aNode), aStartMs, "10.0.0." + aNode };
}

Heartbeat HeartbeatOf(const std::string& aNode, int64_t aStartMs = 1, uint64_t aRevision = 0) {
  Heartbeat heartbeat;
  heartbeat.m_from = ContactOf(aNode, aStartMs);
  heartbeat.m_ready = true;
  heartbeat.m_position = { 0, aRevision };
  return heartbeat;
}

std::vector<std::string> HostsOf(const std::vector<ReadyNode>& aNodes) {
  std::vector<std::string> hosts;
  hosts.reserve(aNodes.size());
  for (const ReadyNode& node : aNodes) {
    hosts.push_back(node.m_host);
  }
  return hosts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTableTest)

BOOST_AUTO_TEST_CASE(ReadyNodesAreLiveAndReady) {
  PeerTable peers(ContactOf("1"));
  peers.MergeHeartbeat(HeartbeatOf("2"), kNow);
  Heartbeat stopping = HeartbeatOf("3");
  stopping.m_stopping = true;
  peers.MergeHeartbeat(stopping, kNow);
  peers.RecordContact(ContactOf("4"), true, kNow);
  BOOST_TEST(HostsOf(peers.ReadyNodes(kNow)) == std::vector<std::string>{ "10.0.0.2" },
             boost::test_tools::per_element());
  BOOST_TEST(peers.ReadyNodes(kNow + std::chrono::seconds(5)).empty());
}

// A late datagram does not bring back a node that stops; its next incarnation does.
BOOST_AUTO_TEST_CASE(OvertakenHeartbeatDoesNotReviveAStoppingNode) {
  PeerTable peers(ContactOf("1"));
  Heartbeat stopping = HeartbeatOf("2");
  stopping.m_stopping = true;
  peers.MergeHeartbeat(stopping, kNow);
  peers.MergeHeartbeat(HeartbeatOf("2"), kNow);
  BOOST_TEST(peers.ReadyNodes(kNow).empty());
  Heartbeat restarted = HeartbeatOf("2");
  ++restarted.m_from.m_startMs;
  peers.MergeHeartbeat(restarted, kNow);
  BOOST_TEST(peers.ReadyNodes(kNow).size() == 1U);
}

// A frozen node delays the clients directed to it, so it must be excluded from the ready hosts
// before it counts as unavailable.
BOOST_AUTO_TEST_CASE(SilentNodeSoonLeavesReadyNodes) {
  PeerTable peers(ContactOf("1"));
  peers.MergeHeartbeat(HeartbeatOf("2"), kNow);
  BOOST_TEST(peers.ReadyNodes(kNow + base::Millis(600)).size() == 1U);
  BOOST_TEST(peers.ReadyNodes(kNow + base::Millis(800)).empty());
  BOOST_TEST(peers.AliveCount(kNow + base::Millis(800)) == 2U);
  peers.SetHeartbeatInterval(base::Millis(1750));
  BOOST_TEST(peers.ReadyNodes(kNow + base::Millis(3700)).size() == 1U);
  BOOST_TEST(peers.ReadyNodes(kNow + base::Millis(4000)).empty());
}

BOOST_AUTO_TEST_CASE(OwnAndEarlierIncarnationsAreIgnored) {
  PeerTable peers(ContactOf("1"));
  BOOST_TEST(!peers.MergeHeartbeat(HeartbeatOf("1"), kNow));
  BOOST_TEST(peers.MergeHeartbeat(HeartbeatOf("2", 7), kNow));
  BOOST_TEST(!peers.MergeHeartbeat(HeartbeatOf("2", 6), kNow));
  BOOST_TEST(peers.MergeHeartbeat(HeartbeatOf("2", 8), kNow));
}

// A partitioned node keeps serving after its registration has expired, so it must stay known.
BOOST_AUTO_TEST_CASE(SilentNodeStaysKnownForAWhile) {
  PeerTable peers(ContactOf("1"));
  peers.MergeHeartbeat(HeartbeatOf("2"), kNow);
  peers.RecordContact(ContactOf("2"), true, kNow);
  peers.MarkUnregistered(base::NodeId("2"));
  BOOST_TEST(peers.RemoveStale(kNow + std::chrono::seconds(12)).empty());
  BOOST_TEST(peers.KnownCount() == 2U);
  BOOST_TEST(peers.AliveCount(kNow + std::chrono::seconds(12)) == 1U);
  BOOST_TEST(peers.RemoveStale(kNow + std::chrono::seconds(40)).size() == 1U);
}

// Guards against incomplete usage reports: a leader that had just started reported a window without
// the counts of a frozen node from which it had never received a heartbeat.
BOOST_AUTO_TEST_CASE(RegisteredNodeWithoutHeartbeatIsWaitedFor) {
  PeerTable peers(ContactOf("1", 5));
  BOOST_TEST(peers.AllHeartbeatsWithin(base::Millis(1000), kNow));
  peers.RecordContact(ContactOf("2"), true, kNow);
  BOOST_TEST(!peers.AllHeartbeatsWithin(base::Millis(1000), kNow));
  // The registration expires while the node is frozen.
  peers.MarkUnregistered(base::NodeId("2"));
  peers.RemoveStale(kNow + base::Millis(6000));
  BOOST_TEST(!peers.AllHeartbeatsWithin(base::Millis(1000), kNow + base::Millis(6000)));
  peers.MergeHeartbeat(HeartbeatOf("2"), kNow);
  BOOST_TEST(peers.AllHeartbeatsWithin(base::Millis(1000), kNow));
  BOOST_TEST(!peers.AllHeartbeatsWithin(base::Millis(1000), kNow + base::Millis(1200)));
}

BOOST_AUTO_TEST_CASE(OlderLiveNodesAreCounted) {
  PeerTable peers(ContactOf("1", 5));
  peers.MergeHeartbeat(HeartbeatOf("2", 4), kNow);
  peers.MergeHeartbeat(HeartbeatOf("3", 6), kNow);
  BOOST_TEST(peers.OlderReadyCount(kNow) == 1U);
  BOOST_TEST(peers.OlderReadyCount(kNow + std::chrono::seconds(5)) == 0U);
}

// Nodes that start within the same millisecond must not each take themselves for the oldest.
BOOST_AUTO_TEST_CASE(NodesWithEqualStartTimeAreOrdered) {
  PeerTable first(ContactOf("1", 5));
  PeerTable second(ContactOf("2", 5));
  first.MergeHeartbeat(HeartbeatOf("2", 5), kNow);
  second.MergeHeartbeat(HeartbeatOf("1", 5), kNow);
  BOOST_TEST(first.OlderReadyCount(kNow) == 0U);
  BOOST_TEST(second.OlderReadyCount(kNow) == 1U);
}

BOOST_AUTO_TEST_CASE(OlderNodesThatReachTheStoreAreCounted) {
  PeerTable peers(ContactOf("1", 5));
  Heartbeat older = HeartbeatOf("2", 4);
  older.m_zone = base::ZoneId("a");
  peers.MergeHeartbeat(older, kNow);
  BOOST_TEST(peers.OlderWatcherCount(base::ZoneId("a"), kNow) == 0U);
  older.m_storeReachable = true;
  peers.MergeHeartbeat(older, kNow);
  BOOST_TEST(peers.OlderWatcherCount(base::ZoneId("a"), kNow) == 1U);
  BOOST_TEST(peers.OlderWatcherCount(base::ZoneId("b"), kNow) == 0U);
}

BOOST_AUTO_TEST_CASE(RelaysAreLiveNodesThatReachTheEndpoints) {
  PeerTable peers(ContactOf("1"));
  Heartbeat relay = HeartbeatOf("2");
  relay.m_relays = true;
  relay.m_from.m_host = "10.0.0.2";
  peers.MergeHeartbeat(relay, kNow);
  peers.MergeHeartbeat(HeartbeatOf("3"), kNow);
  BOOST_TEST((peers.RelayHosts(kNow) == std::vector<std::string>{ "10.0.0.2" }));
  BOOST_TEST(peers.RelayHosts(kNow + base::Millis(10000)).empty());
  relay.m_stopping = true;
  peers.MergeHeartbeat(relay, kNow);
  BOOST_TEST(peers.RelayHosts(kNow).empty());
}

BOOST_AUTO_TEST_CASE(LongerHeartbeatIntervalExtendsLiveness) {
  PeerTable peers(ContactOf("1"));
  peers.SetHeartbeatInterval(base::Millis(1000));
  peers.MergeHeartbeat(HeartbeatOf("2"), kNow);
  BOOST_TEST(peers.AliveCount(kNow + base::Millis(2500)) == 2U);
  BOOST_TEST(peers.AliveCount(kNow + base::Millis(3500)) == 1U);
}

BOOST_AUTO_TEST_CASE(StoppedNodeIsRemovedAfterLivenessTimeout) {
  PeerTable peers(ContactOf("1"));
  Heartbeat stopping = HeartbeatOf("2");
  stopping.m_stopping = true;
  peers.MergeHeartbeat(stopping, kNow);
  BOOST_TEST(peers.RemoveStale(kNow + std::chrono::seconds(3)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(MostAdvancedPeerIsChosen) {
  PeerTable peers(ContactOf("1"));
  peers.MergeHeartbeat(HeartbeatOf("2", 1, 10), kNow);
  peers.MergeHeartbeat(HeartbeatOf("3", 1, 12), kNow);
  BOOST_TEST(peers.MostAdvancedPeer({ 0, 9 }, kNow)->m_contact.m_node.Text() == "3");
  BOOST_TEST(peers.MostAdvancedPeer({ 0, 12 }, kNow) == nullptr);
  // A peer that did not answer is skipped, so that another is asked.
  BOOST_TEST(peers.MostAdvancedPeer({ 0, 9 }, kNow, { "10.0.0.3" })->m_contact.m_node.Text() ==
             "2");
  BOOST_TEST(peers.MostAdvancedPeer({ 0, 9 }, kNow + std::chrono::seconds(5)) == nullptr);
}

// A restored store assigns lower revisions; the peer that has read it is ahead.
BOOST_AUTO_TEST_CASE(PeerOfALaterEraIsTheMostAdvanced) {
  PeerTable peers(ContactOf("1"));
  peers.MergeHeartbeat(HeartbeatOf("2", 1, 99), kNow);
  Heartbeat restored = HeartbeatOf("3", 1, 5);
  restored.m_position.m_era = 1;
  peers.MergeHeartbeat(restored, kNow);
  BOOST_TEST(peers.MostAdvancedPeer({ 0, 9 }, kNow)->m_contact.m_node.Text() == "3");
  BOOST_TEST(peers.MostAdvancedPeer({ 0, 200 }, kNow)->m_contact.m_node.Text() == "3");
  BOOST_TEST(peers.MostAdvancedPeer({ 1, 5 }, kNow) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
