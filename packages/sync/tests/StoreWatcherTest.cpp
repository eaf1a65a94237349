#include "sync/StoreWatcher.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>

using namespace papayafield;
using base::Millis;

namespace {

/// A store whose calls are answered by the test.
class PendingStore {
public:
  struct PendingWatch {
    uint64_t m_after = 0;
    Millis m_wait{ 0 };
    store::OnResult<store::Changes> m_onResult;
  };

  void List(const std::string&, store::OnResult<store::Listing> aOnResult) {
    m_listings.push_back(std::move(aOnResult));
  }
  void Watch(const std::string&,
             uint64_t aAfter,
             Millis aWait,
             store::OnResult<store::Changes> aOnResult) {
    m_watches.push_back({ aAfter, aWait, std::move(aOnResult) });
  }
  void Commit(const store::Transaction&, const store::OnResult<store::Position>&) {}
  void Grant(Millis, const store::OnResult<store::Lease>&) {}
  void Renew(uint64_t, const store::OnResult<store::Renewal>&) {}
  void EndLease(uint64_t) {}
  static uint64_t LatestEra() { return 0; }

  /// Answers the oldest listing.
  void AnswerListing(const store::Position& aPosition) {
    BOOST_REQUIRE(!m_listings.empty());
    const auto onResult = std::move(m_listings.front());
    m_listings.pop_front();
    onResult(store::Listing{ {}, aPosition });
  }
  /// Answers the oldest watch.
  void AnswerWatch(const store::Result<store::Changes>& aResult) {
    BOOST_REQUIRE(!m_watches.empty());
    const auto onResult = std::move(m_watches.front().m_onResult);
    m_watches.pop_front();
    onResult(aResult);
  }

  std::deque<store::OnResult<store::Listing>> m_listings;
  std::deque<PendingWatch> m_watches;
};

struct WatcherFixture {
  WatcherFixture() {
    m_watcher.Start();
    m_store.AnswerListing({ 0, 10 });
  }
  /// Pauses the watch, lets peers bring the replica to `aPosition`, and resumes it.
  void PauseAndResume(const store::Position& aPosition) {
    m_watcher.SetWatchEnabled(false);
    m_store.AnswerWatch(store::Changes{ {}, { 0, 10 } });
    BOOST_TEST(!m_watcher.IsStoreReachable());
    m_replica.CatchUp({}, true, aPosition);
    m_watcher.SetWatchEnabled(true);
  }

  adapters::http::EventLoop m_loop;
  PendingStore m_store;
  sync::StoreReplica m_replica{ [](const auto&, const auto&, const auto&) {} };
  sync::StoreWatcher<PendingStore> m_watcher{ m_loop,           m_store,     m_replica,
                                              { { "items/" } }, [](bool) {}, [] {} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreWatcherTest, WatcherFixture)

// Nodes passed on an old view as the store's while they listed everything after a pause.
BOOST_AUTO_TEST_CASE(ResumedWatchDoesNotReachTheStoreBeforeItsFirstAnswer) {
  BOOST_TEST(m_watcher.IsStoreReachable());
  PauseAndResume({ 0, 20 });
  BOOST_TEST(!m_watcher.IsStoreReachable());
  m_store.AnswerWatch(store::Changes{ {}, { 0, 20 } });
  BOOST_TEST(m_watcher.IsStoreReachable());
}

// A complete listing took seconds on a busy link while endpoints left.
BOOST_AUTO_TEST_CASE(WatchIsResumedWithoutAListing) {
  PauseAndResume({ 0, 20 });
  BOOST_TEST(m_store.m_listings.empty());
  BOOST_REQUIRE(m_store.m_watches.size() == 1);
  BOOST_TEST(m_store.m_watches.front().m_after == 20U);
  BOOST_TEST(m_store.m_watches.front().m_wait.count() < 100);
  m_store.AnswerWatch(
    store::Changes{ { { { "items/a", "x", { 0, 21 }, 21 }, false } }, { 0, 21 } });
  BOOST_TEST(m_replica.LastPosition().m_revision == 21U);
  BOOST_TEST(m_replica.Find("items/a") != nullptr);
}

BOOST_AUTO_TEST_CASE(ResumedWatchWithoutItsHistoryListsEverything) {
  PauseAndResume({ 0, 20 });
  m_store.AnswerWatch(tl::unexpected(store::Fault::HistoryCompacted));
  BOOST_TEST(!m_watcher.IsStoreReachable());
  BOOST_REQUIRE(m_store.m_listings.size() == 1);
  m_store.AnswerListing({ 0, 30 });
  BOOST_TEST(m_watcher.IsStoreReachable());
  BOOST_TEST(m_replica.LastPosition().m_revision == 30U);
}

BOOST_AUTO_TEST_CASE(ResumedWatchInALaterEraListsEverything) {
  PauseAndResume({ 0, 20 });
  m_store.AnswerWatch(store::Changes{ {}, { 1, 15 } });
  BOOST_REQUIRE(m_store.m_listings.size() == 1);
  m_store.AnswerListing({ 1, 16 });
  BOOST_TEST(m_replica.LastPosition().m_era == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
