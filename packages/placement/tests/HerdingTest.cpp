#include "placement/Placement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iomanip>
#include <queue>
#include <random>
#include <sstream>

// Simulates nodes that choose among the same endpoints by loads of their peers that are a heartbeat
// old, without a network or a real clock (docs/design/herding.md). Loads are those of
// docs/design/heavy-load-decisions.md; where that page is silent: the prompts and output lengths
// of scheduling/tests/ReplayTest.cpp, and calls 2.5 times as often for 500 ms every 2 s. Engines
// read one prompt at a time, and reading does not delay the steps of running calls.

using namespace papayafield;
using namespace papayafield::placement;

namespace {

const fleet::ServiceId kService("service");
constexpr double kBurstFactor = 2.5;
constexpr double kBurstPeriodMs = 2000;
constexpr double kBurstMs = 500;
constexpr double kSampleMs = 10;
constexpr double kOutputTokens = 100;
/// Speeds of endpoints relative to their mean.
constexpr std::array<double, 5> kSpeeds = { 1.0, 0.6, 1.4, 0.8, 1.2 };
constexpr std::array<double, 3> kPlainSpeeds = { 1.0, 0.6, 1.6 };

enum class Method {
  /// The shortest expected delay, as in fleets of up to 16 nodes.
  Shortest,
  /// The shorter delay of two endpoints that are drawn with equal weights.
  TwoChoices,
  /// One draw with weights of the inverse of the expected delay.
  WeightedDraw,
  /// The shortest delay, where the peers' loads move towards the mean load as they age.
  AgedLoads,
  /// `Placement` with the number of nodes: two draws weighted by speed.
  Rule,
};

constexpr std::array<std::pair<Method, const char*>, 5> kMethods = { {
  { Method::Shortest, "shortest" },
  { Method::TwoChoices, "two_choices" },
  { Method::WeightedDraw, "weighted" },
  { Method::AgedLoads, "aged" },
  { Method::Rule, "rule" },
} };

struct Kind {
  double m_perSecond = 0;
  double m_targetMs = 0;
  double m_tokens = 0;
  double m_outputTokens = 0;
};

struct Scenario {
  const char* m_name;
  std::vector<Kind> m_kinds;
  size_t m_endpoints;
  int m_slots;
  /// Duration of a plain call, or of a decoding step of an engine, in milliseconds.
  double m_timeMs;
  /// Prompt tokens that an engine reads per millisecond; 0 for plain endpoints.
  double m_tokensPerMs;
  double m_durationMs;
  uint64_t m_seeds;
};

std::vector<Scenario> Scenarios() {
  return { { "plain_first", { { 224, 150, 0, 0 } }, 3, 6, 30, 0, 20000, 5 },
           { "plain_second", { { 268, 120, 0, 0 } }, 3, 6, 15, 0, 20000, 5 },
           { "engines_first",
             { { 250, 2000, 9190, 100 }, { 286, 800, 2368, 100 }, { 104, 500, 715, 280 } },
             140,
             16,
             5.05,
             40.8,
             4000,
             1 },
           { "engines_second",
             { { 294, 600, 9190, 100 }, { 358, 1000, 2368, 100 }, { 114, 1500, 715, 280 } },
             72,
             48,
             3.03,
             92.1,
             4000,
             1 } };
}

struct Outcome {
  /// Variance of open calls over endpoints, averaged over time.
  double m_variance = 0;
  double m_longestQueue = 0;
  double m_inTarget = 0;
};

struct Call {
  size_t m_node = 0;
  size_t m_kind = 0;
  double m_arrivalMs = 0;
};

/// Runs up to `slots` calls. An engine reads prompts one after the other.
struct Server {
  std::deque<Call> m_queue;
  int m_running = 0;
  double m_readingUntilMs = 0;
  double m_speed = 1;
};

struct Event {
  enum class Type { Arrival, Answer, End, Heartbeat, Sample };
  double m_atMs = 0;
  Type m_type = Type::Arrival;
  size_t m_server = 0;
  Call m_call;

