#pragma once

#include "base/Json.h"
#include "duties/UsageLedger.h"

#include <map>
#include <optional>
#include <string>

namespace papayafield::duties {

/// Counts of each reported window.
using UsageReports = std::map<int64_t, UsageLedger::Counts>;

/// Reads the counts of one window. Returns false if one of them is malformed.
inline bool ReadUsageCounts(const nlohmann::json& aCounts, UsageLedger::Counts& aReport) {
  for (const auto& [team, count] : aCounts.items()) {
    if (!count.is_number_unsigned()) {
      return false;
    }
    aReport[base::TeamId(team)] = count.template get<uint64_t>();
  }
  return true;
}

/// Reads the stored record of usage reports. Entries that are malformed, or that lie after the
/// window `aLastWindow`, are omitted: a report that cannot be right must not be sent, and a window
/// in the future would suppress all reports before it. Returns nullopt if `aText` is not a list.
/// Thread safe.
inline std::optional<UsageReports> ParseUsageReports(const std::string& aText,
                                                     int64_t aLastWindow) {
  const nlohmann::json record = base::ParseJson(aText);
  if (!record.is_array()) {
    return std::nullopt;
  }
  UsageReports reports;
  for (const nlohmann::json& entry : record) {
    const auto window = base::ValueOr<int64_t>(entry, "window", -1);
    if (window < 0 || window > aLastWindow || !entry.contains("counts") ||
        !entry["counts"].is_object()) {
      continue;
    }
    if (UsageLedger::Counts counts; ReadUsageCounts(entry["counts"], counts)) {
      reports[window] = std::move(counts);
    }
  }
  return reports;
}

/// Reads the eras in which the reports of a stored record were first written; 0 if an entry does
/// not state it. Thread safe.
inline std::map<int64_t, uint64_t> ParseUsageEras(const std::string& aText) {
  std::map<int64_t, uint64_t> eras;
  for (const nlohmann::json& entry : base::ParseJson(aText)) {
    eras[base::ValueOr<int64_t>(entry, "window", -1)] = base::ValueOr<uint64_t>(entry, "era", 0);
  }
  return eras;
}

} // namespace papayafield::duties
