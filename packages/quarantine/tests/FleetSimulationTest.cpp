#include "quarantine/PromptQuarantine.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <queue>
#include <random>

/// \file
/// Seeded simulations of nodes that exchange reports with delay and loss, and of engines that crash
/// on a prompt part or for reasons of their own.

using namespace papayafield;
using namespace papayafield::quarantine;
using base::Millis;

namespace {

constexpr int kSeeds = 20;
/// Time after the fifth crash from which sends with the deadly part are counted.
constexpr Millis kReactionTime{ 3000 };
constexpr int kMaxLateSends = 3;

struct Scenario {
  size_t m_nodes = 9;
  size_t m_engines = 12;
  Millis m_length{ 30000 };
  double m_soundPerSecond = 40;
  double m_deadlyPerSecond = 0;
  /// Whether calls with the deadly part were answered before it became deadly.
  bool m_wasSound = false;
  Millis m_deadlyFrom{ 5000 };
  size_t m_subjects = 150;
  int m_maxAttempts = 3;
  /// Half of the engines crash together at this time; 0 if never.
  Millis m_massCrashAt{ 0 };
  /// Share of the calls that engine 0 resets.
  double m_greyShare = 0;
  /// All connections of node 0 are reset at this time; 0 if never.
  Millis m_resetAt{ 0 };
  /// Node 1 starts again without memory at this time; 0 if never.
  Millis m_restartAt{ 0 };
  /// Node 2 exchanges no reports before this time; 0 if it always does.
  Millis m_cutUntil{ 0 };
  /// Subject that stands on all deadly calls; empty for any.
  std::string m_victim;
};

struct Outcome {
  int m_crashes = 0;
  /// Sends with the deadly part that begin later than kReactionTime after the fifth crash, by nodes
  /// that exchange reports.
  int m_lateSends = 0;
  int m_lateSendsOfCutNode = 0;
  int m_soundCalls = 0;
  /// Sound calls refused by nodes that exchange reports.
  int m_refusedSoundCalls = 0;
  /// Parts banned by nodes that exchange reports.
  std::set<std::string> m_bannedInnocents;
  bool m_deadlyBanned = false;
};

class Simulation {
public:
  Simulation(const Scenario& aScenario, uint64_t aSeed)
    : m_scenario(aScenario)
    , m_random(aSeed) {}

  Outcome Run() {
    for (size_t i = 0; i < m_scenario.m_nodes; ++i) {
      m_nodes.push_back(MakeNode());
      At(Millis(Draw(250)), [this, i] { Tick(i); });
    }
    m_downUntil.assign(m_scenario.m_engines, Millis(0));
    At(Millis(1), [this] { NextSound(); });
    if (m_scenario.m_deadlyPerSecond > 0) {
      const bool early = m_scenario.m_wasSound;
      At(early ? Millis(1) : m_scenario.m_deadlyFrom, [this] { NextDeadly(); });
    }
    if (m_scenario.m_massCrashAt.count() > 0) {
      At(m_scenario.m_massCrashAt, [this] { CrashHalf(); });
    }
    if (m_scenario.m_resetAt.count() > 0) {
      At(m_scenario.m_resetAt,
         [this] { LoseCalls([](const Call& aCall) { return aCall.m_node == 0; }); });
    }
    if (m_scenario.m_restartAt.count() > 0) {
      At(m_scenario.m_restartAt, [this] { m_nodes[1] = MakeNode(); });
    }
    while (!m_queue.empty() && m_queue.top().m_at < m_scenario.m_length) {
      const Event event = m_queue.top();
      m_queue.pop();
      m_now = event.m_at;
      event.m_run();
    }
    return m_outcome;
  }

private:
  struct Event {
    Millis m_at;
    uint64_t m_order;
    std::function<void()> m_run;
    bool operator<(const Event& aOther) const {
      return std::tie(aOther.m_at, aOther.m_order) < std::tie(m_at, m_order);
    }
  };
  struct Call {
    int m_id = 0;
    size_t m_node = 0;
    bool m_deadly = false;
    std::vector<std::string> m_parts;
    int m_attempts = 0;
    size_t m_engine = 0;
    bool m_begun = false;
    bool m_ended = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  std::unique_ptr<PromptQuarantine> MakeNode() {
    return std::make_unique<PromptQuarantine>(QuarantineSettings{}, m_random());
  }
  int64_t Draw(int64_t aBelow) {
    return std::uniform_int_distribution<int64_t>(0, aBelow - 1)(m_random);
  }
  bool Chance(double aShare) { return std::uniform_real_distribution<>(0, 1)(m_random) < aShare; }
  base::TimePoint Now() const { return base::TimePoint(std::chrono::hours(1)) + m_now; }
  void At(Millis aTime, std::function<void()> aRun) {
    m_queue.push({ aTime, m_order++, std::move(aRun) });
  }
  void After(Millis aDelay, std::function<void()> aRun) { At(m_now + aDelay, std::move(aRun)); }
  Millis Gap(double aPerSecond) {
    return Millis(
      static_cast<int64_t>(std::exponential_distribution<>(aPerSecond / 1000)(m_random)) + 1);
  }
  bool IsCut(size_t aNode) const { return m_now < m_scenario.m_cutUntil && aNode == 2; }