  bool operator>(const Event& aOther) const { return m_atMs > aOther.m_atMs; }
};

class Simulation {
public:
  Simulation(const Scenario& aScenario,
             size_t aNodes,
             Method aMethod,
             double aHeartbeatMs,
             uint64_t aSeed)
    : m_scenario(aScenario)
    , m_method(aMethod)
    , m_heartbeatMs(aHeartbeatMs)
    , m_random(aSeed)
    , m_servers(aScenario.m_endpoints)
    , m_endpoints(aScenario.m_endpoints)
    , m_reported(aNodes) {
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
      m_servers[i].m_speed =
        IsEngine() ? kSpeeds[i % kSpeeds.size()] : kPlainSpeeds[i % kPlainSpeeds.size()];
      m_endpoints[i].m_incarnation.m_endpoint = base::EndpointId("e" + std::to_string(i));
      m_endpoints[i].m_service = kService;
      m_endpoints[i].m_slots = aScenario.m_slots;
      TeachSpeed(i);
    }
    m_model.Update(Time(105000));
    for (size_t node = 0; node < aNodes; ++node) {
      m_nodes.emplace_back(PlacementSettings{}, &m_model, nullptr, m_random());
      m_nodes.back().SetNodeCount(m_method == Method::Rule ? aNodes : 1);
      m_events.push({ Uniform() * m_heartbeatMs, Event::Type::Heartbeat, 0, { node, 0, 0 } });
    }
    for (size_t kind = 0; kind < aScenario.m_kinds.size(); ++kind) {
      ScheduleArrival(kind, 0);
    }
    m_events.push({ 0, Event::Type::Sample, 0, {} });
  }

  Outcome Run() {
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      Handle(event);
    }
    m_outcome.m_variance /= m_samples;
    m_outcome.m_inTarget /= m_calls;
    return m_outcome;
  }

