#include "forwarding/CallExplainer.h"
#include "base/Json.h"
#include "forwarding/tests/PlannerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;
using namespace papayafield::forwarding::tests;
using base::Millis;
using nlohmann::json;

namespace {

const std::string kQuery = "/explain?host=h.example&method=POST&path=";

struct ExplainerFixture : PlannerFixture {
  ExplainResponse Explain(const std::string& aTarget) const {
    return CallExplainer(m_node, { Millis(250), Millis(40) }).Explain(aTarget, m_now);
  }
  json ExplainPath(const std::string& aRest) const {
    const ExplainResponse response = Explain(kQuery + aRest);
    BOOST_TEST(response.m_status == 200);
    return response.m_body;
  }
  /// Fills the buckets of all teams.
  void OpenQuota() {
    m_node.m_quota.SetFleet({}, m_now);
    m_node.m_quota.Level(base::TeamId("team-1"), m_now + Millis(60000));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallExplainerTest, ExplainerFixture)

BOOST_AUTO_TEST_CASE(NodeWithoutConfigurationSaysSo) {
  NodeState node{ m_loop,
                  {},
                  {},
                  {},
                  {},
                  Millis(0),
                  1000,
                  {},
                  true,
                  [] {},
                  [] { return std::vector<base::Address>(); } };
  const ExplainResponse response = CallExplainer(node, {}).Explain(kQuery + "/plain/a", m_now);
  BOOST_TEST(response.m_status == 503);
  BOOST_TEST(response.m_body["reason"] == "no_configuration");
}

BOOST_AUTO_TEST_CASE(InvalidParameterIsNamed) {
  const std::pair<const char*, const char*> rows[] = {
    { "/explain", "host" },
    { "/explain?host=h.example", "path" },
    { "/explain?host=h.example&path=plain", "path" },
    { "/explain?host=h.example&path=/a&method=get", "method" },
    { "/explain?host=h.example&path=/a&tokens=x", "tokens" },
    { "/explain?host=h.example&path=/a&tokens=1,", "tokens" },
    { "/explain?host=h.example&path=/a&tokens=-1,2", "tokens" },
    { "/explain?host=h.example&path=/a&tokens=nan,2", "tokens" },
    { "/explain?host=h.example&path=/a&parts=system", "parts" },
    { "/explain?host=h.example&path=/a&parts=:5", "parts" },
    { "/explain?host=h.example&path=/a&parts=a:1e999", "parts" },
    { "/explain?host=h.example&path=/a&team=nobody", "team" },
  };
  for (const auto& [target, parameter] : rows) {
    BOOST_TEST_CONTEXT(target) {
      const ExplainResponse response = Explain(target);
      BOOST_TEST(response.m_status == 400);
      BOOST_TEST(response.m_body.value("parameter", "") == parameter);
    }
  }
  const std::string longPath = "/explain?host=h.example&path=/" + std::string(2000, 'a');
  BOOST_TEST(Explain(longPath).m_body["parameter"] == "path");
}

BOOST_AUTO_TEST_CASE(UnknownPathHasNoRoute) {
  const json body = ExplainPath("/nowhere");
  BOOST_TEST(body["outcome"] == "no_route");
  BOOST_TEST(body["refusal"]["status"] == 404);
}

// Guards against an answer that differs from the decision on a call.
BOOST_AUTO_TEST_CASE(StatesTheDecisionAndItsInputs) {
  for (const char* id : { "e-1", "e-2", "e-3", "e-4" }) {
    AddEndpoint(id, kEngines);
  }
  AddLoad("e-1", 3, 5000);
  m_node.m_placement.RecordOutcome(base::EndpointId("e-2"), false, m_now);
  m_node.m_placement.Avoid(base::EndpointId("e-2"), m_now + Millis(500));
  m_node.m_availability.MarkLeaving(IncarnationOf("e-3"), m_now);
  MakeModelCall();
  const CallPlan plan = Preview("long");
  const json body = ExplainPath("/long/x%3Fa=b&parts=system:600,own:400&tokens=1000,50");
  BOOST_TEST(body["outcome"] == "endpoint");
  BOOST_TEST(body["endpoint"] == ChosenEndpoint(plan));
  BOOST_TEST(body["route"] == "long");
  BOOST_TEST(body["path"] == "/long/x");
  BOOST_TEST(body["service"] == "engines");
  BOOST_TEST(body["admission"]["expected_ms"] == plan.m_prospect->m_expectedMs);
  BOOST_TEST(body["admission"]["slots"] == plan.m_prospect->m_slots);
  BOOST_TEST(body["engine_priority"] ==
             Planner("long").EnginePriority(plan.m_expectedDelayMs, m_now).m_level);
  BOOST_TEST(body["peer_loads"]["oldest_ms"] == 250);
  BOOST_TEST(body["peer_loads"]["youngest_ms"] == 40);
  BOOST_REQUIRE(body["candidates"].size() == 4U);
  BOOST_TEST(body["candidates"][0]["endpoint"] == ChosenEndpoint(plan));
  std::map<std::string, json> candidates;
  std::set<int> ranks;
  for (const json& candidate : body["candidates"]) {
    candidates[candidate["endpoint"]] = candidate;
    ranks.insert(candidate["cache_rank"].get<int>());
  }
  BOOST_TEST((ranks == std::set{ 1, 2, 3, 4 }));
  BOOST_TEST(candidates["e-1"]["open_calls"] == 3);
  BOOST_TEST(candidates["e-1"]["pending_tokens"] == 15000);
  BOOST_TEST(candidates["e-1"]["prefill_tokens_per_ms"].get<double>() > 0);
  BOOST_TEST(candidates["e-2"]["failure_rate"] == 0.1);
  BOOST_TEST(candidates["e-2"]["avoided"] == "recent failures");
  BOOST_TEST(candidates["e-3"]["excluded"] == "leaving");
  BOOST_TEST(candidates["e-4"]["avoided"].is_null());
  BOOST_TEST(candidates["e-4"]["excluded"].is_null());
}

// The rank must be that of the choice: at equal loads, the endpoint of rank 1 gets the call.
BOOST_AUTO_TEST_CASE(EndpointOfFirstRankIsChosenAtEqualLoads) {
  for (int i = 0; i < 8; ++i) {
    AddEndpoint("e-" + std::to_string(i), kEngines);
  }
  for (const char* subject : { "a", "b", "c", "d" }) {
    const json body =
      ExplainPath("/long/x&tokens=1000,1&parts=" + std::string(subject) + ":900,own:100");
    BOOST_TEST(body["candidates"][0]["endpoint"] == body["endpoint"]);
    BOOST_TEST(body["candidates"][0]["cache_rank"] == 1);
  }
}

BOOST_AUTO_TEST_CASE(StatesRefusals) {
  BOOST_TEST(ExplainPath("/plain/a")["outcome"] == "no_endpoint");
  AddEndpoint("e-1", kPlain);
  AddLoad("e-1", 10000, 0);
  json body = ExplainPath("/plain/a");
  BOOST_TEST(body["outcome"] == "refused");
  BOOST_TEST(body["refusal"]["status"] == 503);
  BOOST_TEST(body["refusal"]["reason"] == "overload");
  BOOST_TEST(body["endpoint"].is_null());
  BOOST_TEST(body["candidates"].size() == 1U);
  m_node.m_availability.Pause(IncarnationOf("e-1"), Millis(700), m_now);
  body = ExplainPath("/plain/a");
  BOOST_TEST(body["outcome"] == "no_endpoint");
  BOOST_TEST(body["refusal"]["reason"] == "waiting");
  BOOST_TEST(body["refusal"]["retry_after_s"].get<double>() == 0.9,
             boost::test_tools::tolerance(1e-9));
  quarantine::Report report;
  report.m_bans.push_back({ "system", 1, Millis(100), Millis(400) });
  m_node.m_crashGuard.Merge(report, m_now);
  body = ExplainPath("/long/a&tokens=10,1&parts=system:5,own:5");
  BOOST_TEST(body["outcome"] == "quarantined");
  BOOST_TEST(body["refusal"]["reason"] == "prompt_quarantined");
}

// Any number of questions must leave the team's bucket and demand as they are.
BOOST_AUTO_TEST_CASE(QuotaIsQueriedWithoutConsumingIt) {
  AddEndpoint("e-1", kPlain);
  const base::TeamId team("team-1");
  // A new bucket is overdrawn.
  json body = ExplainPath("/plain/a&team=team-1");
  BOOST_TEST(body["outcome"] == "quota");
  BOOST_TEST(body["refusal"]["status"] == 429);
  BOOST_TEST(body["quota"]["admits"] == false);
  BOOST_TEST(body["endpoint"].is_null());
  OpenQuota();
  const double level = m_node.m_quota.Level(team, m_now);
  for (int i = 0; i < 100; ++i) {
    body = ExplainPath("/plain/a&team=team-1");
    BOOST_REQUIRE(body["outcome"] == "endpoint");
  }
  BOOST_TEST(body["quota"]["level"] == level);
  BOOST_TEST(m_node.m_quota.Level(team, m_now) == level);
  BOOST_TEST(m_node.m_quota.UpdateLocalView(m_now).m_requested.empty());
  BOOST_TEST(ExplainPath("/plain/a")["quota"].is_null());
  BOOST_TEST(base::DumpJson(body).find("secret-key") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ResponseIsBounded) {
  for (int i = 0; i < 300; ++i) {
    AddEndpoint("e-" + std::to_string(i), kPlain);
    AddLoad("e-" + std::to_string(i), 300 - i, 0);
  }
  const json body = ExplainPath("/plain/a");
  BOOST_TEST(body["candidates"].size() == CallExplainer::kMaxCandidates);
  BOOST_TEST(body["candidates_omitted"] == 300 - CallExplainer::kMaxCandidates);
  BOOST_TEST(body["candidates"][0]["endpoint"] == "e-299");
  BOOST_TEST(body["candidates"][1]["endpoint"] == "e-298");
}

BOOST_AUTO_TEST_SUITE_END()