  void Tick(size_t aNode) {
    Update(aNode);
    const auto report = std::make_shared<const Report>(m_nodes[aNode]->MakeReport(Now()));
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (i != aNode && !IsCut(i) && !IsCut(aNode) && !Chance(0.1)) {
        After(Millis(Draw(250)), [this, i, report] { m_nodes[i]->Merge(*report, Now()); });
      }
    }
    After(Millis(250), [this, aNode] { Tick(aNode); });
  }

  void Update(size_t aNode) {
    for (const BanEvent& event : m_nodes[aNode]->Update(Now())) {
      if (event.m_change == BanChange::Banned || event.m_change == BanChange::Adopted) {
        if (event.m_part == "deadly") {
          m_outcome.m_deadlyBanned = true;
        } else if (!IsCut(aNode)) {
          m_outcome.m_bannedInnocents.insert(event.m_part);
        }
      }
    }
  }

  /// Draws a subject; a few are far more common than the others.
  std::string DrawSubject() {
    const double draw = std::uniform_real_distribution<>(0, 1)(m_random);
    return "subject" + std::to_string(static_cast<int>(draw * draw * draw *
                                                       static_cast<double>(m_scenario.m_subjects)));
  }

  void NextSound() {
    Start({ "system" + std::to_string(Draw(3)), DrawSubject() }, false);
    After(Gap(m_scenario.m_soundPerSecond), [this] { NextSound(); });
  }
  void NextDeadly() {
    const std::string subject = m_scenario.m_victim.empty() ? DrawSubject() : m_scenario.m_victim;
    Start({ "system0", "deadly", subject }, true);
    After(Gap(m_scenario.m_deadlyPerSecond), [this] { NextDeadly(); });
  }

  void Start(std::vector<std::string> aParts, bool aDeadly) {
    auto call = std::make_shared<Call>();
    call->m_id = m_nextCall++;
    call->m_node = static_cast<size_t>(Draw(static_cast<int64_t>(m_nodes.size())));
    call->m_deadly = aDeadly;
    call->m_parts = std::move(aParts);
    m_outcome.m_soundCalls += aDeadly ? 0 : 1;
    Dispatch(call);
  }

  void Dispatch(const CallPtr& aCall) {
    if (m_nodes[aCall->m_node]->Check(aCall->m_parts, Now())) {
      m_outcome.m_refusedSoundCalls += aCall->m_deadly || IsCut(aCall->m_node) ? 0 : 1;
      return;
    }
    // Calls of one subject go to one engine, or to the next one that is up.
    const size_t first = std::hash<std::string>{}(aCall->m_parts.back());
    for (size_t i = 0; i < m_scenario.m_engines; ++i) {
      const size_t engine = (first + i) % m_scenario.m_engines;
      if (m_downUntil[engine] <= m_now) {
        Send(aCall, engine);
        return;
      }
    }
  }

  void Send(const CallPtr& aCall, size_t aEngine) {
    if (aCall->m_deadly && m_outcome.m_crashes >= 5 && m_now > m_fifthCrash + kReactionTime) {
      ++(IsCut(aCall->m_node) ? m_outcome.m_lateSendsOfCutNode : m_outcome.m_lateSends);
    }
    ++aCall->m_attempts;
    aCall->m_engine = aEngine;
    aCall->m_begun = false;
    aCall->m_ended = false;
    m_open.insert(aCall);
    const int attempt = aCall->m_attempts;
    After(Millis(100 + Draw(500)), [this, aCall, attempt] {
      if (aCall->m_attempts == attempt && !aCall->m_ended) {
        Begin(aCall);
      }
    });
  }