private:
  static base::TimePoint Time(double aMs) {
    return base::TimePoint(std::chrono::hours(1)) +
           std::chrono::duration_cast<base::TimePoint::duration>(
             std::chrono::duration<double, std::milli>(aMs));
  }

  bool IsEngine() const { return m_scenario.m_tokensPerMs > 0; }
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
  double WholeMs() const { return m_scenario.m_durationMs; }

  /// All nodes know the speeds, as after some seconds of calls.
  void TeachSpeed(size_t aIndex) {
    constexpr int kSamples = 12;
    constexpr double kPrompt = 6000;
    const double speed = m_servers[aIndex].m_speed;
    for (int i = 0; i < kSamples; ++i) {
      const double at = 99000 + i * 80;
      if (IsEngine()) {
        const double ms = kPrompt / m_scenario.m_tokensPerMs / speed;
        const double sent = at + i * 400;
        m_model.RecordFirstEvent(m_endpoints[aIndex],
                                 { Time(sent), Time(sent + ms), kPrompt, 0, false });
      } else {
        m_model.RecordPlainCall(m_endpoints[aIndex], m_scenario.m_timeMs / speed, 1, Time(at));
      }
    }
  }

  void ScheduleArrival(size_t aKind, double aNowMs) {
    const bool isBurst = std::fmod(aNowMs, kBurstPeriodMs) >= kBurstPeriodMs - kBurstMs;
    const double perMs =
      m_scenario.m_kinds[aKind].m_perSecond / 1000 * (isBurst ? kBurstFactor : 1);
    const double at = aNowMs - std::log(1 - Uniform()) / perMs;
    if (at < WholeMs()) {
      const size_t node = m_random() % m_nodes.size();
      m_events.push({ at, Event::Type::Arrival, 0, { node, aKind, at } });
    }
  }

  void Handle(const Event& aEvent) {
    switch (aEvent.m_type) {
      case Event::Type::Arrival:
        ScheduleArrival(aEvent.m_call.m_kind, aEvent.m_atMs);
        Send(aEvent.m_call, aEvent.m_atMs);
        break;
      case Event::Type::Answer:
        NodeOf(aEvent).RecordAnswerStarted(IdOf(aEvent.m_server), TokensOf(aEvent.m_call));
        CountAnswer(aEvent);
        break;
      case Event::Type::End:
        EndCall(aEvent);
        break;
      case Event::Type::Heartbeat:
        Report(aEvent);
        break;
      case Event::Type::Sample:
        TakeSample(aEvent.m_atMs);
        break;
    }
  }

  Placement& NodeOf(const Event& aEvent) { return m_nodes[aEvent.m_call.m_node]; }
  const base::EndpointId& IdOf(size_t aIndex) const {
    return m_endpoints[aIndex].m_incarnation.m_endpoint;
  }
  double TokensOf(const Call& aCall) const { return m_scenario.m_kinds[aCall.m_kind].m_tokens; }

  /// A node's loads replace its earlier ones in the sum of all reports.
  void Report(const Event& aEvent) {
    const size_t node = aEvent.m_call.m_node;
    AddReport(m_reported[node], -1);
    m_reported[node] = m_nodes[node].LocalLoad();
    AddReport(m_reported[node], 1);
    if (aEvent.m_atMs < WholeMs()) {
      m_events.push({ aEvent.m_atMs + m_heartbeatMs, Event::Type::Heartbeat, 0, aEvent.m_call });
    }
  }

  void AddReport(const std::map<base::EndpointId, Load>& aLoads, double aSign) {
    for (const auto& [id, load] : aLoads) {
      m_allReported[id] += { aSign * load.m_calls, aSign * load.m_pendingPromptTokens };
    }
  }

  /// The loads of all peers as `aNode` knows them.
  std::map<base::EndpointId, Load> PeerLoads(size_t aNode) const {
    auto loads = m_allReported;
    for (const auto& [id, load] : m_reported[aNode]) {
      loads[id] += { -load.m_calls, -load.m_pendingPromptTokens };
    }
    if (m_method == Method::AgedLoads) {
      Age(loads);
    }
    return loads;
  }

  /// Moves loads towards a share of their sum in proportion to speed. A part of the calls that
  /// falls exponentially with age, at the mean duration of a call, is still open; the others have
  /// been followed by calls at endpoints that the node does not know.
  void Age(std::map<base::EndpointId, Load>& aLoads) const {
    const double callMs = m_scenario.m_timeMs * (IsEngine() ? kOutputTokens : 1);
    const double kept = std::exp(-m_heartbeatMs / 2 / callMs);
    Load sum;
    double speeds = 0;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
      sum += aLoads[IdOf(i)];
      speeds += m_servers[i].m_speed;
    }
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
      Load& load = aLoads[IdOf(i)];
      const double share = (1 - kept) * m_servers[i].m_speed / speeds;
      load = { load.m_calls * kept + sum.m_calls * share,
               load.m_pendingPromptTokens * kept + sum.m_pendingPromptTokens * share };
    }
  }

  size_t Choose(const Call& aCall) {
    Placement& node = m_nodes[aCall.m_node];
    node.SetPeerLoad("peers", PeerLoads(aCall.m_node));
    PlacementRequest request;
    request.m_service = kService;
    request.m_promptTokens = TokensOf(aCall);
    switch (m_method) {
      case Method::TwoChoices:
        return ChooseOfTwo(node, request);
      case Method::WeightedDraw:
        return Draw(node, request.m_promptTokens);
      default:
        return *node.Choose(request, m_endpoints, Time(aCall.m_arrivalMs));
    }
  }

  size_t ChooseOfTwo(const Placement& aNode, const PlacementRequest& aRequest) {
    const size_t first = m_random() % m_endpoints.size();
    const size_t second = (first + 1 + m_random() % (m_endpoints.size() - 1)) % m_endpoints.size();
    const std::vector<fleet::Endpoint> two = { m_endpoints[first], m_endpoints[second] };
    return *aNode.Choose(aRequest, two, Time(0)) == 0 ? first : second;
  }

  size_t Draw(const Placement& aNode, double aTokens) {
    std::vector<double> weights;
    for (const fleet::Endpoint& endpoint : m_endpoints) {
      const Load load = aNode.TotalLoad(endpoint.m_incarnation.m_endpoint);
      const double delay = m_model.FirstByteMs(
        endpoint, IsEngine(), load.m_calls, load.m_pendingPromptTokens, aTokens);
      weights.push_back(1 / std::max(delay, 1.0));
    }
    return std::discrete_distribution<size_t>(weights.begin(), weights.end())(m_random);
  }

  void Send(const Call& aCall, double aNowMs) {
    const size_t index = Choose(aCall);
    m_nodes[aCall.m_node].RecordCallStarted(IdOf(index), TokensOf(aCall));
    m_servers[index].m_queue.push_back(aCall);
    StartCalls(index, aNowMs);
    m_outcome.m_longestQueue =
      std::max(m_outcome.m_longestQueue, static_cast<double>(m_servers[index].m_queue.size()));
  }

  void StartCalls(size_t aIndex, double aNowMs) {
    Server& server = m_servers[aIndex];
    while (!server.m_queue.empty() && server.m_running < m_scenario.m_slots) {
      const Call call = server.m_queue.front();
      server.m_queue.pop_front();
      ++server.m_running;
      const double unitMs = m_scenario.m_timeMs / server.m_speed;
      double endMs = aNowMs + unitMs;
      if (IsEngine()) {
        const double readMs = TokensOf(call) / m_scenario.m_tokensPerMs / server.m_speed;
        server.m_readingUntilMs = std::max(server.m_readingUntilMs, aNowMs) + readMs;
        const double firstMs = server.m_readingUntilMs + unitMs;
        m_events.push({ firstMs, Event::Type::Answer, aIndex, call });
        endMs = firstMs + unitMs * m_scenario.m_kinds[call.m_kind].m_outputTokens;
      }
      m_events.push({ endMs, Event::Type::End, aIndex, call });
    }
  }

  void EndCall(const Event& aEvent) {
    NodeOf(aEvent).RecordCallEnded(IdOf(aEvent.m_server), 0);
    --m_servers[aEvent.m_server].m_running;
    if (!IsEngine()) {
      CountAnswer(aEvent);
    }
    StartCalls(aEvent.m_server, aEvent.m_atMs);
  }

  void CountAnswer(const Event& aEvent) {
    const Call& call = aEvent.m_call;
    ++m_calls;
    m_outcome.m_inTarget +=
      aEvent.m_atMs - call.m_arrivalMs <= m_scenario.m_kinds[call.m_kind].m_targetMs ? 1 : 0;
  }

  void TakeSample(double aNowMs) {
    double sum = 0;
    double squares = 0;
    for (const Server& server : m_servers) {
      const double open = static_cast<double>(server.m_queue.size()) + server.m_running;
      sum += open;
      squares += open * open;
    }
    const auto count = static_cast<double>(m_servers.size());
    m_outcome.m_variance += squares / count - sum * sum / count / count;
    ++m_samples;
    if (aNowMs + kSampleMs < WholeMs()) {
      m_events.push({ aNowMs + kSampleMs, Event::Type::Sample, 0, {} });
    }
  }

  const Scenario m_scenario;
  const Method m_method;
  const double m_heartbeatMs;
  std::mt19937_64 m_random;
  engines::EngineModel m_model{ engines::EngineModelSettings{} };
  std::vector<Server> m_servers;
  std::vector<fleet::Endpoint> m_endpoints;
  std::vector<Placement> m_nodes;
  std::vector<std::map<base::EndpointId, Load>> m_reported;
  std::map<base::EndpointId, Load> m_allReported;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  Outcome m_outcome;
  double m_samples = 0;
  double m_calls = 0;
};

