#include "scheduling/PromptMix.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield::scheduling;

namespace {

const PromptMixSettings kSettings;

CallNeeds MakeCall(double aTokens, double aUrgency) {
  CallNeeds call;
  call.m_promptTokens = aTokens;
  call.m_urgency = aUrgency;
  call.m_slots = 16;
  return call;
}

/// `aUrgent` of `aCalls` calls are of the most urgent class, the others of the least urgent one.
EngineWork MakeWork(double aCalls, double aUrgent, double aPendingTokens) {
  return { aCalls, aUrgent, aPendingTokens, 0, 40 };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptMixTest)

BOOST_AUTO_TEST_CASE(LongPromptsPreferEnginesWithFewUrgentCalls) {
  const CallNeeds longPrompt = MakeCall(4000, 0);
  BOOST_TEST(MixedDelayMs(kSettings, longPrompt, MakeWork(8, 6, 0)) >
             MixedDelayMs(kSettings, longPrompt, MakeWork(8, 1, 0)));
  BOOST_TEST(MixedDelayMs(kSettings, longPrompt, MakeWork(8, 0, 0)) == 0);
}

// A more urgent call must not be placed worse in favour of less urgent ones, however long it is.
BOOST_AUTO_TEST_CASE(MostUrgentCallsPayNothingForOthers) {
  for (const double urgentCalls : { 0.0, 3.0, 8.0 }) {
    BOOST_TEST(MixedDelayMs(kSettings, MakeCall(9000, 1), MakeWork(8, urgentCalls, 5000)) == 0);
  }
}

// Prompts that are in a slot are read first even if they are less urgent; only waiting ones are
// overtaken.
BOOST_AUTO_TEST_CASE(UrgentCallsOvertakeOnlyWhatWaits) {
  const CallNeeds urgent = MakeCall(500, 1);
  BOOST_TEST(MixedDelayMs(kSettings, urgent, MakeWork(12, 0, 40000)) == 0);
  const double waitForSlotMs = kSettings.m_slotTimeMs / 16;
  BOOST_CHECK_CLOSE(MixedDelayMs(kSettings, urgent, MakeWork(32, 0, 40000)),
                    waitForSlotMs - 0.5 * 40000 / 40,
                    0.001);
}

BOOST_AUTO_TEST_CASE(CallsThatWaitForASlotAreDelayed) {
  const CallNeeds call = MakeCall(500, 0);
  BOOST_TEST(MixedDelayMs(kSettings, call, MakeWork(15, 0, 0)) == 0);
  BOOST_TEST(MixedDelayMs(kSettings, call, MakeWork(16, 0, 0)) > 0);
  BOOST_TEST(MixedDelayMs(kSettings, call, MakeWork(32, 0, 0)) >
             MixedDelayMs(kSettings, call, MakeWork(16, 0, 0)));
}

BOOST_AUTO_TEST_CASE(UnknownEnginesCostNothing) {
  BOOST_TEST(MixedDelayMs(kSettings, MakeCall(4000, 0), EngineWork{}) == 0);
  BOOST_TEST(MixedDelayMs(kSettings, CallNeeds{}, MakeWork(50, 5, 4000)) == 0);
}

// Few cached tokens are not worth a wait, and a tight target allows a shorter one.
BOOST_AUTO_TEST_CASE(AffinityToleranceIsTheTimeToReadAgain) {
  CallNeeds call = MakeCall(700, 1);
  call.m_sharedTokens = 200;
  call.m_targetMs = 500;
  BOOST_TEST(AffinityToleranceMs(kSettings, call, 40, 120) == 5);
  call.m_sharedTokens = 6000;
  BOOST_TEST(AffinityToleranceMs(kSettings, call, 40, 120) == 25);
  call.m_targetMs = 20000;
  BOOST_TEST(AffinityToleranceMs(kSettings, call, 40, 120) == 120);
}

BOOST_AUTO_TEST_SUITE_END()
