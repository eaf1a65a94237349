#include "placement/FailureReports.h"

#include <algorithm>
#include <cmath>

namespace papayafield::placement {

AttemptCounts FailureReports::Decayed(const TimedCounts& aCounts, base::TimePoint aNow) const {
  const std::chrono::duration<double> age = aNow - aCounts.m_at;
  const std::chrono::duration<double> window = m_settings.m_window;
  const double factor = std::exp(-age.count() / window.count());
  return { aCounts.m_counts.m_attempts * factor, aCounts.m_counts.m_failures * factor };
}

void FailureReports::Record(const base::EndpointId& aEndpoint,
                            bool aSucceeded,
                            base::TimePoint aNow) {
  TimedCounts& counts = m_local[aEndpoint];
  counts.m_counts = Decayed(counts, aNow);
  counts.m_at = aNow;
  counts.m_counts.m_attempts += 1;
  if (!aSucceeded) {
    counts.m_counts.m_failures += 1;
    ExcludeIfFailed(aEndpoint, aNow);
  }
}

void FailureReports::ForgetLocal() {
  m_local.clear();
  m_excludedUntil.clear();
}

FailureReports::Counts FailureReports::LocalReport(base::TimePoint aNow) const {
  Counts report;
  for (const auto& [endpoint, counts] : m_local) {
    const AttemptCounts decayed = Decayed(counts, aNow);
    if (decayed.m_failures >= m_settings.m_minReportedFailures && !IsKnownToPeers(endpoint, aNow)) {
      report[endpoint] = decayed;
    }
  }
  while (report.size() > m_settings.m_maxReported) {
    report.erase(std::min_element(report.begin(), report.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.second.m_failures < aRight.second.m_failures;
    }));
  }
  return report;
}

void FailureReports::SetPeerReport(const std::string& aPeer,
                                   const Counts& aCounts,
                                   base::TimePoint aNow) {
  for (auto& [endpoint, reports] : m_peers) {
    reports.erase(aPeer);
  }
  std::erase_if(m_peers, [](const auto& aEntry) { return aEntry.second.empty(); });
  for (const auto& [endpoint, counts] : aCounts) {
    m_peers[endpoint][aPeer] = { counts, aNow };
    ExcludeIfFailed(endpoint, aNow);
  }
}

void FailureReports::ExcludeIfFailed(const base::EndpointId& aEndpoint, base::TimePoint aNow) {
  if (!IsFailing(aEndpoint, aNow) && HasFailed(aEndpoint, aNow)) {
    m_excludedUntil[aEndpoint] = aNow + m_settings.m_exclusion;
  }
}

/// Returns whether the peers have had time to learn that the endpoint gets no calls.
bool FailureReports::IsKnownToPeers(const base::EndpointId& aEndpoint, base::TimePoint aNow) const {
  const auto until = m_excludedUntil.find(aEndpoint);
  return until != m_excludedUntil.end() && aNow < until->second &&
         until->second - aNow < m_settings.m_exclusion - m_settings.m_reportTime;
}

bool FailureReports::IsFailing(const base::EndpointId& aEndpoint, base::TimePoint aNow) const {
  const auto until = m_excludedUntil.find(aEndpoint);
  return until != m_excludedUntil.end() && aNow < until->second;
}

bool FailureReports::HasFailed(const base::EndpointId& aEndpoint, base::TimePoint aNow) const {
  const auto peers = m_peers.find(aEndpoint);
  if (peers == m_peers.end()) {
    return false;
  }
  AttemptCounts sum;
  size_t reporters = 0;
  const auto add = [&](const TimedCounts& aCounts) {
    const AttemptCounts counts = Decayed(aCounts, aNow);
    sum.m_attempts += counts.m_attempts;
    sum.m_failures += counts.m_failures;
    reporters += counts.m_failures >= m_settings.m_minReportedFailures ? 1 : 0;
  };
  for (const auto& [peer, counts] : peers->second) {
    add(counts);
  }
  if (const auto local = m_local.find(aEndpoint); local != m_local.end()) {
    add(local->second);
  }
  return reporters >= m_settings.m_minReporters && sum.m_failures >= m_settings.m_minFailures &&
         sum.m_failures >= m_settings.m_minShare * sum.m_attempts;
}

std::vector<base::EndpointId> FailureReports::Failing(base::TimePoint aNow) const {
  std::vector<base::EndpointId> failing;
  for (const auto& [endpoint, until] : m_excludedUntil) {
    if (aNow < until) {
      failing.push_back(endpoint);
    }
  }
  return failing;
}

void FailureReports::RetainEndpoints(const std::map<base::EndpointId, fleet::Endpoint>& aKnown) {
  const auto unknown = [&](const auto& aEntry) { return !aKnown.contains(aEntry.first); };
  std::erase_if(m_local, unknown);
  std::erase_if(m_peers, unknown);
  std::erase_if(m_excludedUntil, unknown);
}

} // namespace papayafield::placement