/// Means over the seeds, and the longest queue of all.
Outcome Run(const Scenario& aScenario, size_t aNodes, Method aMethod, double aHeartbeatMs) {
  Outcome mean;
  for (uint64_t seed = 1; seed <= aScenario.m_seeds; ++seed) {
    const Outcome outcome = Simulation(aScenario, aNodes, aMethod, aHeartbeatMs, seed).Run();
    const auto seeds = static_cast<double>(aScenario.m_seeds);
    mean.m_variance += outcome.m_variance / seeds;
    mean.m_inTarget += outcome.m_inTarget / seeds;
    mean.m_longestQueue = std::max(mean.m_longestQueue, outcome.m_longestQueue);
  }
  return mean;
}

using Outcomes = std::map<Method, Outcome>;

Outcomes Compare(const Scenario& aScenario, size_t aNodes, double aHeartbeatMs) {
  Outcomes outcomes;
  for (const auto& [method, name] : kMethods) {
    outcomes[method] = Run(aScenario, aNodes, method, aHeartbeatMs);
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << aScenario.m_name << ", " << aNodes << " nodes, "
         << aHeartbeatMs << " ms, " << name << ": variance " << outcomes[method].m_variance
         << ", longest queue " << outcomes[method].m_longestQueue << ", in target "
         << outcomes[method].m_inTarget;
    BOOST_TEST_MESSAGE(line.str());
  }
  return outcomes;
}

void CheckSpread(const Scenario& aScenario, size_t aNodes, double aHeartbeatMs) {
  const Outcomes outcomes = Compare(aScenario, aNodes, aHeartbeatMs);
  const Outcome& rule = outcomes.at(Method::Rule);
  const Outcome& shortest = outcomes.at(Method::Shortest);
  BOOST_TEST_CONTEXT(aScenario.m_name << ", " << aNodes << " nodes, " << aHeartbeatMs << " ms") {
    BOOST_TEST(rule.m_variance < shortest.m_variance * 0.6);
    BOOST_TEST(rule.m_longestQueue <= shortest.m_longestQueue);
    // Where nearly all calls are in target with both, single calls decide.
    BOOST_TEST(rule.m_inTarget >= shortest.m_inTarget - 0.0005);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HerdingTest)

// In a large fleet, nodes that choose alike by old loads must not overload the same endpoint.
BOOST_AUTO_TEST_CASE(ManyNodesSpreadTheirCalls) {
  for (const Scenario& scenario : Scenarios()) {
    for (const size_t nodes : { 32, 80, 300 }) {
      CheckSpread(scenario, nodes, 250);
    }
    CheckSpread(scenario, 80, 1000);
  }
}

// Up to 16 nodes, a whole run with its queues is the same as without the rule.
BOOST_AUTO_TEST_CASE(FewNodesChooseAsBefore) {
  for (const Scenario& scenario : Scenarios()) {
    const Outcomes outcomes = Compare(scenario, 9, 250);
    const Outcome& rule = outcomes.at(Method::Rule);
    const Outcome& shortest = outcomes.at(Method::Shortest);
    BOOST_TEST(rule.m_variance == shortest.m_variance);
    BOOST_TEST(rule.m_longestQueue == shortest.m_longestQueue);
    BOOST_TEST(rule.m_inTarget == shortest.m_inTarget);
  }
}

BOOST_AUTO_TEST_SUITE_END()