  void Begin(const CallPtr& aCall) {
    const size_t engine = aCall->m_engine;
    if (aCall->m_deadly && m_now >= m_scenario.m_deadlyFrom) {
      Crash(engine);
      return;
    }
    if (engine == 0 && Chance(m_scenario.m_greyShare)) {
      LoseCalls([&](const Call& aOther) { return &aOther == aCall.get(); });
      return;
    }
    const auto began = Now();
    const int attempt = aCall->m_attempts;
    After(Millis(60), [this, aCall, attempt, began] {
      if (aCall->m_attempts == attempt && !aCall->m_ended) {
        aCall->m_begun = true;
        m_nodes[aCall->m_node]->RecordSuccess(aCall->m_parts, began, Now());
        After(Millis(500 + Draw(1500)), [this, aCall, attempt] {
          if (aCall->m_attempts == attempt) {
            aCall->m_ended = true;
            m_open.erase(aCall);
          }
        });
      }
    });
  }

  void Crash(size_t aEngine) {
    ++m_outcome.m_crashes;
    if (m_outcome.m_crashes == 5) {
      m_fifthCrash = m_now;
    }
    Stop(aEngine);
  }
  void Stop(size_t aEngine) {
    m_downUntil[aEngine] = m_now + Millis(2000 + Draw(2000));
    LoseCalls([&](const Call& aCall) { return aCall.m_engine == aEngine; });
  }
  void CrashHalf() {
    for (size_t engine = 0; engine < m_scenario.m_engines; engine += 2) {
      Stop(engine);
    }
  }

  void LoseCalls(const std::function<bool(const Call&)>& aIsLost) {
    std::vector<CallPtr> lost;
    for (const CallPtr& call : m_open) {
      if (!call->m_ended && aIsLost(*call)) {
        lost.push_back(call);
      }
    }
    for (const CallPtr& call : lost) {
      m_open.erase(call);
      call->m_ended = true;
      if (!call->m_begun) {
        m_nodes[call->m_node]->RecordCrash({ "e" + std::to_string(call->m_engine),
                                             "c" + std::to_string(call->m_id),
                                             call->m_parts,
                                             Millis(0) },
                                           Now());
        Update(call->m_node);
      }
    }
    for (const CallPtr& call : lost) {
      if (call->m_attempts < m_scenario.m_maxAttempts) {
        Dispatch(call);
      }
    }
  }

  const Scenario m_scenario;
  std::mt19937_64 m_random;
  Millis m_now{ 0 };
  Millis m_fifthCrash{ 0 };
  uint64_t m_order = 0;
  int m_nextCall = 0;
  std::priority_queue<Event> m_queue;
  std::vector<std::unique_ptr<PromptQuarantine>> m_nodes;
  std::vector<Millis> m_downUntil;
  /// Ordered by creation, so that a seed gives the same run each time.
  struct ById {
    bool operator()(const CallPtr& aLeft, const CallPtr& aRight) const {
      return aLeft->m_id < aRight->m_id;
    }
  };
  std::set<CallPtr, ById> m_open;
  Outcome m_outcome;
};

/// Sums over all seeds.
struct Totals {
  int m_worstLateSends = 0;
  int m_worstLateSendsOfCutNode = 0;
  int m_unbanned = 0;
  size_t m_bannedInnocents = 0;
  int m_bannedSystemParts = 0;
  int m_soundCalls = 0;
  int m_refusedSoundCalls = 0;
};

Totals RunSeeds(const Scenario& aScenario) {
  Totals totals;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Simulation(aScenario, seed).Run();
    totals.m_worstLateSends = std::max(totals.m_worstLateSends, outcome.m_lateSends);
    totals.m_worstLateSendsOfCutNode =
      std::max(totals.m_worstLateSendsOfCutNode, outcome.m_lateSendsOfCutNode);
    totals.m_unbanned += outcome.m_deadlyBanned ? 0 : 1;
    totals.m_bannedInnocents += outcome.m_bannedInnocents.size();
    for (const std::string& part : outcome.m_bannedInnocents) {
      totals.m_bannedSystemParts += part.starts_with("system") ? 1 : 0;
    }
    totals.m_soundCalls += outcome.m_soundCalls;
    totals.m_refusedSoundCalls += outcome.m_refusedSoundCalls;
  }
  BOOST_TEST_MESSAGE("late sends " << totals.m_worstLateSends << ", of the cut node "
                                   << totals.m_worstLateSendsOfCutNode << ", banned innocents "
                                   << totals.m_bannedInnocents << ", refused sound calls "
                                   << totals.m_refusedSoundCalls << " of " << totals.m_soundCalls
                                   << ", seeds without the ban " << totals.m_unbanned);
  return totals;
}

