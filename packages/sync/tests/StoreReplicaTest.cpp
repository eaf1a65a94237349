#include "sync/StoreReplica.h"
#include "sync/StoreWatcher.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace papayafield;
using namespace papayafield::sync;

namespace {

store::Item ItemOf(const std::string& aKey, uint64_t aRevision, uint64_t aEra = 0) {
  return { aKey, "r" + std::to_string(aRevision), { aEra, aRevision }, aRevision };
}

struct RecordingReplica {
  std::vector<std::string> m_log;
  StoreReplica m_replica{ [this](const std::string& aKey,
                                 const std::optional<store::Item>& aItem,
                                 const store::Position& aPosition) {
    m_log.push_back(aKey + (aItem ? "=" : "-") + std::to_string(aPosition.m_revision));
  } };
};

/// A store whose calls the test answers itself.
struct ScriptedStore {
  void List(const std::string& aPrefix, store::OnResult<store::Listing> aOnResult) {
    m_calls.push_back("list " + aPrefix);
    m_list = std::move(aOnResult);
  }
  void Watch(const std::string&,
             uint64_t aRevision,
             base::Millis,
             store::OnResult<store::Changes> aOnResult) {
    m_calls.push_back("watch " + std::to_string(aRevision));
    m_watch = std::move(aOnResult);
  }
  void Commit(const store::Transaction&, const store::OnResult<store::Position>&) {}
  void Grant(base::Millis, const store::OnResult<store::Lease>&) {}
  void Renew(store::LeaseId, const store::OnResult<store::Renewal>&) {}
  void EndLease(store::LeaseId) {}
  uint64_t LatestEra() const { return 0; }

  std::vector<std::string> m_calls;
  store::OnResult<store::Listing> m_list;
  store::OnResult<store::Changes> m_watch;
};

/// Runs the loop until the store gets its call number `aCount`.
void AwaitCall(adapters::http::EventLoop& aLoop, const ScriptedStore& aStore, size_t aCount) {
  const auto poll = aLoop.Every(base::Millis(5), [&] {
    if (aStore.m_calls.size() >= aCount) {
      aLoop.Stop();
    }
  });
  while (aStore.m_calls.size() < aCount) {
    aLoop.Run();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreReplicaTest)

BOOST_AUTO_TEST_CASE(OlderRevisionsAreIgnored) {
  RecordingReplica recorded;
  recorded.m_replica.Apply({ ItemOf("a", 5), false });
  recorded.m_replica.Apply({ ItemOf("a", 4), false });
  recorded.m_replica.Apply({ ItemOf("a", 6), true });
  recorded.m_replica.Apply({ ItemOf("a", 5), false });
  BOOST_TEST(recorded.m_log == (std::vector<std::string>{ "a=5", "a-6" }),
             boost::test_tools::per_element());
  BOOST_TEST(recorded.m_replica.LastPosition().m_revision == 6U);
}

BOOST_AUTO_TEST_CASE(ListingRemovesOnlyOlderItems) {
  RecordingReplica recorded;
  recorded.m_replica.Apply({ ItemOf("p/a", 5), false });
  recorded.m_replica.Apply({ ItemOf("p/b", 9), false });
  recorded.m_replica.Apply({ ItemOf("q/c", 5), false });
  recorded.m_replica.Replace("p/", {}, { 0, 7 });
  BOOST_TEST(recorded.m_replica.Find("p/a") == nullptr);
  BOOST_TEST(recorded.m_replica.Find("p/b") != nullptr);
  BOOST_TEST(recorded.m_replica.Find("q/c") != nullptr);
}

// Changes reach nodes in different orders, from the store or from peers; all replicas must
// converge.
BOOST_AUTO_TEST_CASE(ReplicasConvergeInAnyOrder) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<store::Change> changes;
    for (uint64_t revision = 1; revision <= 30; ++revision) {
      changes.push_back({ ItemOf(std::string(1, static_cast<char>('a' + random() % 4)), revision),
                          random() % 3 == 0 });
    }
    RecordingReplica inOrder;
    for (const auto& change : changes) {
      inOrder.m_replica.Apply(change);
    }
    std::shuffle(changes.begin(), changes.end(), random);
    RecordingReplica shuffled;
    for (const auto& change : changes) {
      shuffled.m_replica.Apply(change);
    }
    BOOST_TEST_CONTEXT("seed " << seed) {
      for (const char key : std::string("abcd")) {
        const store::Item* one = inOrder.m_replica.Find(std::string(1, key));
        const store::Item* other = shuffled.m_replica.Find(std::string(1, key));
        BOOST_TEST((one == nullptr) == (other == nullptr));
        BOOST_TEST((one == nullptr || one->m_position == other->m_position));
      }
    }
  }
}

