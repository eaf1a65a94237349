#include "tests/harness/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Tests the priority that runners receive where routes of a model service have different targets.

using namespace papayafield;
using namespace papayafield::tests;
using nlohmann::json;

namespace {

/// Returns the priority with which a runner executed a call with 500 prompt tokens.
std::string PriorityAtRunner(const PlatformFleet& aFleet,
                             const std::string& aTarget,
                             const std::string& aId) {
  adapters::http::Headers headers;
  for (const auto& field : MakeCallerHeaders("h.example", "key-1", aId, base::Millis(10000))) {
    headers.Add(field.m_name, field.m_value);
  }
  headers.Add("Papayafield-Token-Usage", "500,10");
  Call(aFleet.CallerAddress(0), "POST", aTarget, "{}", headers);
  const auto runs = aFleet.RecordedRuns(aId);
  return runs.size() == 1 ? runs[0].at("priority").get<std::string>() : "none";
}

json MakeRoute(const std::string& aPrefix, int aTargetMs, int aPriority) {
  return { { "name", aPrefix },           { "host", "h.example" },   { "prefix", aPrefix },
           { "route_type", "streaming" }, { "timeout_ms", 10000 },   { "goal_ms", aTargetMs },
           { "gap_target_ms", 0 },        { "priority", aPriority }, { "service", "engines" },
           { "max_attempts", 1 },         { "public", false },       { "resumable", false } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(MixedServiceTest)

// Nodes use levels of their own only where settings and configuration call for it, and then keep
// those of the configured priorities apart.
BOOST_AUTO_TEST_CASE(LevelsFollowTheConfiguration) {
  PlatformFleet fleet(
    1, 1, PlatformFleet::Proxies::None, {}, "[scheduling]\norder_by_slack = true\n");
  BOOST_TEST(PriorityAtRunner(fleet, "/stream/a", "same") == "1");
  BOOST_TEST(fleet.ReadMetric(0, "mixed_services") == 0);
  ConfigurationOptions options;
  options.m_overrides = {
    { "routes", { MakeRoute("/short/", 1000, 0), MakeRoute("/long/", 4000, 2) } },
    { "services",
      { { { "name", "engines" }, { "max_conns", 300 }, { "backend", { { "slots", 16 } } } } } }
  };
  fleet.ApplyConfiguration(options);
  BOOST_REQUIRE(
    PlatformFleet::WaitUntil([&] { return fleet.ReadMetric(0, "mixed_services") == 1; }));
  const std::string shortLevel = PriorityAtRunner(fleet, "/short/a", "short");
  const std::string longLevel = PriorityAtRunner(fleet, "/long/a", "long");
  BOOST_TEST_CONTEXT(shortLevel << " and " << longLevel) {
    BOOST_REQUIRE(shortLevel.size() == 1U);
    BOOST_REQUIRE(longLevel.size() == 1U);
    BOOST_TEST((shortLevel >= "0" && shortLevel <= "4"));
    BOOST_TEST((longLevel >= "5" && longLevel <= "9"));
  }
}

BOOST_AUTO_TEST_SUITE_END()
