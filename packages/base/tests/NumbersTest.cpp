#include "base/Numbers.h"
#include "base/Json.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace papayafield::base;

BOOST_AUTO_TEST_SUITE(NumbersTest)

BOOST_AUTO_TEST_CASE(ValuesOutOfRangeBecomeTheNearestLimit) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  BOOST_TEST(SaturatingCast<int>(3.9) == 3);
  BOOST_TEST(SaturatingCast<int>(-3.9) == -3);
  BOOST_TEST(SaturatingCast<int>(1e300) == std::numeric_limits<int>::max());
  BOOST_TEST(SaturatingCast<int>(-kInfinity) == std::numeric_limits<int>::min());
  BOOST_TEST(SaturatingCast<int>(std::nan("")) == 0);
  BOOST_TEST(SaturatingCast<int64_t>(9223372036854775807.0) == std::numeric_limits<int64_t>::max());
  BOOST_TEST(SaturatingCast<int64_t>(-1e19) == std::numeric_limits<int64_t>::min());
  BOOST_TEST(SaturatingCast<uint64_t>(-1) == 0U);
  BOOST_TEST(SaturatingCast<uint64_t>(1e20) == std::numeric_limits<uint64_t>::max());
  BOOST_TEST(SaturatingMillis(-5).count() == 0);
  BOOST_TEST(SaturatingMillis(1500.7).count() == 1500);
  BOOST_TEST((SaturatingMillis(kInfinity) == kMaxReadDuration));
  BOOST_TEST(FiniteAmount(std::nan("")) == 0);
  BOOST_TEST(FiniteAmount(kInfinity) == 0);
  BOOST_TEST(FiniteAmount(-3) == 0);
  BOOST_TEST(FiniteAmount(3) == 3);
}

BOOST_AUTO_TEST_CASE(JsonMembersOutOfRangeBecomeTheNearestLimit) {
  const auto read = [](const char* aNumber) {
    return ValueOr<int64_t>(ParseJson(std::string(R"({"n":)") + aNumber + "}"), "n", 7);
  };
  BOOST_TEST(read("12") == 12);
  BOOST_TEST(read("-12") == -12);
  BOOST_TEST(read("1.5") == 1);
  BOOST_TEST(read("18446744073709551615") == std::numeric_limits<int64_t>::max());
  BOOST_TEST(read("99999999999999999999") == std::numeric_limits<int64_t>::max());
  BOOST_TEST(read("-1e300") == std::numeric_limits<int64_t>::min());
  BOOST_TEST(read("1e999") == 7);
  BOOST_TEST(read("\"12\"") == 7);
  const auto readInt = [](const char* aNumber) {
    return ValueOr<int>(ParseJson(std::string(R"({"n":)") + aNumber + "}"), "n", 7);
  };
  BOOST_TEST(readInt("4294967297") == std::numeric_limits<int>::max());
  BOOST_TEST(readInt("-4294967297") == std::numeric_limits<int>::min());
}

// The parser recurses once per level.
BOOST_AUTO_TEST_CASE(DeeplyNestedCborIsDiscarded) {
  BOOST_TEST(ParseCbor(std::string(4000000, '\x81')).is_discarded());
  BOOST_TEST(ParseCbor(std::string(4000000, '\xa1')).is_discarded());
  BOOST_TEST(ParseCbor("\x9b\xff\xff\xff\xff\xff\xff\xff\xff").is_discarded());
  const nlohmann::json value = { { "a", { 1, 2, nlohmann::json::binary({ 3 }) } } };
  const auto bytes = nlohmann::json::to_cbor(value);
  BOOST_TEST((ParseCbor(std::string(bytes.begin(), bytes.end())) == value));
}

BOOST_AUTO_TEST_SUITE_END()
