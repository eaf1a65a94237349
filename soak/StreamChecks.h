#pragma once

#include "soak/NodeDisruptions.h"
#include "soak/Releases.h"
#include "soak/StreamCaller.h"

#include <string>
#include <vector>

namespace papayafield::soak {

/// Streams that began, or were resumed, and those of them that got an event.
struct StreamShare {
  size_t m_requested = 0;
  size_t m_served = 0;

  double Value() const {
    return m_requested == 0 ? 0 : static_cast<double>(m_served) / static_cast<double>(m_requested);
  }
};

/// Result of checking the streams of a run.
struct StreamCheckResult {
  size_t m_streams = 0;
  size_t m_complete = 0;
  size_t m_resumed = 0;
  /// New streams at nodes in touch.
  StreamShare m_new;
  /// Streams resumed at nodes in touch while two endpoints of their version served.
  StreamShare m_resumable;
  /// Streams with events of two versions.
  size_t m_mixed = 0;
  /// One line for each violated guarantee.
  std::vector<std::string> m_violations;
};

/// What was done to the fleet while the streams ran.
struct StreamConditions {
  const std::vector<EndpointSpan>& m_endpoints;
  const std::vector<NodeSpan>& m_disruptions;
  const std::vector<PlannedStop>& m_stops;
  const std::vector<NodeLaunch>& m_launches;
};

/// Checks that no stream holds events of two versions or out of order (ORDER), and that of 12 or
/// more streams that are resumed at nodes in touch while two endpoints of their version serve, the
/// share that continues is at least half of the share of new streams that begin (LOST). The latter
/// is checked for the run and for the streams that broke off in each disruption of a node. Thread
/// safe.
StreamCheckResult CheckStreams(const std::vector<StreamRecord>& aRecords,
                               const StreamConditions& aConditions);

} // namespace papayafield::soak
