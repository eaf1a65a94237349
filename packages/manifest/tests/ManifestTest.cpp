#include "manifest/Manifest.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::manifest;

BOOST_AUTO_TEST_SUITE(ManifestTest)

BOOST_AUTO_TEST_CASE(ReadsTeamsDeploymentsAndServices) {
  const auto manifest = ParseManifest("m.toml", R"(
[[team]]
name = "florists"
weight = 4
first_token = "1.8s"
[[deployment]]
name = "condolence"
model = "card-7b"
version = "3"
teams = ["florists"]
[[service]]
name = "orders"
[[service.call]]
method = "GET"
path = "/stock"
repeatable = true
)");
  BOOST_REQUIRE(manifest.has_value());
  BOOST_TEST(manifest->FindTeam(base::TeamId("florists"))->m_firstTokenTarget.count() == 1800);
  const Service& service = *manifest->FindService(base::DeploymentId("orders"));
  BOOST_TEST(FindCall(service, "GET", "/stock/lilies").m_repeatable);
  // A call that matches no route must not be retried.
  BOOST_TEST(!FindCall(service, "POST", "/stock").m_repeatable);
}

BOOST_AUTO_TEST_CASE(AllFindingsAreReportedWithTheirPosition) {
  const auto manifest = ParseManifest("m.toml", R"(format = 1
[[team]]
name = "florists"
weight = -1
colour = "red"
first_token = "soon"
[[team]]
name = "florists"
[[deployment]]
name = "condolence"
version = 3
teams = ["drivers"]
)");
  BOOST_REQUIRE(!manifest.has_value());
  const std::string text = manifest.error().ToText();
  for (const char* expected : { "m.toml:4:10: 'team.weight' must be a number",
                                "m.toml:5:10: the key 'team.colour' is not known",
                                "m.toml:6:15: 'team.first_token' must be a span",
                                "the team 'florists' stands twice",
                                "the key 'deployment.model' is missing",
                                "m.toml:11:11: 'deployment.version' must be a text",
                                "there is no team 'drivers'" }) {
    BOOST_TEST(text.find(expected) != std::string::npos,
               "missing '" << expected << "' in\n"
                           << text);
  }
}

BOOST_AUTO_TEST_CASE(SyntaxErrorsAreReportedWithTheirPosition) {
  const auto manifest = ParseManifest("m.toml", "format = 1\n[[team\n");
  BOOST_REQUIRE(!manifest.has_value());
  BOOST_TEST(manifest.error().List().front().m_line == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
