#pragma once

#include "soak/Caller.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace papayafield::soak {

/// What the promises come to, from what callers saw and what the platform counted.
struct Verdict {
  size_t m_calls = 0;
  size_t m_served = 0;
  size_t m_refused = 0;
  /// One line for each promise that was broken.
  std::vector<std::string> m_broken;
};

/// Compares `aRecords` with the platform's report: no unsafe call ran twice, what was called not
/// run did not run, every answer is the whole one to its own call, and each usage window was
/// reported with one set of counts under fences that never fall.
Verdict Check(const std::vector<CallRecord>& aRecords, const nlohmann::json& aReport);

} // namespace papayafield::soak
