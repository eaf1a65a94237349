#include "duties/LeaderElection.h"
#include "duties/UsageReporter.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <set>

using namespace papayafield;
using namespace papayafield::duties;

namespace {

/// An in-memory store that responds synchronously and can lose a response on request.
class FakeStore {
public:
  void List(const std::string&, const store::OnResult<store::Listing>&) {}
  void Watch(const std::string&, uint64_t, base::Millis, const store::OnResult<store::Changes>&) {}

  void Commit(const store::Transaction& aTransaction,
              const store::OnResult<store::Position>& aOnResult) {
    for (const auto& [key, revision] : aTransaction.m_expected) {
      const auto item = m_items.find(key);
      if ((item == m_items.end() ? 0 : item->second.m_position.m_revision) != revision) {
        aOnResult(tl::unexpected(store::Fault::Conflict));
        return;
      }
    }
    ++m_revision;
    for (const auto& write : aTransaction.m_writes) {
      store::Item& item = m_items[write.m_key];
      item = {
        write.m_key, write.m_data, Now(), item.m_created == 0 ? m_revision : item.m_created
      };
      m_leases[write.m_key] = write.m_lease;
    }
    if (std::exchange(m_loseNextResponse, false)) {
      aOnResult(tl::unexpected(store::Fault::Unknown));
      return;
    }
    aOnResult(Now());
  }

  void Grant(base::Millis, const store::OnResult<store::Lease>& aOnResult) {
    aOnResult(store::Lease{ ++m_lease, m_era });
  }
  void Renew(store::LeaseId aLease, const store::OnResult<store::Renewal>& aOnResult) {
    if (m_endedLeases.contains(aLease)) {
      aOnResult(tl::unexpected(store::Fault::NoLease));
    } else {
      aOnResult(store::Renewal{ base::Millis(1), m_era });
    }
  }
  void EndLease(store::LeaseId aLease) {
    m_endedLeases.insert(aLease);
    std::erase_if(m_items, [&](const auto& aItem) { return m_leases[aItem.first] == aLease; });
  }
  uint64_t LatestEra() const { return m_era; }
  store::Position Now() const { return { m_era, m_revision }; }

  void ExpireLeases() {
    for (const auto& [key, lease] : std::map(m_leases)) {
      EndLease(lease);
    }
  }

  /// Replaces the contents with those of a copy, which starts a new era.
  void Restore(const std::map<std::string, store::Item>& aItems, uint64_t aRevision) {
    m_items = aItems;
    m_revision = aRevision;
    ++m_era;
  }

  /// Updates a replica with the present items, as a watch would.
  void UpdateReplica(sync::StoreReplica& aReplica) {
    std::vector<store::Item> items;
    for (const auto& [key, item] : m_items) {
      items.push_back(item);
      items.back().m_position.m_era = m_era;
    }
    ++m_revision;
    aReplica.Replace("", items, Now());
    aReplica.Advance(Now());
  }

  std::map<std::string, store::Item> m_items;
  std::map<std::string, store::LeaseId> m_leases;
  std::set<store::LeaseId> m_endedLeases;
  uint64_t m_era = 1;
  uint64_t m_revision = 10;
  store::LeaseId m_lease = 0;
  bool m_loseNextResponse = false;
};

static_assert(store::StorePort<FakeStore>);

/// A platform that records the usage reports it receives.
class FakePlatform {
public:
  void ReportUsage(int64_t aWindow,
                   const UsageLedger::Counts& aCounts,
                   const Leadership& aLeadership,
                   const OnPlatformCallOutcome& aOnOutcome) {
    m_reports.push_back({ aWindow, aCounts });
    m_fencingTokens.push_back(aLeadership.m_token);
    aOnOutcome(m_outcome);
  }
  void OrderEngines(const ScalingOrder&,
                    const Leadership&,
                    const OnPlatformCallOutcome& aOnOutcome) {
    aOnOutcome(m_outcome);
  }

