#include "NodeBench.h"

#include "Usage.h"
#include "adapters/http/HttpClient.h"
#include "tests/harness/Fleet.h"

#include <memory>
#include <thread>

namespace papayafield::bench {

namespace {

using adapters::http::EventLoop;
using adapters::http::HttpClient;
using adapters::http::HttpRequest;

/// Sends `aCount` requests at `aRate` per second in an open loop, i.e. without waiting for answers.
/// Returns the latency of each successful answer in milliseconds.
std::vector<double> RunOpenLoop(const HttpRequest& aRequest, int aCount, int aRate) {
  EventLoop loop;
  HttpClient client(loop);
  std::vector<double> latenciesMs;
  int started = 0;
  int ended = 0;
  const auto begin = base::SteadyClock().Now();
  const auto ticker = loop.Every(base::Millis(1), [&] {
    const std::chrono::duration<double> sinceBegin = base::SteadyClock().Now() - begin;
    while (started < aCount && started < sinceBegin.count() * aRate) {
      ++started;
      const auto start = base::SteadyClock().Now();
      client.Fetch(aRequest, [&, start](const auto& aAnswer) {
        const std::chrono::duration<double> elapsed = base::SteadyClock().Now() - start;
        constexpr double kMillisPerSecond = 1000;
        if (aAnswer && aAnswer->m_status == 200) {
          latenciesMs.push_back(elapsed.count() * kMillisPerSecond);
        }
        if (++ended == aCount) {
          loop.Stop();
        }
      });
    }
  });
  loop.Run();
  return latenciesMs;
}

HttpRequest MakeStockRequest(const base::Address& aTo, const std::string& aTarget) {
  HttpRequest request;
  request.m_to = aTo;
  request.m_target = aTarget;
  request.m_headers.Add("Authorization", std::string("Bearer ") + tests::kTeamKey);
  return request;
}

} // namespace

Report MeasureAddedLatency() {
  Report report("added latency: stock checks at 500 a second, direct and through a node, in turn",
                { "round",
                  "direct p50 ms",
                  "node p50 ms",
                  "added p50 ms",
                  "direct p99 ms",
                  "node p99 ms",
                  "added p99 ms",
                  "answered" });
  tests::FleetSettings settings;
  settings.m_nodes = 1;
  settings.m_engines = 0;
  tests::Fleet fleet(settings);
  constexpr int kRate = 500;
  constexpr int kCount = 2000;
  for (int round = 1; round <= 5; ++round) {
    const auto direct =
      RunOpenLoop(MakeStockRequest(fleet.Service(0).m_address, "/stock/lilies"), kCount, kRate);
    const auto through = RunOpenLoop(
      MakeStockRequest(fleet.NodeAddress(0), "/services/orders/stock/lilies"), kCount, kRate);
    const auto quantiles = [&](double aQuantile) {
      return std::pair(Quantile(direct, aQuantile), Quantile(through, aQuantile));
    };
    const auto [directMedian, nodeMedian] = quantiles(0.5);
    const auto [directTail, nodeTail] = quantiles(0.99);
    report.AddRow({ round,
                    Rounded(directMedian, 3),
                    Rounded(nodeMedian, 3),
                    Rounded(nodeMedian - directMedian, 3),
                    Rounded(directTail, 3),
                    Rounded(nodeTail, 3),
                    Rounded(nodeTail - directTail, 3),
                    std::to_string(direct.size()) + "+" + std::to_string(through.size()) });
  }
  return report;
}

Report MeasureRelay() {
  Report report("relay: streams through one node",
                { "streams",
                  "tokens relayed",
                  "wall s",
                  "node cpu s",
                  "tokens a cpu second",
                  "memory KiB a stream",
                  "whole" });
  for (const int streams : { 100, 400 }) {
    tests::FleetSettings settings;
    settings.m_nodes = 1;
    settings.m_engines = 4;
    settings.m_services = 0;
    settings.m_engineOptions = { "--slots", "400", "--token-ms", "20", "--slowdown", "0" };
    tests::Fleet fleet(settings);
    const int pid = fleet.NodeProcess(0).Pid();
    std::this_thread::sleep_for(base::Millis(500));
    const ProcessUsage before = ReadProcessUsage(pid);
    const auto start = base::SteadyClock().Now();
    constexpr int kTokens = 250;
    EventLoop loop;
    HttpClient client(loop);
    int ended = 0;
    int whole = 0;
    double memory = 0;
    for (int i = 0; i < streams; ++i) {
      HttpRequest request;
      request.m_to = fleet.NodeAddress(0);
      request.m_method = "POST";
      request.m_target = "/v1/chat/completions";
      request.m_headers.Add("Authorization", std::string("Bearer ") + tests::kTeamKey);
      request.m_body =
        "{\"model\":\"condolence\",\"stream\":true,\"max_tokens\":" + std::to_string(kTokens) +
        ",\"messages\":[{\"role\":\"u\",\"content\":\"" + std::to_string(i) + "\"}]}";
      request.m_idleTimeout = base::Millis(30000);
      client.Fetch(request, [&](const auto& aAnswer) {
        whole += aAnswer && aAnswer->m_body.ends_with("data: [DONE]\n\n") ? 1 : 0;
        if (++ended == streams) {
          loop.Stop();
        }
      });
    }
    const auto sample = loop.After(base::Millis(3000), [&] {
      memory = (ReadProcessUsage(pid).m_residentKib - before.m_residentKib) / streams;
    });
    loop.Run();
    const std::chrono::duration<double> wall = base::SteadyClock().Now() - start;
    const double cpu = ReadProcessUsage(pid).m_cpuSeconds - before.m_cpuSeconds;
    report.AddRow({ streams,
                    streams * kTokens,
                    Rounded(wall.count(), 2),
                    Rounded(cpu, 2),
                    Rounded(streams * kTokens / cpu, 0),
                    Rounded(memory, 1),
                    whole });
  }
  return report;
}

} // namespace papayafield::bench
