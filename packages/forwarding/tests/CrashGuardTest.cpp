#include "forwarding/CrashGuard.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;
using base::Millis;

namespace {

CallInfo MakeCall(int aNumber, const std::vector<std::string>& aSharedParts) {
  CallInfo call;
  call.m_id = "call" + std::to_string(aNumber);
  for (const std::string& part : aSharedParts) {
    call.m_promptParts.push_back({ part, 100 });
  }
  call.m_promptParts.push_back({ "own", 50 });
  return call;
}

base::EndpointId Endpoint(int aNumber) {
  return base::EndpointId("e" + std::to_string(aNumber));
}

/// A guard whose node ticks four times a second.
struct Node {
  void Wait(Millis aTime) {
    for (const auto until = m_clock.Now() + aTime; m_clock.Now() < until;) {
      m_clock.Advance(Millis(250));
      m_guard.Tick(m_clock.Now());
    }
  }
  void Lose(int aEndpoint, const CallInfo& aCall, size_t aEvents) {
    m_guard.OnConnectionLost(aCall, Endpoint(aEndpoint), aEvents, m_clock.Now());
  }
  bool Refuses(const CallInfo& aCall) {
    return m_guard.RefusalTime(aCall, m_clock.Now()).has_value();
  }

  base::ManualClock m_clock;
  Metrics m_metrics;
  CrashGuard m_guard{ m_metrics };
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashGuardTest)

// The last part belongs to the call alone and is never accused.
BOOST_AUTO_TEST_CASE(OnlySharedPartsAreAccused) {
  Node node;
  node.Wait(Millis(1000));
  for (int i = 0; i < 4; ++i) {
    node.Lose(i, MakeCall(i, { "deadly" }), 0);
    node.Lose(10 + i, MakeCall(10 + i, {}), 0);
  }
  node.Wait(Millis(1000));
  BOOST_TEST(node.Refuses(MakeCall(20, { "deadly" })));
  BOOST_TEST(!node.Refuses(MakeCall(21, {})));
  BOOST_TEST(!node.Refuses(MakeCall(22, { "other" })));
}

BOOST_AUTO_TEST_CASE(LossInTheMiddleOfAnAnswerAccusesNoPart) {
  Node node;
  node.Wait(Millis(1000));
  for (int i = 0; i < 4; ++i) {
    node.Lose(i, MakeCall(i, { "part" }), CrashGuard::kFirstEvents);
  }
  node.Wait(Millis(1000));
  BOOST_TEST(!node.Refuses(MakeCall(20, { "part" })));
}

// Reports that waited while this process was suspended carry ages that are too small.
BOOST_AUTO_TEST_CASE(AnswersInReportsThatWaitedRefuteNothing) {
  Node node;
  node.Wait(Millis(1000));
  for (int i = 0; i < 4; ++i) {
    node.Lose(i, MakeCall(i, { "deadly" }), 0);
  }
  node.Wait(Millis(1000));
  quarantine::Report report;
  report.m_successes.push_back({ "deadly", Millis(0) });
  node.m_clock.Advance(Millis(2000));
  node.m_guard.Merge(report, node.m_clock.Now());
  BOOST_TEST(node.Refuses(MakeCall(20, { "deadly" })));
  node.Wait(Millis(1000));
  node.m_guard.Merge(report, node.m_clock.Now());
  BOOST_TEST(!node.Refuses(MakeCall(21, { "deadly" })));
}

BOOST_AUTO_TEST_CASE(NewEvidenceAndBansAreUrgent) {
  Node node;
  node.Wait(Millis(1000));
  int urgent = 0;
  node.m_guard.SetUrgentHandler([&] { ++urgent; });
  node.Lose(0, MakeCall(0, { "deadly" }), 0);
  BOOST_TEST(urgent == 1);
  node.Lose(0, MakeCall(0, { "deadly" }), 0);
  BOOST_TEST(urgent == 1);
  node.Lose(1, MakeCall(1, { "deadly" }), 0);
  node.Lose(2, MakeCall(2, { "deadly" }), 0);
  node.Wait(Millis(1000));
  BOOST_TEST(urgent == 4);
}

BOOST_AUTO_TEST_SUITE_END()
