#include "placement/Placement.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::placement;

namespace {

const base::TimePoint kNow{ std::chrono::hours(1) };
const fleet::ServiceId kService("engines");

std::vector<fleet::Endpoint> Engines(size_t aCount) {
  std::vector<fleet::Endpoint> endpoints(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    endpoints[i].m_incarnation.m_endpoint = base::EndpointId("e" + std::to_string(i));
    endpoints[i].m_service = kService;
  }
  return endpoints;
}

PlacementRequest MakeRequest(const std::string& aSubject) {
  PlacementRequest request;
  request.m_service = kService;
  request.m_subject = aSubject;
  request.m_promptTokens = 3000;
  return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTest)

// Two nodes that do not communicate send calls with the same subject to the same endpoint.
BOOST_AUTO_TEST_CASE(NodesChooseTheSameEndpointForASubject) {
  const Placement first{ PlacementSettings{} };
  const Placement second{ PlacementSettings{} };
  const auto endpoints = Engines(9);
  std::set<size_t> choices;
  for (int subject = 0; subject < 100; ++subject) {
    const PlacementRequest request = MakeRequest(std::to_string(subject));
    const auto choice = first.Choose(request, endpoints, kNow);
    BOOST_TEST((choice == second.Choose(request, endpoints, kNow)));
    choices.insert(*choice);
  }
  BOOST_TEST(choices.size() == endpoints.size());
}

// A hot subject overflows to other endpoints before its preferred endpoint is much slower than they
// are.
BOOST_AUTO_TEST_CASE(HotSubjectOverflows) {
  Placement placement{ PlacementSettings{} };
  const auto endpoints = Engines(4);
  std::map<size_t, int> calls;
  for (int i = 0; i < 200; ++i) {
    const auto choice = placement.Choose(MakeRequest("hot"), endpoints, kNow);
    placement.RecordCallStarted(endpoints[*choice].m_incarnation.m_endpoint, 3000);
    ++calls[*choice];
  }
  for (const auto& [endpoint, count] : calls) {
    BOOST_TEST(count <= 60);
  }
  BOOST_TEST(calls.size() == 4U);
}

BOOST_AUTO_TEST_CASE(LoadOfPeersIsConsidered) {
  Placement placement{ PlacementSettings{} };
  const auto endpoints = Engines(2);
  const PlacementRequest request = MakeRequest("");
  placement.SetPeerLoad("n2", { { base::EndpointId("e0"), { 20, 50000 } } });
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 1U);
  placement.SetPeerLoad("n2", {});
  placement.RecordCallStarted(base::EndpointId("e1"), 3000);
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 0U);
}

BOOST_AUTO_TEST_CASE(FailingEndpointIsAvoidedTemporarily) {
  Placement placement{ PlacementSettings{} };
  const auto endpoints = Engines(2);
  for (int i = 0; i < 3; ++i) {
    placement.RecordOutcome(base::EndpointId("e0"), false, kNow);
  }
  for (int subject = 0; subject < 20; ++subject) {
    BOOST_TEST(*placement.Choose(MakeRequest(std::to_string(subject)), endpoints, kNow) == 1U);
  }
  PlacementRequest onlyFailing = MakeRequest("");
  onlyFailing.m_tried = { base::EndpointId("e1") };
  BOOST_TEST(placement.Choose(onlyFailing, endpoints, kNow + base::Millis(5000)).has_value());
}

// If every endpoint is avoided, a call is still sent to one of them instead of being rejected.
BOOST_AUTO_TEST_CASE(LastEndpointIsUsedEvenWhenItFails) {
  Placement placement{ PlacementSettings{} };
  const auto endpoints = Engines(1);
  for (int i = 0; i < 5; ++i) {
    placement.RecordOutcome(base::EndpointId("e0"), false, kNow);
  }
  BOOST_TEST(placement.Choose(MakeRequest(""), endpoints, kNow).has_value());
}