// The changes of a peer after a revision, tombstones included, bring a replica up to date.
BOOST_AUTO_TEST_CASE(ChangesOfAPeerBringAReplicaUpToDate) {
  RecordingReplica peer;
  RecordingReplica behind;
  for (uint64_t revision = 1; revision <= 4; ++revision) {
    const store::Change change{ ItemOf(std::string(1, static_cast<char>('a' + revision)), revision),
                                false };
    peer.m_replica.Apply(change);
    behind.m_replica.Apply(change);
  }
  peer.m_replica.Apply({ ItemOf("b", 5), true });
  peer.m_replica.Apply({ ItemOf("c", 6), false });
  BOOST_TEST((peer.m_replica.TombstonesFrom() <= behind.m_replica.LastPosition()));
  std::vector<store::Change> changes;
  for (const auto& [key, position] : peer.m_replica.Tombstones()) {
    changes.push_back({ { key, "", position, 0 }, true });
  }
  changes.push_back({ *peer.m_replica.Find("c"), false });
  behind.m_replica.CatchUp(changes, false, peer.m_replica.LastPosition());
  BOOST_TEST(behind.m_replica.Items().size() == peer.m_replica.Items().size());
  BOOST_TEST(behind.m_replica.Find("b") == nullptr);
  BOOST_TEST(behind.m_replica.Find("c")->m_position.m_revision == 6U);
  BOOST_TEST(behind.m_replica.LastPosition().m_revision == 6U);
}

BOOST_AUTO_TEST_CASE(CompleteSnapshotRemovesMissingItems) {
  RecordingReplica recorded;
  recorded.m_replica.Apply({ ItemOf("a", 1), false });
  recorded.m_replica.CatchUp({ { ItemOf("b", 2), false } }, true, { 0, 3 });
  BOOST_TEST(recorded.m_replica.Find("a") == nullptr);
  BOOST_TEST(recorded.m_replica.Items().size() == 1U);
  // Removals before the snapshot are unknown and cannot be passed on to peers.
  BOOST_TEST(recorded.m_replica.TombstonesFrom().m_revision == 3U);
}

// The watch of a replica that a listing or a peer has brought ahead repeated the write of an item
// that had been removed. Peers that fetched it before the watch showed the removal kept it.
BOOST_AUTO_TEST_CASE(RepeatedWriteDoesNotRestoreARemovedItem) {
  RecordingReplica recorded;
  recorded.m_replica.Replace("", {}, { 0, 24 });
  recorded.m_replica.Advance({ 0, 24 });
  recorded.m_replica.Apply({ ItemOf("a", 11), false });
  recorded.m_replica.CatchUp({ { ItemOf("b", 12), false } }, false, { 0, 25 });
  BOOST_TEST(recorded.m_replica.Items().empty());
  recorded.m_replica.Apply({ ItemOf("a", 26), false });
  BOOST_TEST(recorded.m_replica.Find("a") != nullptr);
}