  std::vector<std::pair<int64_t, UsageLedger::Counts>> m_reports;
  std::vector<FencingToken> m_fencingTokens;
  PlatformCallOutcome m_outcome = PlatformCallOutcome::Accepted;
};

static_assert(LeaderPlatformPort<FakePlatform>);

constexpr int64_t kWindowMs = 5000;
const base::Millis kSpreadTime = UsageReporterSettings().m_spreadTime;

/// Reads the manual clock of a node.
struct NodeClock {
  base::TimePoint Now() const { return m_clock->Now(); }
  base::ManualClock* m_clock;
};

struct Node {
  Node(FakeStore& aStore,
       FakePlatform& aPlatform,
       const std::string& aIncarnation,
       std::function<int64_t()> aWallMillis = &base::WallMillis,
       base::Millis aReportDeadline = base::Millis(60000))
    : m_election(aStore,
                 m_replica,
                 { "duties", aIncarnation, base::Millis(60000), base::Millis(100) },
                 NodeClock{ &m_clock })
    , m_ledger(kWindowMs)
    , m_reporter(
        aStore,
        aPlatform,
        m_replica,
        m_ledger,
        { "usage", base::Millis(0), base::Millis(0), aReportDeadline },
        [](int64_t) { return true; },
        [this](FencingToken aFencingToken) { m_election.OnTokenRejected(aFencingToken); },
        NodeClock{ &m_clock },
        std::move(aWallMillis)) {}

  FencingToken Token() const { return m_election.CurrentLeadership()->m_token; }

  /// Ticks until the node is the leader; it first waits for a random delay.
  void AwaitLeadership(FakeStore& aStore) {
    while (!m_election.CurrentLeadership()) {
      m_clock.Advance(base::Millis(100));
      aStore.UpdateReplica(m_replica);
      m_election.Tick(true);
    }
  }

  base::ManualClock m_clock;
  sync::StoreReplica m_replica{ [this](const std::string& aKey,
                                       const std::optional<store::Item>& aItem,
                                       const store::Position&) {
    if (aKey == "usage" && aItem) {
      m_reporter.OnRecord(*aItem);
    }
  } };
  LeaderElection<FakeStore, NodeClock> m_election;
  UsageLedger m_ledger;
  UsageReporter<FakeStore, FakePlatform, NodeClock> m_reporter;
};

const base::TeamId kTeam("team");

/// Nodes that report usage in turn, as leaders, while the store is restored from older copies and
/// one node at a time is started again. Their counts differ, since a node that has just started
/// does not know those of its own earlier incarnation.
class ReportingFleet {
public:
  static constexpr base::Millis kStep{ 100 };
  static constexpr base::Millis kLease{ 3000 };
  static constexpr base::Millis kMaxCopyAge{ 20000 };
  /// Time between two starts of nodes: all others have read what the restarted one forgot.
  static constexpr base::Millis kRestartInterval{ 25000 };

  explicit ReportingFleet(uint64_t aSeed)
    : m_random(aSeed) {
    for (int i = 0; i < 3; ++i) {
      m_nodes.push_back(MakeNode());
    }
  }

  void Run(base::Millis aDuration) {
    for (const auto end = m_elapsed + aDuration; m_elapsed < end; m_elapsed += kStep) {
      Step();
    }
  }
  /// Returns the counts that the platform received for each window.
  std::map<int64_t, std::set<uint64_t>> Reports() const {
    std::map<int64_t, std::set<uint64_t>> reports;
    for (const auto& [window, teams] : m_platform.m_reports) {
      reports[window].insert(teams.at(kTeam));
    }
    return reports;
  }
  /// Returns the end of the windows that have ended long enough ago to be reported.
  int64_t DueWindowsEnd() const { return (kStartMs + m_elapsed.count()) / kWindowMs - 3; }

  /// Start of the first window.
  static constexpr int64_t kStartMs = kWindowMs * 1000000;

private:
  std::unique_ptr<Node> MakeNode() {
    auto node = std::make_unique<Node>(
      m_store, m_platform, "node", [this] { return kStartMs + m_elapsed.count(); });
    node->m_clock.Advance(m_elapsed);
    m_store.UpdateReplica(node->m_replica);
    node->m_reporter.OnLoaded(kStartMs + m_elapsed.count());
    return node;
  }
  bool Chance(double aProbability) { return std::bernoulli_distribution(aProbability)(m_random); }
  int64_t Draw(int64_t aFrom, int64_t aTo) {
    return std::uniform_int_distribution<int64_t>(aFrom, aTo)(m_random);
  }

