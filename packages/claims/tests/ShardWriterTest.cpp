#include "claims/ShardWriter.h"
#include "claims/ClaimClient.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>

using namespace papayafield;
using namespace papayafield::claims;

namespace {

/// An in-memory key-value store with random faults.
class FakeStore {
public:
  explicit FakeStore(uint64_t aSeed)
    : m_random(aSeed) {}

  StoreResult Execute(const StoreAction& aAction, int aFaultPercent) {
    const bool fault = static_cast<int>(m_random() % 100) < aFaultPercent;
    if (fault && m_random() % 2 == 0) {
      return { StoreOutcome::Unavailable, "", 0 };
    }
    auto& [version, value] = m_values[aAction.m_name];
    if (aAction.m_kind == StoreAction::Kind::Read) {
      return fault ? StoreResult{} : StoreResult{ StoreOutcome::Done, value, version };
    }
    if (aAction.m_kind == StoreAction::Kind::Remove) {
      m_values.erase(aAction.m_name);
      return { StoreOutcome::Done, "", 0 };
    }
    if (version != aAction.m_expected) {
      return { StoreOutcome::Conflict, "", 0 };
    }
    ++m_writes;
    version = ++m_lastVersion;
    value = aAction.m_value;
    m_largest = std::max(m_largest, value.size());
    // The write took effect, but its response can be lost.
    return fault ? StoreResult{ StoreOutcome::Ambiguous, "", 0 }
                 : StoreResult{ StoreOutcome::Done, "", version };
  }

  uint64_t WriteCount() const { return m_writes; }
  size_t LargestValueBytes() const { return m_largest; }
  size_t KeyCount() const { return m_values.size(); }

private:
  std::mt19937_64 m_random;
  std::map<std::string, std::pair<uint64_t, std::string>> m_values;
  uint64_t m_lastVersion = 0;
  uint64_t m_writes = 0;
  size_t m_largest = 0;
};

/// A process with its claim client and a writer of the shard, which is used whether or not the
/// process is the home of the shard.
struct Process {
  explicit Process(const std::string& aName, ShardWriterSettings aSettings = {})
    : m_client(base::IncarnationId(aName))
    , m_writer("shard", aSettings) {}

