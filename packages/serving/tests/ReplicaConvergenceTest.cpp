#include "gossip/Update.h"
#include "serving/ReplicaCodec.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>

using namespace papayafield;
using namespace papayafield::serving;

namespace {

/// A store that can be restored from an earlier copy of its contents.
struct RestorableStore {
  struct Contents {
    std::map<std::string, store::Item> m_items;
    uint64_t m_revision = 1;
    /// Changes by revision.
    std::map<uint64_t, store::Change> m_history;
  };

  store::Position Now() const { return { m_era, m_contents.m_revision }; }

  void Write(const std::string& aKey, const std::string& aData) {
    const uint64_t revision = ++m_contents.m_revision;
    store::Item& item = m_contents.m_items[aKey];
    item = { aKey, aData, Now(), item.m_created == 0 ? revision : item.m_created };
    m_contents.m_history[revision] = { item, false };
  }
  void Remove(const std::string& aKey) {
    if (m_contents.m_items.erase(aKey) != 0) {
      ++m_contents.m_revision;
      m_contents.m_history[m_contents.m_revision] = { { aKey, {}, Now(), 0 }, true };
    }
  }
  store::Listing List(const std::string& aPrefix) const {
    store::Listing listing{ {}, Now() };
    for (const auto& [key, item] : m_contents.m_items) {
      if (key.starts_with(aPrefix)) {
        listing.m_items.push_back(item);
        listing.m_items.back().m_position.m_era = m_era;
      }
    }
    return listing;
  }
  std::vector<store::Change> ChangesAfter(uint64_t aRevision) const {
    std::vector<store::Change> changes;
    for (auto at = m_contents.m_history.upper_bound(aRevision); at != m_contents.m_history.end();
         ++at) {
      changes.push_back(at->second);
      changes.back().m_item.m_position.m_era = m_era;
    }
    return changes;
  }
  void Restore(const Contents& aCopy) {
    m_contents = aCopy;
    ++m_era;
  }

  Contents m_contents;
  uint64_t m_era = 1;
};

/// Nodes that keep replicas of the store. The first two list and watch it; all exchange snapshots
/// and updates. Messages take any time and overtake one another.
class ReplicaFleet {
public:
  explicit ReplicaFleet(uint64_t aSeed)
    : m_random(aSeed) {
    for (int i = 0; i < 5; ++i) {
      m_nodes.push_back(std::make_unique<Node>());
    }
    m_copies.push_back(m_store.m_contents);
  }

  void Step() {
    const size_t one = Draw(m_nodes.size());
    const size_t other = Draw(m_nodes.size());
    switch (Draw(10)) {
      case 0:
      case 1:
      case 2:
        Write();
        break;
      case 3:
        List(*m_nodes[Draw(kWatchers)]);
        break;
      case 4:
        Watch(*m_nodes[Draw(kWatchers)]);
        break;
      case 5:
        m_copies.push_back(m_store.m_contents);
        break;
      case 6:
        if (Draw(10) == 0) {
          m_store.Restore(m_copies[Draw(m_copies.size())]);
          ++m_restores;
        }
        break;
      case 7:
        Fetch(*m_nodes[one], *m_nodes[other]);
        break;
      default:
        Deliver();
    }
  }
  /// Delivers all messages, lists the store at one node, answers the watch of the other one, and
  /// lets the others fetch its contents.
  void Settle() {
    while (!m_messages.empty()) {
      Deliver();
    }
    List(*m_nodes[0], false);
    if (m_nodes[1]->m_watched.m_era == m_store.m_era) {
      Watch(*m_nodes[1]);
    }
    while (!m_messages.empty()) {
      Deliver();
    }
    for (const auto& node : m_nodes) {
      if (node->m_replica.LastPosition() < m_nodes[0]->m_replica.LastPosition()) {
        Fetch(*node, *m_nodes[0]);
      }
    }
    while (!m_messages.empty()) {
      Deliver();
    }
  }
  /// Returns whether the replica of each node has the contents of the store.
  bool HaveConverged() const {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [this](const auto& aNode) {
      const auto& items = aNode->m_replica.Items();
      return aNode->m_replica.LastPosition() == m_store.Now() && aNode->m_contents == Contents() &&
             std::equal(items.begin(),
                        items.end(),
                        m_store.m_contents.m_items.begin(),
                        m_store.m_contents.m_items.end(),
                        [](const auto& aOne, const auto& aOther) {
                          return aOne.first == aOther.first &&
                                 aOne.second.m_data == aOther.second.m_data;
                        });
    });
  }
  size_t Restores() const { return m_restores; }

private:
  static constexpr size_t kWatchers = 2;

