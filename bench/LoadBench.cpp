#include "LoadBench.h"

#include "Usage.h"
#include "adapters/http/HttpClient.h"
#include "tests/harness/Fleet.h"

#include <algorithm>
#include <memory>
#include <random>

namespace papayafield::bench {

namespace {

using adapters::http::EventLoop;
using adapters::http::HttpClient;
using adapters::http::HttpRequest;

constexpr int kEngines = 3;
constexpr int kSlots = 8;
constexpr int kTokens = 50;
constexpr double kTokenSeconds = 0.02;
/// Requests per second that the engines can serve.
constexpr double kCapacity = kEngines * kSlots / (kTokens * kTokenSeconds);
constexpr double kSmallRate = 2;
constexpr double kMillisPerSecond = 1000;

/// Results of the requests of one team.
struct TeamResults {
  int m_sent = 0;
  int m_completed = 0;
  /// Answers completed while the load was still being sent.
  int m_completedInTime = 0;
  int m_rejected = 0;
  int m_failed = 0;
  std::vector<double> m_firstTokenMs;
};

/// Sends requests of one team with exponentially distributed intervals until `m_stopped` is set.
class Sender {
public:
  Sender(EventLoop& aLoop,
         HttpClient& aClient,
         tests::Fleet& aFleet,
         const char* aKey,
         double aRate,
         uint64_t aSeed)
    : m_loop(aLoop)
    , m_client(aClient)
    , m_fleet(aFleet)
    , m_key(aKey)
    , m_intervals(aRate)
    , m_random(aSeed) {
    ScheduleNext();
  }

  TeamResults m_results;
  int m_pendingRequests = 0;
  bool m_stopped = false;

private:
  void ScheduleNext() {
    const base::Millis interval(static_cast<int64_t>(m_intervals(m_random) * kMillisPerSecond));
    m_timer = m_loop.After(interval, [this] {
      if (!m_stopped) {
        SendOne();
        ScheduleNext();
      }
    });
  }

  void SendOne() {
    HttpRequest request;
    request.m_to = m_fleet.NodeAddress(m_random() % m_fleet.NodeCount());
    request.m_method = "POST";
    request.m_target = "/v1/chat/completions";
    request.m_headers.Add("Authorization", "Bearer " + m_key);
    request.m_idleTimeout = base::Millis(60000);
    request.m_body =
      "{\"model\":\"condolence\",\"stream\":true,\"max_tokens\":" + std::to_string(kTokens) +
      ",\"messages\":[{\"role\":\"u\",\"content\":\"" + std::to_string(m_random()) + "\"}]}";
    ++m_results.m_sent;
    ++m_pendingRequests;
    const auto start = base::SteadyClock().Now();
    const auto firstTokenMs = std::make_shared<double>(-1);
    const auto tail = std::make_shared<std::string>();
    const auto status = std::make_shared<int>(0);
    adapters::http::TransferEvents events;
    events.m_onHead = [status](int aStatus, const auto&) { *status = aStatus; };
    events.m_onData = [=](std::string_view aPart) {
      if (*firstTokenMs < 0) {
        const std::chrono::duration<double> elapsed = base::SteadyClock().Now() - start;
        *firstTokenMs = elapsed.count() * kMillisPerSecond;
      }
      tail->assign(aPart.substr(aPart.size() - std::min<size_t>(aPart.size(), 32)));
    };
    events.m_onEnd = [=, this] {
      --m_pendingRequests;
      if (*status == 503) {
        ++m_results.m_rejected;
      } else if (tail->ends_with("data: [DONE]\n\n")) {
        ++m_results.m_completed;
        m_results.m_completedInTime += m_stopped ? 0 : 1;
        m_results.m_firstTokenMs.push_back(*firstTokenMs);
      } else {
        ++m_results.m_failed;
      }
    };
    events.m_onFault = [this](auto) {
      --m_pendingRequests;
      ++m_results.m_failed;
    };
    m_client.Start(std::move(request), std::move(events));
  }

  EventLoop& m_loop;
  HttpClient& m_client;
  tests::Fleet& m_fleet;
  std::string m_key;
  std::exponential_distribution<double> m_intervals;
  std::mt19937_64 m_random;
  adapters::http::EventHandlePtr m_timer;
};

} // namespace

Report MeasureOverload(uint64_t aSeed) {
  Report report("overload: 3 nodes, 3 engines of 8 slots (24 requests a second), 15 s each, "
                "requests wait 4 s at most",
                { "load",
                  "team",
                  "sent",
                  "whole",
                  "refused",
                  "failed",
                  "goodput a second",
                  "first token p50 ms",
                  "p95 ms",
                  "p99 ms",
                  "node MiB" });
  for (const double load : { 0.5, 1.0, 2.0 }) {
    tests::FleetSettings settings;
    settings.m_engines = kEngines;
    settings.m_services = 0;
    settings.m_maxWait = "4s";
    settings.m_engineOptions = { "--slots", std::to_string(kSlots), "--token-ms",
                                 "20",      "--slowdown",           "0" };
    tests::Fleet fleet(settings);
    EventLoop loop;
    HttpClient client(loop);
    // Both teams have normal priority.
    Sender large(loop, client, fleet, tests::kTeamKey, kCapacity * load - kSmallRate, aSeed);
    Sender small(loop, client, fleet, tests::kThirdTeamKey, kSmallRate, aSeed + 1);
    constexpr base::Millis kLoadDuration{ 15000 };
    const auto stopper =
      loop.After(kLoadDuration, [&] { large.m_stopped = small.m_stopped = true; });
    const auto ender = loop.Every(base::Millis(50), [&] {
      if (large.m_stopped && large.m_pendingRequests + small.m_pendingRequests == 0) {
        loop.Stop();
      }
    });
    loop.Run();
    const double memory = ReadProcessUsage(fleet.NodeProcess(0).Pid()).m_residentKib / 1024;
    const double seconds = std::chrono::duration<double>(kLoadDuration).count();
    for (const auto& [name, sender] : { std::pair("large", &large), std::pair("small", &small) }) {
      const TeamResults& results = sender->m_results;
      report.AddRow({ load,
                      name,
                      results.m_sent,
                      results.m_completed,
                      results.m_rejected,
                      results.m_failed,
                      Rounded(results.m_completedInTime / seconds, 1),
                      Rounded(Quantile(results.m_firstTokenMs, 0.5), 0),
                      Rounded(Quantile(results.m_firstTokenMs, 0.95), 0),
                      Rounded(Quantile(results.m_firstTokenMs, 0.99), 0),
                      Rounded(memory, 1) });
    }
  }
  return report;
}

} // namespace papayafield::bench