  ClaimClient m_client;
  ShardWriter m_writer;
};

/// Runs a writer until it has no more actions, but at most 100 of them.
void RunWriter(ShardWriter& aWriter,
               FakeStore& aStore,
               base::TimePoint aNow,
               int64_t aWallSeconds,
               int aFaultPercent) {
  for (int step = 0; step < 100; ++step) {
    const auto action = aWriter.NextAction(aNow, aWallSeconds);
    if (!action) {
      return;
    }
    aWriter.OnResult(aStore.Execute(*action, aFaultPercent));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShardWriterTest)

BOOST_AUTO_TEST_CASE(OneKeyIsGrantedOnce) {
  FakeStore store(1);
  Process first("first");
  Process second("second");
  const base::TimePoint now = base::TimePoint{} + base::Millis(100000);
  for (Process* process : { &first, &second }) {
    process->m_writer.QueueOrder(process->m_client.MakeOrder("order-1"), now);
    RunWriter(process->m_writer, store, now + base::Millis(10), 1000, 0);
  }
  const auto granted = first.m_writer.TakeReplies();
  const auto held = second.m_writer.TakeReplies();
  BOOST_REQUIRE(granted.size() == 1U);
  BOOST_REQUIRE(held.size() == 1U);
  BOOST_TEST((first.m_client.Interpret(granted[0]).m_outcome == ClaimOutcome::Granted));
  const ClaimResult result = second.m_client.Interpret(held[0]);
  BOOST_TEST((result.m_outcome == ClaimOutcome::HeldElsewhere));
  BOOST_TEST(result.m_holder.Text() == "first");
}

BOOST_AUTO_TEST_CASE(ManyOrdersShareOneWrite) {
  FakeStore store(1);
  Process process("p");
  const base::TimePoint now = base::TimePoint{} + base::Millis(100000);
  for (int i = 0; i < 200; ++i) {
    process.m_writer.QueueOrder(process.m_client.MakeOrder("order-" + std::to_string(i)), now);
  }
  RunWriter(process.m_writer, store, now + base::Millis(10), 1000, 0);
  BOOST_TEST(process.m_writer.TakeReplies().size() == 200U);
  BOOST_TEST(store.WriteCount() == 1U);
}

// A claim that its owner abandoned before the confirmation may run later, but only once.
BOOST_AUTO_TEST_CASE(AbandonedClaimMayRunLaterOnce) {
  ClaimClient client(base::IncarnationId("p"));
  const ClaimOrder lost = client.MakeOrder("k");
  client.AbandonClaim(lost);
  const ClaimReply reply{ client.MakeOrder("k"),
                          ClaimState::Held,
                          { "k", base::IncarnationId("p"), lost.m_number, false, 0 } };
  BOOST_TEST((client.Interpret(reply).m_outcome == ClaimOutcome::Granted));
  BOOST_TEST((client.Interpret(reply).m_outcome == ClaimOutcome::HeldHere));
}

// A claim that ran stays held, even if a later order for the same key is abandoned.
BOOST_AUTO_TEST_CASE(AbandoningALaterOrderDoesNotFreeAnEarlierRun) {
  ClaimClient client(base::IncarnationId("p"));
  const ClaimOrder ran = client.MakeOrder("k");
  client.AbandonClaim(client.MakeOrder("k"));
  const ClaimReply reply{ client.MakeOrder("k"),
                          ClaimState::Held,
                          { "k", base::IncarnationId("p"), ran.m_number, false, 0 } };
  BOOST_TEST((client.Interpret(reply).m_outcome == ClaimOutcome::HeldHere));
}

// Stored values stay small: a large head is sealed, and a segment is removed when all its claims
// have expired.
BOOST_AUTO_TEST_CASE(SizeIsBoundedBySealingAndExpiry) {
  FakeStore store(1);
  ShardWriterSettings settings;
  settings.m_maxHeadBytes = 4096;
  settings.m_retentionSeconds = 100;
  Process process("p", settings);
  base::TimePoint now = base::TimePoint{} + base::Millis(100000);
  size_t maxKeys = 0;
  for (int second = 0; second < 1000; ++second) {
    for (int i = 0; i < 10; ++i) {
      const std::string key = std::to_string(second) + "-" + std::to_string(i);
      process.m_writer.QueueOrder(process.m_client.MakeOrder(key), now);
    }
    now += base::Millis(1000);
    RunWriter(process.m_writer, store, now, 100000 + second, 0);
    for (const ClaimReply& reply : process.m_writer.TakeReplies()) {
      BOOST_REQUIRE((reply.m_state == ClaimState::Granted));
    }
    maxKeys = std::max(maxKeys, store.KeyCount());
  }
  // A retention of 100 s and a clock tolerance of 60 s at 10 claims per second give 1600 claims of
  // about 30 bytes.
  BOOST_TEST(store.LargestValueBytes() < 2 * settings.m_maxHeadBytes);
  BOOST_TEST(maxKeys < 30U);
}

// A writer that starts later finds the claims that were sealed before.
BOOST_AUTO_TEST_CASE(LaterWriterFindsSealedClaims) {
  FakeStore store(1);
  ShardWriterSettings settings;
  settings.m_maxHeadBytes = 512;
  Process first("first", settings);
  base::TimePoint now = base::TimePoint{} + base::Millis(100000);
  for (int i = 0; i < 100; ++i) {
    first.m_writer.QueueOrder(first.m_client.MakeOrder("key-" + std::to_string(i)), now);
    now += base::Millis(20);
    RunWriter(first.m_writer, store, now, 1000, 0);
  }
  BOOST_TEST(first.m_writer.TakeReplies().size() == 100U);
  Process second("second", settings);
  for (int i = 0; i < 100; ++i) {
    second.m_writer.QueueOrder(second.m_client.MakeOrder("key-" + std::to_string(i)), now);
  }
  RunWriter(second.m_writer, store, now + base::Millis(20), 1000, 0);
  const auto replies = second.m_writer.TakeReplies();
  BOOST_REQUIRE(replies.size() == 100U);
  for (const ClaimReply& reply : replies) {
    BOOST_TEST((reply.m_state == ClaimState::Held));
  }
}

// Processes race for keys on a store that rejects calls and loses responses. Each key is granted at
// most once, to one process, and a key can be claimed again after an unavailable result.
BOOST_AUTO_TEST_CASE(NoKeyIsGrantedTwiceUnderFaults) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    FakeStore store(seed);
    std::vector<Process> processes;
    processes.reserve(3);
    ShardWriterSettings settings;
    settings.m_maxHeadBytes = 512;
    for (int i = 0; i < 3; ++i) {
      processes.emplace_back("p" + std::to_string(i), settings);
    }
    std::map<std::string, int> granted;
    base::TimePoint now = base::TimePoint{} + base::Millis(100000);
    for (int round = 0; round < 60; ++round) {
      // A random process claims a random key through a random writer, as if the shard had several
      // homes at once.
      Process& claimant = processes[random() % processes.size()];
      Process& home = processes[random() % processes.size()];
      const std::string key = "k" + std::to_string(random() % 12);
      home.m_writer.QueueOrder(claimant.m_client.MakeOrder(key), now);
      now += base::Millis(20);
      for (Process& process : processes) {
        // The writers are interleaved between their actions.
        for (uint64_t steps = random() % 5; steps > 0; --steps) {
          if (const auto action = process.m_writer.NextAction(now, 1000)) {
            process.m_writer.OnResult(store.Execute(*action, 25));
          }
        }
        for (const ClaimReply& reply : process.m_writer.TakeReplies()) {
          for (Process& owner : processes) {
            if ("p" + std::to_string(&owner - processes.data()) == reply.m_order.m_owner.Text() &&
                owner.m_client.Interpret(reply).m_outcome == ClaimOutcome::Granted) {
              ++granted[reply.m_order.m_key];
            }
          }
        }
      }
    }
    for (const auto& [key, count] : granted) {
      BOOST_TEST(count == 1,
                 "seed " << seed << ": " << key << " was granted " << count << " times");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
