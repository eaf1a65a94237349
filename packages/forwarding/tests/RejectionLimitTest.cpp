#include "forwarding/RejectionLimit.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

using namespace papayafield;
using namespace papayafield::forwarding;
using base::Millis;

namespace {

const fleet::ServiceId kService("engines");
constexpr base::TimePoint kStart{ std::chrono::hours(1) };
/// Longer than the window in which rejections are counted.
constexpr Millis kAfterWindow{ 1300 };

fleet::Endpoint MakeEndpoint(const std::string& aId, int aSlots) {
  fleet::Endpoint endpoint;
  endpoint.m_incarnation = { base::EndpointId(aId), 1 };
  endpoint.m_service = kService;
  endpoint.m_slots = aSlots;
  return endpoint;
}

RejectionLimit MakeLimit(size_t aNodes, uint64_t aSeed = 1) {
  RejectionLimit limit({}, aSeed);
  limit.SetNodeCount(aNodes);
  return limit;
}

/// Sends calls to a full endpoint while they are admitted, at most `aMax`, and returns their
/// number.
size_t SendToFullEndpoint(RejectionLimit& aLimit,
                          const fleet::Endpoint& aEndpoint,
                          size_t aMax,
                          base::TimePoint aNow) {
  size_t sent = 0;
  const double slots = aEndpoint.m_slots;
  while (sent < aMax) {
    const OpenCalls open{ slots + static_cast<double>(sent), slots + static_cast<double>(sent) };
    if (!aLimit.Admits(aEndpoint, open, aNow)) {
      break;
    }
    aLimit.RecordSent(aEndpoint, open, aNow);
    ++sent;
  }
  return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RejectionLimitTest)

BOOST_AUTO_TEST_CASE(NothingIsLimitedWithoutATolerance) {
  RejectionLimit limit = MakeLimit(3);
  const fleet::Endpoint endpoint = MakeEndpoint("i-1", 4);
  BOOST_TEST(!limit.Holds(kService, kStart));
  BOOST_TEST(SendToFullEndpoint(limit, endpoint, 100, kStart) == 100U);
  BOOST_TEST(std::isinf(limit.RecordRejection(endpoint, 50, kStart)));
  BOOST_TEST(SendToFullEndpoint(limit, endpoint, 100, kStart) == 100U);
}

BOOST_AUTO_TEST_CASE(FullEndpointGetsTheShareOfTheNode) {
  const fleet::Endpoint endpoint = MakeEndpoint("i-1", 4);
  struct Row {
    int m_tolerance;
    size_t m_nodes;
    size_t m_sent;
  };
  for (const Row& row : { Row{ 10, 1, 5 }, { 12, 3, 2 }, { 6, 3, 1 }, { 0, 3, 0 }, { -5, 1, 0 } }) {
    RejectionLimit limit = MakeLimit(row.m_nodes);
    limit.SetTolerance(endpoint, row.m_tolerance, kStart);
    BOOST_TEST_CONTEXT(row.m_tolerance << " by " << row.m_nodes) {
      BOOST_TEST(SendToFullEndpoint(limit, endpoint, 100, kStart) == row.m_sent);
      BOOST_TEST(SendToFullEndpoint(limit, endpoint, 100, kStart + Millis(1000)) == 0U);
      BOOST_TEST(SendToFullEndpoint(limit, endpoint, 100, kStart + kAfterWindow) == row.m_sent);
    }
  }
}

// More nodes than tolerated rejections: each one has its turn, and few have it together.
BOOST_AUTO_TEST_CASE(NodesTakeTurns) {
  constexpr size_t kNodes = 40;
  constexpr int kSeconds = 300;
  const fleet::Endpoint endpoint = MakeEndpoint("i-1", 4);
  std::vector<RejectionLimit> nodes;
  for (size_t node = 0; node < kNodes; ++node) {
    nodes.push_back(MakeLimit(kNodes, node));
  }
  std::vector<size_t> sent(kNodes);
  for (int second = 0; second < kSeconds; ++second) {
    const base::TimePoint now = kStart + std::chrono::seconds(second);
    for (size_t node = 0; node < kNodes; ++node) {
      nodes[node].SetTolerance(endpoint, 8, now);
      const size_t count = SendToFullEndpoint(nodes[node], endpoint, 100, now);
      BOOST_TEST(count <= 1U);
      sent[node] += count;
    }
  }
  BOOST_TEST(*std::min_element(sent.begin(), sent.end()) > 0U);
}

BOOST_AUTO_TEST_CASE(RejectionReducesOpenCallsWhichGrowAgain) {
  RejectionLimit limit = MakeLimit(1);
  const fleet::Endpoint endpoint = MakeEndpoint("i-1", 0);
  limit.SetTolerance(endpoint, 0, kStart);
  BOOST_TEST(limit.Admits(endpoint, { 50, 50 }, kStart));
  const double allowed = limit.RecordRejection(endpoint, 11, kStart);
  BOOST_TEST(allowed == 5.0);
  BOOST_TEST(!limit.Admits(endpoint, { 0, 0 }, kStart + Millis(9000)));
  limit.SetTolerance(endpoint, 0, kStart + Millis(10001));
  BOOST_TEST(limit.Admits(endpoint, { 14, 14 }, kStart + Millis(10001)));
  BOOST_TEST(!limit.Admits(endpoint, { 16, 16 }, kStart + Millis(10001)));
}

// An endpoint that tolerates no rejection gets none of its slots used for 10 s after one.
BOOST_AUTO_TEST_CASE(FreeSlotsAreLeftUnusedAfterARejection) {
  RejectionLimit limit = MakeLimit(1);
  const fleet::Endpoint endpoint = MakeEndpoint("i-1", 20);
  limit.SetTolerance(endpoint, 0, kStart);
  limit.RecordRejection(endpoint, 11, kStart);
  BOOST_TEST(!limit.Admits(endpoint, { 0, 0 }, kStart + Millis(1000)));
  const base::TimePoint later = kStart + kAfterWindow;
  BOOST_TEST(limit.Admits(endpoint, { 0, 0 }, later));
  BOOST_TEST(limit.Admits(endpoint, { 5, 5 }, later));
  BOOST_TEST(!limit.Admits(endpoint, { 12, 12 }, later));
  BOOST_TEST(!limit.Admits(endpoint, { 0, 20 }, later));
}

BOOST_AUTO_TEST_CASE(RejectionsUseUpTheShare) {
  RejectionLimit limit = MakeLimit(3);
  const fleet::Endpoint endpoint = MakeEndpoint("i-1", 100);
  limit.SetTolerance(endpoint, 12, kStart);
  limit.RecordRejection(endpoint, 50, kStart);
  BOOST_TEST(limit.Admits(endpoint, { 5, 5 }, kStart));
  limit.RecordRejection(endpoint, 6, kStart);
  BOOST_TEST(!limit.Admits(endpoint, { 0, 0 }, kStart));
  BOOST_TEST(limit.Admits(endpoint, { 0, 0 }, kStart + kAfterWindow));
}

BOOST_AUTO_TEST_CASE(ToleranceHoldsForTheServiceUntilItLapses) {
  RejectionLimit limit = MakeLimit(1);
  const fleet::Endpoint first = MakeEndpoint("i-1", 4);
  const fleet::Endpoint second = MakeEndpoint("i-2", 4);
  fleet::Endpoint other = MakeEndpoint("i-3", 4);
  other.m_service = fleet::ServiceId("other");
  BOOST_TEST(limit.SetTolerance(first, 2, kStart));
  BOOST_TEST(!limit.SetTolerance(first, 2, kStart + Millis(1000)));
  BOOST_TEST(limit.SetTolerance(second, 3, kStart + Millis(1000)));
  BOOST_TEST(SendToFullEndpoint(limit, MakeEndpoint("i-4", 4), 100, kStart) == 1U);
  BOOST_TEST(SendToFullEndpoint(limit, other, 100, kStart) == 100U);
  const base::TimePoint end = kStart + Millis(16001);
  BOOST_TEST(!limit.Holds(kService, end));
  BOOST_TEST(SendToFullEndpoint(limit, first, 100, end) == 100U);
  limit.RemoveObsolete(end);
  BOOST_TEST(limit.SetTolerance(first, 2, end));
}

// Other nodes may again open as many calls as they had, before this node learns of it.
BOOST_AUTO_TEST_CASE(SlotsAreKeptFreeForEarlierCallsOfOtherNodes) {
  const fleet::Endpoint endpoint = MakeEndpoint("i-1", 30);
  RejectionLimit limit = MakeLimit(3);
  limit.SetTolerance(endpoint, 0, kStart);
  limit.RecordSent(endpoint, { 4, 20 }, kStart);
  const base::TimePoint later = kStart + kAfterWindow;
  BOOST_TEST(limit.Admits(endpoint, { 13, 13 }, later));
  BOOST_TEST(limit.Admits(endpoint, { 13, 20 }, later));
  BOOST_TEST(!limit.Admits(endpoint, { 14, 14 }, later));
  BOOST_TEST(!limit.Admits(endpoint, { 14, 21 }, later));
  const base::TimePoint afterPeakWindow = kStart + Millis(10001);
  BOOST_TEST(limit.Admits(endpoint, { 14, 14 }, afterPeakWindow));
  limit.RemoveObsolete(afterPeakWindow);
  BOOST_TEST(limit.Admits(endpoint, { 27, 27 }, afterPeakWindow));
  BOOST_TEST(!limit.Admits(endpoint, { 28, 28 }, afterPeakWindow));
}

// The tolerance of the service does not hold for an endpoint that states none any more.
BOOST_AUTO_TEST_CASE(EndedToleranceHoldsByThatOfTheService) {
  RejectionLimit limit = MakeLimit(1);
  const fleet::Endpoint first = MakeEndpoint("i-1", 4);
  const fleet::Endpoint second = MakeEndpoint("i-2", 4);
  BOOST_TEST(!limit.EndTolerance(first, kStart, kStart));
  limit.SetTolerance(first, 2, kStart);
  limit.SetTolerance(second, 2, kStart);
  const base::TimePoint later = kStart + Millis(100);
  BOOST_TEST(!limit.EndTolerance(first, kStart, later));
  BOOST_TEST(limit.EndTolerance(first, kStart + Millis(1), later));
  BOOST_TEST(!limit.EndTolerance(first, later + Millis(1), later + Millis(2)));
  BOOST_TEST(SendToFullEndpoint(limit, first, 100, later) == 100U);
  BOOST_TEST(SendToFullEndpoint(limit, second, 100, later) == 1U);
  limit.RemoveObsolete(later);
  BOOST_TEST(SendToFullEndpoint(limit, first, 100, later) == 100U);
  BOOST_TEST(limit.SetTolerance(first, 2, later + Millis(3)));
  BOOST_TEST(SendToFullEndpoint(limit, first, 100, later + Millis(3)) == 1U);
}

namespace {

/// Nodes that send more calls than one endpoint has room for, and learn of the calls of the others
/// a heartbeat late.
struct Scenario {
  size_t m_nodes;
  int m_tolerance;
  int m_slots;
  /// Calls that may wait, before and after the change.
  int m_queue;
  int m_shortQueue;
  /// Calls that arrive per second over all nodes, as a multiple of what the endpoint serves.
  double m_overload;
  bool m_isLimited;
};

struct SimulationResult {
  /// The most rejections in any second from 2 s after the first statement.
  size_t m_maxRejections = 0;
  size_t m_served = 0;
  size_t m_possible = 0;
};

constexpr int kStepMs = 5;
constexpr int kRoundTripMs = 10;
constexpr int kHeartbeatMs = 250;
constexpr int kCallMs = 400;
constexpr int kChangeMs = 2000;
constexpr int kDurationMs = 32000;

SimulationResult Simulate(const Scenario& aScenario, uint64_t aSeed) {
  struct Call {
    size_t m_node;
    int m_endMs;
    bool m_rejected;
  };
  std::mt19937_64 random(aSeed);
  const fleet::Endpoint endpoint = MakeEndpoint("i-1", aScenario.m_slots);
  std::vector<RejectionLimit> nodes;
  for (size_t node = 0; node < aScenario.m_nodes; ++node) {
    nodes.push_back(MakeLimit(aScenario.m_nodes, random()));
  }
  std::vector<double> own(aScenario.m_nodes);
  std::vector<double> reported(aScenario.m_nodes);
  std::vector<Call> answers;
  std::deque<Call> waiting;
  std::vector<Call> running;
  std::deque<int> rejections;
  SimulationResult result;
  const double perMs = aScenario.m_overload * aScenario.m_slots / kCallMs;
  std::uniform_int_distribution<int> durations(0, 2 * kCallMs);
  std::poisson_distribution<int> arrivals(perMs * kStepMs);
  for (int ms = 0; ms < kDurationMs; ms += kStepMs) {
    const base::TimePoint now = kStart + Millis(ms);
    const auto finish = [&](const Call& aCall) {
      nodes[aCall.m_node].SetTolerance(endpoint, aScenario.m_tolerance, now);
      if (aCall.m_rejected) {
        nodes[aCall.m_node].RecordRejection(endpoint, own[aCall.m_node], now);
      } else {
        ++result.m_served;
      }
      own[aCall.m_node] -= 1;
    };
    for (const Call& call : answers) {
      if (call.m_endMs <= ms) {
        finish(call);
      }
    }
    std::erase_if(answers, [&](const Call& aCall) { return aCall.m_endMs <= ms; });
    for (const Call& call : running) {
      if (call.m_endMs <= ms) {
        answers.push_back({ call.m_node, ms + kRoundTripMs, false });
      }
    }
    std::erase_if(running, [&](const Call& aCall) { return aCall.m_endMs <= ms; });
    while (!waiting.empty() && running.size() < static_cast<size_t>(aScenario.m_slots)) {
      Call call = waiting.front();
      waiting.pop_front();
      call.m_endMs = ms + durations(random);
      running.push_back(call);
    }
    // Nodes send their heartbeats at different times.
    for (size_t node = 0; node < aScenario.m_nodes; ++node) {
      if ((ms / kStepMs + static_cast<int>(node)) % (kHeartbeatMs / kStepMs) == 0) {
        reported[node] = own[node];
      }
    }
    for (int arrival = arrivals(random); arrival > 0; --arrival) {
      const size_t node = random() % aScenario.m_nodes;
      double total = own[node];
      for (size_t peer = 0; peer < aScenario.m_nodes; ++peer) {
        total += peer == node ? 0 : reported[peer];
      }
      const OpenCalls open{ own[node], total };
      if (aScenario.m_isLimited && !nodes[node].Admits(endpoint, open, now)) {
        continue;
      }
      nodes[node].RecordSent(endpoint, open, now);
      own[node] += 1;
      const int queue = ms < kChangeMs ? aScenario.m_queue : aScenario.m_shortQueue;
      if (running.size() >= static_cast<size_t>(aScenario.m_slots) &&
          waiting.size() >= static_cast<size_t>(queue)) {
        answers.push_back({ node, ms + kRoundTripMs, true });
        if (ms >= kChangeMs) {
          rejections.push_back(ms);
        }
      } else {
        waiting.push_back({ node, 0, false });
      }
    }
    while (!rejections.empty() && rejections.front() <= ms - 1000) {
      rejections.pop_front();
    }
    result.m_maxRejections = std::max(result.m_maxRejections, rejections.size());
  }
  result.m_possible = static_cast<size_t>(aScenario.m_slots) * kDurationMs / kCallMs;
  return result;
}

void CheckRejections(const Scenario& aScenario, uint64_t aSeed) {
  const SimulationResult result = Simulate(aScenario, aSeed);
  BOOST_TEST_CONTEXT(aScenario.m_nodes << " nodes, tolerance " << aScenario.m_tolerance << ", seed "
                                       << aSeed) {
    BOOST_TEST(result.m_maxRejections <= static_cast<size_t>(aScenario.m_tolerance));
    BOOST_TEST(result.m_served * 2 > result.m_possible);
    Scenario unlimited = aScenario;
    unlimited.m_isLimited = false;
    BOOST_TEST(Simulate(unlimited, aSeed).m_maxRejections >
               static_cast<size_t>(aScenario.m_tolerance));
  }
}

} // namespace

// An endpoint under several nodes' overload that lets fewer calls wait.
BOOST_AUTO_TEST_CASE(EndpointRejectsMoreThanItTolerates) {
  for (const Scenario& scenario : { Scenario{ 1, 3, 8, 8, 1, 2, true },
                                    Scenario{ 3, 3, 8, 8, 1, 2, true },
                                    Scenario{ 3, 10, 16, 16, 2, 3, true },
                                    Scenario{ 6, 3, 8, 8, 1, 2, true },
                                    Scenario{ 12, 5, 8, 8, 1, 3, true },
                                    Scenario{ 20, 10, 16, 8, 2, 2, true } }) {
    for (uint64_t seed = 1; seed <= 40; ++seed) {
      CheckRejections(scenario, seed);
    }
  }
}

// An endpoint that has become idle, since the nodes waited after rejections, is filled by all of
// them between two heartbeats.
BOOST_AUTO_TEST_CASE(IdleEndpointIsFilledByAllNodesAtOnce) {
  for (const uint64_t seed : { 609, 782 }) {
    CheckRejections({ 3, 3, 8, 8, 1, 2, true }, seed);
  }
  for (const uint64_t seed : { 257, 340, 377 }) {
    CheckRejections({ 12, 5, 8, 8, 1, 3, true }, seed);
  }
}

// Nodes whose calls would find a slot wait for 10 s after each rejection.
BOOST_AUTO_TEST_CASE(EndpointThatToleratesNoRejectionIsLeftIdle) {
  size_t served = 0;
  size_t possible = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const SimulationResult result = Simulate({ 3, 0, 64, 64, 1, 2, true }, seed);
    served += result.m_served;
    possible += result.m_possible;
  }
  BOOST_TEST(served * 100 > possible * 85);
}

BOOST_AUTO_TEST_SUITE_END()