// An update was applied while a peer's changes since an earlier position were on their way. The
// peer had not seen the items of the update, which were removed by then, and they stayed.
BOOST_AUTO_TEST_CASE(ChangesOfAPeerRemoveItemsReadMeanwhile) {
  RecordingReplica recorded;
  recorded.m_replica.Replace("", { ItemOf("old", 1) }, { 0, 4 });
  recorded.m_replica.Advance({ 0, 4 });
  recorded.m_replica.CatchUp(
    { { ItemOf("a", 9), false }, { ItemOf("b", 10), false }, { ItemOf("c", 11), false } },
    false,
    { 0, 12 });
  // "a" and "b" were removed in the peer's gap; it knows an earlier removal of "b".
  recorded.m_replica.CatchUp({ { ItemOf("c", 11), false }, { ItemOf("b", 5), true } },
                             false,
                             { 0, 14 },
                             store::Position{ 0, 4 });
  BOOST_TEST(recorded.m_replica.Find("a") == nullptr);
  BOOST_TEST(recorded.m_replica.Find("b") == nullptr);
  BOOST_TEST(recorded.m_replica.Find("c") != nullptr);
  BOOST_TEST(recorded.m_replica.Find("old") != nullptr);
}

// A node that does not watch the store makes no calls until it is set to watch again.
BOOST_AUTO_TEST_CASE(DisabledWatcherMakesNoCalls) {
  adapters::http::EventLoop loop;
  ScriptedStore store;
  RecordingReplica recorded;
  StoreWatcher<ScriptedStore> watcher(
    loop, store, recorded.m_replica, { { "p/" } }, [](bool) {}, [] {});
  watcher.Start();
  store.m_list(store::Listing{ {}, { 0, 4 } });
  watcher.SetWatchEnabled(false);
  store.m_watch(store::Changes{ {}, { 0, 5 } });
  BOOST_TEST(!watcher.IsStoreReachable());
  BOOST_TEST(store.m_calls.size() == 2U);
  watcher.SetWatchEnabled(true);
  store.m_list(store::Listing{ {}, { 0, 6 } });
  BOOST_TEST(store.m_calls.back() == "watch 6");
  BOOST_TEST(watcher.IsStoreReachable());
}

// Compacted history leads to an immediate new listing; after any other failure, the watch continues
// from where it was.
BOOST_AUTO_TEST_CASE(WatcherListsAgainAfterEachGap) {
  adapters::http::EventLoop loop;
  ScriptedStore store;
  RecordingReplica recorded;
  std::vector<bool> states;
  int loaded = 0;
  StoreWatcher<ScriptedStore> watcher(
    loop,
    store,
    recorded.m_replica,
    { { "p/" } },
    [&](bool aReachable) {
      states.push_back(aReachable);
      loop.Stop();
    },
    [&] { ++loaded; });
  watcher.Start();
  store.m_list(store::Listing{ { ItemOf("p/a", 3) }, { 0, 4 } });
  BOOST_TEST(watcher.Loaded());
  store.m_watch(store::Changes{ { { ItemOf("p/b", 6), false } }, { 0, 6 } });
  AwaitCall(loop, store, 3);
  store.m_watch(tl::unexpected(store::Fault::HistoryCompacted));
  store.m_list(store::Listing{ { ItemOf("p/a", 3) }, { 0, 8 } });
  BOOST_TEST(recorded.m_replica.Find("p/b") == nullptr);
  store.m_watch(tl::unexpected(store::Fault::Unknown));
  BOOST_TEST(!watcher.IsStoreReachable());
  AwaitCall(loop, store, 6);
  store.m_watch(store::Changes{ {}, { 0, 9 } });
  BOOST_TEST(watcher.IsStoreReachable());
  BOOST_TEST(store.m_calls ==
               (std::vector<std::string>{
                 "list p/", "watch 4", "watch 6", "list p/", "watch 8", "watch 8", "watch 9" }),
             boost::test_tools::per_element());
  BOOST_TEST(loaded == 1);
  BOOST_TEST(states == (std::vector<bool>{ true, false, true }), boost::test_tools::per_element());
}

// The registrations of a fleet that starts come one by one. A watch that called the store again
// after each of them cost a large fleet tens of calls a node.
BOOST_AUTO_TEST_CASE(WatchPausesAfterChanges) {
  adapters::http::EventLoop loop;
  ScriptedStore store;
  RecordingReplica recorded;
  StoreWatcher<ScriptedStore> watcher(
    loop, store, recorded.m_replica, { { "p/" } }, [](bool) {}, [] {});
  watcher.Start();
  store.m_list(store::Listing{ {}, { 0, 4 } });
  const auto start = base::BootNow();
  store.m_watch(store::Changes{ { { ItemOf("p/a", 5), false } }, { 0, 5 } });
  BOOST_TEST(recorded.m_replica.Find("p/a") != nullptr);
  BOOST_TEST(store.m_calls.size() == 2U);
  AwaitCall(loop, store, 3);
  BOOST_TEST((base::BootNow() - start >= base::Millis(100)));
  BOOST_TEST(store.m_calls.back() == "watch 5");
  // An answer without changes has waited at the store, so the next call follows at once.
  store.m_watch(store::Changes{ {}, { 0, 6 } });
  BOOST_TEST(store.m_calls.back() == "watch 6");
}

