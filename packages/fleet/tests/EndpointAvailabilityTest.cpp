#include "fleet/EndpointAvailability.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::fleet;

namespace {

const base::TimePoint kStart{ std::chrono::hours(1) };
const ServiceId kService("s");
constexpr AvailabilitySettings kSettings{};

Incarnation IncarnationOf(const std::string& aId, int64_t aStartMs = 1) {
  return { base::EndpointId(aId), aStartMs };
}

Endpoint EndpointOf(const Incarnation& aIncarnation, const ServiceId& aService = kService) {
  Endpoint endpoint;
  endpoint.m_incarnation = aIncarnation;
  endpoint.m_service = aService;
  return endpoint;
}

/// What an endpoint states at the start of a test.
enum class Statement { None, Leaves, PausesShort, PausesLong };

struct OutageRow {
  std::vector<Statement> m_statements;
  /// Whether the service has an outage, and why.
  std::optional<Unavailability> m_reason;
  size_t m_leaving = 0;
  size_t m_waiting = 0;
  base::Millis m_firstEnd{ 0 };
};

constexpr base::Millis kShort{ 500 };
constexpr base::Millis kLong{ 3000 };

const OutageRow kOutageRows[] = {
  { {}, std::nullopt },
  { { Statement::None }, std::nullopt },
  { { Statement::Leaves, Statement::None }, std::nullopt },
  { { Statement::PausesLong, Statement::None }, std::nullopt },
  { { Statement::Leaves }, Unavailability::Leaving, 1, 0 },
  { { Statement::Leaves, Statement::Leaves }, Unavailability::Leaving, 2, 0 },
  { { Statement::PausesLong }, Unavailability::Waiting, 0, 1, kLong },
  { { Statement::PausesLong, Statement::PausesShort }, Unavailability::Waiting, 0, 2, kShort },
  { { Statement::Leaves, Statement::PausesLong }, Unavailability::Waiting, 1, 1, kLong },
};

void State(EndpointAvailability& aAvailability, const Incarnation& aFrom, Statement aStatement) {
  if (aStatement == Statement::Leaves) {
    aAvailability.MarkLeaving(aFrom, kStart);
  } else if (aStatement != Statement::None) {
    aAvailability.Pause(aFrom, aStatement == Statement::PausesShort ? kShort : kLong, kStart);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointAvailabilityTest)

BOOST_AUTO_TEST_CASE(ServiceIsOutOnlyIfNoEndpointMayGetACall) {
  for (const OutageRow& row : kOutageRows) {
    EndpointAvailability availability(kSettings);
    std::vector<Endpoint> endpoints{ EndpointOf(IncarnationOf("other"), ServiceId("other")) };
    for (size_t i = 0; i < row.m_statements.size(); ++i) {
      endpoints.push_back(EndpointOf(IncarnationOf("e" + std::to_string(i))));
      State(availability, endpoints.back().m_incarnation, row.m_statements[i]);
    }
    const auto outage = availability.FindOutage(kService, endpoints, kStart);
    BOOST_TEST_CONTEXT("row " << &row - kOutageRows) {
      BOOST_REQUIRE(outage.has_value() == row.m_reason.has_value());
      if (outage) {
        BOOST_TEST((outage->m_reason == *row.m_reason));
        BOOST_TEST(outage->m_leaving == row.m_leaving);
        BOOST_TEST(outage->m_waiting == row.m_waiting);
        BOOST_TEST(outage->m_firstEnd.count() == row.m_firstEnd.count());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(MarkBelongsToOneIncarnation) {
  EndpointAvailability availability(kSettings);
  BOOST_TEST(availability.MarkLeaving(IncarnationOf("e", 1), kStart));
  BOOST_TEST(!availability.MarkLeaving(IncarnationOf("e", 1), kStart));
  BOOST_TEST((availability.Check(IncarnationOf("e", 1), kStart) == Unavailability::Leaving));
  BOOST_TEST(!availability.Check(IncarnationOf("e", 2), kStart).has_value());
  BOOST_TEST(!availability.Check(IncarnationOf("f", 1), kStart).has_value());
}

// A mark outlives the registration by the retention, and any registration that names the
// incarnation.
BOOST_AUTO_TEST_CASE(MarkIsKeptWhileTheIncarnationIsRegistered) {
  EndpointAvailability availability(kSettings);
  const Incarnation leaving = IncarnationOf("e", 1);
  availability.MarkLeaving(leaving, kStart);
  base::TimePoint now = kStart + std::chrono::hours(1);
  availability.RemoveObsolete({ { leaving.m_endpoint, EndpointOf(leaving) } }, now);
  now += kSettings.m_retention;
  availability.RemoveObsolete({ { leaving.m_endpoint, EndpointOf(IncarnationOf("e", 2)) } }, now);
  BOOST_TEST((availability.Check(leaving, now) == Unavailability::Leaving));
  now += base::Millis(1);
  availability.RemoveObsolete({}, now);
  BOOST_TEST(!availability.Check(leaving, now).has_value());
}

BOOST_AUTO_TEST_CASE(PauseEndsAndIsNeverShortened) {
  EndpointAvailability availability(kSettings);
  const Incarnation endpoint = IncarnationOf("e");
  BOOST_TEST(availability.Pause(endpoint, kLong, kStart).count() == kLong.count());
  BOOST_TEST(availability.Pause(endpoint, kShort, kStart).count() == kLong.count());
  BOOST_TEST(availability.Pause(endpoint, base::Millis(0), kStart).count() == kLong.count());
  const base::TimePoint end = kStart + kLong;
  BOOST_TEST((availability.Check(endpoint, end - base::Millis(1)) == Unavailability::Waiting));
  BOOST_TEST(!availability.Check(endpoint, end).has_value());
  BOOST_TEST(availability.Unavailable(kStart).size() == 1U);
  BOOST_TEST(availability.Unavailable(end).empty());
}

BOOST_AUTO_TEST_CASE(PauseIsLimited) {
  EndpointAvailability availability(kSettings);
  const Incarnation endpoint = IncarnationOf("e");
  BOOST_TEST(availability.Pause(endpoint, std::chrono::hours(1), kStart).count() ==
             kSettings.m_maxWait.count());
  BOOST_TEST(!availability.Check(endpoint, kStart + kSettings.m_maxWait).has_value());
  BOOST_TEST(availability.Pause(IncarnationOf("f"), base::Millis(-5), kStart).count() == 0);
}

// An endpoint that leaves and pauses still leaves when the pause has ended.
BOOST_AUTO_TEST_CASE(PauseDoesNotReplaceAMark) {
  EndpointAvailability availability(kSettings);
  const Incarnation endpoint = IncarnationOf("e");
  availability.Pause(endpoint, kShort, kStart);
  BOOST_TEST(availability.MarkLeaving(endpoint, kStart));
  BOOST_TEST((availability.Check(endpoint, kStart + kLong) == Unavailability::Leaving));
}

// Reports that nodes pass to one another end some time after the endpoint's own statement, however
// often they are passed on.
BOOST_AUTO_TEST_CASE(ReportsOfPeersAge) {
  EndpointAvailability first(kSettings);
  EndpointAvailability second(kSettings);
  first.MarkLeaving(IncarnationOf("e"), kStart);
  const base::TimePoint later = kStart + kSettings.m_announceTime / 2;
  const auto announced = first.Announcement(later);
  BOOST_REQUIRE(announced.size() == 1U);
  BOOST_TEST(second.Adopt(announced[0], later));
  BOOST_TEST(!second.Adopt(announced[0], later));
  BOOST_TEST((second.Check(IncarnationOf("e"), later) == Unavailability::Leaving));
  BOOST_TEST(second.Announcement(later).size() == 1U);
  BOOST_TEST(second.Announcement(kStart + kSettings.m_announceTime).empty());
  BOOST_TEST(!second.Adopt({ IncarnationOf("f"), kSettings.m_announceTime }, later));
  BOOST_TEST(!second.Adopt({ IncarnationOf("f"), base::Millis(-1) }, later));
}

BOOST_AUTO_TEST_CASE(ReportsOfPeersAreBounded) {
  EndpointAvailability availability(kSettings);
  for (size_t i = 0; i < kSettings.m_maxRecords + 10; ++i) {
    availability.Adopt({ IncarnationOf("e" + std::to_string(i)), base::Millis(5) }, kStart);
  }
  BOOST_TEST(availability.Unavailable(kStart).size() == kSettings.m_maxRecords);
  const auto announced = availability.Announcement(kStart);
  BOOST_TEST(announced.size() == kSettings.m_maxAnnounced);
  // What this node learns from an endpoint itself is recorded in any case, and announced first.
  BOOST_TEST(availability.MarkLeaving(IncarnationOf("own"), kStart));
  BOOST_TEST((availability.Announcement(kStart).at(0).m_incarnation == IncarnationOf("own")));
}

BOOST_AUTO_TEST_SUITE_END()
