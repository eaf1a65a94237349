#include "requests/FaultTable.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield::requests;

BOOST_AUTO_TEST_SUITE(FaultTableTest)

BOOST_AUTO_TEST_CASE(TableIsComplete) {
  BOOST_TEST(FaultTableIsComplete());
}

// A non-repeatable call is sent to another endpoint only if it cannot have run.
BOOST_AUTO_TEST_CASE(NonRepeatableCallIsNotRepeatedAfterItMayHaveRun) {
  for (const FaultRule& rule : kFaultRules) {
    if (rule.m_kind != CallKind::NotRepeatable) {
      continue;
    }
    const bool isRetried =
      rule.m_reaction == Reaction::RetryElsewhere || rule.m_reaction == Reaction::Resume;
    BOOST_TEST((!isRetried || rule.m_outcome == Outcome::NotRun));
  }
}

// The outcome "not run" is reported only if no byte was sent to an endpoint, or if the endpoint
// itself reported it.
BOOST_AUTO_TEST_CASE(NotRunIsReportedOnlyIfProven) {
  for (const FaultRule& rule : kFaultRules) {
    const bool isProven = rule.m_fault == Fault::NotConnected ||
                          rule.m_fault == Fault::NotStarted || rule.m_fault == Fault::QueueTimeout;
    BOOST_TEST((rule.m_outcome == Outcome::NotRun) == isProven);
  }
}

BOOST_AUTO_TEST_SUITE_END()
