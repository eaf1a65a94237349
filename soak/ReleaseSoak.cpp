#include "soak/ReleaseSoak.h"

#include "soak/Checks.h"
#include "soak/Recovery.h"
#include "soak/StreamChecks.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <set>

namespace papayafield::soak {

namespace {

constexpr base::Millis kRoundDuration{ 6000 };
/// Time from the begin of a round until its release starts, at most.
constexpr base::Millis kMaxReleaseDelay{ 3000 };
/// Time from the start of a release until the first disruption of the round, at most.
constexpr base::Millis kMaxDisruptionDelay{ 1000 };
/// Number of endpoints that a fleet has place for; half of them serve at a time.
constexpr size_t kPlaces = 8;
constexpr base::Millis kInitialStreamTimeout{ 15000 };
constexpr std::array<base::Millis, 3> kStreamTimeouts = { base::Millis(1500),
                                                          base::Millis(4000),
                                                          base::Millis(15000) };
/// Deadline of ordinary calls, in milliseconds.
constexpr base::Millis kAnswerTimeout{ 6000 };
constexpr base::Millis kExtraWait{ 1000 };
constexpr base::Millis kMaxSettleTime{ 16000 };

/// One run of the soak.
class ReleaseSoak {
public:
  explicit ReleaseSoak(const ReleaseSoakSettings& aSettings)
    : m_settings(aSettings)
    , m_random(aSettings.m_seed)
    , m_fleet(aSettings.m_nodes, kPlaces)
    , m_storeProxies(AddStoreProxies())
    , m_plannedWork(m_fleet, m_loop, aSettings.m_nodes, m_random())
    , m_releases(m_fleet, m_loop, kPlaces, m_random())
    , m_disruptions(m_fleet, m_plannedWork, m_loop, m_storeProxies, m_random()) {
    m_plannedWork.ChangeStreamTimeout(kInitialStreamTimeout);
    const auto ready = static_cast<double>(m_releases.ServingCount());
    for (size_t node = 0; node < aSettings.m_nodes; ++node) {
      tests::PlatformFleet::WaitUntil([&] {
        return m_fleet.IsReady(node) && m_fleet.EntryAddresses(node).size() == m_settings.m_nodes &&
               m_fleet.ReadMetric(node, "endpoints_ready") == ready;
      });
    }
  }

  bool Run() {
    StartCallers();
    for (int round = 0; round < m_settings.m_rounds; ++round) {
      const std::string summary = ScheduleRound();
      std::fprintf(stderr,
                   "seed %lu round %d at %ld:%s\n",
                   m_settings.m_seed,
                   round,
                   base::WallMillis(),
                   summary.c_str());
      RunFor(m_loop, kRoundDuration);
    }
    RunUntil(m_loop, kMaxSettleTime, [&] {
      return m_disruptions.IsSettled() && m_plannedWork.IsSettled();
    });
    StopCallers();
    return Report();
  }

private:
  std::vector<size_t> AddStoreProxies() {
    std::vector<size_t> proxies;
    for (size_t node = 0; node < m_settings.m_nodes; ++node) {
      proxies.push_back(m_fleet.AddPlatformProxy(node));
    }
    return proxies;
  }

  /// Returns a random time below `aMax`.
  base::Millis RandomTime(base::Millis aMax) {
    return base::Millis(m_random() % static_cast<uint64_t>(aMax.count()));
  }

  /// Chooses another timeout for streams.
  base::Millis NextStreamTimeout() {
    const base::Millis previous = m_streamTimeout;
    while (m_streamTimeout == previous) {
      m_streamTimeout = kStreamTimeouts[m_random() % kStreamTimeouts.size()];
    }
    return m_streamTimeout;
  }

  std::string ScheduleRound() {
    const base::Millis releaseAt = RandomTime(kMaxReleaseDelay);
    std::string summary = m_releases.Schedule(releaseAt);
    // The first disruption begins before the release or soon after its start.
    summary += m_disruptions.Schedule(releaseAt + kMaxDisruptionDelay);
    if (m_random() % 2 == 0) {
      summary += m_disruptions.Schedule(kRoundDuration);
    }
    if (m_random() % 3 != 0) {
      const base::Millis timeout = NextStreamTimeout();
      const base::Millis delay = releaseAt + RandomTime(kRoundDuration);
      summary +=
        " timeout_" + std::to_string(timeout.count()) + "@" + std::to_string(delay.count());
      m_timers.push_back(
        m_loop.After(delay, [this, timeout] { m_plannedWork.ChangeStreamTimeout(timeout); }));
    }
    if (m_random() % 2 == 0) {
      summary += m_plannedWork.Schedule(kRoundDuration);
    }
    return summary;
  }