// Peers fetch changes from a node only if its revision is above theirs. So a removal that a new
// listing reveals must raise the revision, and an incomplete listing must not.
BOOST_AUTO_TEST_CASE(RevisionCoversRemovalsFoundByListing) {
  adapters::http::EventLoop loop;
  ScriptedStore store;
  RecordingReplica recorded;
  StoreWatcher<ScriptedStore> watcher(
    loop, store, recorded.m_replica, { { "p/", "q/" } }, [](bool) {}, [] {});
  watcher.Start();
  store.m_list(store::Listing{ { ItemOf("p/a", 3) }, { 0, 4 } });
  BOOST_TEST(recorded.m_replica.LastPosition().m_revision == 0U);
  store.m_list(store::Listing{ { ItemOf("q/b", 2) }, { 0, 5 } });
  BOOST_TEST(recorded.m_replica.LastPosition().m_revision == 4U);
  store.m_watch(tl::unexpected(store::Fault::HistoryCompacted));
  store.m_list(store::Listing{ {}, { 0, 8 } });
  store.m_list(store::Listing{ { ItemOf("q/b", 2) }, { 0, 9 } });
  BOOST_TEST(recorded.m_replica.LastPosition().m_revision == 8U);
  BOOST_TEST(recorded.m_replica.Tombstones().at("p/a").m_revision == 8U);
}

// A restored store assigns revisions again; what it lists replaces what is known, also at lower
// revisions and under tombstones.
BOOST_AUTO_TEST_CASE(LaterEraReplacesEarlierOne) {
  RecordingReplica recorded;
  recorded.m_replica.Replace("", { ItemOf("a", 50, 1), ItemOf("b", 60, 1) }, { 1, 60 });
  recorded.m_replica.Advance({ 1, 60 });
  recorded.m_replica.Apply({ ItemOf("c", 61, 1), true });
  recorded.m_replica.Replace("", { ItemOf("a", 20, 2), ItemOf("c", 21, 2) }, { 2, 30 });
  recorded.m_replica.Advance({ 2, 30 });
  BOOST_TEST(recorded.m_replica.Find("a")->m_position.m_revision == 20U);
  BOOST_TEST(recorded.m_replica.Find("b") == nullptr);
  BOOST_TEST(recorded.m_replica.Find("c") != nullptr);
  BOOST_TEST((recorded.m_replica.LastPosition() == store::Position{ 2, 30 }));
}

BOOST_AUTO_TEST_CASE(ContentsOfAnotherEraAreIgnored) {
  RecordingReplica recorded;
  recorded.m_replica.Replace("", { ItemOf("a", 20, 2) }, { 2, 30 });
  recorded.m_replica.Advance({ 2, 30 });
  const auto before = recorded.m_log;
  recorded.m_replica.Apply({ ItemOf("a", 70, 1), false });
  recorded.m_replica.Apply({ ItemOf("a", 70, 3), true });
  recorded.m_replica.Replace("", {}, { 1, 90 });
  recorded.m_replica.Advance({ 1, 90 });
  recorded.m_replica.CatchUp({ { ItemOf("b", 80, 1), false } }, true, { 1, 90 });
  // Changes alone do not start an era, since those before them are unknown.
  recorded.m_replica.CatchUp({ { ItemOf("b", 5, 3), false } }, false, { 3, 5 });
  BOOST_TEST(recorded.m_log == before, boost::test_tools::per_element());
  BOOST_TEST((recorded.m_replica.LastPosition() == store::Position{ 2, 30 }));
}