  void Step() {
    for (const auto& node : m_nodes) {
      node->m_clock.Advance(kStep);
      if (Chance(0.9)) {
        m_store.UpdateReplica(node->m_replica);
      }
      if (Chance(0.5)) {
        node->m_ledger.CountLocalRequest(kTeam, kStartMs + m_elapsed.count());
      }
    }
    ExchangeCounts();
    m_copies.emplace(m_elapsed, std::pair(m_store.m_items, m_store.m_revision));
    m_copies.erase(m_copies.begin(), m_copies.lower_bound(m_elapsed - kMaxCopyAge));
    if (Chance(0.01)) {
      const auto copy = std::next(m_copies.begin(), Draw(0, std::ssize(m_copies) - 1));
      m_store.Restore(copy->second.first, copy->second.second);
      m_copies.erase(std::next(copy), m_copies.end());
      ChangeLeader();
    } else if (Chance(0.01)) {
      ChangeLeader();
    }
    if (m_elapsed >= m_nextRestart && Chance(0.01)) {
      m_nextRestart = m_elapsed + kRestartInterval;
      m_nodes[static_cast<size_t>(Draw(0, 2))] = MakeNode();
      ++m_starts;
      ChangeLeader();
    }
    if (m_elapsed >= m_leaderFrom) {
      m_store.m_loseNextResponse = Chance(0.1);
      m_platform.m_outcome =
        Chance(0.2) ? PlatformCallOutcome::Unknown : PlatformCallOutcome::Accepted;
      m_nodes[m_leader]->m_reporter.Tick(Leadership{ m_token, base::TimePoint::max() });
    }
  }

  void ChangeLeader() {
    m_leaderFrom = m_elapsed + kLease;
    m_leader = static_cast<size_t>(Draw(0, 2));
    ++m_token;
  }

  void ExchangeCounts() {
    for (size_t from = 0; from < m_nodes.size(); ++from) {
      for (size_t to = 0; to < m_nodes.size(); ++to) {
        if (from != to && Chance(0.7)) {
          m_nodes[to]->m_ledger.MergePeerCounts(std::to_string(from) + '@' +
                                                  std::to_string(m_starts),
                                                m_nodes[from]->m_ledger.LocalCounts());
        }
      }
    }
  }

  std::mt19937_64 m_random;
  FakeStore m_store;
  FakePlatform m_platform;
  base::Millis m_elapsed{ 0 };
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::map<base::Millis, std::pair<std::map<std::string, store::Item>, uint64_t>> m_copies;
  base::Millis m_nextRestart = kRestartInterval;
  int m_starts = 0;
  size_t m_leader = 0;
  FencingToken m_token = 1;
  base::Millis m_leaderFrom = kLease;
};

} // namespace

BOOST_AUTO_TEST_SUITE(DutiesTest)

BOOST_AUTO_TEST_CASE(OneNodeLeadsAndFencingTokensGrow) {
  FakeStore store;
  FakePlatform platform;
  Node one(store, platform, "one");
  Node two(store, platform, "two");
  one.AwaitLeadership(store);
  store.UpdateReplica(two.m_replica);
  for (int i = 0; i < 5; ++i) {
    two.m_election.Tick(true);
  }
  BOOST_TEST(!two.m_election.IsLeader());
  const FencingToken first = one.Token();
  one.m_election.Resign();
  BOOST_TEST(!one.m_election.IsLeader());
  // A call of the first leader may still be under way, so its lease is not ended early.
  BOOST_TEST(store.m_items.contains("duties/1"));
  store.ExpireLeases();
  two.AwaitLeadership(store);
  BOOST_TEST(two.Token() > first);
}

BOOST_AUTO_TEST_CASE(LeadershipIsRecoveredAfterALostResponse) {
  FakeStore store;
  FakePlatform platform;
  Node one(store, platform, "one");
  store.m_loseNextResponse = true;
  one.AwaitLeadership(store);
  BOOST_TEST(one.Token() == MakeFencingToken({ 1, store.m_items["duties/1"].m_created }));
}

BOOST_AUTO_TEST_CASE(RejectedFencingTokenEndsLeadership) {
  FakeStore store;
  FakePlatform platform;
  Node one(store, platform, "one");
  one.AwaitLeadership(store);
  one.m_election.OnTokenRejected(one.Token());
  BOOST_TEST(!one.m_election.IsLeader());
}

