#include "tests/harness/Fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <thread>

/// \file
/// Tests that an accepted configuration becomes active on all nodes and is never reverted.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

/// Exit codes of papayafieldctl.
constexpr int kDone = 0;
constexpr int kFindings = 3;
constexpr int kConflict = 4;
constexpr int kUnknown = 5;

FleetSettings Settings(int aNodes) {
  FleetSettings settings;
  settings.m_nodes = aNodes;
  settings.m_engines = 0;
  settings.m_services = 0;
  return settings;
}

uint64_t ActiveGeneration(const Fleet& aFleet, size_t aNode) {
  return base::ValueOr(aFleet.NodeStatus(aNode), "generation", uint64_t{ 0 });
}

/// Whether the generations in the timeline of a node strictly increase.
bool GenerationsIncrease(const Fleet& aFleet, size_t aNode) {
  const auto events = base::ParseJson(
    CallAs(kOperatorKey, aFleet.NodeAddress(aNode), "GET", "/operator/timeline").m_body);
  uint64_t last = 0;
  for (const auto& event : events) {
    if (event["kind"] == "generation_adopted") {
      const uint64_t generation = std::stoull(event["subject"].get<std::string>());
      if (generation <= last) {
        return false;
      }
      last = generation;
    }
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationTest)

// Two operators apply concurrently a hundred times: each accepted change gets its own generation,
// no generation is missing, and the other operator gets a conflict.
BOOST_AUTO_TEST_CASE(ConcurrentAppliesGetDistinctGenerations) {
  Fleet fleet(Settings(3));
  constexpr int kRaces = 100;
  std::atomic<int> accepted{ 0 };
  std::atomic<int> conflicts{ 0 };
  for (int race = 0; race < kRaces; ++race) {
    const std::string base = std::to_string(1 + accepted);
    std::vector<std::thread> operators;
    operators.reserve(2);
    for (size_t operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
      operators.emplace_back([&, operatorIndex] {
        nlohmann::json body = { { "base", std::stoull(base) },
                                { "apply_id",
                                  std::to_string(race) + "-" + std::to_string(operatorIndex) },
                                { "set_by", "operator-" + std::to_string(operatorIndex) } };
        std::ifstream file(fleet.ManifestFile());
        body["text"] = std::string(std::istreambuf_iterator<char>(file), {});
        const CallerAnswer answer = CallAs(kOperatorKey,
                                           fleet.NodeAddress(operatorIndex),
                                           "POST",
                                           "/operator/apply",
                                           base::DumpJson(body));
        accepted += answer.m_status == 200 ? 1 : 0;
        conflicts += answer.m_status == 409 ? 1 : 0;
      });
    }
    for (std::thread& thread : operators) {
      thread.join();
    }
  }
  BOOST_TEST(accepted == kRaces);
  BOOST_TEST(conflicts == kRaces);
  BOOST_TEST(fleet.WaitUntilActive(1 + kRaces));
  for (size_t i = 0; i < fleet.NodeCount(); ++i) {
    BOOST_TEST(ActiveGeneration(fleet, i) == 1U + kRaces);
    BOOST_TEST(GenerationsIncrease(fleet, i));
  }
}

// The answer to the compare-and-swap is lost: the apply is still reported as accepted, and it is
// made once.
BOOST_AUTO_TEST_CASE(LostCompareAndSwapAnswerIsResolved) {
  Fleet fleet(Settings(2));
  fleet.SetPlatformFaults({ { "lose_answers", 1 } });
  BOOST_TEST(
    fleet.RunCtl({ "apply", fleet.ManifestFile(), "--node", fleet.NodeAddress(0).ToText() }) ==
    kDone);
  BOOST_TEST(fleet.WaitUntilActive(2));
  BOOST_TEST(ActiveGeneration(fleet, 0) == 2U);
}

// The platform becomes silent during an apply: papayafieldctl reports an unknown outcome. Repeating
// the command with the same apply id after the recovery returns the outcome.
BOOST_AUTO_TEST_CASE(UnknownApplyIsResolvedByItsApplyId) {
  FleetSettings settings = Settings(2);
  settings.m_platformProxy = true;
  Fleet fleet(settings);
  // The write takes effect, but its answer and all later answers are lost.
  fleet.SetPlatformFaults({ { "lose_answers", 1000 } });
  std::thread silencer([&] {
    Eventually([&] {
      return Call(fleet.Platform().m_address, "GET", "/kv/papayafield/manifest")
               .m_body.find("settle-me") != std::string::npos;
    });
    fleet.SetPlatformFaults({ { "silent", true } });
  });
  const std::vector<std::string> apply{ "apply",      fleet.ManifestFile(),
                                        "--base",     "1",
                                        "--apply-id", "settle-me",
                                        "--node",     fleet.NodeAddress(0).ToText() };
  BOOST_TEST(fleet.RunCtl(apply) == kUnknown);
  silencer.join();
  fleet.SetPlatformFaults({ { "silent", false }, { "lose_answers", 0 } });
  BOOST_TEST(Eventually([&] { return fleet.RunCtl(apply) == kDone; }));
  BOOST_TEST(fleet.WaitUntilActive(2));
  BOOST_TEST(ActiveGeneration(fleet, 0) == 2U);
}

// The platform fails right after an apply is accepted: the other nodes get the change from peers.
BOOST_AUTO_TEST_CASE(ChangeBecomesActiveEverywhereDuringOutage) {
  Fleet fleet(Settings(9));
  BOOST_TEST(
    fleet.RunCtl({ "apply", fleet.ManifestFile(), "--node", fleet.NodeAddress(4).ToText() }) ==
    kDone);
  fleet.SetPlatformFaults({ { "outage", true } });
  BOOST_TEST(fleet.WaitUntilActive(2));
}

// A node that was paused during a change adopts it after it resumes, while the platform is down.
BOOST_AUTO_TEST_CASE(PausedNodeCatchesUp) {
  Fleet fleet(Settings(3));
  fleet.NodeProcess(2).Signal(SIGSTOP);
  BOOST_TEST(
    fleet.RunCtl({ "apply", fleet.ManifestFile(), "--node", fleet.NodeAddress(0).ToText() }) ==
    kDone);
  fleet.SetPlatformFaults({ { "outage", true } });
  fleet.NodeProcess(2).Signal(SIGCONT);
  BOOST_TEST(fleet.WaitUntilActive(2));
  BOOST_TEST(GenerationsIncrease(fleet, 2));
}

// A node restarts while the platform returns an outdated manifest: the node adopts the generation
// that is active at its peers.
BOOST_AUTO_TEST_CASE(RestartedNodeAdoptsNewerGenerationOfPeers) {
  Fleet fleet(Settings(3));
  const auto read = [&] {
    return Call(fleet.Platform().m_address, "GET", "/kv/papayafield/manifest");
  };
  const std::string oldManifest = read().m_body;
  BOOST_TEST(
    fleet.RunCtl({ "apply", fleet.ManifestFile(), "--node", fleet.NodeAddress(0).ToText() }) ==
    kDone);
  BOOST_TEST(fleet.WaitUntilActive(2));
  // Reverts the stored manifest to generation 1.
  const std::string version = read().m_headers.Find("X-Version").value_or("0");
  BOOST_TEST(
    Call(
      fleet.Platform().m_address, "PUT", "/kv/papayafield/manifest?expect=" + version, oldManifest)
      .m_status == 200);
  fleet.RestartNode(1);
  BOOST_TEST(Eventually([&] { return ActiveGeneration(fleet, 1) > 0; }));
  BOOST_TEST(ActiveGeneration(fleet, 1) == 2U);
  BOOST_TEST(GenerationsIncrease(fleet, 1));
}

// Invalid manifests, an outdated base generation and keys without operator rights are rejected; the
// exit code of papayafieldctl states the reason.
BOOST_AUTO_TEST_CASE(InvalidOperatorRequestsAreRejected) {
  Fleet fleet(Settings(1));
  const std::string file = fleet.Folder() + "/bad.toml";
  std::ofstream(file) << "[[team]]\nname = 5\n";
  BOOST_TEST(fleet.RunCtl({ "apply", file, "--node", fleet.NodeAddress(0).ToText() }) == kFindings);
  BOOST_TEST(fleet.RunCtl({ "validate", file }) == kFindings);
  BOOST_TEST(
    fleet.RunCtl(
      { "apply", fleet.ManifestFile(), "--base", "7", "--node", fleet.NodeAddress(0).ToText() }) ==
    kConflict);
  // The API key of a team does not authorize operator requests.
  BOOST_TEST(CallAs(kTeamKey, fleet.NodeAddress(0), "GET", "/operator/status").m_status == 401);
}

BOOST_AUTO_TEST_SUITE_END()