// An older listing arrived between the first prefix of a later era and its last one; what remained
// of the earlier era stayed for ever.
BOOST_AUTO_TEST_CASE(LateListingDoesNotKeepAnEarlierEra) {
  RecordingReplica recorded;
  recorded.m_replica.Replace("", { ItemOf("p/a", 50, 1), ItemOf("q/b", 60, 1) }, { 1, 60 });
  recorded.m_replica.Advance({ 1, 60 });
  recorded.m_replica.Replace("p/", {}, { 2, 30 });
  recorded.m_replica.Advance({ 1, 60 });
  recorded.m_replica.Advance({ 2, 30 });
  BOOST_TEST(recorded.m_replica.Items().empty());
}

// The store was restored between the listings of two prefixes, which must not be mixed.
BOOST_AUTO_TEST_CASE(RestoreBetweenTwoPrefixesIsListedAgain) {
  adapters::http::EventLoop loop;
  ScriptedStore store;
  RecordingReplica recorded;
  StoreWatcher<ScriptedStore> watcher(
    loop, store, recorded.m_replica, { { "p/", "q/" } }, [](bool) {}, [] {});
  watcher.Start();
  store.m_list(store::Listing{ { ItemOf("p/a", 50, 1) }, { 1, 60 } });
  store.m_list(store::Listing{ { ItemOf("q/b", 20, 2) }, { 2, 30 } });
  BOOST_TEST(recorded.m_replica.Items().empty());
  AwaitCall(loop, store, 3);
  store.m_list(store::Listing{ {}, { 2, 30 } });
  store.m_list(store::Listing{ { ItemOf("q/b", 20, 2) }, { 2, 31 } });
  BOOST_TEST(recorded.m_replica.Items().size() == 1U);
  BOOST_TEST(store.m_calls.back() == "watch 30");
}

// Writes of the new era had passed the revision of the watch, so the store answered it without an
// error, and the changes before were never read.
BOOST_AUTO_TEST_CASE(WatchAnsweredByANewEraLeadsToAListing) {
  adapters::http::EventLoop loop;
  ScriptedStore store;
  RecordingReplica recorded;
  StoreWatcher<ScriptedStore> watcher(
    loop, store, recorded.m_replica, { { "p/" } }, [](bool) {}, [] {});
  watcher.Start();
  store.m_list(store::Listing{ { ItemOf("p/a", 50, 1) }, { 1, 60 } });
  store.m_watch(store::Changes{ { { ItemOf("p/b", 61, 2), false } }, { 2, 61 } });
  BOOST_TEST(store.m_calls.back() == "list p/");
  BOOST_TEST(recorded.m_replica.Find("p/b") == nullptr);
  store.m_list(store::Listing{ { ItemOf("p/c", 55, 2) }, { 2, 61 } });
  BOOST_TEST(recorded.m_replica.Find("p/c") != nullptr);
  BOOST_TEST(recorded.m_replica.Find("p/a") == nullptr);
}

// Another call shows a restore before the watch ends; the answer of that watch is dropped.
BOOST_AUTO_TEST_CASE(EraShownByAnotherCallLeadsToAListing) {
  adapters::http::EventLoop loop;
  ScriptedStore store;
  RecordingReplica recorded;
  StoreWatcher<ScriptedStore> watcher(
    loop, store, recorded.m_replica, { { "p/" } }, [](bool) {}, [] {});
  watcher.Start();
  store.m_list(store::Listing{ { ItemOf("p/a", 50, 1) }, { 1, 60 } });
  watcher.OnEra(1);
  BOOST_TEST(store.m_calls.back() == "watch 60");
  watcher.OnEra(2);
  watcher.OnEra(2);
  BOOST_TEST(store.m_calls.size() == 3U);
  store.m_watch(store::Changes{ { { ItemOf("p/z", 61, 1), false } }, { 1, 61 } });
  BOOST_TEST(recorded.m_replica.Find("p/z") == nullptr);
  store.m_list(store::Listing{ {}, { 2, 30 } });
  BOOST_TEST(recorded.m_replica.Items().empty());
  BOOST_TEST(store.m_calls.back() == "watch 30");
}

BOOST_AUTO_TEST_SUITE_END()
