#include "sync/ReplicaBarrier.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace papayafield;
using base::Millis;

namespace {

const std::string kKey = "versions";

/// A store whose listings are answered by the test.
class PendingStore {
public:
  void List(const std::string& aPrefix, store::OnResult<store::Listing> aOnResult) {
    BOOST_TEST(aPrefix == kKey);
    m_listings.push_back(std::move(aOnResult));
  }
  void Watch(const std::string&, uint64_t, Millis, const store::OnResult<store::Changes>&) {}
  void Commit(const store::Transaction&, const store::OnResult<store::Position>&) {}
  void Grant(Millis, const store::OnResult<store::Lease>&) {}
  void Renew(uint64_t, const store::OnResult<store::Renewal>&) {}
  void EndLease(uint64_t) {}
  static uint64_t LatestEra() { return 0; }

  /// Answers the oldest listing.
  void Answer(store::Result<store::Listing> aResult) {
    BOOST_REQUIRE(!m_listings.empty());
    const auto onResult = std::move(m_listings.front());
    m_listings.pop_front();
    onResult(std::move(aResult));
  }
  void AnswerWith(const store::Position& aPosition) { Answer(store::Listing{ {}, aPosition }); }

  std::deque<store::OnResult<store::Listing>> m_listings;
};

struct BarrierFixture {
  /// Waits for the barrier, and records its result in `aResult`.
  void Await(Millis aMaxWait, std::optional<bool>& aResult) {
    m_barrier.Await(aMaxWait, [&aResult](bool aCurrent) { aResult = aCurrent; });
  }
  void RunFor(Millis aDuration) {
    const auto timer = m_loop.After(aDuration, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  adapters::http::EventLoop m_loop;
  PendingStore m_store;
  sync::StoreReplica m_replica{ [](const auto&, const auto&, const auto&) {} };
  sync::ReplicaBarrier<PendingStore> m_barrier{ m_loop, m_store, m_replica, kKey };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaBarrierTest, BarrierFixture)

BOOST_AUTO_TEST_CASE(ReplicaThatHasReachedTheStoreIsCurrent) {
  m_replica.Advance({ 0, 7 });
  std::optional<bool> result;
  Await(Millis(500), result);
  BOOST_TEST(!result.has_value());
  m_store.AnswerWith({ 0, 7 });
  BOOST_TEST(result.value_or(false));
}

BOOST_AUTO_TEST_CASE(ReplicaThatIsBehindIsAwaited) {
  m_replica.Advance({ 0, 7 });
  std::optional<bool> result;
  Await(Millis(2000), result);
  m_store.AnswerWith({ 0, 9 });
  RunFor(Millis(50));
  BOOST_TEST(!result.has_value());
  m_replica.Advance({ 0, 9 });
  RunFor(Millis(50));
  BOOST_TEST(result.value_or(false));
}

BOOST_AUTO_TEST_CASE(ReplicaThatStaysBehindIsNotCurrent) {
  std::optional<bool> result;
  Await(Millis(60), result);
  m_store.AnswerWith({ 0, 9 });
  RunFor(Millis(120));
  BOOST_TEST(!result.value_or(true));
}

BOOST_AUTO_TEST_CASE(ReplicaOfAnEarlierEraIsNotCurrent) {
  m_replica.Advance({ 1, 100 });
  std::optional<bool> result;
  Await(Millis(60), result);
  m_store.AnswerWith({ 2, 5 });
  RunFor(Millis(120));
  BOOST_TEST(!result.value_or(true));
}

BOOST_AUTO_TEST_CASE(UnreachableStoreEndsTheWait) {
  std::optional<bool> result;
  Await(Millis(10000), result);
  m_store.Answer(tl::unexpected(store::Fault::NotDone));
  BOOST_TEST(!result.value_or(true));
}

// The answer to an earlier read may be older than what the caller must see.
BOOST_AUTO_TEST_CASE(LaterWaiterHasAReadOfItsOwn) {
  m_replica.Advance({ 0, 7 });
  std::optional<bool> first;
  std::optional<bool> second;
  Await(Millis(2000), first);
  Await(Millis(2000), second);
  BOOST_TEST(m_store.m_listings.size() == 1);
  m_store.AnswerWith({ 0, 7 });
  BOOST_TEST(first.value_or(false));
  BOOST_TEST(!second.has_value());
  RunFor(Millis(200));
  m_store.AnswerWith({ 0, 7 });
  BOOST_TEST(second.value_or(false));
}

BOOST_AUTO_TEST_SUITE_END()