// Unlike an endpoint that fails, one that must not get calls is not used even if it is the last
// one. Another incarnation of it is.
BOOST_AUTO_TEST_CASE(UnavailableEndpointsAreNeverChosen) {
  const Placement placement{ PlacementSettings{} };
  auto endpoints = Engines(2);
  PlacementRequest request = MakeRequest("s");
  request.m_unavailable = { endpoints[0].m_incarnation };
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 1U);
  request.m_unavailable.insert(endpoints[1].m_incarnation);
  BOOST_TEST(!placement.Choose(request, endpoints, kNow).has_value());
  endpoints[0].m_incarnation.m_startMs = 7;
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 0U);
}

BOOST_AUTO_TEST_CASE(TriedEndpointsAreNotChosenAgain) {
  const Placement placement{ PlacementSettings{} };
  PlacementRequest request = MakeRequest("s");
  request.m_tried = { base::EndpointId("e0") };
  BOOST_TEST(!placement.Choose(request, Engines(1), kNow).has_value());
}

// A short prompt waited behind long ones at the engine that caches a few of its tokens.
BOOST_AUTO_TEST_CASE(ShortPromptsOfMixedServicesAvoidPendingLongOnes) {
  Placement placement{ PlacementSettings{} };
  const auto endpoints = Engines(2);
  PlacementRequest request = MakeRequest("s");
  request.m_promptTokens = 600;
  const size_t preferred = *placement.Choose(request, endpoints, kNow);
  placement.RecordCallStarted(endpoints[preferred].m_incarnation.m_endpoint, 5000);
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == preferred);
  request.m_mix = scheduling::CallNeeds{ 600, 1, 16, 172, 500 };
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 1 - preferred);
}

// Long prompts spread over the engines by the urgent calls that peers and this node have there, and
// return once those have ended.
BOOST_AUTO_TEST_CASE(LongPromptsAvoidUrgentCalls) {
  Placement placement{ PlacementSettings{} };
  const auto endpoints = Engines(2);
  PlacementRequest request = MakeRequest("");
  request.m_mix = scheduling::CallNeeds{ 3000, 0, 16, 0, 2000 };
  placement.RecordCallStarted(base::EndpointId("e1"), 0, 0);
  placement.SetPeerLoad("n2", { { base::EndpointId("e0"), { 1, 0, 1, 0 } } });
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 1U);
  placement.SetPeerLoad("n2", {});
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 0U);
  placement.RecordCallStarted(base::EndpointId("e0"), 500, 1);
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 1U);
  placement.RecordAnswerStarted(base::EndpointId("e0"), 500, 1);
  placement.RecordCallEnded(base::EndpointId("e0"), 0, 1);
  BOOST_TEST(placement.LocalLoad().at(base::EndpointId("e0")).m_urgency == 0);
  BOOST_TEST(placement.LocalLoad().at(base::EndpointId("e0")).m_urgentPromptTokens == 0);
  BOOST_TEST(*placement.Choose(request, endpoints, kNow) == 0U);
}

// Refusals depend on the best endpoint, not on the one that a call prefers for its cached prompt.
BOOST_AUTO_TEST_CASE(OutlookIsThatOfTheBestEndpoint) {
  Placement placement{ PlacementSettings{} };
  auto endpoints = Engines(3);
  endpoints[1].m_slots = 5;
  PlacementRequest request = MakeRequest("s");
  request.m_mix = scheduling::CallNeeds{ 3000, 0, 2, 0, 2000 };
  request.m_tried = { base::EndpointId("e2") };
  for (int i = 0; i < 3; ++i) {
    placement.RecordCallStarted(base::EndpointId("e0"), 56900);
  }
  placement.RecordCallStarted(base::EndpointId("e1"), 569);
  const Outlook outlook = placement.OutlookFor(request, endpoints, kNow);
  BOOST_TEST(outlook.m_endpoints == 2U);
  BOOST_TEST(outlook.m_calls == 4);
  BOOST_TEST(outlook.m_waitingCalls == 1);
  BOOST_TEST(outlook.m_slots == 7);
  BOOST_CHECK_CLOSE(outlook.m_shortestDelayMs, 12.0, 0.001);
}

BOOST_AUTO_TEST_SUITE_END()