/// Checks what holds in each scenario with a deadly part. One sound call in a hundred may be
/// refused.
void CheckDeadly(const Totals& aTotals) {
  BOOST_TEST(aTotals.m_worstLateSends <= kMaxLateSends);
  BOOST_TEST(aTotals.m_unbanned == 0);
  BOOST_TEST(aTotals.m_bannedSystemParts == 0);
  BOOST_TEST(aTotals.m_refusedSoundCalls * 100 <= aTotals.m_soundCalls);
}

/// Checks that engines' own faults ban no common part and hardly any rare one: at most one sound
/// call in a thousand is refused.
void CheckSound(const Totals& aTotals) {
  BOOST_TEST(aTotals.m_bannedSystemParts == 0);
  BOOST_TEST(aTotals.m_refusedSoundCalls * 1000 <= aTotals.m_soundCalls);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetSimulationTest)

BOOST_AUTO_TEST_CASE(DeadlyPartIsKeptFromEngines) {
  for (const double rate : { 1.0, 2.0, 5.0, 10.0 }) {
    for (const bool wasSound : { false, true }) {
      Scenario scenario;
      scenario.m_deadlyPerSecond = rate;
      scenario.m_wasSound = wasSound;
      BOOST_TEST_CONTEXT("calls per second " << rate << ", sound before " << wasSound) {
        CheckDeadly(RunSeeds(scenario));
      }
    }
  }
}

// The ban ends several times while calls with the part still come.
BOOST_AUTO_TEST_CASE(TrialsAfterABanAreFew) {
  Scenario scenario;
  scenario.m_deadlyPerSecond = 5;
  scenario.m_length = Millis(150000);
  scenario.m_soundPerSecond = 15;
  CheckDeadly(RunSeeds(scenario));
}

BOOST_AUTO_TEST_CASE(FewEnginesAndManyNodes) {
  Scenario scenario;
  scenario.m_deadlyPerSecond = 3;
  scenario.m_engines = 4;
  CheckDeadly(RunSeeds(scenario));
  scenario.m_engines = 60;
  scenario.m_nodes = 30;
  scenario.m_length = Millis(15000);
  scenario.m_soundPerSecond = 150;
  CheckDeadly(RunSeeds(scenario));
}

// An attacker places a victim's part beside the deadly one on all calls.
BOOST_AUTO_TEST_CASE(VictimBesideTheDeadlyPartIsServed) {
  for (const char* victim : { "subject0", "subject70" }) {
    Scenario scenario;
    scenario.m_deadlyPerSecond = 5;
    scenario.m_victim = victim;
    const Totals totals = RunSeeds(scenario);
    CheckDeadly(totals);
  }
}

BOOST_AUTO_TEST_CASE(RestartedNodeLearnsTheBans) {
  Scenario scenario;
  scenario.m_deadlyPerSecond = 5;
  scenario.m_restartAt = Millis(14000);
  CheckDeadly(RunSeeds(scenario));
}

// Out of contact, a node sees few of the crashes and of the answers. What it wrongly banned is
// lifted as soon as it learns of the answers.
BOOST_AUTO_TEST_CASE(CutNodeDecidesAlone) {
  Scenario scenario;
  scenario.m_deadlyPerSecond = 10;
  scenario.m_cutUntil = Millis(20000);
  const Totals totals = RunSeeds(scenario);
  CheckDeadly(totals);
  // It sends about one such call a second until it has seen enough crashes itself.
  BOOST_TEST(totals.m_worstLateSendsOfCutNode <= 10);
}

BOOST_AUTO_TEST_CASE(MassCrashBansNoSoundPart) {
  Scenario scenario;
  scenario.m_massCrashAt = Millis(10000);
  CheckSound(RunSeeds(scenario));
  scenario.m_soundPerSecond = 300;
  CheckSound(RunSeeds(scenario));
}

BOOST_AUTO_TEST_CASE(GreyEngineBansNoSoundPart) {
  Scenario scenario;
  scenario.m_greyShare = 0.4;
  CheckSound(RunSeeds(scenario));
}

BOOST_AUTO_TEST_CASE(ResetOfAllConnectionsOfANodeBansNoSoundPart) {
  Scenario scenario;
  scenario.m_resetAt = Millis(10000);
  scenario.m_soundPerSecond = 300;
  CheckSound(RunSeeds(scenario));
}

BOOST_AUTO_TEST_SUITE_END()
