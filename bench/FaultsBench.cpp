#include "FaultsBench.h"

#include "tests/harness/Fleet.h"

#include <atomic>
#include <csignal>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace papayafield::bench {

namespace {

using tests::Call;
using tests::CallAs;
using tests::CallerAnswer;
using tests::Fleet;
using tests::Stream;

/// Faults that a round may inject.
enum class FaultKind {
  KillNode,
  PauseNode,
  KillEngine,
  ReclaimEngine,
  PlatformOutage,
  LostAnswers,
  CutEngines,
  SilenceEngines,
  ServiceFault,
};

constexpr const char* kFaultNames[] = { "node killed",
                                        "node paused",
                                        "engine killed",
                                        "engine reclaimed",
                                        "platform outage",
                                        "answers of the platform lost",
                                        "engine connections cut",
                                        "engine connections silent",
                                        "service fault" };

constexpr uint64_t kTokens = 80;
constexpr int kStreamsPerRound = 6;
constexpr int kOrdersPerRound = 24;

/// Counters over all rounds.
struct Counters {
  std::atomic<int> m_streams{ 0 };
  std::atomic<int> m_incomplete{ 0 };
  std::atomic<int> m_wrongBytes{ 0 };
  std::atomic<int> m_orders{ 0 };
  std::atomic<int> m_answered{ 0 };
  int m_ranTwice = 0;
  int m_notRunButRan = 0;
  int m_changes = 0;
  int m_notActive = 0;
};

/// Runs rounds of faults against one fleet.
class FaultRounds {
public:
  explicit FaultRounds(uint64_t aSeed)
    : m_random(aSeed)
    , m_fleet(Settings()) {}

  /// Runs one round: injects two faults while callers send requests, waits until the fleet has
  /// recovered, and applies a configuration change.
  void Run(int aRound) {
    const auto first = static_cast<FaultKind>(m_random() % std::size(kFaultNames));
    const auto second = static_cast<FaultKind>(m_random() % std::size(kFaultNames));
    std::printf("round %d: %s, %s\n",
                aRound,
                kFaultNames[static_cast<size_t>(first)],
                kFaultNames[static_cast<size_t>(second)]);
    std::fflush(stdout);
    std::vector<std::thread> callers = StartCallers(aRound);
    std::this_thread::sleep_for(base::Millis(static_cast<int64_t>(m_random() % 400)));
    InjectFault(first);
    std::this_thread::sleep_for(base::Millis(static_cast<int64_t>(m_random() % 300)));
    InjectFault(second);
    for (std::thread& caller : callers) {
      caller.join();
    }
    Recover();
    ApplyChange();
  }

  /// Compares the orders with the execution counts of the services and returns the verdicts.
  Report MakeReport(uint64_t aSeed, int aRounds) {
    CheckOrders();
    Report report("faults: seed " + std::to_string(aSeed) + ", " + std::to_string(aRounds) +
                    " rounds of two faults",
                  { "point", "cases", "failed", "verdict" });
    const auto add = [&](const char* aPoint, int aCases, int aFailed) {
      report.AddRow({ aPoint, aCases, aFailed, aFailed == 0 ? "held" : "FAILED" });
    };
    add("each caller got a complete answer", m_counters.m_streams, m_counters.m_incomplete);
    add(
      "each answer has the text of its own request", m_counters.m_streams, m_counters.m_wrongBytes);
    add("no order ran twice", m_counters.m_orders, m_counters.m_ranTwice);
    add("calls reported as not run did not run", m_counters.m_orders, m_counters.m_notRunButRan);
    add(
      "accepted changes became active on all nodes", m_counters.m_changes, m_counters.m_notActive);
    std::printf(
      "orders answered: %d of %d\n", m_counters.m_answered.load(), m_counters.m_orders.load());
    return report;
  }

private:
  static tests::FleetSettings Settings() {
    tests::FleetSettings settings;
    settings.m_engines = 3;
    settings.m_services = 2;
    settings.m_engineProxies = true;
    settings.m_engineOptions = { "--slots", "32", "--token-ms", "10", "--slowdown", "0" };
    settings.m_nodeSettings = "[endpoints]\nstream_idle = \"1s\"\n";
    return settings;
  }

