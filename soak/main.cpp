#include "base/Log.h"
#include "soak/Checks.h"
#include "soak/FaultInjector.h"
#include "soak/Recovery.h"
#include "soak/ReleaseSoak.h"
#include "standins/common/Arguments.h"
#include "tests/harness/HostMemory.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>

/// \file
/// Fault soak test: runs real nodes against the platform stand-in, with callers that reuse their
/// connections, and injects seeded random faults. Exits with status 1 if a guarantee was violated.

namespace {

using namespace papayafield;
using soak::AllNodesRecover;
using soak::Caller;
using soak::OneNodeLeads;
using soak::RunFor;
using soak::RunUntil;

/// Time between two fault steps.
constexpr base::Millis kRoundDuration{ 1500 };
/// Deadline of calls beside planned work; above the duration of a slow stream.
constexpr base::Millis kLongAnswerTimeout{ 15000 };
/// A node answers a call at its deadline at the latest; callers see that after this time.
constexpr base::Millis kExtraWait{ 1000 };
constexpr base::Millis kLongPause{ 7000 };
/// Duration of a usage window; matches usage_window_s in the settings of PlatformFleet.
constexpr base::Millis kUsageWindow{ 1000 };
/// Memory of a host that runs a node, in bytes.
constexpr size_t kHostBytes = 260U << 20U;
/// Time for all planned stops to end.
constexpr base::Millis kSettleDuration = soak::PlannedWork::kGracePeriod + base::Millis(500);

/// Returns the behaviour of caller `aIndex` beside planned work: some send only streams, some leave
/// their connection idle for long.
soak::CallerSettings PlannedWorkCaller(size_t aIndex) {
  soak::CallerSettings settings;
  settings.m_answerTimeout = kLongAnswerTimeout;
  settings.m_extraWait = kExtraWait;
  settings.m_sendsOnlyStreams = aIndex % 4 == 3;
  settings.m_maxPause = aIndex % 4 == 2 ? kLongPause : base::Millis(0);
  return settings;
}

/// Lets some runners send slow streams, or streams that pause; the first one is fast.
void SlowDownRunners(tests::PlatformFleet& aFleet, size_t aRunners, uint64_t aSeed) {
  static constexpr std::array<const char*, 3> kModes = { "ok", "slow", "pause" };
  std::mt19937_64 random(aSeed);
  for (size_t runner = 1; runner < aRunners; ++runner) {
    aFleet.PostControl("runner",
                       { { "index", runner }, { "mode", kModes[random() % kModes.size()] } });
  }
}

/// Gives every second runner another version of the software, and waits until all nodes have read
/// that.
void SplitVersions(tests::PlatformFleet& aFleet, size_t aNodes, size_t aRunners) {
  for (size_t runner = 1; runner < aRunners; runner += 2) {
    aFleet.PostControl("runner",
                       { { "index", runner }, { "version", "v2" }, { "state", "ready" } });
  }
  const auto countOfV2 = [&](size_t aNode) {
    const std::string query = "/explain?host=h.example&method=GET&path=/safe/a&team=team-1";
    const auto body =
      base::ParseJson(tests::Call(aFleet.MetricsAddress(aNode), "GET", query).m_body);
    const auto candidates = body.value("candidates", nlohmann::json::array());
    return static_cast<size_t>(
      std::count_if(candidates.begin(), candidates.end(), [](const auto& aCandidate) {
        return aCandidate.value("version", "") == "v2";
      }));
  };
  for (size_t node = 0; node < aNodes; ++node) {
    tests::PlatformFleet::WaitUntil([&] { return countOfV2(node) == aRunners / 2; });
  }
}

/// Waits until all nodes have applied the newest configuration. Returns false if a node does not.
bool AllNodesFollow(tests::PlatformFleet& aFleet, size_t aNodes, const std::string& aHost) {
  for (size_t node = 0; node < aNodes; ++node) {
    const bool follows = tests::PlatformFleet::WaitUntil(
      [&] { return aFleet.Send(node, "GET", "/safe/end", aHost).m_status == 200; });
    if (!follows) {
      return false;
    }
  }
  return true;
}

/// Sends calls until a usage window that began after the start of this function is reported.
/// Returns false if none is.
bool UsageIsReported(tests::PlatformFleet& aFleet) {
  const int64_t current = base::WallMillis() / kUsageWindow.count();
  return tests::PlatformFleet::WaitUntil([&] {
    aFleet.Send(0, "GET", "/safe/end");
    const auto report = aFleet.PostControl("report");
    const auto& calls = report.at("duties");
    return std::any_of(calls.begin(), calls.end(), [&](const auto& aCall) {
      return aCall.at("path") == "/usage" &&
             aCall.at("body").at("window_id").template get<int64_t>() > current;
    });
  });
}

/// Returns the highest peak of resident memory of the nodes' present processes, in bytes.
size_t PeakMemory(tests::PlatformFleet& aFleet, size_t aNodes) {
  size_t peak = 0;
  for (size_t node = 0; node < aNodes; ++node) {
    peak = std::max(peak, tests::ReadPeakBytes(aFleet.NodeProcess(node).Pid()));
  }
  return peak;
}

} // namespace

