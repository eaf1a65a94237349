#include "tests/harness/Fleet.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Tests the status and outcome that callers get when a call of a plain service fails. The
/// execution count of the service stand-in is the reference.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

struct Case {
  /// Fault that the service injects.
  const char* m_fault;
  /// Path of the call; the manifest marks /quotes as repeatable, but not /orders.
  const char* m_path;
  int m_status;
  const char* m_outcome;
  int m_runs;
};

// The retry budget is full at the start, so each repeatable call gets a second attempt.
const Case kCases[] = {
  { "close_after_run", "/orders", 502, "unknown", 1 },
  { "close_before_run", "/orders", 502, "unknown", 0 },
  { "not_started", "/orders", 201, "", 1 },
  { "server_error", "/orders", 502, "unknown", 1 },
  { "silent", "/orders", 502, "unknown", 1 },
  { "crossed", "/orders", 502, "unknown", 1 },
  { "close_after_run", "/quotes", 201, "", 2 },
  { "close_before_run", "/quotes", 201, "", 1 },
  { "not_started", "/quotes", 201, "", 1 },
  { "server_error", "/quotes", 201, "", 2 },
  { "crossed", "/quotes", 201, "", 2 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(OutcomesTest)

BOOST_AUTO_TEST_CASE(EachFaultGivesItsOutcome) {
  FleetSettings settings;
  settings.m_nodes = 1;
  settings.m_engines = 0;
  settings.m_services = 2;
  Fleet fleet(settings);
  // Without other load, the node always chooses the same service first; a probe finds out which.
  CallAs(
    kTeamKey, fleet.NodeAddress(0), "POST", "/services/orders/orders", "{\"order\":\"probe\"}");
  const std::string runs = Call(fleet.Service(0).m_address, "GET", "/control/runs").m_body;
  const size_t preferred = runs.find("probe") != std::string::npos ? 0 : 1;
  int number = 0;
  for (const Case& testCase : kCases) {
    const std::string order = "order-" + std::to_string(++number);
    const std::string fault = std::string("{\"") + testCase.m_fault + "\":1}";
    Call(fleet.Service(preferred).m_address, "POST", "/control/faults", fault);
    const CallerAnswer answer = CallAs(kTeamKey,
                                       fleet.NodeAddress(0),
                                       "POST",
                                       std::string("/services/orders") + testCase.m_path,
                                       "{\"order\":\"" + order + "\"}",
                                       "key-" + order);
    BOOST_TEST_CONTEXT(testCase.m_fault << " " << testCase.m_path << ": " << answer.m_body) {
      BOOST_TEST(answer.m_status == testCase.m_status);
      BOOST_TEST(answer.m_outcome == testCase.m_outcome);
      BOOST_TEST(fleet.RunCounts()[order] == testCase.m_runs);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
