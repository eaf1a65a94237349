#pragma once

#include "soak/Caller.h"

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
  /// One line for each violated guarantee.
  std::vector<std::string> m_violations;
};

/// Checks `aRecords` against the platform's report: no unsafe call ran twice, calls reported as not
/// run did not run, every answer is complete and belongs to its call, and each usage window was
/// reported with one set of counts and with fencing tokens that never decrease.
CheckResult CheckGuarantees(const std::vector<CallRecord>& aRecords, const nlohmann::json& aReport);

} // namespace papayafield::soak