// An attempt of an earlier era was carried out after a restore, under a lease that the store has
// assigned to another node, which renews it for ever.
BOOST_AUTO_TEST_CASE(LeaderKeyOfAnEarlierEraDoesNotPreventLeadership) {
  FakeStore store;
  FakePlatform platform;
  Node one(store, platform, "one");
  Node two(store, platform, "two");
  two.AwaitLeadership(store);
  const store::Item key = store.m_items.begin()->second;
  store.m_items.clear();
  ++store.m_era;
  store.m_revision = 3;
  store.m_items[key.m_key] = { key.m_key, key.m_data, store.Now(), store.m_revision };
  store.UpdateReplica(two.m_replica);
  two.m_election.Tick(true);
  BOOST_TEST(!two.m_election.IsLeader());
  one.AwaitLeadership(store);
  BOOST_TEST(one.Token() > MakeFencingToken(key.m_position));
}

// Before it has read the store, a node does not know of a leader.
BOOST_AUTO_TEST_CASE(NodeThatHasNotReadTheStoreDoesNotLead) {
  FakeStore store;
  FakePlatform platform;
  Node node(store, platform, "one");
  for (int i = 0; i < 5; ++i) {
    node.m_clock.Advance(base::Millis(1000));
    node.m_election.Tick(true);
  }
  BOOST_TEST(!node.m_election.IsLeader());
}

// A later leader with different counts repeats the written report and never contradicts it.
BOOST_AUTO_TEST_CASE(WindowIsReportedWithOneSetOfCounts) {
  FakeStore store;
  FakePlatform platform;
  Node one(store, platform, "one");
  Node two(store, platform, "two");
  const int64_t now = base::WallMillis();
  const int64_t window = one.m_ledger.WindowOf(now) - 1;
  for (int i = 0; i < 5; ++i) {
    one.m_ledger.CountLocalRequest(kTeam, window * kWindowMs + 1);
  }
  two.m_ledger.CountLocalRequest(kTeam, window * kWindowMs + 1);
  store.m_loseNextResponse = true;
  for (int tick = 0; tick < 3; ++tick) {
    store.UpdateReplica(one.m_replica);
    one.m_clock.Advance(kSpreadTime);
    one.m_reporter.Tick(Leadership{ 1, base::TimePoint::max() });
  }
  for (int tick = 0; tick < 3; ++tick) {
    store.UpdateReplica(two.m_replica);
    two.m_clock.Advance(kSpreadTime);
    two.m_reporter.Tick(Leadership{ 2, base::TimePoint::max() });
  }
  std::map<int64_t, std::set<uint64_t>> counts;
  for (const auto& [reported, teams] : platform.m_reports) {
    counts[reported].insert(teams.at(kTeam));
  }
  BOOST_TEST(counts[window] == std::set<uint64_t>{ 5 }, boost::test_tools::per_element());
  BOOST_TEST(platform.m_fencingTokens.back() == 2U);
}

// A report by a node whose clock is ahead stays in the record; written again, it could have other
// counts.
BOOST_AUTO_TEST_CASE(ReportOfANodeWhoseClockIsAheadIsKept) {
  FakeStore store;
  FakePlatform platform;
  Node node(store, platform, "behind");
  const int64_t window = node.m_ledger.WindowOf(base::WallMillis());
  node.m_ledger.CountLocalRequest(kTeam, (window - 1) * kWindowMs + 1);
  const std::string record =
    R"([{"window":)" + std::to_string(window + 2) + R"(,"counts":{"team":5}}])";
  store.m_items["usage"] = { "usage", record, { 1, 7 }, 7 };
  for (int tick = 0; tick < 3; ++tick) {
    store.UpdateReplica(node.m_replica);
    node.m_clock.Advance(kSpreadTime);
    node.m_reporter.Tick(Leadership{ 1, base::TimePoint::max() });
  }
  BOOST_TEST(store.m_items["usage"].m_data == record);
  BOOST_REQUIRE(platform.m_reports.size() == 1U);
  BOOST_TEST(platform.m_reports[0].first == window + 2);
}

// A node whose conditional write failed does not send its own counts.
BOOST_AUTO_TEST_CASE(UnwrittenReportIsNotSent) {
  FakeStore store;
  FakePlatform platform;
  Node late(store, platform, "late");
  const int64_t window = late.m_ledger.WindowOf(base::WallMillis()) - 1;
  late.m_ledger.CountLocalRequest(kTeam, window * kWindowMs + 1);
  store.m_items["usage"] = { "usage", "[]", { 1, 77 }, 77 };
  late.m_reporter.Tick(Leadership{ 1, base::TimePoint::max() });
  BOOST_TEST(platform.m_reports.empty());
}

