#include "duties/LeaderElection.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace papayafield;
using namespace papayafield::duties;

namespace {

using base::Millis;
using base::TimePoint;

constexpr Millis kLease{ 3000 };
constexpr Millis kSafetyMargin{ 400 };
const std::string kKey = "duties";

/// Simulated time with events in order.
class World {
public:
  explicit World(uint64_t aSeed)
    : m_random(aSeed) {}

  void At(TimePoint aWhen, std::function<void()> aEvent) {
    m_events.emplace(aWhen, std::move(aEvent));
  }
  void After(Millis aDelay, std::function<void()> aEvent) { At(m_now + aDelay, std::move(aEvent)); }
  void RunUntil(TimePoint aEnd) {
    while (!m_events.empty() && m_events.begin()->first <= aEnd) {
      const auto event = m_events.extract(m_events.begin());
      m_now = std::max(m_now, event.key());
      event.mapped()();
    }
  }
  Millis Draw(int64_t aFrom, int64_t aTo) {
    return Millis(std::uniform_int_distribution<int64_t>(aFrom, aTo)(m_random));
  }
  bool Chance(double aProbability) { return std::bernoulli_distribution(aProbability)(m_random); }

  TimePoint m_now{ std::chrono::hours(1) };

private:
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::mt19937_64 m_random;
};

struct WorldClock {
  TimePoint Now() const { return m_world->m_now; }
  const World* m_world;
};

/// The platform's store: a leader key under a lease that runs from the arrival of its last renewal.
struct SharedStore {
  explicit SharedStore(World& aWorld)
    : m_world(aWorld) {}

  void RemoveExpired() {
    if (m_item && (m_ended.contains(m_lease) || m_expiry[m_lease] <= m_world.m_now)) {
      m_item.reset();
      ++m_revision;
    }
  }

  World& m_world;
  std::optional<store::Item> m_item;
  store::LeaseId m_lease = 0;
  store::LeaseId m_lastLease = 0;
  std::map<store::LeaseId, TimePoint> m_expiry;
  std::set<store::LeaseId> m_ended;
  store::Position Now() const { return { m_era, m_revision }; }

  uint64_t m_era = 1;
  uint64_t m_revision = 10;
};

/// A host, whose process may be paused. Messages to a paused process wait until it continues.
struct Host {
  std::string m_name;
  TimePoint m_pausedUntil{};
  int m_incarnation = 0;
  TimePoint m_downUntil{};
};

/// One node's connection to the store, with delays and lost responses.
class StoreConnection {
public:
  StoreConnection(World& aWorld, SharedStore& aStore, Host& aHost)
    : m_world(aWorld)
    , m_store(aStore)
    , m_host(aHost) {}

  void List(const std::string&, const store::OnResult<store::Listing>&) {}
  void Watch(const std::string&, uint64_t, Millis, const store::OnResult<store::Changes>&) {}

