#include "rollout/ExposureLedger.h"
#include "rollout/RolloutMachine.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <vector>

using namespace papayafield;
using namespace papayafield::rollout;

namespace {

constexpr base::Millis kTick{ 250 };

/// A simulated node that sends as much as it is granted.
struct SimulatedNode {
  int m_number = 0;
  int m_incarnation = 0;
  uint64_t m_requests = 0;
  uint64_t m_sent = 0;
  uint64_t m_granted = 0;
  base::TimePoint m_grantEnd{};

  std::string Key() const { return std::to_string(m_number) + '@' + std::to_string(m_incarnation); }
};

/// Runs roll-outs of a version that is never found bad, with lost heartbeats, restarted nodes and
/// changes of the leader, and returns the largest part of the bound that was used.
double LargestExposure(unsigned aSeed, size_t aNodes, double aCallsPerTick, double aFaults) {
  std::mt19937_64 random(aSeed);
  const auto chance = [&](double aProbability) {
    return std::bernoulli_distribution(aProbability)(random);
  };
  const ExposureBounds bounds;
  const RolloutMachine machine(bounds);
  base::TimePoint now{ std::chrono::hours(1) };
  int64_t nowMs = 1000000;
  // Decisions fall at any time after the order.
  const int64_t startMs = nowMs + static_cast<int64_t>(random() % kTick.count());
  const int64_t deadlineMs = startMs + 12000;
  std::vector<SimulatedNode> nodes(aNodes);
  for (size_t i = 0; i < aNodes; ++i) {
    nodes[i].m_number = static_cast<int>(i);
  }
  RolloutInputs inputs;
  inputs.m_order = RolloutOrder{ "v2", base::Millis(12000), { 0, 7 } };
  inputs.m_orderSeenMs = startMs;
  inputs.m_requestsPerSecond = aCallsPerTick * static_cast<double>(aNodes) * 4;
  inputs.m_verdict = Verdict::Good;
  inputs.m_hasCapacity = true;
  inputs.m_oldOpen = 1;
  std::unique_ptr<ExposureLedger> ledger;
  base::TimePoint leaderFrom = now;
  uint64_t sent = 0;
  uint64_t requests = 0;
  double largest = 0;
  while (nowMs < deadlineMs) {
    now += kTick;
    nowMs += kTick.count();
    // The part of the interval that is after the order and before its deadline.
    const int64_t span = std::min(nowMs, deadlineMs) - std::max(nowMs - kTick.count(), startMs);
    const double callsInSpan =
      aCallsPerTick * static_cast<double>(span) / static_cast<double>(kTick.count());
    if (chance(aFaults * 0.2)) {
      // The leader is lost, and another one follows after its lease has ended.
      ledger.reset();
      leaderFrom = now + base::Millis(3000);
    }
    if (ledger == nullptr && now >= leaderFrom) {
      const auto& record = inputs.m_record;
      ledger = std::make_unique<ExposureLedger>(
        record ? record->m_reserved : 0, record ? record->m_requests : 0, record.has_value(), now);
    }
    for (SimulatedNode& node : nodes) {
      std::poisson_distribution<uint64_t> calls(callsInSpan);
      const uint64_t arrived = calls(random);
      requests += arrived;
      node.m_requests += arrived;
      const bool completed = inputs.m_record && inputs.m_record->m_phase == Phase::Completed;
      for (uint64_t i = 0; i < arrived; ++i) {
        if (completed || (now < node.m_grantEnd && node.m_sent < node.m_granted)) {
          ++node.m_sent;
          ++sent;
        }
      }
      if (chance(aFaults * 0.02)) {
        node = { node.m_number, node.m_incarnation + 1, 0, 0, 0, {} };
      }
      if (ledger != nullptr && !chance(aFaults)) {
        ledger->Report(node.Key(), node.m_requests, node.m_sent, now);
      }
    }
    if (ledger != nullptr) {
      inputs.m_nowMs = nowMs;
      inputs.m_requests = ledger->Requests();
      inputs.m_exposed = ledger->Exposed();
      const RolloutDecision decision = machine.Decide(inputs);
      const auto grants = ledger->Grant(decision.m_limit, now);
      for (SimulatedNode& node : nodes) {
        const auto grant = grants.find(node.Key());
        if (grant != grants.end() && !chance(aFaults)) {
          node.m_granted = std::max(node.m_granted, grant->second);
          node.m_grantEnd = now + kGrantLifetime;
        }
      }
      if (decision.m_write && !chance(aFaults)) {
        inputs.m_record = decision.m_write;
      }
    }
  }
  const double bound = bounds.m_share * static_cast<double>(requests) + bounds.m_slack;
  largest = std::max(largest, static_cast<double>(sent) / bound);
  return largest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ExposureLedgerTest)

// A version that is not found bad stays within 0.95 of the bound up to the deadline, also when it
// has been completed just before it: requests can reach the service later than they are counted.
BOOST_AUTO_TEST_CASE(ExposureStaysBelowTheBound) {
  for (const double faults : { 0.0, 0.1, 0.4 }) {
    for (const double calls : { 0.3, 2.5, 12.0 }) {
      for (const size_t nodes : { 3U, 10U, 40U }) {
        double largest = 0;
        for (unsigned seed = 1; seed <= 300; ++seed) {
          largest = std::max(largest, LargestExposure(seed, nodes, calls, faults));
        }
        BOOST_TEST_MESSAGE("faults " << faults << ", nodes " << nodes << ", calls per tick "
                                     << calls << ": " << largest << " of the bound");
        BOOST_TEST(largest <= 0.95);
      }
    }
  }
}

// Calls that a node was granted count even if it is never heard of again, and the grants of its
// next incarnation are new ones.
BOOST_AUTO_TEST_CASE(LostGrantsStayCounted) {
  base::TimePoint now{ std::chrono::hours(1) };
  ExposureLedger ledger(0, 0, false, now);
  ledger.Report("a@1", 100, 0, now);
  BOOST_TEST(ledger.Grant(10, now).at("a@1") == 10U);
  ledger.Report("a@2", 100, 0, now);
  BOOST_TEST(ledger.Grant(10, now).at("a@2") == 0U);
  BOOST_TEST(ledger.Exposed() == 10U);
}

// A new leader grants nothing while grants of the old one may be in use, and counts what was
// reserved as sent.
BOOST_AUTO_TEST_CASE(NewLeaderWaitsForEarlierGrants) {
  base::TimePoint now{ std::chrono::hours(1) };
  ExposureLedger ledger(30, 500, true, now);
  ledger.Report("a@1", 100, 12, now);
  BOOST_TEST(ledger.Grant(100, now).empty());
  now += kGrantLifetime;
  ledger.Report("a@1", 100, 20, now);
  BOOST_TEST(ledger.Grant(100, now).empty());
  now += base::Millis(500);
  BOOST_TEST(ledger.Exposed() == 30U);
  BOOST_TEST(ledger.Requests() == 500U);
  ledger.Report("a@1", 200, 20, now);
  BOOST_TEST(ledger.Grant(35, now).at("a@1") == 25U);
  BOOST_TEST(ledger.Exposed() == 35U);
}

BOOST_AUTO_TEST_SUITE_END()