  struct Node {
    /// What the changes that the replica reported add up to.
    std::map<std::string, std::string> m_contents;
    sync::StoreReplica m_replica{ [this](const std::string& aKey,
                                         const std::optional<store::Item>& aItem,
                                         const store::Position&) {
      if (aItem) {
        m_contents[aKey] = aItem->m_data;
      } else {
        m_contents.erase(aKey);
      }
    } };
    /// Position from which the node's watch continues.
    store::Position m_watched;
  };

  std::map<std::string, std::string> Contents() const {
    std::map<std::string, std::string> contents;
    for (const auto& [key, item] : m_store.m_contents.m_items) {
      contents[key] = item.m_data;
    }
    return contents;
  }
  size_t Draw(size_t aCount) {
    return std::uniform_int_distribution<size_t>(0, aCount - 1)(m_random);
  }

  void Write() {
    // Two draws in one expression would be made in either order, depending on the compiler.
    const std::string name = std::to_string(Draw(6));
    const std::string key = (Draw(2) == 0 ? "p/" : "q/") + name;
    if (Draw(3) == 0) {
      m_store.Remove(key);
    } else {
      m_store.Write(key, std::to_string(++m_writes));
    }
  }

  /// Lists both prefixes; the store may change in between (`aMayChange`).
  void List(Node& aNode, bool aMayChange = true) {
    const store::Listing first = m_store.List("p/");
    if (aMayChange && Draw(3) == 0) {
      Write();
    }
    const store::Listing second = m_store.List("q/");
    m_messages.emplace_back([&aNode, first, second] {
      if (first.m_position.m_era < aNode.m_replica.LastPosition().m_era) {
        return;
      }
      aNode.m_replica.Replace("p/", first.m_items, first.m_position);
      aNode.m_replica.Replace("q/", second.m_items, second.m_position);
      aNode.m_replica.Advance(first.m_position);
      aNode.m_watched = first.m_position;
    });
  }

  void Watch(Node& aNode) {
    if (aNode.m_watched.m_era != m_store.m_era) {
      List(aNode);
      return;
    }
    const store::Position after = aNode.m_watched;
    const auto changes = m_store.ChangesAfter(after.m_revision);
    m_messages.emplace_back([this, &aNode, after, changes] {
      if (aNode.m_watched != after || changes.empty()) {
        return;
      }
      const store::Position before = aNode.m_replica.LastPosition();
      for (const store::Change& change : changes) {
        aNode.m_replica.Apply(change);
      }
      aNode.m_watched = changes.back().m_item.m_position;
      if (before.m_era == aNode.m_watched.m_era) {
        Broadcast(aNode, before, changes);
      }
    });
  }

  void Broadcast(Node& aFrom,
                 const store::Position& aAfter,
                 const std::vector<store::Change>& aChanges) {
    for (const gossip::Update& update : gossip::SplitUpdate({}, aAfter, aChanges)) {
      for (const auto& node : m_nodes) {
        m_messages.emplace_back([this, &aFrom, &to = *node, update] {
          switch (gossip::ClassifyUpdate(update, to.m_replica.LastPosition())) {
            case gossip::UpdateAction::Ignore:
              break;
            case gossip::UpdateAction::Apply:
              to.m_replica.CatchUp(update.m_changes, false, update.m_position);
              break;
            case gossip::UpdateAction::Fetch:
              Fetch(to, aFrom);
              break;
          }
        });
      }
    }
  }

  void Fetch(Node& aTo, Node& aFrom) {
    const store::Position after = aTo.m_replica.LastPosition();
    const std::string bytes = EncodeReplica(aFrom.m_replica, after);
    m_messages.emplace_back([&aTo, bytes, after] {
      const auto snapshot = DecodeReplica(bytes);
      BOOST_REQUIRE(snapshot.has_value());
      aTo.m_replica.CatchUp(
        snapshot->m_changes, snapshot->m_complete, snapshot->m_position, after, snapshot->m_gap);
    });
  }

  void Deliver() {
    if (m_messages.empty()) {
      return;
    }
    std::swap(m_messages[Draw(m_messages.size())], m_messages.back());
    const auto message = std::move(m_messages.back());
    m_messages.pop_back();
    message();
  }

  std::mt19937_64 m_random;
  RestorableStore m_store;
  std::vector<RestorableStore::Contents> m_copies;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::function<void()>> m_messages;
  uint64_t m_writes = 0;
  size_t m_restores = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaConvergenceTest)

// All replicas end with the contents of the store, in whatever order listings, watches, snapshots
// and updates arrive, although the store is restored from older copies.
BOOST_AUTO_TEST_CASE(ReplicasConvergeOverRestores) {
  size_t restores = 0;
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      ReplicaFleet fleet(seed);
      for (int step = 0; step < 400; ++step) {
        fleet.Step();
        if (step % 100 == 99) {
          fleet.Settle();
          BOOST_TEST(fleet.HaveConverged());
        }
      }
      restores += fleet.Restores();
    }
  }
  BOOST_TEST(restores > 500U);
}

BOOST_AUTO_TEST_SUITE_END()
