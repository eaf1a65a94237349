#include "base/Log.h"
#include "soak/Checks.h"
#include "soak/Faults.h"
#include "standins/common/Arguments.h"

#include <csignal>
#include <cstdio>

/// \file
/// The fault soak: real nodes before the stand-in of the platform, callers that keep their
/// connections, and faults at random by seed. Ends with 1 when a promise was broken.

namespace {

using namespace papayafield;
using soak::Caller;

constexpr size_t kCallers = 8;
/// Time between two steps of faults.
constexpr base::Millis kRound{ 1500 };
/// Time in which callers end what is under way: their own patience and some more.
constexpr base::Millis kQuiet{ 8000 };

void RunFor(adapters::http::EventLoop& aLoop, base::Millis aSpan) {
  const auto timer = aLoop.After(aSpan, [&] { aLoop.Stop(); });
  aLoop.Run();
}

/// All nodes are ready again and each serves a call.
bool Recovers(tests::PlatformFleet& aFleet, size_t aNodes) {
  for (size_t node = 0; node < aNodes; ++node) {
    const bool back = tests::PlatformFleet::WaitUntil([&] {
      return aFleet.IsReady(node) && aFleet.Send(node, "GET", "/safe/end").m_status == 200;
    });
    if (!back) {
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
    callers.back()->Next();
  }
  soak::Faults faults(fleet, nodes, runners, seed);
  const int rounds = static_cast<int>(arguments.Number("rounds"));
  for (int round = 0; round < rounds; ++round) {
    std::fprintf(stderr, "seed %lu round %d:%s\n", seed, round, faults.Step().c_str());
    RunFor(loop, kRound);
  }
  faults.Clear();
  const bool recovered = Recovers(fleet, nodes);
  for (const auto& caller : callers) {
    caller->Stop();
  }
  RunFor(loop, kQuiet);
  std::vector<soak::CallRecord> records;
  for (const auto& caller : callers) {
    records.insert(records.end(), caller->Records().begin(), caller->Records().end());
  }
  soak::Verdict verdict = soak::Check(records, fleet.PostControl("report"));
  if (!recovered) {
    verdict.m_broken.emplace_back("a node did not serve again after the faults");
  }
  for (const std::string& line : verdict.m_broken) {
    std::fprintf(stderr, "BROKEN: %s\n", line.c_str());
  }
  std::fprintf(stderr,
               "seed %lu: %zu calls, %zu served, %zu refused, %zu promises broken\n",
               seed,
               verdict.m_calls,
               verdict.m_served,
               verdict.m_refused,
               verdict.m_broken.size());
  return verdict.m_broken.empty() ? 0 : 1;
}
