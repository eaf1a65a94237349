#pragma once

#include "soak/Caller.h"
#include "soak/FaultInjector.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace papayafield::soak {

/// Result of checking the system's guarantees against the callers' records and the platform's
/// report.
struct CheckResult {
  size_t m_calls = 0;
  size_t m_served = 0;
  size_t m_rejected = 0;
  /// Calls that had to end with a complete answer, because only planned work took place.
  size_t m_undisturbed = 0;
  /// Calls that crossed the close of an idle connection and were not passed on.
  size_t m_crossed = 0;
  /// Long calls that still ran shortly before the end of a grace period, and were ended by the
  /// node.
  size_t m_outlasting = 0;
  /// Calls that resumed a broken stream, and those of them that were served.
  size_t m_resumed = 0;
  size_t m_resumedServed = 0;
  /// Calls that were served for the host of the newest configuration.
  size_t m_newestServed = 0;
  /// One line for each violated guarantee.
  std::vector<std::string> m_violations;
};

/// Checks `aRecords` against the platform's report: no unsafe call ran twice, calls reported as not
/// run did not run, every answer is complete and belongs to its call, and each usage window was
/// reported with one set of counts and with fencing tokens that never decrease, no stream goes on
/// at a version of the runners' software other than the one that began it, and no node goes back to
/// a configuration older than one that it has applied. `aStops` and `aUnplanned` state what was
/// done to the nodes: a call beside which only planned work took place must end with a complete
/// answer. `aLaunches` states when nodes were restarted: a new process may begin with an older
/// configuration.
CheckResult CheckGuarantees(const std::vector<CallRecord>& aRecords,
                            const nlohmann::json& aReport,
                            const std::vector<PlannedStop>& aStops,
                            const std::vector<NodeLaunch>& aLaunches,
                            const std::vector<FaultSpan>& aUnplanned);

} // namespace papayafield::soak
