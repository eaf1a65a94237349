#include "rollout/RolloutMachine.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

using namespace papayafield;
using namespace papayafield::rollout;

namespace {

constexpr int64_t kStartMs = 1000000;

/// The store and the leader, reduced to what the machine sees.
struct World {
  RolloutMachine m_machine{ ExposureBounds{} };
  RolloutInputs m_inputs;
  /// Record of the store at the moment of the last copy, and whether writes or answers are lost.
  std::optional<RolloutRecord> m_copy;
  bool m_isLeader = true;
  bool m_losesWrites = false;

  World() {
    m_inputs.m_order = RolloutOrder{ "v2", base::Millis(12000), { 0, 5 } };
    m_inputs.m_orderSeenMs = kStartMs;
    m_inputs.m_nowMs = kStartMs;
    m_inputs.m_hasCapacity = true;
    m_inputs.m_requestsPerSecond = 300;
    m_inputs.m_oldOpen = 1;
  }
  RolloutDecision Step(int64_t aMillis = 250) {
    m_inputs.m_nowMs += aMillis;
    m_inputs.m_requests +=
      static_cast<uint64_t>(m_inputs.m_requestsPerSecond * static_cast<double>(aMillis) / 1000);
    RolloutDecision decision;
    if (m_isLeader) {
      decision = m_machine.Decide(m_inputs);
      m_inputs.m_exposed = std::max(m_inputs.m_exposed, decision.m_limit);
      if (decision.m_write && !m_losesWrites) {
        m_inputs.m_record = decision.m_write;
      }
    }
    return decision;
  }
  void RunUntil(int64_t aMillisAfterStart) {
    while (m_inputs.m_nowMs < kStartMs + aMillisAfterStart) {
      Step();
    }
  }
  Phase CurrentPhase() const { return m_inputs.m_record->m_phase; }
  bool IsRejected(const std::string& aVersion) const {
    return m_inputs.m_record->m_rejected.contains(aVersion);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutMachineTest)

// A good version is completed before the deadline, and not before the ramp.
BOOST_AUTO_TEST_CASE(GoodVersionIsCompletedByTheDeadline) {
  for (const double rate : { 5.0, 100.0, 300.0, 1000.0, 5000.0 }) {
    World world;
    world.m_inputs.m_requestsPerSecond = rate;
    world.m_inputs.m_verdict = Verdict::Good;
    world.RunUntil(5000);
    BOOST_TEST((world.CurrentPhase() == Phase::Exposing || rate < 50));
    world.RunUntil(12000);
    BOOST_TEST((world.CurrentPhase() == Phase::Completed));
  }
}

// Guards against a completion that has no room for a delay: whenever the decisions fall, it is
// written at least 300 ms before the deadline, and calls are granted for the ramp before it.
BOOST_AUTO_TEST_CASE(CompletionHasTimeToSpare) {
  constexpr int64_t kMinSpareMs = 300;
  for (const double rate : { 30.0, 100.0, 300.0, 1000.0, 5000.0 }) {
    int64_t least = 12000;
    int64_t shortestRamp = 12000;
    for (int64_t offset = 0; offset < 250; offset += 10) {
      World world;
      world.m_inputs.m_requestsPerSecond = rate;
      world.m_inputs.m_verdict = Verdict::Good;
      world.m_inputs.m_nowMs = kStartMs + offset;
      int64_t rampedAt = 0;
      uint64_t before = 0;
      while (!world.m_inputs.m_record || world.CurrentPhase() != Phase::Completed) {
        const uint64_t limit = world.Step().m_limit;
        if (rampedAt == 0 && world.CurrentPhase() == Phase::Ramping) {
          rampedAt = world.m_inputs.m_nowMs;
          BOOST_TEST(limit >= before);
        }
        before = limit;
        BOOST_REQUIRE(world.m_inputs.m_nowMs < kStartMs + 12000);
      }
      least = std::min(least, kStartMs + 12000 - world.m_inputs.m_nowMs);
      shortestRamp = std::min(shortestRamp, world.m_inputs.m_nowMs - rampedAt);
    }
    BOOST_TEST_MESSAGE("| " << rate << " | " << shortestRamp << " | " << least << " |");
    BOOST_TEST(least >= kMinSpareMs);
    BOOST_TEST(shortestRamp >= 250);
  }
}

// Guards against missing the deadline on a busy machine: a decision that is up to 500 ms late
// completes in time, without a ramp if there is no time for one.
BOOST_AUTO_TEST_CASE(DelayedDecisionMeetsTheDeadline) {
  for (const double rate : { 30.0, 100.0, 300.0, 5000.0 }) {
    for (int64_t offset = 0; offset < 250; offset += 10) {
      World world;
      world.m_inputs.m_requestsPerSecond = rate;
      world.m_inputs.m_verdict = Verdict::Good;
      world.m_inputs.m_nowMs = kStartMs + offset;
      // The last decision before the ramp.
      while (!world.m_inputs.m_record ||
             world.m_machine.RampStartMs(*world.m_inputs.m_record, world.m_inputs) >=
               world.m_inputs.m_nowMs + 500) {
        world.Step();
      }
      world.Step(750);
      if (world.CurrentPhase() != Phase::Completed) {
        world.Step();
      }
      BOOST_TEST((world.CurrentPhase() == Phase::Completed));
      BOOST_TEST(world.m_inputs.m_nowMs < kStartMs + 12000);
    }
  }
}

// The first interval of the ramp gets part of the calls, and those are granted with the decision.
BOOST_AUTO_TEST_CASE(RampBeginsWithTheDecision) {
  int withGrants = 0;
  constexpr int kOffsets = 25;
  for (int64_t i = 0; i < kOffsets; ++i) {
    World world;
    world.m_inputs.m_verdict = Verdict::Good;
    world.m_inputs.m_nowMs = kStartMs + 10 * i;
    uint64_t limit = 0;
    uint64_t before = 0;
    while (!world.m_inputs.m_record || world.CurrentPhase() != Phase::Ramping) {
      before = limit;
      limit = world.Step().m_limit;
    }
    // Up to 75 calls arrive in an interval, of which exposing would grant 3.
    withGrants += limit > before + 3 ? 1 : 0;
    BOOST_TEST(limit <= before + 75);
  }
  BOOST_TEST(withGrants >= kOffsets * 3 / 4);
}

// The earliest ramp leaves room for all calls up to the deadline.
BOOST_AUTO_TEST_CASE(RampKeepsWithinTheBound) {
  World world;
  world.RunUntil(10000);
  const int64_t start = world.m_machine.RampStartMs(*world.m_inputs.m_record, world.m_inputs);
  const double ramped = static_cast<double>(kStartMs + 12000 - start) / 1000 * 300;
  BOOST_TEST(ramped + static_cast<double>(world.m_inputs.m_exposed) <= 0.1 * 12 * 300 + 50);
  BOOST_TEST(ramped >= 150);
}

// A bad version is reverted at once in each phase, also after the deadline, and gets no more
// grants.
BOOST_AUTO_TEST_CASE(BadVersionIsReverted) {
  for (int64_t found = 250; found <= 13000; found += 250) {
    World world;
    world.m_inputs.m_verdict = Verdict::Undecided;
    world.RunUntil(found);
    world.m_inputs.m_verdict = Verdict::Bad;
    BOOST_TEST(world.Step().m_limit == 0U);
    BOOST_TEST((world.CurrentPhase() == Phase::Reverted));
    world.m_inputs.m_verdict = Verdict::Good;
    world.RunUntil(30000);
    BOOST_TEST((world.CurrentPhase() == Phase::Reverted));
    BOOST_TEST(world.IsRejected("v2"));
  }
}

// Without evidence or without endpoints the version is not completed.
BOOST_AUTO_TEST_CASE(UnprovenVersionIsReverted) {
  for (const bool evidence : { false, true }) {
    World world;
    world.m_inputs.m_verdict = evidence ? Verdict::Good : Verdict::Undecided;
    world.m_inputs.m_hasCapacity = !evidence;
    world.RunUntil(16000);
    BOOST_TEST((world.CurrentPhase() == Phase::Reverted));
  }
}

// Every order of up to three events at different times: the roll-out ends, a version that was found
// bad is never completed, and one that was reverted is not used again.
BOOST_AUTO_TEST_CASE(AllOrdersOfEvents) {
  using Event = std::function<void(World&)>;
  /// Target that was found bad before it was completed; empty if there is none.
  std::string badTarget;
  const std::vector<Event> events = {
    [](World& aWorld) { aWorld.m_isLeader = false; },
    [](World& aWorld) { aWorld.m_isLeader = true; },
    [](World& aWorld) { aWorld.m_losesWrites = true; },
    [](World& aWorld) { aWorld.m_losesWrites = false; },
    [](World& aWorld) { aWorld.m_copy = aWorld.m_inputs.m_record; },
    [](World& aWorld) {
      // The store returns as it was; this node remembers what it has seen.
      aWorld.m_inputs.m_remembered = aWorld.m_inputs.m_record;
      aWorld.m_inputs.m_record = aWorld.m_copy;
      if (aWorld.m_inputs.m_order) {
        ++aWorld.m_inputs.m_order->m_position.m_era;
      }
    },
    [](World& aWorld) { aWorld.m_inputs.m_order.reset(); },
    [](World& aWorld) {
      aWorld.m_inputs.m_order = RolloutOrder{ "v3", base::Millis(12000), { 9, 9 } };
      aWorld.m_inputs.m_orderSeenMs = aWorld.m_inputs.m_nowMs;
      aWorld.m_inputs.m_verdict = Verdict::Good;
      aWorld.m_inputs.m_requests = 0;
      aWorld.m_inputs.m_exposed = 0;
    },
    [&](World& aWorld) {
      const auto& record = aWorld.m_inputs.m_record;
      const auto& order = aWorld.m_inputs.m_order;
      const bool isCompleted = record && order && record->m_phase == Phase::Completed &&
                               record->m_target == order->m_target;
      badTarget = order && !isCompleted ? order->m_target : std::string();
      aWorld.m_inputs.m_verdict = Verdict::Bad;
    },
  };
  const auto count = static_cast<int>(events.size());
  for (const int64_t first : { 250, 2000, 11250, 11750 }) {
    for (const int64_t gap : { 250, 500, 4000 }) {
      for (int code = 0; code < count * count * count; ++code) {
        World world;
        badTarget.clear();
        world.m_inputs.m_verdict = Verdict::Good;
        std::optional<RolloutRecord> reverted;
        int64_t at = first;
        for (int rest = code, i = 0; i < 3; ++i, rest /= count) {
          world.RunUntil(at);
          events[static_cast<size_t>(rest % count)](world);
          at += gap;
        }
        world.RunUntil(at);
        // In the end there is a leader whose writes arrive.
        world.m_isLeader = true;
        world.m_losesWrites = false;
        for (int i = 0; i < 120; ++i) {
          const auto before = world.m_inputs.m_record;
          world.Step();
          const auto& now = world.m_inputs.m_record;
          // Guards against completing a version that was found bad before.
          if (now && !badTarget.empty() && now->m_target == badTarget && before &&
              before->m_phase != Phase::Completed) {
            BOOST_REQUIRE((now->m_phase != Phase::Completed));
          }
          if (before && !IsRunning(before->m_phase) && world.m_inputs.m_record &&
              before->m_order == world.m_inputs.m_record->m_order) {
            BOOST_REQUIRE((before->m_phase == world.m_inputs.m_record->m_phase));
          }
        }
        const auto& record = world.m_inputs.m_record;
        if (record) {
          BOOST_REQUIRE(!IsRunning(record->m_phase));
          if (world.m_inputs.m_order) {
            BOOST_REQUIRE(record->m_target == world.m_inputs.m_order->m_target);
          }
        } else {
          BOOST_REQUIRE(!world.m_inputs.m_order);
        }
      }
    }
  }
}

// A new order ends the roll-out of the one before; its version stays out until it is ordered again.
BOOST_AUTO_TEST_CASE(ChangedOrderRejectsTheFirstVersion) {
  World world;
  world.RunUntil(3000);
  world.m_inputs.m_order = RolloutOrder{ "v3", base::Millis(12000), { 0, 9 } };
  world.m_inputs.m_orderSeenMs = world.m_inputs.m_nowMs;
  world.Step();
  BOOST_TEST(world.m_inputs.m_record->m_target == "v3");
  BOOST_TEST(world.IsRejected("v2"));
  world.m_inputs.m_order = RolloutOrder{ "v2", base::Millis(12000), { 0, 12 } };
  world.Step();
  BOOST_TEST(!world.IsRejected("v2"));
  BOOST_TEST(world.IsRejected("v3"));
}

// An order that was reverted before a restore of the store is not begun again by it.
BOOST_AUTO_TEST_CASE(RestoredStoreDoesNotRepeatARollout) {
  World world;
  world.RunUntil(2000);
  const auto copy = world.m_inputs.m_record;
  world.m_inputs.m_verdict = Verdict::Bad;
  world.Step();
  world.m_inputs.m_remembered = world.m_inputs.m_record;
  world.m_inputs.m_record = copy;
  world.m_inputs.m_order->m_position = { 1, 5 };
  world.m_inputs.m_verdict = Verdict::Good;
  BOOST_TEST(world.Step().m_limit == 0U);
  BOOST_TEST((world.CurrentPhase() == Phase::Reverted));
}

// What may be granted never exceeds what the store has a reservation for.
BOOST_AUTO_TEST_CASE(GrantsStayBelowTheReservation) {
  World world;
  world.m_inputs.m_verdict = Verdict::Good;
  for (int i = 0; i < 60; ++i) {
    const auto before = world.m_inputs.m_record;
    const RolloutDecision decision = world.Step();
    BOOST_TEST(decision.m_limit <= (before ? before->m_reserved : 0U));
  }
}

BOOST_AUTO_TEST_SUITE_END()