  std::vector<std::thread> StartCallers(int aRound) {
    std::vector<std::thread> callers;
    callers.reserve(kStreamsPerRound + kOrdersPerRound / 4);
    for (int i = 0; i < kStreamsPerRound; ++i) {
      callers.emplace_back([this, aRound, i, seed = m_random()] { ReadStream(aRound, i, seed); });
    }
    for (int i = 0; i < kOrdersPerRound / 4; ++i) {
      callers.emplace_back([this, aRound, i, seed = m_random()] { PlaceOrders(aRound, i, seed); });
    }
    return callers;
  }

  /// Reads a stream and resumes it at random nodes, up to 40 attempts, as the documentation of the
  /// interface tells callers to do.
  void ReadStream(int aRound, int aIndex, uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    const std::string prompt = std::to_string(aRound) + "-" + std::to_string(aIndex);
    Stream stream;
    for (int attempt = 0; attempt < 40 && !stream.m_complete; ++attempt) {
      const bool begun = stream.m_tokens > 0;
      const Stream before = stream;
      stream = tests::Generate(m_fleet.NodeAddress(random() % m_fleet.NodeCount()),
                               prompt,
                               kTokens,
                               {},
                               begun ? &before : nullptr);
      if (stream.m_status == 0 || stream.m_status >= 400) {
        std::this_thread::sleep_for(base::Millis(200));
      }
    }
    ++m_counters.m_streams;
    m_counters.m_incomplete += stream.m_complete ? 0 : 1;
    const std::string expected = tests::ExpectedText(prompt, kTokens);
    m_counters.m_wrongBytes += expected.starts_with(stream.m_text) ? 0 : 1;
  }

  void PlaceOrders(int aRound, int aIndex, uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    for (int i = 0; i < 4; ++i) {
      const std::string order =
        std::to_string(aRound) + "/" + std::to_string(aIndex) + "/" + std::to_string(i);
      bool alwaysNotRun = true;
      bool answered = false;
      for (int attempt = 0; attempt < 5 && !answered; ++attempt) {
        const CallerAnswer answer = CallAs(tests::kTeamKey,
                                           m_fleet.NodeAddress(random() % m_fleet.NodeCount()),
                                           "POST",
                                           "/services/orders/orders",
                                           "{\"order\":\"" + order + "\"}",
                                           order);
        answered = answer.m_status == 201;
        alwaysNotRun = alwaysNotRun && answer.m_outcome == "not run";
      }
      ++m_counters.m_orders;
      m_counters.m_answered += answered ? 1 : 0;
      const std::lock_guard lock(m_mutex);
      m_alwaysNotRun[order] = alwaysNotRun;
    }
  }

  size_t PickLiveEngine() {
    std::vector<size_t> live;
    for (size_t i = 0; i < m_fleet.EngineCount(); ++i) {
      if (m_fleet.Engine(i).m_process->IsRunning() && !m_removedEngines.contains(i)) {
        live.push_back(i);
      }
    }
    return live[m_random() % live.size()];
  }