// A restore undoes a report, and a node that does not know it writes other counts. Either may have
// been sent.
BOOST_AUTO_TEST_CASE(ContradictedReportIsNotSentAgain) {
  FakeStore store;
  FakePlatform platform;
  Node one(store, platform, "one");
  const int64_t window = one.m_ledger.WindowOf(base::WallMillis()) - 1;
  const auto record = [&](int aCount) {
    return R"([{"window":)" + std::to_string(window) + R"(,"counts":{"team":)" +
           std::to_string(aCount) + "}}]";
  };
  store.m_items["usage"] = { "usage", record(5), { 1, 7 }, 7 };
  store.UpdateReplica(one.m_replica);
  one.m_clock.Advance(kSpreadTime);
  one.m_reporter.Tick(Leadership{ 1, base::TimePoint::max() });
  BOOST_TEST(platform.m_reports.size() == 1U);
  store.Restore({ { "usage", { "usage", record(6), { 2, 6 }, 6 } } }, 6);
  for (int tick = 0; tick < 3; ++tick) {
    store.UpdateReplica(one.m_replica);
    one.m_clock.Advance(kSpreadTime);
    one.m_reporter.Tick(Leadership{ 2, base::TimePoint::max() });
  }
  BOOST_TEST(platform.m_reports.size() == 1U);
}

// A report that a restore has undone is written again with the counts that were sent, and a node
// that has started since does not write its own.
BOOST_AUTO_TEST_CASE(ReportThatARestoreHasUndoneIsWrittenAgain) {
  FakeStore store;
  FakePlatform platform;
  Node one(store, platform, "one");
  const int64_t window = one.m_ledger.WindowOf(base::WallMillis()) - 1;
  for (int i = 0; i < 5; ++i) {
    one.m_ledger.CountLocalRequest(kTeam, window * kWindowMs + 1);
  }
  const auto copy = store.m_items;
  for (int tick = 0; tick < 3; ++tick) {
    store.UpdateReplica(one.m_replica);
    one.m_clock.Advance(kSpreadTime);
    one.m_reporter.Tick(Leadership{ 1, base::TimePoint::max() });
  }
  const std::string written = store.m_items["usage"].m_data;
  store.Restore(copy, 5);
  Node young(store, platform, "young");
  store.UpdateReplica(young.m_replica);
  young.m_reporter.OnLoaded(base::WallMillis());
  young.m_ledger.CountLocalRequest(kTeam, window * kWindowMs + 1);
  young.m_reporter.Tick(Leadership{ 2, base::TimePoint::max() });
  BOOST_TEST(!store.m_items.contains("usage"));
  store.UpdateReplica(one.m_replica);
  one.m_reporter.Tick(Leadership{ 3, base::TimePoint::max() });
  BOOST_TEST(store.m_items["usage"].m_data == written);
  for (const auto& [reported, teams] : platform.m_reports) {
    BOOST_TEST(teams.at(kTeam) == 5U);
  }
}

// No window is reported with two sets of counts, and hardly any is lost, while leaders change,
// nodes are started again, and the store is restored from copies up to 20 s old.
BOOST_AUTO_TEST_CASE(RestoresOfTheStoreLeaveOneSetOfCounts) {
  int64_t due = 0;
  int64_t reported = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      ReportingFleet fleet(seed);
      fleet.Run(base::Millis(120000));
      const int64_t dueEnd = fleet.DueWindowsEnd();
      size_t contradicted = 0;
      for (const auto& [window, counts] : fleet.Reports()) {
        contradicted += counts.size() > 1U ? 1 : 0;
        reported += window < dueEnd ? 1 : 0;
      }
      BOOST_TEST(contradicted == 0U);
      due += dueEnd - ReportingFleet::kStartMs / kWindowMs;
    }
  }
  BOOST_TEST_MESSAGE("reported " << reported << " of " << due);
  BOOST_TEST(reported > due * 95 / 100);
}

