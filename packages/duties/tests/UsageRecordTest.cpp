#include "duties/UsageRecord.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace papayafield;
using namespace papayafield::duties;

namespace {

const std::string kValid =
  R"([{"window":7,"counts":{"t":3,"u":0}},{"window":8,"counts":{"t":18446744073709551615}}])";

} // namespace

BOOST_AUTO_TEST_SUITE(UsageRecordTest)

BOOST_AUTO_TEST_CASE(ReportsAreReadByWindow) {
  const auto reports = ParseUsageReports(kValid, 8);
  BOOST_REQUIRE(reports.has_value());
  BOOST_TEST(reports->size() == 2U);
  BOOST_TEST(reports->at(7).at(base::TeamId("t")) == 3U);
  BOOST_TEST(ParseUsageReports(kValid, 7)->size() == 1U);
}

// An entry of another form ended the process by an exception.
BOOST_AUTO_TEST_CASE(EntriesOfAnotherFormAreOmitted) {
  const std::string good = R"({"window":7,"counts":{"t":3}})";
  for (const char* odd : { "1",
                           "null",
                           "{}",
                           R"({"window":6})",
                           R"({"window":6,"counts":5})",
                           R"({"window":6,"counts":["a"]})",
                           R"({"window":6,"counts":{"t":"3"}})",
                           R"({"window":6,"counts":{"t":-3}})",
                           R"({"window":6,"counts":{"t":1e300}})",
                           R"({"window":"6","counts":{"t":3}})",
                           R"({"window":-6,"counts":{"t":3}})",
                           R"({"window":9223372036854775807,"counts":{"t":3}})",
                           R"({"window":1e300,"counts":{"t":3}})" }) {
    const auto reports = ParseUsageReports("[" + good + "," + odd + "]", 8);
    BOOST_REQUIRE_MESSAGE(reports.has_value(), odd);
    BOOST_TEST(reports->size() == 1U, odd);
  }
  BOOST_TEST(!ParseUsageReports("", 8).has_value());
  BOOST_TEST(!ParseUsageReports("{}", 8).has_value());
  BOOST_TEST(!ParseUsageReports("[1e999]", 8).has_value());
  BOOST_TEST(!ParseUsageReports(std::string(100000, '['), 8).has_value());
}

BOOST_AUTO_TEST_CASE(RandomChangesAreReadOrOmitted) {
  for (uint64_t seed = 1; seed <= 5000; ++seed) {
    std::mt19937_64 random(seed);
    std::string text = kValid;
    for (int change = 0; change < 3; ++change) {
      constexpr std::string_view kCharacters = "[]{}:,\"0919-e.tu\\ \xff";
      text[random() % text.size()] = kCharacters[random() % kCharacters.size()];
    }
    BOOST_CHECK_NO_THROW(ParseUsageReports(text, 8));
  }
}

BOOST_AUTO_TEST_SUITE_END()
