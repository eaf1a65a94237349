#include "settings/NodeSettings.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::settings;

namespace {

const char kMinimalSettings[] = R"(
[node]
name = "n1"
region = "r"
zone = "z"
callers = "127.0.0.1:1"
[fleet]
peers = "127.0.0.1:2"
keys = ["0123456789abcdef"]
[platform]
key_value = "127.0.0.1:3"
cloud = "127.0.0.1:3"
)";

} // namespace

BOOST_AUTO_TEST_SUITE(NodeSettingsTest)

BOOST_AUTO_TEST_CASE(MissingKeysGetDefaults) {
  const auto settings = ParseNodeSettings("n.toml", kMinimalSettings);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->m_claims.m_shards == 4U);
  BOOST_TEST(settings->m_callerAddress.m_port == 1);
}

BOOST_AUTO_TEST_CASE(InvalidValuesAreReported) {
  struct Case {
    const char* m_text;
    const char* m_expectedFinding;
  };
  const Case cases[] = {
    { "", "the key 'node' is missing" },
    { "[node]\ncallers = \"somewhere\"\n", "'node.callers' must be an IP number and a port" },
    { "[fleet]\nkeys = [\"short\"]\n", "at least 16 characters" },
    { "[limits]\nmax_body_bytes = 3\n",
      "'limits.max_body_bytes' must be a whole number from 1024" },
    { "[limits]\nread_timeout = 5\n", "must be a span with a unit" },
    { "[log]\nlevel = \"loud\"\n", "must be one of trace, debug" },
    { "[nood]\n", "the key 'nood' is not known" },
  };
  for (const Case& testCase : cases) {
    const auto settings = ParseNodeSettings("n.toml", testCase.m_text);
    BOOST_REQUIRE(!settings.has_value());
    const std::string text = settings.error().ToText();
    BOOST_TEST(text.find(testCase.m_expectedFinding) != std::string::npos,
               testCase.m_expectedFinding << " in\n"
                                          << text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
