#include "ControlBench.h"

#include "Usage.h"
#include "routing/PrefixHash.h"
#include "routing/Router.h"
#include "tests/harness/Fleet.h"

#include <atomic>
#include <thread>

namespace papayafield::bench {

namespace {

using tests::Call;
using tests::CallAs;

routing::EndpointInfo MakeEngine(int aIndex) {
  routing::EndpointInfo info;
  info.m_id = base::EndpointId("gpu-" + std::to_string(aIndex));
  info.m_address = { "10.0.0.1", 8000 };
  info.m_zone = base::ZoneId("zone-" + std::to_string(aIndex % 6));
  info.m_centsPerHour = 90 + aIndex % 3;
  info.m_deployment = base::DeploymentId("condolence");
  return info;
}

nlohmann::json ReadPlatformCounts(tests::Fleet& aFleet) {
  return base::ParseJson(Call(aFleet.Platform().m_address, "GET", "/control/counts").m_body);
}

double Difference(const nlohmann::json& aAfter, const nlohmann::json& aBefore, const char* aKey) {
  return aAfter[aKey].get<double>() - aBefore[aKey].get<double>();
}

/// Returns the settings of a fleet without engines.
tests::FleetSettings MakeFleetSettings(int aNodes, int aServices) {
  tests::FleetSettings settings;
  settings.m_nodes = aNodes;
  settings.m_engines = 0;
  settings.m_services = aServices;
  return settings;
}

} // namespace

Report MeasureRouting() {
  Report report("routing: one decision (prompt of 2,000 tokens, 2,000 cached blocks an engine)",
                { "endpoints", "us a decision", "memory KiB an endpoint" });
  for (const int count : { 10, 30, 100, 300, 830 }) {
    const double before = ReadProcessUsage(0).m_residentKib;
    routing::Router router{ routing::RouterSettings{} };
    std::vector<routing::EndpointInfo> engines;
    engines.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      engines.push_back(MakeEngine(i));
    }
    router.SetEndpoints(engines);
    const base::TimePoint now = base::SteadyClock().Now();
    routing::RouteQuery query;
    query.m_deployment = base::DeploymentId("condolence");
    for (int i = 0; i < count; ++i) {
      routing::EngineLoad load;
      load.m_asOf = now;
      load.m_running = static_cast<uint32_t>(i % 7);
      router.ReportLoad(engines[static_cast<size_t>(i)].m_id, load);
      for (int prompt = 0; prompt < 16; ++prompt) {
        const std::string text(8000, static_cast<char>('a' + (i + prompt) % 26));
        query.m_blocks = routing::PrefixBlocks(text);
        query.m_promptTokens = routing::EstimateTokens(text);
        router.RecordRequestSent(
          engines[static_cast<size_t>(i)].m_id, query, now - base::Millis(1));
        router.RecordRequestEnded(engines[static_cast<size_t>(i)].m_id);
      }
      router.ReportLoad(engines[static_cast<size_t>(i)].m_id, load);
    }
    const double memory = (ReadProcessUsage(0).m_residentKib - before) / count;
    constexpr int kDecisions = 2000;
    const double start = ThreadCpuSeconds();
    for (int i = 0; i < kDecisions; ++i) {
      if (!router.Choose(query)) {
        std::abort();
      }
    }
    constexpr double kMicrosPerSecond = 1e6;
    report.AddRow({ count,
                    Rounded((ThreadCpuSeconds() - start) / kDecisions * kMicrosPerSecond, 2),
                    Rounded(memory, 0) });
  }
  return report;
}

