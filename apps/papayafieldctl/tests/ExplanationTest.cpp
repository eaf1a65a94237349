#include "papayafieldctl/Explanation.h"

#include <boost/test/unit_test.hpp>

#include <getopt.h>

using namespace papayafield::papayafieldctl;
using nlohmann::json;

namespace {

std::optional<ExitCode> Parse(std::vector<std::string> aArguments, Options& aOptions) {
  aArguments.insert(aArguments.begin(), "papayafieldctl");
  std::vector<char*> values;
  values.reserve(aArguments.size() + 1);
  for (std::string& argument : aArguments) {
    values.push_back(argument.data());
  }
  values.push_back(nullptr);
  optind = 0;
  return ReadOptions(static_cast<int>(aArguments.size()), values.data(), aOptions);
}

bool Contains(const std::string& aText, const std::string& aPart) {
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ExplanationTest)

// Values with delimiters of a query must reach the node unchanged.
BOOST_AUTO_TEST_CASE(OptionsBecomeTheQuery) {
  Options options;
  const auto code = Parse({ "explain",
                            "--node",
                            "127.0.0.1:9464",
                            "--host",
                            "h.example",
                            "--path",
                            "/a b&c",
                            "--team",
                            "team=1",
                            "--tokens",
                            "500,10",
                            "--json" },
                          options);
  BOOST_TEST(!code.has_value());
  BOOST_TEST(options.m_command == "explain");
  BOOST_TEST(options.m_json);
  const std::string target = ExplainTarget(options);
  BOOST_TEST(target.starts_with("/explain?host=h.example&path="));
  BOOST_TEST(Contains(target, "a%20b%26c&team=team%3D1&tokens=500%2C10"));
  BOOST_TEST(!Contains(target, "method"));
  BOOST_TEST(!Contains(target, "parts"));
}

BOOST_AUTO_TEST_CASE(OptionWithoutValueIsWrongUsage) {
  Options options;
  BOOST_TEST((Parse({ "explain", "--host" }, options) == ExitCode::Usage));
}

BOOST_AUTO_TEST_CASE(TextNamesTheChoiceAndItsInputs) {
  const json candidate = { { "endpoint", "e-1" },  { "expected_ms", 12.34 },
                           { "open_calls", 3 },    { "cache_rank", 2 },
                           { "avoided", nullptr }, { "excluded", "leaving" } };
  const std::string text =
    ExplanationText({ { "note", "Snapshot." },
                      { "outcome", "endpoint" },
                      { "route", "long" },
                      { "service", "engines" },
                      { "endpoint", "e-1" },
                      { "refusal", nullptr },
                      { "engine_priority", 4 },
                      { "quota", { { "admits", false } } },
                      { "peer_loads", { { "peers", 2 }, { "oldest_ms", 250 } } },
                      { "candidates", { candidate } },
                      { "candidates_omitted", 7U } });
  for (const char* part : { "Snapshot.",
                            "outcome: endpoint\n",
                            "route: long, service engines\n",
                            "endpoint: e-1",
                            "engine priority: 4",
                            "does not admit",
                            "250 ms old",
                            "12.3",
                            "excluded: leaving",
                            "and 7 more" }) {
    BOOST_TEST(Contains(text, part), part);
  }
  BOOST_TEST(!Contains(text, "refusal"));
}

// Answers of other versions may lack members.
BOOST_AUTO_TEST_CASE(TextOfIncompleteAnswers) {
  BOOST_TEST(ExplanationText(json::object()) == "\noutcome: \n");
  const std::string text = ExplanationText(
    { { "outcome", "no_route" }, { "refusal", { { "status", 404 }, { "reason", "no_route" } } } });
  BOOST_TEST(Contains(text, "refusal: 404 no_route"));
  BOOST_TEST(Contains(ExplanationText({ { "route", "a" }, { "candidates", 5 } }), "none"));
}

BOOST_AUTO_TEST_SUITE_END()