// Only the leader removed old counts, so that those of all nodes piled up at the others.
BOOST_AUTO_TEST_CASE(NodesThatDoNotLeadRemoveOldCounts) {
  FakeStore store;
  FakePlatform platform;
  Node node(store, platform, "one", &base::WallMillis, UsageReporterSettings().m_reportDeadline);
  const int64_t current = node.m_ledger.WindowOf(base::WallMillis());
  for (const int64_t age : { 1000, 100, 20, 1, 0 }) {
    node.m_ledger.CountLocalRequest(kTeam, (current - age) * kWindowMs);
    node.m_ledger.MergePeerCounts("n2@1", { { current - age, { { kTeam, 4 } } } });
  }
  node.m_reporter.RemoveOldCounts();
  for (const int64_t age : { 1000, 100, 20 }) {
    BOOST_TEST(node.m_ledger.TotalCounts(current - age).empty(), age << " windows ago");
  }
  for (const int64_t age : { 1, 0 }) {
    BOOST_TEST(node.m_ledger.TotalCounts(current - age)[kTeam] == 5U, age << " windows ago");
  }
}

// A record with all windows of a long deadline would exceed what the store accepts.
BOOST_AUTO_TEST_CASE(LongDeadlineDoesNotKeepAllWindows) {
  FakeStore store;
  FakePlatform platform;
  Node node(store, platform, "one", &base::WallMillis, base::Millis(kWindowMs * 1000));
  const int64_t current = node.m_ledger.WindowOf(base::WallMillis());
  for (const int64_t age : { 100, 20 }) {
    node.m_ledger.CountLocalRequest(kTeam, (current - age) * kWindowMs);
  }
  node.m_reporter.RemoveOldCounts();
  BOOST_TEST(node.m_ledger.TotalCounts(current - 100).empty());
  BOOST_TEST(node.m_ledger.TotalCounts(current - 20)[kTeam] == 1U);
}

BOOST_AUTO_TEST_CASE(CountsOfAllNodesAddUpAndOnlyGrow) {
  UsageLedger ledger(kWindowMs);
  ledger.CountLocalRequest(kTeam, 10);
  ledger.MergePeerCounts("n2@1", { { 0, { { kTeam, 4 } } } });
  ledger.MergePeerCounts("n2@1", { { 0, { { kTeam, 3 } } } });
  ledger.MergePeerCounts("n2@2", { { 0, { { kTeam, 2 } } } });
  BOOST_TEST(ledger.TotalCounts(0)[kTeam] == 7U);
  ledger.RemoveWindowsBefore(1);
  BOOST_TEST(ledger.TotalCounts(0).empty());
}

// A leader that had not read a report before a restore undid it sent the window with other counts.
BOOST_AUTO_TEST_CASE(NewProcessDoesNotContradictAReportThatTheStoreLost) {
  FakeStore store;
  FakePlatform platform;
  Node one(store, platform, "one");
  const int64_t window = one.m_ledger.WindowOf(base::WallMillis()) - 1;
  const auto copy = store.m_items;
  one.m_ledger.CountLocalRequest(kTeam, window * kWindowMs + 1);
  for (int tick = 0; tick < 5; ++tick) {
    store.UpdateReplica(one.m_replica);
    one.m_clock.Advance(kSpreadTime);
    one.m_reporter.Tick(Leadership{ 1, base::TimePoint::max() });
  }
  BOOST_TEST(platform.m_reports.size() == 1U);
  store.m_items = copy;
  ++store.m_era;
  store.UpdateReplica(one.m_replica);
  one.m_reporter.RestoreRecord();
  Node late(store, platform, "late");
  // It knows one more call.
  late.m_ledger.CountLocalRequest(kTeam, window * kWindowMs + 1);
  late.m_ledger.CountLocalRequest(kTeam, window * kWindowMs + 2);
  for (int tick = 0; tick < 5; ++tick) {
    store.UpdateReplica(late.m_replica);
    late.m_clock.Advance(kSpreadTime);
    late.m_reporter.Tick(Leadership{ MakeFencingToken({ 2, 1 }), base::TimePoint::max() });
  }
  BOOST_REQUIRE(platform.m_reports.size() == 2U);
  BOOST_TEST((platform.m_reports[1] == platform.m_reports[0]));
}

