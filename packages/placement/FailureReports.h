#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "fleet/EndpointDirectory.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace papayafield::placement {

struct FailureReportSettings {
  /// Time constant with which counts decay.
  base::Millis m_window{ 1500 };
  /// Time for which a failing endpoint gets no calls. About that of a restart; a longer one would
  /// leave sound endpoints idle.
  base::Millis m_exclusion{ 2000 };
  /// Failures over all nodes, share of the reported calls and number of nodes from which an
  /// endpoint counts as failing. A node alone may be cut off from endpoints that work.
  double m_minFailures = 2;
  double m_minShare = 0.3;
  size_t m_minReporters = 2;
  /// Decayed failures from which a node reports an endpoint.
  double m_minReportedFailures = 0.5;
  /// Time from which on an endpoint that gets no calls is no longer reported: two heartbeats.
  base::Millis m_reportTime{ 500 };
  /// Maximum number of endpoints in a report. Heartbeats take half of a link of 10 Mbit/s in a
  /// fleet of 50 nodes that serve callers.
  size_t m_maxReported = 8;
};

/// Decayed counts of the attempts at one endpoint that have ended.
struct AttemptCounts {
  double m_attempts = 0;
  double m_failures = 0;

  bool operator==(const AttemptCounts&) const = default;
};

/// Combines what the nodes of a fleet see of failing endpoints. In a large fleet, each node sends
/// an endpoint a call every few seconds, so without its peers it meets each failing endpoint many
/// times before it avoids it. Not thread safe.
class FailureReports {
public:
  using Counts = std::map<base::EndpointId, AttemptCounts>;

  explicit FailureReports(FailureReportSettings aSettings)
    : m_settings(aSettings) {}

  /// Records the end of an attempt of this node. Refusals that state that the call has not run are
  /// no failures and must not be recorded.
  void Record(const base::EndpointId& aEndpoint, bool aSucceeded, base::TimePoint aNow);
  /// Returns the counts of the endpoints at which attempts of this node failed lately, those with
  /// the most failures if there are too many. Endpoints that have got no calls for m_reportTime are
  /// left out, since the other nodes have seen the same reports.
  Counts LocalReport(base::TimePoint aNow) const;
  /// Forgets the attempts of this node, and which endpoints get no calls. Endpoints that still fail
  /// at other nodes get none again from the next report on.
  void ForgetLocal();
  /// Replaces the report of the peer `aPeer`; an empty one removes it.
  void SetPeerReport(const std::string& aPeer, const Counts& aCounts, base::TimePoint aNow);
  /// Returns whether the endpoint gets no calls for now, because attempts of several nodes have
  /// failed there.
  bool IsFailing(const base::EndpointId& aEndpoint, base::TimePoint aNow) const;
  /// Returns the failing endpoints.
  std::vector<base::EndpointId> Failing(base::TimePoint aNow) const;
  /// Removes the counts of endpoints that are not in `aKnown`.
  void RetainEndpoints(const std::map<base::EndpointId, fleet::Endpoint>& aKnown);

private:
  struct TimedCounts {
    AttemptCounts m_counts;
    base::TimePoint m_at{};
  };

  bool IsKnownToPeers(const base::EndpointId& aEndpoint, base::TimePoint aNow) const;
  bool HasFailed(const base::EndpointId& aEndpoint, base::TimePoint aNow) const;
  void ExcludeIfFailed(const base::EndpointId& aEndpoint, base::TimePoint aNow);
  AttemptCounts Decayed(const TimedCounts& aCounts, base::TimePoint aNow) const;

  FailureReportSettings m_settings;
  std::map<base::EndpointId, TimedCounts> m_local;
  std::map<base::EndpointId, std::map<std::string, TimedCounts>> m_peers;
  std::map<base::EndpointId, base::TimePoint> m_excludedUntil;
};

} // namespace papayafield::placement
