#pragma once

#include "soak/Caller.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace papayafield::soak {

/// Result of checking the system's guarantees against the callers' records and the platform's
/// report.
struct Verdict {
  size_t m_calls = 0;
  size_t m_served = 0;
  size_t m_refused = 0;
  /// One line for each violated guarantee.
  std::vector<std::string> m_broken;
};

/// Checks `aRecords` against the platform's report: no unsafe call ran twice, calls reported as not
/// run did not run, every answer is complete and belongs to its call, and each usage window was
/// reported with one set of counts and with fencing tokens that never decrease.
Verdict Check(const std::vector<CallRecord>& aRecords, const nlohmann::json& aReport);

} // namespace papayafield::soak
