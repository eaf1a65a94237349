#include "news/Members.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::news;

namespace {

const base::TimePoint kNow{ std::chrono::hours(1) };

Contact ContactOf(const std::string& aNode, int64_t aBorn = 1) {
  return { base::NodeId(aNode), aBorn, "10.0.0." + aNode };
}

Beat BeatOf(const std::string& aNode, int64_t aBorn = 1, uint64_t aRevision = 0) {
  Beat beat;
  beat.m_from = ContactOf(aNode, aBorn);
  beat.m_ready = true;
  beat.m_revision = aRevision;
  return beat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembersTest)

BOOST_AUTO_TEST_CASE(OnlyReadyLiveNodesAreTold) {
  Members members(ContactOf("1"));
  members.Hear(BeatOf("2"), kNow);
  Beat stopping = BeatOf("3");
  stopping.m_stopping = true;
  members.Hear(stopping, kNow);
  members.Learn(ContactOf("4"), true, kNow);
  BOOST_TEST(members.ReadyHosts(kNow) == std::vector<std::string>{ "10.0.0.2" },
             boost::test_tools::per_element());
  BOOST_TEST(members.ReadyHosts(kNow + std::chrono::seconds(5)).empty());
}

// A frozen node delays the clients directed to it, so it must be excluded from the ready hosts
// before it counts as unavailable.
BOOST_AUTO_TEST_CASE(SilentNodeIsSoonNotTold) {
  Members members(ContactOf("1"));
  members.Hear(BeatOf("2"), kNow);
  BOOST_TEST(members.ReadyHosts(kNow + base::Millis(600)).size() == 1U);
  BOOST_TEST(members.ReadyHosts(kNow + base::Millis(800)).empty());
  BOOST_TEST(members.AliveCount(kNow + base::Millis(800)) == 2U);
  members.SetBeatInterval(base::Millis(1750));
  BOOST_TEST(members.ReadyHosts(kNow + base::Millis(3700)).size() == 1U);
  BOOST_TEST(members.ReadyHosts(kNow + base::Millis(4000)).empty());
}

BOOST_AUTO_TEST_CASE(EarlierLivesAndOwnBeatsAreDropped) {
  Members members(ContactOf("1"));
  BOOST_TEST(!members.Hear(BeatOf("1"), kNow));
  BOOST_TEST(members.Hear(BeatOf("2", 7), kNow));
  BOOST_TEST(!members.Hear(BeatOf("2", 6), kNow));
  BOOST_TEST(members.Hear(BeatOf("2", 8), kNow));
}

// A partitioned node keeps serving after its registration has expired, so it must stay known.
BOOST_AUTO_TEST_CASE(SilentNodesCountForAWhile) {
  Members members(ContactOf("1"));
  members.Hear(BeatOf("2"), kNow);
  members.Learn(ContactOf("2"), true, kNow);
  members.Unregister(base::NodeId("2"));
  BOOST_TEST(members.Forget(kNow + std::chrono::seconds(12)).empty());
  BOOST_TEST(members.KnownCount() == 2U);
  BOOST_TEST(members.AliveCount(kNow + std::chrono::seconds(12)) == 1U);
  BOOST_TEST(members.Forget(kNow + std::chrono::seconds(40)).size() == 1U);
}

// Guards against incomplete usage reports: a leader that had just started reported a window without
// the counts of a frozen node from which it had never received a heartbeat.
BOOST_AUTO_TEST_CASE(ListedNodeThatWasNeverHeardIsWaitedFor) {
  Members members(ContactOf("1", 5));
  BOOST_TEST(members.AllHeardWithin(base::Millis(1000), kNow));
  members.Learn(ContactOf("2"), true, kNow);
  BOOST_TEST(!members.AllHeardWithin(base::Millis(1000), kNow));
  // The registration expires while the node is frozen.
  members.Unregister(base::NodeId("2"));
  members.Forget(kNow + base::Millis(6000));
  BOOST_TEST(!members.AllHeardWithin(base::Millis(1000), kNow + base::Millis(6000)));
  members.Hear(BeatOf("2"), kNow);
  BOOST_TEST(members.AllHeardWithin(base::Millis(1000), kNow));
  BOOST_TEST(!members.AllHeardWithin(base::Millis(1000), kNow + base::Millis(1200)));
}

BOOST_AUTO_TEST_CASE(OlderLiveNodesAreCounted) {
  Members members(ContactOf("1", 5));
  members.Hear(BeatOf("2", 4), kNow);
  members.Hear(BeatOf("3", 6), kNow);
  BOOST_TEST(members.OlderCount(kNow) == 1U);
  BOOST_TEST(members.OlderCount(kNow + std::chrono::seconds(5)) == 0U);
}

// Nodes that start within the same millisecond must not each take themselves for the oldest.
BOOST_AUTO_TEST_CASE(NodesThatStartTogetherHaveAnOrder) {
  Members first(ContactOf("1", 5));
  Members second(ContactOf("2", 5));
  first.Hear(BeatOf("2", 5), kNow);
  second.Hear(BeatOf("1", 5), kNow);
  BOOST_TEST(first.OlderCount(kNow) == 0U);
  BOOST_TEST(second.OlderCount(kNow) == 1U);
}

BOOST_AUTO_TEST_CASE(OldestNodesOfAZoneFollowTheStore) {
  Members members(ContactOf("1", 5));
  Beat older = BeatOf("2", 4);
  older.m_zone = base::ZoneId("a");
  members.Hear(older, kNow);
  BOOST_TEST(members.OlderFollowers(base::ZoneId("a"), kNow) == 0U);
  older.m_storeAnswers = true;
  members.Hear(older, kNow);
  BOOST_TEST(members.OlderFollowers(base::ZoneId("a"), kNow) == 1U);
  BOOST_TEST(members.OlderFollowers(base::ZoneId("b"), kNow) == 0U);
}

BOOST_AUTO_TEST_CASE(RareBeatsKeepANodeAliveLonger) {
  Members members(ContactOf("1"));
  members.SetBeatInterval(base::Millis(1000));
  members.Hear(BeatOf("2"), kNow);
  BOOST_TEST(members.AliveCount(kNow + base::Millis(2500)) == 2U);
  BOOST_TEST(members.AliveCount(kNow + base::Millis(3500)) == 1U);
}

BOOST_AUTO_TEST_CASE(StoppedNodeIsForgottenAtOnce) {
  Members members(ContactOf("1"));
  Beat stopping = BeatOf("2");
  stopping.m_stopping = true;
  members.Hear(stopping, kNow);
  BOOST_TEST(members.Forget(kNow + std::chrono::seconds(3)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(PeerThatIsFurthestAheadIsAsked) {
  Members members(ContactOf("1"));
  members.Hear(BeatOf("2", 1, 10), kNow);
  members.Hear(BeatOf("3", 1, 12), kNow);
  BOOST_TEST(members.Ahead(9, kNow)->m_contact.m_node.Text() == "3");
  BOOST_TEST(members.Ahead(12, kNow) == nullptr);
  // A peer that did not answer is skipped, so that another is asked.
  BOOST_TEST(members.Ahead(9, kNow, { "10.0.0.3" })->m_contact.m_node.Text() == "2");
  BOOST_TEST(members.Ahead(9, kNow + std::chrono::seconds(5)) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
