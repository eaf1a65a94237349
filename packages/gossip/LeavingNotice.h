#pragma once

#include "fleet/EndpointAvailability.h"

#include <vector>

namespace papayafield::gossip {

/// Informs other nodes of endpoints that leave. Sent at once when one becomes known, and repeated
/// for some time, so a lost one does no harm.
struct LeavingNotice {
  std::vector<fleet::LeavingMark> m_marks;
};

} // namespace papayafield::gossip