  void Commit(const store::Transaction& aTransaction,
              const store::OnResult<store::Position>& aOnResult) {
    Call<store::Position>(
      [this, aTransaction]() -> store::Result<store::Position> {
        const auto& write = aTransaction.m_writes.front();
        if (m_store.m_ended.contains(write.m_lease) ||
            m_store.m_expiry[write.m_lease] <= m_world.m_now) {
          return tl::unexpected(store::Fault::NoLease);
        }
        if (m_store.m_item) {
          return tl::unexpected(store::Fault::Conflict);
        }
        ++m_store.m_revision;
        m_store.m_item = { kKey, write.m_data, m_store.Now(), m_store.m_revision };
        m_store.m_lease = write.m_lease;
        return m_store.Now();
      },
      aOnResult);
  }
  void Grant(Millis aDuration, const store::OnResult<store::Lease>& aOnResult) {
    Call<store::Lease>(
      [this, aDuration]() -> store::Result<store::Lease> {
        m_store.m_expiry[++m_store.m_lastLease] = m_world.m_now + aDuration;
        return store::Lease{ m_store.m_lastLease, m_store.m_era };
      },
      aOnResult);
  }
  void Renew(store::LeaseId aLease, const store::OnResult<store::Renewal>& aOnResult) {
    Call<store::Renewal>(
      [this, aLease]() -> store::Result<store::Renewal> {
        if (m_store.m_ended.contains(aLease) || m_store.m_expiry[aLease] <= m_world.m_now) {
          return tl::unexpected(store::Fault::NoLease);
        }
        m_store.m_expiry[aLease] = m_world.m_now + kLease;
        return store::Renewal{ kLease, m_store.m_era };
      },
      aOnResult);
  }
  void EndLease(store::LeaseId aLease) {
    m_world.After(m_world.Draw(1, 50), [this, aLease] { m_store.m_ended.insert(aLease); });
  }
  uint64_t LatestEra() const { return m_latestEra; }

private:
  /// Delivers a call to the store, and its response to this incarnation of the process.
  template<class T>
  void Call(std::function<store::Result<T>()> aCall, store::OnResult<T> aOnResult) {
    const Millis delay = m_world.Chance(0.1) ? m_world.Draw(100, 1500) : m_world.Draw(1, 20);
    m_world.After(delay, [this, aCall, aOnResult, incarnation = m_host.m_incarnation] {
      m_store.RemoveExpired();
      store::Result<T> result = aCall();
      const uint64_t era = m_store.m_era;
      const bool lost = m_world.Chance(0.1);
      const Millis back = lost ? Millis(1500) : m_world.Draw(1, 20);
      const TimePoint at = std::max(m_world.m_now + back, m_host.m_pausedUntil);
      m_world.At(at, [this, aOnResult, result, lost, incarnation, era] {
        if (m_host.m_incarnation == incarnation) {
          m_latestEra = std::max(m_latestEra, lost ? 0 : era);
          aOnResult(lost ? tl::unexpected(store::Fault::Unknown) : result);
        }
      });
    });
  }

  World& m_world;
  SharedStore& m_store;
  Host& m_host;
  uint64_t m_latestEra = 0;
};

static_assert(store::StorePort<StoreConnection>);

/// Hosts that compete for leadership while they are paused, killed and stopped, and the leader
/// calls that the platform receives. The platform does not check the tokens.
class Competition {
public:
  struct Arrival {
    TimePoint m_at;
    std::string m_host;
    FencingToken m_token;
  };

  explicit Competition(uint64_t aSeed)
    : m_world(aSeed)
    , m_store(m_world) {
    for (int i = 0; i < 4; ++i) {
      auto& node = m_nodes.emplace_back(std::make_unique<Node>());
      node->m_host.m_name = "host-" + std::to_string(i);
      node->m_connection = std::make_unique<StoreConnection>(m_world, m_store, node->m_host);
      Start(*node);
      Tick(*node);
    }
    Disturb();
  }

  void Run(Millis aDuration) { m_world.RunUntil(m_world.m_now + aDuration); }
  const std::vector<Arrival>& Arrivals() const { return m_arrivals; }

private:
  using Election = LeaderElection<StoreConnection, WorldClock>;
  struct Node {
    Host m_host;
    std::unique_ptr<StoreConnection> m_connection;
    std::unique_ptr<sync::StoreReplica> m_replica;
    std::unique_ptr<Election> m_election;
  };

  void Start(Node& aNode) {
    ++aNode.m_host.m_incarnation;
    aNode.m_replica = std::make_unique<sync::StoreReplica>(
      [](const std::string&, const std::optional<store::Item>&, const store::Position&) {});
    aNode.m_election = std::make_unique<Election>(
      *aNode.m_connection,
      *aNode.m_replica,
      LeaderElectionSettings{ kKey,
                              aNode.m_host.m_name + "@" +
                                std::to_string(aNode.m_host.m_incarnation),
                              kLease,
                              kSafetyMargin },
      WorldClock{ &m_world });
  }

  void Tick(Node& aNode) {
    const TimePoint next = std::max(m_world.m_now + Millis(250), aNode.m_host.m_pausedUntil);
    m_world.At(next, [this, &aNode] { Tick(aNode); });
    if (m_world.m_now < aNode.m_host.m_pausedUntil || m_world.m_now < aNode.m_host.m_downUntil) {
      return;
    }
    m_store.RemoveExpired();
    const auto item = m_store.m_item;
    const store::Position position = m_store.Now();
    m_world.After(m_world.Draw(1, 300), [&aNode, item, position] {
      std::vector<store::Item> items;
      if (item) {
        items.push_back(*item);
      }
      aNode.m_replica->Replace("", items, position);
      aNode.m_replica->Advance(position);
    });
    aNode.m_election->Tick(true);
    if (const auto leadership = aNode.m_election->CurrentLeadership()) {
      Act(aNode, *leadership);
    }
  }

