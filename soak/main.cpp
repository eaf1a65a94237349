#include "base/Log.h"
#include "soak/Checks.h"
#include "soak/FaultInjector.h"
#include "standins/common/Arguments.h"

#include <csignal>
#include <cstdio>

/// \file
/// Fault soak test: runs real nodes against the platform stand-in, with callers that reuse their
/// connections, and injects seeded random faults. Exits with status 1 if a guarantee was violated.

namespace {

using namespace papayafield;
using soak::Caller;

constexpr size_t kCallers = 8;
/// Time between two fault steps.
constexpr base::Millis kRoundDuration{ 1500 };
/// Time for callers to complete calls in flight: their timeout plus a margin.
constexpr base::Millis kDrainDuration{ 8000 };

void RunFor(adapters::http::EventLoop& aLoop, base::Millis aDuration) {
  const auto timer = aLoop.After(aDuration, [&] { aLoop.Stop(); });
  aLoop.Run();
}

/// Waits until all nodes are ready again and each serves a call. Returns false if a node does not
/// recover.
bool AllNodesRecover(tests::PlatformFleet& aFleet, size_t aNodes) {
  for (size_t node = 0; node < aNodes; ++node) {
    const bool nodeRecovered = tests::PlatformFleet::WaitUntil([&] {
      return aFleet.IsReady(node) && aFleet.Send(node, "GET", "/safe/end").m_status == 200;
    });
    if (!nodeRecovered) {
      return false;
    }
  }
  return true;
}

} // namespace

int main(int argc, char** argv) {
  const standins::Arguments arguments(
    argc, argv, { { "seed", "1" }, { "rounds", "10" }, { "nodes", "3" }, { "runners", "3" } });
  const auto seed = static_cast<uint64_t>(arguments.Number("seed"));
  const auto nodes = static_cast<size_t>(arguments.Number("nodes"));
  const auto runners = static_cast<size_t>(arguments.Number("runners"));
  std::signal(SIGPIPE, SIG_IGN);
  tests::PlatformFleet fleet(nodes, runners, tests::PlatformFleet::Proxies::All);
  adapters::http::EventLoop loop;
  std::vector<base::Address> addresses;
  for (size_t node = 0; node < nodes; ++node) {
    addresses.push_back(fleet.CallerAddress(node));
  }
  std::vector<std::unique_ptr<Caller>> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Caller>(
      loop, seed * 100 + i, "c" + std::to_string(i), [&] { return addresses; }));
    callers.back()->SendNext();
  }
  soak::FaultInjector faults(fleet, nodes, runners, seed);
  const int rounds = static_cast<int>(arguments.Number("rounds"));
  for (int round = 0; round < rounds; ++round) {
    std::fprintf(stderr, "seed %lu round %d:%s\n", seed, round, faults.Advance().c_str());
    RunFor(loop, kRoundDuration);
  }
  faults.RevertAll();
  const bool recovered = AllNodesRecover(fleet, nodes);
  for (const auto& caller : callers) {
    caller->Stop();
  }
  RunFor(loop, kDrainDuration);
  std::vector<soak::CallRecord> records;
  for (const auto& caller : callers) {
    records.insert(records.end(), caller->Records().begin(), caller->Records().end());
  }
  soak::CheckResult result = soak::CheckGuarantees(records, fleet.PostControl("report"));
  if (!recovered) {
    result.m_violations.emplace_back("a node did not serve again after the faults");
  }
  for (const std::string& line : result.m_violations) {
    std::fprintf(stderr, "BROKEN: %s\n", line.c_str());
  }
  std::fprintf(stderr,
               "seed %lu: %zu calls, %zu served, %zu refused, %zu promises broken\n",
               seed,
               result.m_calls,
               result.m_served,
               result.m_rejected,
               result.m_violations.size());
  return result.m_violations.empty() ? 0 : 1;
}
