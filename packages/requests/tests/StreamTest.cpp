#include "requests/AnswerToken.h"
#include "requests/RetryBudget.h"
#include "requests/SseReader.h"
#include "requests/StreamSplicer.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::requests;

BOOST_AUTO_TEST_SUITE(StreamTest)

BOOST_AUTO_TEST_CASE(SplicerDropsDuplicatesAndDetectsGaps) {
  StreamSplicer splicer(3);
  BOOST_TEST((splicer.Accept(2) == SpliceVerdict::Duplicate));
  BOOST_TEST((splicer.Accept(3) == SpliceVerdict::Pass));
  BOOST_TEST((splicer.Accept(5) == SpliceVerdict::Gap));
  BOOST_TEST(splicer.NextOffset() == 4U);
}

// The parsed events do not depend on how the byte stream is split.
BOOST_AUTO_TEST_CASE(ReaderAcceptsAnySplit) {
  const std::string text =
    ": alive\n\nid: 4\ndata: {\"a\":1}\n\nid: 5\ndata: x\ndata: y\n\ndata: [DONE]\n\n";
  for (size_t split = 0; split <= text.size(); ++split) {
    SseReader reader;
    auto events = reader.Feed(text.substr(0, split));
    for (SseEvent& event : reader.Feed(text.substr(split))) {
      events.push_back(std::move(event));
    }
    BOOST_REQUIRE(events.size() == 3U);
    BOOST_TEST(events[0].m_id == "4");
    BOOST_TEST(events[1].m_data == "x\ny");
    BOOST_TEST(events[2].m_data == "[DONE]");
  }
}

BOOST_AUTO_TEST_CASE(ReaderLimitsTheEventSize) {
  SseReader reader;
  reader.Feed(std::string(SseReader::kMaxEventBytes + 1, 'x'));
  BOOST_TEST(reader.HasOverflowed());
}

BOOST_AUTO_TEST_CASE(AnswerTokenIsBoundToTeamAndKey) {
  const AnswerToken token{ base::EndpointId("gpu-1"), "abc" };
  const std::string text = SignAnswerToken(token, base::TeamId("florists"), "new key") + ".17";
  const auto position =
    ParseAnswerPosition(text, base::TeamId("florists"), { "old key", "new key" });
  BOOST_REQUIRE(position.has_value());
  BOOST_TEST(position->m_offset == 17U);
  BOOST_TEST(position->m_token.m_stream == "abc");
  BOOST_TEST(!ParseAnswerPosition(text, base::TeamId("drivers"), { "new key" }).has_value());
  BOOST_TEST(!ParseAnswerPosition(text, base::TeamId("florists"), { "old key" }).has_value());
  for (const char* bad : { "", ".", "a~b", "a~b~c", "a~b~c.", "a~b~c.x", "~~.1", "a.1" }) {
    BOOST_TEST(!ParseAnswerPosition(bad, base::TeamId("florists"), { "new key" }).has_value());
  }
}

// A node that has just started knows few others, and its part of the fleet's budget shrinks when it
// learns of them.
BOOST_AUTO_TEST_CASE(RetryBudgetShrinksWithItsSettings) {
  const base::TimePoint now{ std::chrono::hours(1) };
  RetryBudget budget({ 0.1, 5, 0 });
  budget.Configure({ 0.1, 2, 0 });
  BOOST_TEST(budget.TrySpend(now));
  BOOST_TEST(budget.TrySpend(now));
  BOOST_TEST(!budget.TrySpend(now));
  budget.Configure({ 0.5, 8, 0 });
  BOOST_TEST(!budget.TrySpend(now));
  budget.CreditRequest();
  budget.CreditRequest();
  BOOST_TEST(budget.TrySpend(now));
}

BOOST_AUTO_TEST_CASE(RetryBudgetIsAFractionOfNewRequests) {
  base::ManualClock clock;
  RetryBudget budget({ 0.1, 5, 0 });
  int spent = 0;
  while (budget.TrySpend(clock.Now())) {
    ++spent;
  }
  BOOST_TEST(spent == 5);
  for (int i = 0; i < 1000; ++i) {
    budget.CreditRequest();
    spent += budget.TrySpend(clock.Now()) ? 1 : 0;
  }
  BOOST_TEST(spent <= 5 + 100);
  BOOST_TEST(spent >= 5 + 95);
}

// The reader of the native interface searched all bytes since the last event again for each part.
BOOST_AUTO_TEST_CASE(ReaderTakesTimeInProportionToItsBytes) {
  constexpr size_t kBytes = 512U << 10U;
  constexpr base::Millis kMaxTime{ 1000 };
  for (const size_t partSize : { 1U, 3U, 7U, 64U, 65536U }) {
    std::string part;
    while (part.size() < partSize) {
      part += part.size() % 2 == 0 ? '.' : '\n';
    }
    SseReader reader;
    const auto start = base::BootNow();
    for (size_t fed = 0; fed < kBytes && base::BootNow() - start < kMaxTime; fed += partSize) {
      reader.Feed(part);
    }
    BOOST_TEST((base::BootNow() - start < kMaxTime), partSize << " bytes a part");
  }
}

BOOST_AUTO_TEST_SUITE_END()