// The write of a report was interrupted by a restore, and the next leader came more than four
// windows later. It began with the fourth window before its own.
BOOST_AUTO_TEST_CASE(WindowOfAnInterruptedWriteIsReportedByALateLeader) {
  FakeStore store;
  FakePlatform platform;
  constexpr int64_t kFirst = 1000000;
  constexpr int64_t kWindowsWithoutLeader = 6;
  int64_t now = (kFirst + 1) * kWindowMs;
  const auto wallMillis = [&now] { return now; };
  Node one(store, platform, "one", wallMillis);
  Node two(store, platform, "two", wallMillis);
  const auto countCalls = [&](int64_t aWindow) {
    // The number of calls tells the windows apart.
    for (int64_t i = kFirst; i <= aWindow; ++i) {
      one.m_ledger.CountLocalRequest(kTeam, aWindow * kWindowMs + 1);
    }
    two.m_ledger.MergePeerCounts("one", one.m_ledger.LocalCounts());
  };
  const auto tick = [&](Node& aNode, FencingToken aToken) {
    store.UpdateReplica(one.m_replica);
    store.UpdateReplica(two.m_replica);
    aNode.m_clock.Advance(kSpreadTime);
    aNode.m_reporter.RemoveOldCounts();
    aNode.m_reporter.Tick(Leadership{ aToken, base::TimePoint::max() });
  };
  store.UpdateReplica(one.m_replica);
  store.UpdateReplica(two.m_replica);
  one.m_reporter.OnLoaded(kFirst * kWindowMs - 1);
  two.m_reporter.OnLoaded(kFirst * kWindowMs - 1);
  countCalls(kFirst);
  for (int i = 0; i < 4; ++i) {
    tick(one, 1);
  }
  BOOST_REQUIRE(platform.m_reports.size() == 1U);
  const auto copy = store.m_items;
  const uint64_t revision = store.m_revision;
  countCalls(kFirst + 1);
  now += kWindowMs;
  store.m_loseNextResponse = true;
  one.m_reporter.Tick(Leadership{ 1, base::TimePoint::max() });
  BOOST_TEST(!store.m_loseNextResponse);
  store.Restore(copy, revision);
  for (int64_t window = kFirst + 2; window < kFirst + 1 + kWindowsWithoutLeader; ++window) {
    countCalls(window);
    now += kWindowMs;
  }
  for (int i = 0; i < 4 * kWindowsWithoutLeader; ++i) {
    tick(two, 2);
  }
  std::map<int64_t, std::set<uint64_t>> reports;
  for (const auto& [window, teams] : platform.m_reports) {
    reports[window].insert(teams.at(kTeam));
  }
  for (int64_t window = kFirst; window < kFirst + 1 + kWindowsWithoutLeader; ++window) {
    const std::set<uint64_t> expected{ static_cast<uint64_t>(window - kFirst + 1) };
    BOOST_TEST(reports[window] == expected, "window " << window - kFirst);
  }
}

// With windows of 1 s, the counts of a window were dropped before the wait for a silent node ended.
BOOST_AUTO_TEST_CASE(ShortWindowIsReportedThoughANodeIsSilent) {
  FakeStore store;
  FakePlatform platform;
  base::ManualClock clock;
  constexpr int64_t kShortWindowMs = 1000;
  constexpr int64_t kWindow = 5000000;
  int64_t now = kWindow * kShortWindowMs;
  sync::StoreReplica replica([](auto&&...) {});
  UsageLedger ledger(kShortWindowMs);
  UsageReporterSettings settings;
  settings.m_key = "usage";
  UsageReporter<FakeStore, FakePlatform, NodeClock> reporter(
    store,
    platform,
    replica,
    ledger,
    settings,
    [](int64_t) { return false; },
    [](FencingToken) {},
    NodeClock{ &clock },
    [&now] { return now; });
  ledger.CountLocalRequest(kTeam, now);
  reporter.OnLoaded(now);
  const int64_t end = now + kShortWindowMs;
  for (; now < end + settings.m_reportDeadline.count(); now += 100) {
    store.UpdateReplica(replica);
    if (const store::Item* item = replica.Find("usage"); item != nullptr) {
      reporter.OnRecord(*item);
    }
    reporter.RemoveOldCounts();
    reporter.Tick(Leadership{ 1, base::TimePoint::max() });
    clock.Advance(base::Millis(100));
    if (now < end + settings.m_maxCountWait.count()) {
      BOOST_TEST(!store.m_items.contains("usage"));
    }
  }
  BOOST_REQUIRE(platform.m_reports.size() == 1U);
  BOOST_TEST(platform.m_reports[0].first == kWindow);
  BOOST_TEST(platform.m_reports[0].second.at(kTeam) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
