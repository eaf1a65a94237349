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
  void AnswerListing(const store::Result<store::Listing>& aResult) {
    BOOST_REQUIRE(!m_listings.empty());
    const auto onResult = std::move(m_listings.front());
    m_listings.pop_front();
    onResult(aResult);
  }
  void AnswerListing(const store::Position& aPosition) {
    AnswerListing(store::Listing{ {}, aPosition });
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

store::Changes ChangesAt(const store::Position& aPosition) {
  return { { { { "items/a", "x", aPosition, aPosition.m_revision }, false } }, aPosition };
}

struct WatcherFixture {
  explicit WatcherFixture(std::vector<std::string> aPrefixes = { "items/" })
    : m_prefixes(std::move(aPrefixes)) {
    m_watcher.Start();
    for (size_t i = 0; i < m_prefixes.size(); ++i) {
      m_store.AnswerListing({ 0, 10 });
    }
  }
  /// Pauses the watch, lets peers bring the replica to `aPosition`, and resumes it.
  void PauseAndResume(const store::Position& aPosition) {
    m_watcher.SetWatchEnabled(false);
    m_store.AnswerWatch(store::Changes{ {}, { 0, 10 } });
    BOOST_TEST(!m_watcher.IsStoreReachable());
    m_replica.CatchUp({}, true, aPosition);
    m_watcher.SetWatchEnabled(true);
  }
  /// Runs the loop until the watcher calls the store again after a failure.
  void AwaitCall() {
    const auto isCalled = [&] { return !m_store.m_listings.empty() || !m_store.m_watches.empty(); };
    const auto poll = m_loop.Every(Millis(5), [&] {
      if (isCalled()) {
        m_loop.Stop();
      }
    });
    const auto limit = m_loop.After(Millis(3000), [&] { m_loop.Stop(); });
    m_loop.Run();
    BOOST_REQUIRE(isCalled());
  }

  const std::vector<std::string> m_prefixes;
  adapters::http::EventLoop m_loop;
  PendingStore m_store;
  sync::StoreReplica m_replica{ [](const auto&, const auto&, const auto&) {} };
  sync::StoreWatcher<PendingStore> m_watcher{ m_loop,         m_store,     m_replica,
                                              { m_prefixes }, [](bool) {}, [] {} };
};

struct TwoPrefixesFixture : WatcherFixture {
  TwoPrefixesFixture()
    : WatcherFixture({ "items/", "keys/" }) {}
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

// A resumed watch got no answer in time on a slow link. All prefixes were listed instead, and a
// revoked key was used for three seconds more.
BOOST_AUTO_TEST_CASE(FailedWatchIsRetriedWithoutAListing) {
  PauseAndResume({ 0, 20 });
  for (const store::Fault fault : { store::Fault::Unknown, store::Fault::NotDone }) {
    m_store.AnswerWatch(tl::unexpected(fault));
    BOOST_TEST(!m_watcher.IsStoreReachable());
    AwaitCall();
    BOOST_TEST(m_store.m_listings.empty());
    BOOST_REQUIRE(m_store.m_watches.size() == 1);
    BOOST_TEST(m_store.m_watches.front().m_after == 20U);
    BOOST_TEST(m_store.m_watches.front().m_wait.count() < 100);
    BOOST_TEST(!m_watcher.IsStoreReachable());
  }
  m_store.AnswerWatch(ChangesAt({ 0, 21 }));
  BOOST_TEST(m_watcher.IsStoreReachable());
  BOOST_TEST(m_replica.Find("items/a") != nullptr);
}

BOOST_AUTO_TEST_CASE(FailedWatchIsRetriedFromWhatPeersBrought) {
  m_store.AnswerWatch(tl::unexpected(store::Fault::Unknown));
  m_replica.CatchUp({}, true, { 1, 4 });
  AwaitCall();
  BOOST_REQUIRE(m_store.m_watches.size() == 1);
  BOOST_TEST(m_store.m_watches.front().m_after == 4U);
  m_store.AnswerWatch(ChangesAt({ 1, 5 }));
  BOOST_TEST(m_store.m_listings.empty());
  BOOST_TEST(m_watcher.IsStoreReachable());
}

// An answer without changes may bring the watch ahead of the replica.
BOOST_AUTO_TEST_CASE(FailedWatchIsRetriedFromTheLastAnswer) {
  m_store.AnswerWatch(store::Changes{ {}, { 0, 40 } });
  m_store.AnswerWatch(tl::unexpected(store::Fault::Unknown));
  AwaitCall();
  BOOST_REQUIRE(m_store.m_watches.size() == 1);
  BOOST_TEST(m_store.m_watches.front().m_after == 40U);
}

BOOST_AUTO_TEST_CASE(RetriedWatchAfterARestoreListsEverything) {
  m_store.AnswerWatch(tl::unexpected(store::Fault::NotDone));
  AwaitCall();
  BOOST_REQUIRE(m_store.m_watches.size() == 1);
  m_store.AnswerWatch(tl::unexpected(store::Fault::HistoryCompacted));
  BOOST_REQUIRE(m_store.m_listings.size() == 1);
  // The gap remains after a failure.
  m_store.AnswerListing(tl::unexpected(store::Fault::Unknown));
  AwaitCall();
  BOOST_REQUIRE(m_store.m_listings.size() == 1);
  m_store.AnswerListing({ 1, 4 });
  BOOST_TEST(m_replica.LastPosition().m_era == 1U);
  BOOST_TEST(m_watcher.IsStoreReachable());
}

// The changes since the last answer may be too many for one answer, while a listing has pages.
BOOST_AUTO_TEST_CASE(WatchThatIsNeverAnsweredLeadsToAListing) {
  int watches = 0;
  while (m_store.m_listings.empty()) {
    m_store.AnswerWatch(tl::unexpected(store::Fault::Unknown));
    BOOST_REQUIRE(++watches < 10);
    AwaitCall();
  }
  BOOST_TEST(watches > 2);
  m_store.AnswerListing(tl::unexpected(store::Fault::Unknown));
  AwaitCall();
  BOOST_TEST(m_store.m_listings.empty());
  BOOST_REQUIRE(m_store.m_watches.size() == 1);
  BOOST_TEST(m_store.m_watches.front().m_after == 10U);
}

// A node stated as the store's what it had read before a gap, while it listed everything.
BOOST_FIXTURE_TEST_CASE(ListingDoesNotConfirmTheReplicaBeforeItIsApplied, TwoPrefixesFixture) {
  const base::TimePoint confirmed = m_watcher.ConfirmedAt();
  m_store.AnswerWatch(tl::unexpected(store::Fault::HistoryCompacted));
  BOOST_TEST(!m_watcher.IsStoreReachable());
  m_store.AnswerListing({ 0, 30 });
  BOOST_TEST(!m_watcher.IsStoreReachable());
  BOOST_TEST((m_watcher.ConfirmedAt() == confirmed));
  BOOST_TEST(m_replica.LastPosition().m_revision == 10U);
  m_store.AnswerListing({ 0, 31 });
  BOOST_TEST(m_watcher.IsStoreReachable());
  BOOST_TEST((m_watcher.ConfirmedAt() > confirmed));
}

BOOST_AUTO_TEST_CASE(ListingConfirmsWhatTheStoreHeldWhenItBegan) {
  m_store.AnswerWatch(tl::unexpected(store::Fault::HistoryCompacted));
  const base::TimePoint begun = base::BootNow();
  m_store.AnswerListing({ 0, 30 });
  BOOST_TEST((m_watcher.ConfirmedAt() <= begun));
}

// Four answers that were too large were awaited for 6 s each.
BOOST_AUTO_TEST_CASE(WatchThatFailsLongAfterItsWaitLeadsToAListing) {
  PauseAndResume({ 0, 20 });
  const auto timer = m_loop.After(Millis(2100), [&] { m_loop.Stop(); });
  m_loop.Run();
  m_store.AnswerWatch(tl::unexpected(store::Fault::Unknown));
  AwaitCall();
  BOOST_TEST(m_store.m_watches.empty());
  BOOST_TEST(m_store.m_listings.size() == 1);
}

// An answer that arrives slowly confirmed the replica with the time of its last byte.
BOOST_AUTO_TEST_CASE(LateAnswerConfirmsWhatTheStoreHeldWhenItsWaitEnded) {
  PauseAndResume({ 0, 20 });
  const base::TimePoint waitEnd = base::BootNow() + m_store.m_watches.front().m_wait;
  const auto timer = m_loop.After(Millis(100), [&] { m_loop.Stop(); });
  m_loop.Run();
  m_store.AnswerWatch(ChangesAt({ 0, 21 }));
  BOOST_TEST(m_watcher.IsStoreReachable());
  BOOST_TEST((m_watcher.ConfirmedAt() <= waitEnd));
}

BOOST_AUTO_TEST_CASE(WatchInALaterEraDoesNotConfirmTheReplica) {
  const base::TimePoint confirmed = m_watcher.ConfirmedAt();
  m_store.AnswerWatch(store::Changes{ {}, { 1, 15 } });
  BOOST_TEST(!m_watcher.IsStoreReachable());
  BOOST_TEST((m_watcher.ConfirmedAt() == confirmed));
  m_store.AnswerListing({ 1, 16 });
  BOOST_TEST(m_watcher.IsStoreReachable());
}

BOOST_FIXTURE_TEST_CASE(DroppedListingDoesNotConfirmTheReplica, TwoPrefixesFixture) {
  m_store.AnswerWatch(tl::unexpected(store::Fault::HistoryCompacted));
  m_store.AnswerListing({ 0, 30 });
  m_store.AnswerListing({ 1, 4 });
  BOOST_TEST(!m_watcher.IsStoreReachable());
  AwaitCall();
  BOOST_TEST(!m_watcher.IsStoreReachable());
  BOOST_TEST(m_store.m_listings.size() == 1);
}

// Registrations that expire while one node lists everything are not in doubt: the store answers.
BOOST_FIXTURE_TEST_CASE(StoreAnswersDuringAListing, TwoPrefixesFixture) {
  BOOST_TEST(m_watcher.StoreAnswers());
  m_store.AnswerWatch(tl::unexpected(store::Fault::HistoryCompacted));
  BOOST_TEST(m_watcher.StoreAnswers());
  m_store.AnswerListing({ 0, 30 });
  BOOST_TEST(m_watcher.StoreAnswers());
  m_store.AnswerListing(tl::unexpected(store::Fault::Unknown));
  BOOST_TEST(!m_watcher.StoreAnswers());
}

BOOST_AUTO_TEST_SUITE_END()