int main(int argc, char** argv) {
  const standins::Arguments arguments(argc,
                                      argv,
                                      { { "seed", "1" },
                                        { "rounds", "10" },
                                        { "nodes", "3" },
                                        { "runners", "3" },
                                        { "callers", "8" },
                                        { "plan", "0" },
                                        { "releases", "0" },
                                        { "streams", "90" } });
  const auto seed = static_cast<uint64_t>(arguments.Number("seed"));
  const auto nodes = static_cast<size_t>(arguments.Number("nodes"));
  const auto runners = static_cast<size_t>(arguments.Number("runners"));
  const bool onlyPlannedWork = arguments.Number("plan") != 0;
  std::signal(SIGPIPE, SIG_IGN);
  if (arguments.Number("releases") != 0) {
    soak::ReleaseSoakSettings settings;
    settings.m_seed = seed;
    settings.m_rounds = static_cast<int>(arguments.Number("rounds"));
    settings.m_nodes = nodes;
    settings.m_callers = static_cast<size_t>(arguments.Number("callers"));
    settings.m_streamCallers = static_cast<size_t>(arguments.Number("streams"));
    return soak::RunReleaseSoak(settings) ? 0 : 1;
  }
  using Proxies = tests::PlatformFleet::Proxies;
  tests::PlatformFleet fleet(nodes, runners, onlyPlannedWork ? Proxies::None : Proxies::All);
  SplitVersions(fleet, nodes, runners);
  if (onlyPlannedWork) {
    SlowDownRunners(fleet, runners, seed);
  }
  adapters::http::EventLoop loop;
  soak::PlannedWork plannedWork(fleet, loop, nodes, seed);
  std::vector<std::unique_ptr<Caller>> callers;
  for (size_t i = 0; i < static_cast<size_t>(arguments.Number("callers")); ++i) {
    callers.push_back(std::make_unique<Caller>(
      loop,
      seed * 100 + i,
      "c" + std::to_string(i),
      onlyPlannedWork ? PlannedWorkCaller(i) : soak::CallerSettings(),
      [&] { return plannedWork.CallerAddresses(); },
      [&] { return plannedWork.NewestConfiguration(); }));
    callers.back()->SendNext();
  }
  soak::FaultInjector faults(fleet, plannedWork, nodes, runners, seed);
  const int rounds = static_cast<int>(arguments.Number("rounds"));
  for (int round = 0; round < rounds; ++round) {
    const std::string summary =
      onlyPlannedWork ? plannedWork.Schedule(kRoundDuration) : faults.Advance();
    std::fprintf(stderr, "seed %lu round %d:%s\n", seed, round, summary.c_str());
    RunFor(loop, kRoundDuration);
  }
  faults.RevertAll();
  RunUntil(loop, kSettleDuration, [&] { return plannedWork.IsSettled(); });
  for (const auto& caller : callers) {
    caller->Stop();
  }
  RunUntil(loop, kLongAnswerTimeout + kExtraWait, [&] {
    return std::all_of(
      callers.begin(), callers.end(), [](const auto& aCaller) { return aCaller->IsIdle(); });
  });
  const bool recovered = AllNodesRecover(fleet, nodes);
  const int newest = plannedWork.NewestConfiguration();
  const bool follow =
    newest == 0 || AllNodesFollow(fleet, nodes, soak::PlannedWork::HostOf(newest));
  const bool led = OneNodeLeads(fleet, nodes);
  const bool usageReported = UsageIsReported(fleet);
  std::vector<soak::CallRecord> records;
  for (const auto& caller : callers) {
    records.insert(records.end(), caller->Records().begin(), caller->Records().end());
  }
  soak::CheckResult result = soak::CheckGuarantees(records,
                                                   fleet.PostControl("report"),
                                                   plannedWork.Stops(),
                                                   plannedWork.Launches(),
                                                   faults.UnplannedSpans());
  if (!recovered) {
    result.m_violations.emplace_back("a node did not serve again after the faults");
  }
  if (!follow) {
    result.m_violations.emplace_back("a node did not apply the newest configuration");
  }
  if (!led) {
    result.m_violations.emplace_back("not exactly one node was the leader after the faults");
  }
  if (!usageReported) {
    result.m_violations.emplace_back("no usage was reported after the faults");
  }
  const size_t peakMemory = PeakMemory(fleet, nodes);
  if (peakMemory > kHostBytes) {
    result.m_violations.emplace_back("a node exceeded the memory of its host");
  }
  for (const std::string& line : result.m_violations) {
    std::fprintf(stderr, "BROKEN: %s\n", line.c_str());
  }
  std::fprintf(stderr,
               "seed %lu: %zu calls, %zu served, %zu refused, %zu undisturbed, %zu crossed, "
               "%zu outlasting, %zu of %zu resumed, %zu for the newest host, %zu MiB at most, "
               "%zu promises broken\n",
               seed,
               result.m_calls,
               result.m_served,
               result.m_rejected,
               result.m_undisturbed,
               result.m_crossed,
               result.m_outlasting,
               result.m_resumedServed,
               result.m_resumed,
               result.m_newestServed,
               peakMemory >> 20U,
               result.m_violations.size());
  return result.m_violations.empty() ? 0 : 1;
}