Report MeasurePlatformCalls() {
  Report report("calls of the key-value service (test pace: host list 0.2 s, backstop 1 s)",
                { "nodes",
                  "idle reads a second",
                  "idle writes a second",
                  "idle cpu % of a core, a node",
                  "resident MiB, a node",
                  "orders a second",
                  "claim writes a second" });
  for (const int nodes : { 1, 3, 9 }) {
    tests::Fleet fleet(MakeFleetSettings(nodes, 2));
    // Measures idle nodes.
    constexpr base::Millis kIdle{ 6000 };
    std::this_thread::sleep_for(base::Millis(4000));
    auto before = ReadPlatformCounts(fleet);
    std::vector<ProcessUsage> usage;
    usage.reserve(static_cast<size_t>(nodes));
    for (int i = 0; i < nodes; ++i) {
      usage.push_back(ReadProcessUsage(fleet.NodeProcess(static_cast<size_t>(i)).Pid()));
    }
    std::this_thread::sleep_for(kIdle);
    auto after = ReadPlatformCounts(fleet);
    const double idleSeconds = std::chrono::duration<double>(kIdle).count();
    const double reads = Difference(after, before, "reads") / idleSeconds;
    const double writes = Difference(after, before, "writes") / idleSeconds;
    double cpu = 0;
    double memory = 0;
    for (int i = 0; i < nodes; ++i) {
      const ProcessUsage now = ReadProcessUsage(fleet.NodeProcess(static_cast<size_t>(i)).Pid());
      cpu += (now.m_cpuSeconds - usage[static_cast<size_t>(i)].m_cpuSeconds) / idleSeconds / nodes;
      memory += now.m_residentKib / 1024 / nodes;
    }
    // Measures orders from callers that each wait for the answer before the next call.
    constexpr int kCallers = 32;
    constexpr base::Millis kBusy{ 5000 };
    std::atomic<int> orders{ 0 };
    std::atomic<bool> stop{ false };
    before = ReadPlatformCounts(fleet);
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        for (int i = 0; !stop; ++i) {
          const std::string order = std::to_string(caller) + "-" + std::to_string(i);
          const auto answer =
            CallAs(tests::kTeamKey,
                   fleet.NodeAddress(static_cast<size_t>(caller) % fleet.NodeCount()),
                   "POST",
                   "/services/orders/orders",
                   "{\"order\":\"" + order + "\"}",
                   order);
          orders += answer.m_status == 201 ? 1 : 0;
        }
      });
    }
    std::this_thread::sleep_for(kBusy);
    const int done = orders;
    after = ReadPlatformCounts(fleet);
    stop = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    const double busySeconds = std::chrono::duration<double>(kBusy).count();
    constexpr double kPercent = 100;
    report.AddRow({ nodes,
                    Rounded(reads, 1),
                    Rounded(writes, 2),
                    Rounded(cpu * kPercent, 2),
                    Rounded(memory, 1),
                    Rounded(done / busySeconds, 0),
                    Rounded(Difference(after, before, "writes") / busySeconds, 0) });
  }
  return report;
}

Report MeasureEngines() {
  Report report("load polling: an idle node with idle engines",
                { "engines", "questions a second", "cpu % of a core", "resident MiB" });
  for (const int engines : { 0, 1, 8, 32 }) {
    tests::FleetSettings settings = MakeFleetSettings(1, 0);
    settings.m_engines = engines;
    tests::Fleet fleet(settings);
    const int pid = fleet.NodeProcess(0).Pid();
    const auto loadRequests = [&] {
      double sum = 0;
      for (size_t i = 0; i < fleet.EngineCount(); ++i) {
        sum += tests::Fleet::EngineCounts(fleet.Engine(i))["questions"].get<double>();
      }
      return sum;
    };
    std::this_thread::sleep_for(base::Millis(2000));
    const double requestsBefore = loadRequests();
    const ProcessUsage before = ReadProcessUsage(pid);
    constexpr base::Millis kIdle{ 8000 };
    std::this_thread::sleep_for(kIdle);
    const ProcessUsage after = ReadProcessUsage(pid);
    const double seconds = std::chrono::duration<double>(kIdle).count();
    constexpr double kPercent = 100;
    report.AddRow({ engines,
                    Rounded((loadRequests() - requestsBefore) / seconds, 1),
                    Rounded((after.m_cpuSeconds - before.m_cpuSeconds) / seconds * kPercent, 2),
                    Rounded(after.m_residentKib / 1024, 1) });
  }
  return report;
}

Report MeasureConfiguration() {
  Report report(
    "configuration: time from acceptance until active on all nodes, 20 changes",
    { "nodes", "median ms", "most ms", "median ms, platform down", "most ms, platform down" });
  for (const int nodes : { 3, 9 }) {
    tests::Fleet fleet(MakeFleetSettings(nodes, 0));
    const auto manifest =
      CallAs(tests::kOperatorKey, fleet.NodeAddress(0), "GET", "/operator/manifest");
    const std::string text = base::ParseJson(manifest.m_body)["text"].get<std::string>();
    uint64_t generation = 1;
    std::vector<double> latenciesMs[2];
    for (int change = 0; change < 40; ++change) {
      const bool outage = change >= 20;
      const nlohmann::json body = { { "text", text },
                                    { "apply_id", std::to_string(change) },
                                    { "base", generation },
                                    { "set_by", "bench" } };
      const auto answer = CallAs(
        tests::kOperatorKey, fleet.NodeAddress(0), "POST", "/operator/apply", base::DumpJson(body));
      const auto accepted = base::SteadyClock().Now();
      if (answer.m_status != 200) {
        continue;
      }
      if (outage) {
        fleet.SetPlatformFaults({ { "outage", true } });
      }
      fleet.WaitUntilActive(++generation);
      const std::chrono::duration<double> elapsed = base::SteadyClock().Now() - accepted;
      constexpr double kMillisPerSecond = 1000;
      latenciesMs[outage ? 1 : 0].push_back(elapsed.count() * kMillisPerSecond);
      fleet.SetPlatformFaults({ { "outage", false } });
    }
    report.AddRow({ nodes,
                    Rounded(Quantile(latenciesMs[0], 0.5), 1),
                    Rounded(Quantile(latenciesMs[0], 1), 1),
                    Rounded(Quantile(latenciesMs[1], 0.5), 1),
                    Rounded(Quantile(latenciesMs[1], 1), 1) });
  }
  return report;
}

} // namespace papayafield::bench
