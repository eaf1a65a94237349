#include "forwarding/EndpointReach.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;
using base::Millis;

namespace {

const base::EndpointId kOne("i-1");
const base::EndpointId kTwo("i-2");
const base::EndpointId kThree("i-3");

struct ReachFixture {
  explicit ReachFixture(size_t aEndpoints = 10) { m_reach.SetEndpointCount(aEndpoints); }

  ReachState StateAfter(Millis aTime) {
    m_now += aTime;
    m_reach.Update(m_now);
    return m_reach.State();
  }
  void Fail(const base::EndpointId& aEndpoint) { m_reach.RecordConnectFailed(aEndpoint, m_now); }
  void Connect(const base::EndpointId& aEndpoint) { m_reach.RecordConnected(aEndpoint, m_now); }
  void Isolate() {
    Fail(kOne);
    Fail(kTwo);
    BOOST_REQUIRE((StateAfter(Millis(0)) == ReachState::Suspected));
    Fail(kOne);
    Fail(kThree);
    m_reach.RecordProbesEnded(m_now);
    BOOST_REQUIRE((StateAfter(Millis(0)) == ReachState::Isolated));
  }

  EndpointReach m_reach{ EndpointReachSettings{} };
  base::TimePoint m_now{ std::chrono::hours(1) };
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointReachTest)

BOOST_AUTO_TEST_CASE(FailuresOfOneEndpointAreItsOwn) {
  ReachFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.Fail(kOne);
    BOOST_TEST((fixture.StateAfter(Millis(50)) == ReachState::Reaching));
  }
}

BOOST_AUTO_TEST_CASE(SuspicionIsConfirmedByFurtherFailures) {
  ReachFixture fixture;
  fixture.Fail(kOne);
  fixture.Fail(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Suspected));
  BOOST_TEST((fixture.m_reach.Evidence() == ReachEvidence::FailedConnects));
  fixture.Fail(kTwo);
  fixture.m_reach.RecordProbesEnded(fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(10)) == ReachState::Suspected));
  fixture.Fail(kThree);
  BOOST_TEST((fixture.StateAfter(Millis(10)) == ReachState::Suspected));
  fixture.m_reach.RecordProbesEnded(fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(10)) == ReachState::Isolated));
  BOOST_TEST(fixture.m_reach.IsolatedSince().has_value());
}

// Refused connections are known at once; that a connection works is known later.
BOOST_AUTO_TEST_CASE(FailuresBeforeAWorkingProbeDoNotCount) {
  ReachFixture fixture;
  fixture.Fail(kOne);
  fixture.Fail(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Suspected));
  fixture.Fail(kOne);
  fixture.Fail(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(100)) == ReachState::Suspected));
  fixture.Connect(kThree);
  fixture.m_reach.RecordProbesEnded(fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
}

// Two endpoints that crash at the same time must not cut a node off from all others.
BOOST_AUTO_TEST_CASE(OneWorkingConnectionRefutesASuspicion) {
  ReachFixture fixture;
  fixture.Fail(kOne);
  fixture.Fail(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Suspected));
  fixture.Connect(kThree);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
  fixture.Fail(kOne);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
}

BOOST_AUTO_TEST_CASE(OldFailuresDoNotCount) {
  ReachFixture fixture;
  fixture.Fail(kOne);
  BOOST_TEST((fixture.StateAfter(Millis(2500)) == ReachState::Reaching));
  fixture.Fail(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
}

// A sound endpoint may fall silent for a second.
BOOST_AUTO_TEST_CASE(SilenceOfOneEndpointIsItsOwn) {
  ReachFixture fixture;
  fixture.m_reach.RecordWaiting(1, kOne, fixture.m_now);
  fixture.m_reach.RecordWaiting(2, kOne, fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(2000)) == ReachState::Reaching));
}

BOOST_AUTO_TEST_CASE(SilenceCountsOnlyIfNoEndpointSendsBytes) {
  ReachFixture fixture;
  fixture.m_reach.RecordWaiting(1, kOne, fixture.m_now);
  fixture.m_reach.RecordWaiting(2, kTwo, fixture.m_now);
  fixture.m_reach.RecordWaiting(3, kThree, fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(400)) == ReachState::Reaching));
  fixture.m_reach.RecordBytes(3, fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(400)) == ReachState::Reaching));
  BOOST_TEST((fixture.StateAfter(Millis(200)) == ReachState::Suspected));
  BOOST_TEST((fixture.m_reach.Evidence() == ReachEvidence::Silence));
  fixture.m_reach.RecordBytes(1, fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
}

