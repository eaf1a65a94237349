#include "scheduling/CallClasses.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace papayafield;
using namespace papayafield::scheduling;

namespace {

CallClass MakeClass(int aPriority, int aTargetMs) {
  return { aPriority, base::Millis(aTargetMs) };
}

fleet::Route MakeRoute(int aPriority, int aTargetMs, const std::string& aService) {
  fleet::Route route;
  route.m_priority = aPriority;
  route.m_latencyTarget = base::Millis(aTargetMs);
  route.m_backends = { { fleet::ServiceId(aService), 1 } };
  return route;
}

fleet::Service MakeService(const std::string& aId, bool aIsEngine) {
  fleet::Service service;
  service.m_id = fleet::ServiceId(aId);
  if (aIsEngine) {
    service.m_engine = fleet::EngineCapacity{ 16, 0, 1 };
  }
  return service;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallClassesTest)

// A call without any slack left must not pass one of a more urgent configured priority.
BOOST_AUTO_TEST_CASE(ConfiguredPriorityGoesFirst) {
  const CallClasses classes({ MakeClass(0, 500), MakeClass(1, 800), MakeClass(2, 2000) }, {});
  for (int priority = 0; priority < 2; ++priority) {
    BOOST_TEST(classes.EnginePriority(MakeClass(priority, 500), 1e9) <
               classes.EnginePriority(MakeClass(priority + 1, 2000), -1e9));
  }
}

BOOST_AUTO_TEST_CASE(LeastSlackGoesFirstWithinAPriority) {
  const CallClasses classes({ MakeClass(0, 500), MakeClass(0, 2000), MakeClass(1, 900) }, {});
  int last = -1;
  for (const double slack : { -100.0, 500.0, 900.0, 1300.0, 1700.0 }) {
    const int level = classes.EnginePriority(MakeClass(0, 2000), slack);
    BOOST_TEST(level > last);
    last = level;
  }
  BOOST_TEST(last == 4);
}

BOOST_AUTO_TEST_CASE(LevelsStayInTheRangeOfEngines) {
  for (int count = 1; count <= 12; ++count) {
    std::vector<CallClass> list = { MakeClass(0, 100) };
    for (int priority = 0; priority < count; ++priority) {
      list.push_back(MakeClass(priority, 500));
    }
    const CallClasses classes(list, {});
    for (int priority = 0; priority < count; ++priority) {
      for (const double slack : { -1e12, 0.0, 250.0, 1e12 }) {
        const int level = classes.EnginePriority(MakeClass(priority, 500), slack);
        BOOST_TEST(level >= kFirstLevel);
        BOOST_TEST((level <= kLastLevel || count > 10));
      }
    }
  }
}

// More priorities than an engine has levels cannot have separate ranges.
BOOST_AUTO_TEST_CASE(TooManyPrioritiesAreSentAsConfigured) {
  std::vector<int> priorities(11);
  std::iota(priorities.begin(), priorities.end(), 0);
  const CallClasses classes({ MakeClass(0, 500), MakeClass(1, 800) }, priorities);
  BOOST_TEST(classes.EnginePriority(MakeClass(7, 500), 0) == 7);
}

// The order among teams is part of the configuration as well.
BOOST_AUTO_TEST_CASE(PrioritiesOfTeamsHaveRangesOfTheirOwn) {
  const CallClasses classes({ MakeClass(1, 500), MakeClass(1, 800) }, { 0, 2 });
  BOOST_TEST(classes.PriorityCount() == 3U);
  BOOST_TEST(classes.EnginePriority(MakeClass(0, 500), 1e9) <
             classes.EnginePriority(MakeClass(1, 500), 0));
  BOOST_TEST(classes.EnginePriority(MakeClass(1, 500), 1e9) <
             classes.EnginePriority(MakeClass(2, 500), 0));
}

BOOST_AUTO_TEST_CASE(UrgencyFollowsPriorityThenTarget) {
  const CallClasses classes({ MakeClass(0, 600), MakeClass(1, 300), MakeClass(1, 1500) }, {});
  BOOST_TEST(classes.Urgency(MakeClass(0, 600)) == 1);
  BOOST_TEST(classes.Urgency(MakeClass(1, 300)) == 0.5);
  BOOST_TEST(classes.Urgency(MakeClass(1, 1500)) == 0);
}

// A configuration without differing routes of a model service is served as before.
BOOST_AUTO_TEST_CASE(OnlyServicesWithDifferentRoutesAreMixed) {
  fleet::Catalog::Contents contents;
  contents.m_services = { MakeService("same", true),
                          MakeService("targets", true),
                          MakeService("plain", false) };
  contents.m_routes = { MakeRoute(1, 500, "same"),    MakeRoute(1, 500, "same"),
                        MakeRoute(1, 500, "targets"), MakeRoute(1, 800, "targets"),
                        MakeRoute(0, 500, "plain"),   MakeRoute(1, 800, "plain") };
  const auto mixed = MixedServices(fleet::Catalog(contents));
  BOOST_TEST(mixed.size() == 1U);
  BOOST_TEST(mixed.contains(fleet::ServiceId("targets")));
  const CallClasses same({ MakeClass(7, 500) }, {});
  BOOST_TEST(same.EnginePriority(MakeClass(7, 500), 0) == 7);
}

BOOST_AUTO_TEST_SUITE_END()
