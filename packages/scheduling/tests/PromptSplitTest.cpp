#include "scheduling/PromptSplit.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace papayafield;
using namespace papayafield::scheduling;

namespace {

const base::TimePoint kStart{ std::chrono::hours(1) };
/// The first load of docs/design/hard-load.md, part 4.
constexpr double kTokensPerMs = 40.8;
const CallClass kLong{ 2, base::Millis(2000) };
const CallClass kMiddle{ 1, base::Millis(800) };
const CallClass kShort{ 0, base::Millis(500) };

/// Records the calls of one second of that load at one of 50 nodes, `aLongFactor` times as many
/// long ones.
void RecordSecond(PromptSplit& aSplit, int aSecond, int aLongFactor = 1) {
  const auto now = kStart + std::chrono::seconds(aSecond);
  for (int i = 0; i < 5 * aLongFactor; ++i) {
    aSplit.RecordCall(kLong, 9190, 4150, kTokensPerMs, now);
  }
  for (int i = 0; i < 6; ++i) {
    aSplit.RecordCall(kMiddle, 2368, 1914, kTokensPerMs, now);
  }
  for (int i = 0; i < 2; ++i) {
    aSplit.RecordCall(kShort, 715, 577, kTokensPerMs, now);
  }
}

base::EndpointId Engine(size_t aIndex) {
  return base::EndpointId("e" + std::to_string(aIndex));
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptSplitTest)

// Urgent short prompts waited at engines that read long, less urgent ones.
BOOST_AUTO_TEST_CASE(LongLessUrgentPromptsPreferOtherEngines) {
  PromptSplit split{ { .m_maxShare = 0.75 } };
  for (int second = 0; second < 10; ++second) {
    RecordSecond(split, second);
  }
  BOOST_TEST(split.PreferenceOf(kLong)->m_isLong);
  BOOST_TEST(!split.PreferenceOf(kMiddle)->m_isLong);
  BOOST_TEST(!split.PreferenceOf(kShort)->m_isLong);
  // 5 x 4,150 of 33,388 tokens are read for long prompts.
  BOOST_TEST(*split.LongShare() == 0.625);
}

// Where long prompts are the most urgent, nobody is placed worse in their favour or against them.
BOOST_AUTO_TEST_CASE(UrgentLongPromptsDivideNothing) {
  PromptSplit split{ PromptSplitSettings{} };
  const CallClass urgentLong{ 0, base::Millis(600) };
  const CallClass lessUrgent{ 1, base::Millis(1000) };
  for (int i = 0; i < 200; ++i) {
    split.RecordCall(urgentLong, 9190, 4150, 92.1, kStart);
    split.RecordCall(lessUrgent, 2368, 1914, 92.1, kStart);
  }
  BOOST_TEST(!split.LongShare().has_value());
  BOOST_TEST(!split.PreferenceOf(urgentLong).has_value());
}

// Both sides must keep engines, and a share that follows each call would move calls away from their
// cached prompts.
BOOST_AUTO_TEST_CASE(ShareFollowsTheLoadInStepsWithinBounds) {
  PromptSplit split{ { .m_maxShare = 0.75 } };
  std::set<double> shares;
  for (int second = 0; second < 60; ++second) {
    RecordSecond(split, second, second < 20 || second >= 40 ? 1 : 6);
    if (split.LongShare()) {
      shares.insert(*split.LongShare());
    }
    if (second == 39) {
      BOOST_TEST(*split.LongShare() == 0.75);
    }
  }
  BOOST_TEST(*split.LongShare() == 0.625);
  BOOST_TEST(shares.size() <= 3U);
}

// Without calls of both sides there is nothing to divide.
BOOST_AUTO_TEST_CASE(DivisionEndsWithTheUrgentCalls) {
  PromptSplit split{ PromptSplitSettings{} };
  RecordSecond(split, 0, 3);
  RecordSecond(split, 1, 3);
  RecordSecond(split, 2, 3);
  BOOST_TEST(split.LongShare().has_value());
  for (int second = 3; second < 60; ++second) {
    split.RecordCall(kLong, 9190, 4150, kTokensPerMs, kStart + std::chrono::seconds(second));
  }
  BOOST_TEST(!split.LongShare().has_value());
}

// Nodes that see different shares must agree on all engines but those between their shares.
BOOST_AUTO_TEST_CASE(NodesDivideTheEnginesInOneOrder) {
  size_t longOnes = 0;
  for (size_t i = 0; i < 1000; ++i) {
    BOOST_TEST((!IsLongEngine(Engine(i), 0.5) || IsLongEngine(Engine(i), 0.625)));
    longOnes += IsLongEngine(Engine(i), 0.625) ? 1 : 0;
  }
  BOOST_TEST(longOnes > 580U);
  BOOST_TEST(longOnes < 670U);
}

BOOST_AUTO_TEST_SUITE_END()