// Engines that read long prompts are silent for longer; each of them would cause probes without
// end.
BOOST_AUTO_TEST_CASE(WorkingConnectionRefutesSilenceForAWhile) {
  ReachFixture fixture;
  fixture.m_reach.RecordWaiting(1, kOne, fixture.m_now);
  fixture.m_reach.RecordWaiting(2, kTwo, fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(600)) == ReachState::Suspected));
  fixture.Connect(kThree);
  BOOST_TEST((fixture.StateAfter(Millis(900)) == ReachState::Reaching));
  BOOST_TEST((fixture.StateAfter(Millis(200)) == ReachState::Suspected));
}

BOOST_AUTO_TEST_CASE(IsolationEndsWhenSeveralEndpointsAreReached) {
  ReachFixture fixture;
  fixture.Isolate();
  fixture.Connect(kOne);
  fixture.Connect(kOne);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Isolated));
  fixture.Connect(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
  BOOST_TEST(!fixture.m_reach.IsolatedSince().has_value());
}

// Of two endpoints, one that has failed would keep the node isolated.
BOOST_AUTO_TEST_CASE(OneOfTwoEndpointsEndsAnIsolation) {
  ReachFixture fixture(2);
  fixture.Isolate();
  fixture.Connect(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
}

// Connections that live on while new ones are refused say nothing about the end of a cut.
BOOST_AUTO_TEST_CASE(BytesOnOldConnectionsDoNotEndAnIsolation) {
  ReachFixture fixture;
  fixture.m_reach.RecordWaiting(1, kOne, fixture.m_now);
  fixture.Isolate();
  fixture.m_reach.RecordBytes(1, fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(100)) == ReachState::Isolated));
  BOOST_TEST(fixture.m_reach.ReceivesBytes(fixture.m_now));
  BOOST_TEST((fixture.StateAfter(Millis(500)) == ReachState::Isolated));
  BOOST_TEST(!fixture.m_reach.ReceivesBytes(fixture.m_now));
}

// Connections in flight and waiting calls time out together when a node goes on after a pause.
BOOST_AUTO_TEST_CASE(PauseOfTheNodeIsNoEvidence) {
  ReachFixture fixture;
  fixture.m_reach.RecordWaiting(1, kOne, fixture.m_now);
  fixture.m_reach.RecordWaiting(2, kTwo, fixture.m_now);
  fixture.m_now += Millis(2000);
  fixture.m_reach.RecordPause(fixture.m_now, Millis(1950));
  fixture.Fail(kOne);
  fixture.Fail(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
  BOOST_TEST((fixture.StateAfter(Millis(400)) == ReachState::Reaching));
  // What fails later counts, and so does further silence.
  BOOST_TEST((fixture.StateAfter(Millis(100)) == ReachState::Suspected));
  BOOST_TEST((fixture.m_reach.Evidence() == ReachEvidence::Silence));
  fixture.Connect(kThree);
  fixture.Fail(kOne);
  fixture.Fail(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Suspected));
  BOOST_TEST((fixture.m_reach.Evidence() == ReachEvidence::FailedConnects));
}

// Probes that were in flight would confirm a suspicion from before the pause.
BOOST_AUTO_TEST_CASE(PauseEndsASuspicion) {
  ReachFixture fixture;
  fixture.Fail(kOne);
  fixture.Fail(kTwo);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Suspected));
  fixture.m_now += Millis(1000);
  fixture.m_reach.RecordPause(fixture.m_now, Millis(950));
  fixture.Fail(kOne);
  fixture.Fail(kTwo);
  fixture.m_reach.RecordProbesEnded(fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
}

// The end of a cut is not known before connections work.
BOOST_AUTO_TEST_CASE(PauseDoesNotEndAnIsolation) {
  ReachFixture fixture;
  fixture.m_reach.RecordWaiting(1, kOne, fixture.m_now);
  fixture.Isolate();
  fixture.m_reach.RecordBytes(1, fixture.m_now);
  fixture.m_now += Millis(1000);
  fixture.m_reach.RecordPause(fixture.m_now, Millis(950));
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Isolated));
  // Nothing could have been received meanwhile.
  BOOST_TEST(fixture.m_reach.ReceivesBytes(fixture.m_now));
}

BOOST_AUTO_TEST_CASE(OnlyEndpointIsEnough) {
  ReachFixture fixture(1);
  fixture.Fail(kOne);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Suspected));
  fixture.Fail(kOne);
  fixture.m_reach.RecordProbesEnded(fixture.m_now);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Isolated));
  fixture.Connect(kOne);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
}

BOOST_AUTO_TEST_CASE(NodeIsNotIsolatedFromAnEmptyFleet) {
  ReachFixture fixture;
  fixture.Isolate();
  fixture.m_reach.SetEndpointCount(0);
  BOOST_TEST((fixture.StateAfter(Millis(0)) == ReachState::Reaching));
}

BOOST_AUTO_TEST_SUITE_END()
