#include "forwarding/EndpointSignals.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace papayafield;
using namespace papayafield::forwarding;
using fleet::Unavailability;

namespace {

const fleet::Incarnation kEndpoint{ base::EndpointId("i-1"), 5 };

/// An answer's statements and what they mean for the endpoint that the call was sent to.
struct Row {
  bool m_leaving;
  std::optional<base::Millis> m_retryAfter;
  std::string m_instance;
  std::optional<Unavailability> m_result;
};

const Row kRows[] = {
  { false, std::nullopt, "", std::nullopt },
  { true, std::nullopt, "", Unavailability::Leaving },
  { true, std::nullopt, "i-1", Unavailability::Leaving },
  { true, std::nullopt, "i-2", std::nullopt },
  { false, base::Millis(5000), "", Unavailability::Waiting },
  { false, base::Millis(0), "", std::nullopt },
  { false, base::Millis(5000), "i-2", std::nullopt },
  { true, base::Millis(5000), "", Unavailability::Leaving },
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerSignalsTest)

// At an address that is used again, the answer of the new endpoint says nothing about the old one.
BOOST_AUTO_TEST_CASE(StatementsApplyToTheEndpointThatMakesThem) {
  for (const Row& row : kRows) {
    adapters::http::EventLoop loop;
    const EndpointReach reach{ EndpointReachSettings{} };
    EndpointPool pool(loop, reach, [] { return std::vector<base::Address>(); });
    fleet::EndpointAvailability availability{ fleet::AvailabilitySettings{} };
    RejectionLimit limit{ RejectionLimitSettings{} };
    int marks = 0;
    EndpointSignals signals(availability, limit, pool, [&] { ++marks; });
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = kEndpoint;
    AnswerInfo info;
    info.m_leaving = row.m_leaving;
    info.m_retryAfter = row.m_retryAfter;
    info.m_instance = row.m_instance;
    signals.OnAnswer(endpoint, info, "call", base::BootNow());
    signals.OnAnswer(endpoint, info, "call", base::BootNow());
    BOOST_TEST_CONTEXT("row " << &row - kRows) {
      BOOST_TEST((availability.Check(kEndpoint, base::BootNow()) == row.m_result));
      BOOST_TEST(marks == (row.m_result == Unavailability::Leaving ? 1 : 0));
    }
  }
}

// An answer of another endpoint at the address says nothing about the tolerance of this one.
BOOST_AUTO_TEST_CASE(ToleranceOfTheEndpointLimitsItsCalls) {
  for (const char* instance : { "", "i-1", "i-2" }) {
    adapters::http::EventLoop loop;
    const EndpointReach reach{ EndpointReachSettings{} };
    EndpointPool pool(loop, reach, [] { return std::vector<base::Address>(); });
    fleet::EndpointAvailability availability{ fleet::AvailabilitySettings{} };
    RejectionLimit limit{ RejectionLimitSettings{} };
    EndpointSignals signals(availability, limit, pool, [] {});
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = kEndpoint;
    endpoint.m_slots = 4;
    AnswerInfo info;
    info.m_rejectionTolerance = 0;
    info.m_instance = instance;
    BOOST_TEST(limit.Admits(endpoint, { 4, 4 }, base::BootNow()));
    signals.OnAnswer(endpoint, info, "call", base::BootNow());
    BOOST_TEST_CONTEXT(instance) {
      const bool applies = info.m_instance != "i-2";
      BOOST_TEST(limit.Admits(endpoint, { 4, 4 }, base::BootNow()) == !applies);
      BOOST_TEST(limit.Admits(endpoint, { 3, 3 }, base::BootNow()));
      signals.OnRejected(endpoint, 4, "call");
      BOOST_TEST(limit.Admits(endpoint, { 0, 0 }, base::BootNow()) == !applies);
    }
  }
}

// Calls to an endpoint stay limited for 15 s although it states no tolerance any more.
BOOST_AUTO_TEST_CASE(ToleranceOutlivesItsStatement) {
  struct Row {
    const char* m_what;
    bool m_ends;
    std::function<void(AnswerInfo&)> m_change;
  };
  for (const Row& row : {
         Row{ "the endpoint's answer", true, [](AnswerInfo&) {} },
         { "no signature", false, [](AnswerInfo& aInfo) { aInfo.m_signed = false; } },
         { "another call", false, [](AnswerInfo& aInfo) { aInfo.m_id = "earlier"; } },
         { "another endpoint", false, [](AnswerInfo& aInfo) { aInfo.m_instance = "i-2"; } },
         { "invalid", false, [](AnswerInfo& aInfo) { aInfo.m_hasInvalidTolerance = true; } },
       }) {
    adapters::http::EventLoop loop;
    const EndpointReach reach{ EndpointReachSettings{} };
    EndpointPool pool(loop, reach, [] { return std::vector<base::Address>(); });
    fleet::EndpointAvailability availability{ fleet::AvailabilitySettings{} };
    RejectionLimit limit{ RejectionLimitSettings{} };
    EndpointSignals signals(availability, limit, pool, [] {});
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = kEndpoint;
    endpoint.m_slots = 4;
    AnswerInfo info;
    info.m_id = "call";
    info.m_signed = true;
    info.m_rejectionTolerance = 0;
    const auto earlier = base::BootNow();
    signals.OnAnswer(endpoint, info, "call", earlier);
    info.m_rejectionTolerance.reset();
    row.m_change(info);
    BOOST_TEST_CONTEXT(row.m_what) {
      // The endpoint may have sent this answer before it stated the tolerance.
      signals.OnAnswer(endpoint, info, "call", earlier);
      BOOST_TEST(!limit.Admits(endpoint, { 4, 4 }, base::BootNow()));
      signals.OnAnswer(endpoint, info, "call", base::BootNow() + base::Millis(1));
      BOOST_TEST(limit.Admits(endpoint, { 4, 4 }, base::BootNow()) == row.m_ends);
    }
  }
}

// A report is announced again only by nodes that did not know of it.
BOOST_AUTO_TEST_CASE(KnownReportIsNotAnnouncedAgain) {
  adapters::http::EventLoop loop;
  const EndpointReach reach{ EndpointReachSettings{} };
  EndpointPool pool(loop, reach, [] { return std::vector<base::Address>(); });
  fleet::EndpointAvailability availability{ fleet::AvailabilitySettings{} };
  RejectionLimit limit{ RejectionLimitSettings{} };
  int marks = 0;
  EndpointSignals signals(availability, limit, pool, [&] { ++marks; });
  signals.OnPeerReport({ { kEndpoint, base::Millis(100) } });
  signals.OnPeerReport({ { kEndpoint, base::Millis(200) } });
  BOOST_TEST((availability.Check(kEndpoint, base::BootNow()) == Unavailability::Leaving));
  BOOST_TEST(marks == 1);
}

BOOST_AUTO_TEST_SUITE_END()