  void StartCallers() {
    CallerSettings callerSettings;
    callerSettings.m_answerTimeout = kAnswerTimeout;
    callerSettings.m_extraWait = kExtraWait;
    for (size_t i = 0; i < m_settings.m_callers; ++i) {
      m_callers.push_back(std::make_unique<Caller>(
        m_loop,
        m_random(),
        "c" + std::to_string(i),
        callerSettings,
        [this] { return m_plannedWork.CallerAddresses(); },
        [this] { return m_plannedWork.NewestConfiguration(); }));
      m_callers.back()->SendNext();
    }
    for (size_t i = 0; i < m_settings.m_streamCallers; ++i) {
      m_streamCallers.push_back(
        std::make_unique<StreamCaller>(m_loop, m_random(), "s" + std::to_string(i), [this] {
          return m_plannedWork.CallerAddresses();
        }));
      m_streamCallers.back()->Start();
    }
  }

  void StopCallers() {
    const auto isIdle = [](const auto& aCaller) { return aCaller->IsIdle(); };
    for (const auto& caller : m_callers) {
      caller->Stop();
    }
    for (const auto& caller : m_streamCallers) {
      caller->Stop();
    }
    RunUntil(m_loop, kMaxSettleTime, [&] {
      return std::all_of(m_callers.begin(), m_callers.end(), isIdle) &&
             std::all_of(m_streamCallers.begin(), m_streamCallers.end(), isIdle);
    });
  }

  /// Returns when a node was disrupted or an endpoint was down after a crash.
  std::vector<FaultSpan> UnplannedSpans() const {
    std::vector<FaultSpan> spans;
    for (const NodeSpan& span : m_disruptions.Spans()) {
      spans.push_back({ span.m_start, span.m_end });
    }
    for (const auto& [start, end] : m_releases.Crashes()) {
      spans.push_back({ start, end });
    }
    return spans;
  }

  /// Returns the platform's report with the runs of `aCalls` only.
  nlohmann::json ReportOf(const std::vector<CallRecord>& aCalls) const {
    std::set<std::string> ids;
    for (const CallRecord& call : aCalls) {
      ids.insert(call.m_id);
    }
    nlohmann::json report = m_fleet.PostControl("report");
    nlohmann::json runs = nlohmann::json::array();
    for (const nlohmann::json& run : report.at("runs")) {
      if (ids.contains(run.at("call").get<std::string>())) {
        runs.push_back(run);
      }
    }
    report["runs"] = std::move(runs);
    return report;
  }

  /// Checks what callers saw and prints it. Returns whether no guarantee was violated.
  bool Report() {
    const bool recovered = AllNodesRecover(m_fleet, m_settings.m_nodes);
    const bool led = OneNodeLeads(m_fleet, m_settings.m_nodes);
    std::vector<CallRecord> calls;
    for (const auto& caller : m_callers) {
      calls.insert(calls.end(), caller->Records().begin(), caller->Records().end());
    }
    std::vector<StreamRecord> streams;
    for (const auto& caller : m_streamCallers) {
      streams.insert(streams.end(), caller->Records().begin(), caller->Records().end());
    }
    CheckResult callResult = CheckGuarantees(
      calls, ReportOf(calls), m_plannedWork.Stops(), m_plannedWork.Launches(), UnplannedSpans());
    const StreamCheckResult streamResult = CheckStreams(streams,
                                                        { m_releases.Spans(),
                                                          m_disruptions.Spans(),
                                                          m_plannedWork.Stops(),
                                                          m_plannedWork.Launches() });
    std::vector<std::string> violations = std::move(callResult.m_violations);
    violations.insert(
      violations.end(), streamResult.m_violations.begin(), streamResult.m_violations.end());
    if (!recovered) {
      violations.emplace_back("a node did not serve again after the faults");
    }
    if (!led) {
      violations.emplace_back("not exactly one node was the leader after the faults");
    }
    for (const std::string& line : violations) {
      std::fprintf(stderr, "BROKEN: seed %lu: %s\n", m_settings.m_seed, line.c_str());
    }
    std::fprintf(stderr,
                 "seed %lu: %zu calls, %zu served, %zu undisturbed; %zu streams, %zu complete, "
                 "%zu resumed, %zu of two versions; in touch %zu of %zu new began, %zu of %zu "
                 "resumed went on; %zu promises broken\n",
                 m_settings.m_seed,
                 callResult.m_calls,
                 callResult.m_served,
                 callResult.m_undisturbed,
                 streamResult.m_streams,
                 streamResult.m_complete,
                 streamResult.m_resumed,
                 streamResult.m_mixed,
                 streamResult.m_new.m_served,
                 streamResult.m_new.m_requested,
                 streamResult.m_resumable.m_served,
                 streamResult.m_resumable.m_requested,
                 violations.size());
    return violations.empty();
  }

  ReleaseSoakSettings m_settings;
  std::mt19937_64 m_random;
  tests::PlatformFleet m_fleet;
  std::vector<size_t> m_storeProxies;
  adapters::http::EventLoop m_loop;
  PlannedWork m_plannedWork;
  Releases m_releases;
  NodeDisruptions m_disruptions;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::vector<std::unique_ptr<StreamCaller>> m_streamCallers;
  std::vector<adapters::http::EventHandlePtr> m_timers;
  base::Millis m_streamTimeout = kInitialStreamTimeout;
};

} // namespace

bool RunReleaseSoak(const ReleaseSoakSettings& aSettings) {
  return ReleaseSoak(aSettings).Run();
}

} // namespace papayafield::soak
