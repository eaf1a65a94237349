#include "tests/harness/PlatformFleet.h"

#include "base/Json.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Tests `GET /explain` of the metrics listener and `papayafieldctl explain` against running nodes.

using namespace papayafield;
using namespace papayafield::tests;
using nlohmann::json;

namespace {

constexpr int kDone = 0;
constexpr int kUsage = 2;
constexpr int kUnreachable = 6;

int RunExplain(const std::string& aNode, const std::vector<std::string>& aArguments) {
  std::vector<std::string> arguments{ "explain", "--node", aNode };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  return Process("apps/papayafieldctl/papayafieldctl", arguments).WaitForExit();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ExplainTest)

// Guards against an answer that sends, counts or changes something, or that differs from where the
// next call goes.
BOOST_AUTO_TEST_CASE(NamesTheEndpointOfTheNextCallAndSendsNothing) {
  PlatformFleet fleet(2, 3);
  const base::Address metrics = fleet.MetricsAddress(0);
  const std::string query = "/explain?host=h.example&path=/stream/a&method=POST&team=team-1"
                            "&parts=system:400,own:100&tokens=500,10";
  const double openBefore = fleet.ReadMetric(0, "attempts_open");
  json body;
  for (int i = 0; i < 20; ++i) {
    const CallerAnswer answer = Call(metrics, "GET", query);
    BOOST_REQUIRE(answer.m_status == 200);
    body = base::ParseJson(answer.m_body);
  }
  BOOST_TEST(body["outcome"] == "endpoint");
  BOOST_TEST(body["service"] == "engines");
  BOOST_TEST(body["candidates"].size() == 3U);
  BOOST_TEST(body["quota"]["admits"] == true);
  BOOST_TEST(body["peer_loads"]["peers"] == 1);
  BOOST_TEST(body.dump().find("key-1") == std::string::npos);
  BOOST_TEST(fleet.ReadMetric(0, "attempts_open") == openBefore);

  adapters::http::Headers headers;
  for (const auto& field :
       MakeCallerHeaders("h.example", "key-1", "explained", base::Millis(10000))) {
    headers.Add(field.m_name, field.m_value);
  }
  headers.Add("Papayafield-Token-Usage", "500,10");
  headers.Add("Papayafield-Prefix-Hash", "system:400,own:100");
  Call(fleet.CallerAddress(0), "POST", "/stream/a", "{}", headers);
  const auto runs = fleet.RecordedRuns("explained");
  BOOST_REQUIRE(runs.size() == 1U);
  BOOST_TEST_CONTEXT(runs[0].dump()) {
    BOOST_TEST(runs[0].value("runner", "") == body["endpoint"].get<std::string>());
  }
}

BOOST_AUTO_TEST_CASE(InvalidQueriesAndUnreachableNodesAreReported) {
  PlatformFleet fleet(1, 1);
  const base::Address metrics = fleet.MetricsAddress(0);
  const CallerAnswer invalid = Call(metrics, "GET", "/explain?host=h.example&path=/a&tokens=x");
  BOOST_TEST(invalid.m_status == 400);
  BOOST_TEST(base::ParseJson(invalid.m_body)["parameter"] == "tokens");
  const json unknown =
    base::ParseJson(Call(metrics, "GET", "/explain?host=nobody.example&path=/a").m_body);
  BOOST_TEST(unknown["outcome"] == "no_route");

  const std::string node = metrics.ToText();
  BOOST_TEST(RunExplain(node, { "--host", "h.example", "--path", "/stream/a" }) == kDone);
  BOOST_TEST(RunExplain(node, { "--host", "h.example", "--path", "/stream/a", "--json" }) == kDone);
  BOOST_TEST(RunExplain(node, { "--host", "h.example" }) == kUsage);
  BOOST_TEST(RunExplain(node, { "--host", "h.example", "--path", "/stream/a", "--tokens", "x" }) ==
             kUsage);
  fleet.NodeProcess(0).Kill();
  BOOST_TEST(RunExplain(node, { "--host", "h.example", "--path", "/stream/a" }) == kUnreachable);
}

BOOST_AUTO_TEST_SUITE_END()