  /// Sends a leader call: its connection is established after a while, the bytes leave unless the
  /// leadership has ended by then, and bytes that have left are under way for less than the margin.
  void Act(Node& aNode, const Leadership& aLeadership) {
    const Millis connecting = m_world.Chance(0.1) ? m_world.Draw(200, 3000) : Millis(0);
    const int incarnation = aNode.m_host.m_incarnation;
    m_world.After(connecting, [this, &aNode, aLeadership, incarnation] {
      const TimePoint leaves = std::max(m_world.m_now, aNode.m_host.m_pausedUntil);
      m_world.At(leaves, [this, &aNode, aLeadership, incarnation] {
        if (aNode.m_host.m_incarnation == incarnation && m_world.m_now < aLeadership.m_validUntil) {
          m_world.After(m_world.Draw(1, kSafetyMargin.count() - 50), [this, &aNode, aLeadership] {
            m_arrivals.push_back({ m_world.m_now, aNode.m_host.m_name, aLeadership.m_token });
          });
        }
      });
    });
  }

  void Disturb() {
    m_world.After(m_world.Draw(200, 2500), [this] { Disturb(); });
    Node& node = *m_nodes[static_cast<size_t>(m_world.Draw(0, 3).count())];
    // Most disturbances meet the leader, as those of a bad day do.
    for (const auto& other : m_nodes) {
      if (other->m_election->IsLeader() && m_world.Chance(0.7)) {
        DisturbNode(*other);
        return;
      }
    }
    DisturbNode(node);
  }

  void DisturbNode(Node& aNode) {
    if (m_world.Chance(0.4)) {
      aNode.m_host.m_pausedUntil = m_world.m_now + m_world.Draw(200, 6000);
      return;
    }
    if (m_world.Chance(0.5)) {
      aNode.m_election->Resign();
      if (m_world.Chance(0.5)) {
        return;
      }
    }
    aNode.m_host.m_downUntil = m_world.m_now + m_world.Draw(100, 4000);
    Start(aNode);
  }

  World m_world;
  SharedStore m_store;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<Arrival> m_arrivals;
};

/// Returns whether a host acted, then another one, and then the first one again within a lease.
bool Alternates(const std::vector<Competition::Arrival>& aArrivals) {
  std::map<std::string, TimePoint> last;
  std::string previous;
  for (const auto& arrival : aArrivals) {
    const auto before = last.find(arrival.m_host);
    if (arrival.m_host != previous && before != last.end() &&
        arrival.m_at - before->second < kLease) {
      return true;
    }
    last[arrival.m_host] = arrival.m_at;
    previous = arrival.m_host;
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeadershipTest)

// The platform receives leader calls in the order of their tokens, each token from one host, and
// no host acts again within a lease of another one's call, although processes are paused, killed
// and stopped, answers of the store are lost, and connections are established late.
BOOST_AUTO_TEST_CASE(CallsOfLeadersDoNotOverlap) {
  size_t leaders = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Competition competition(seed);
      competition.Run(Millis(120000));
      FencingToken highest = 0;
      std::map<FencingToken, std::set<std::string>> hosts;
      bool inOrder = true;
      for (const auto& arrival : competition.Arrivals()) {
        inOrder = inOrder && arrival.m_token >= highest;
        highest = std::max(highest, arrival.m_token);
        hosts[arrival.m_token].insert(arrival.m_host);
      }
      BOOST_TEST(inOrder);
      BOOST_TEST(!Alternates(competition.Arrivals()));
      for (const auto& [token, names] : hosts) {
        BOOST_TEST(names.size() == 1U);
      }
      leaders += hosts.size();
    }
  }
  // The hosts do compete: far more than one leader a run.
  BOOST_TEST(leaders > 200U * 5U);
}

BOOST_AUTO_TEST_SUITE_END()