  void InjectFault(FaultKind aKind) {
    const size_t node = m_random() % m_fleet.NodeCount();
    switch (aKind) {
      case FaultKind::KillNode:
        m_fleet.RestartNode(node);
        return;
      case FaultKind::PauseNode:
        m_fleet.NodeProcess(node).Signal(SIGSTOP);
        std::this_thread::sleep_for(base::Millis(1500));
        m_fleet.NodeProcess(node).Signal(SIGCONT);
        return;
      case FaultKind::KillEngine:
      case FaultKind::ReclaimEngine: {
        const size_t engine = PickLiveEngine();
        m_removedEngines.insert(engine);
        // Adds a replacement before the engine goes; otherwise the fleet would run out of engines.
        m_fleet.AddEngine(m_fleet.Engine(engine).m_zone);
        if (aKind == FaultKind::ReclaimEngine) {
          m_fleet.Reclaim(m_fleet.Engine(engine), base::Millis(1000));
          std::this_thread::sleep_for(base::Millis(1000));
        }
        m_fleet.Engine(engine).m_process->Kill();
        m_fleet.Engine(engine).m_proxy->Kill();
        return;
      }
      case FaultKind::PlatformOutage:
        m_fleet.SetPlatformFaults({ { "outage", true }, { "hosts_down", true } });
        std::this_thread::sleep_for(base::Millis(800));
        m_fleet.SetPlatformFaults({ { "outage", false }, { "hosts_down", false } });
        return;
      case FaultKind::LostAnswers:
        m_fleet.SetPlatformFaults({ { "lose_answers", 3 } });
        return;
      case FaultKind::CutEngines:
      case FaultKind::SilenceEngines:
        for (size_t i = 0; i < m_fleet.EngineCount(); ++i) {
          if (!m_removedEngines.contains(i)) {
            Fleet::SetProxyFaults(m_fleet.Engine(i),
                                  { { aKind == FaultKind::CutEngines ? "cut" : "silence", true } });
          }
        }
        return;
      case FaultKind::ServiceFault: {
        static constexpr const char* kFaults[] = {
          "close_after_run", "close_before_run", "not_started", "server_error", "crossed"
        };
        const std::string fault = kFaults[m_random() % std::size(kFaults)];
        Call(m_fleet.Service(m_random() % 2).m_address,
             "POST",
             "/control/faults",
             "{\"" + fault + "\":3}");
        return;
      }
    }
  }

  /// Clears the faults of platform and services, removes lost hosts from the host list, and waits
  /// until each node answers with the current generation.
  void Recover() {
    m_fleet.SetPlatformFaults({ { "lose_answers", 0 } });
    for (size_t i = 0; i < 2; ++i) {
      Call(m_fleet.Service(i).m_address, "POST", "/control/faults", "{}");
    }
    for (const size_t engine : m_removedEngines) {
      Call(m_fleet.Platform().m_address,
           "DELETE",
           "/control/hosts?name=" + m_fleet.Engine(engine).m_name);
    }
    tests::Eventually([&] {
      for (size_t i = 0; i < m_fleet.NodeCount(); ++i) {
        const nlohmann::json status = m_fleet.NodeStatus(i);
        if (!status.is_object() || status["generation"].get<uint64_t>() < m_generation) {
          return false;
        }
      }
      return true;
    });
  }

  void ApplyChange() {
    ++m_counters.m_changes;
    const int code =
      m_fleet.RunCtl({ "apply",
                       m_fleet.ManifestFile(),
                       "--node",
                       m_fleet.NodeAddress(m_random() % m_fleet.NodeCount()).ToText(),
                       "--base",
                       std::to_string(m_generation) });
    m_counters.m_notActive += code == 0 && m_fleet.WaitUntilActive(++m_generation) ? 0 : 1;
  }

  void CheckOrders() {
    for (const auto& [order, runs] : m_fleet.RunCounts()) {
      m_counters.m_ranTwice += runs > 1 ? 1 : 0;
      m_counters.m_notRunButRan += m_alwaysNotRun[order] ? 1 : 0;
    }
  }

  std::mt19937_64 m_random;
  Fleet m_fleet;
  Counters m_counters;
  std::mutex m_mutex;
  std::map<std::string, bool> m_alwaysNotRun;
  std::set<size_t> m_removedEngines;
  uint64_t m_generation = 1;
};

} // namespace

Report RunFaults(uint64_t aSeed, double aMinutes) {
  FaultRounds rounds(aSeed);
  constexpr double kSecondsPerMinute = 60;
  const auto start = base::SteadyClock().Now();
  int round = 0;
  while (std::chrono::duration<double>(base::SteadyClock().Now() - start).count() <
         aMinutes * kSecondsPerMinute) {
    rounds.Run(++round);
  }
  return rounds.MakeReport(aSeed, round);
}

} // namespace papayafield::bench
