#pragma once

#include "fleet/StreamOrigin.h"

#include <string>
#include <vector>

namespace papayafield::gossip {

/// Tells another node which versions began streams. Sent to some nodes when a stream begins, and in
/// reply to a query.
struct OriginNotice {
  std::vector<fleet::StreamOrigin> m_origins;
  /// In a reply, the host of the node that replies and the streams that it does not know.
  std::string m_host;
  std::vector<fleet::StreamKey> m_unknown;
};

/// Asks another node which versions began streams.
struct OriginQuery {
  /// Host of the node that asks.
  std::string m_host;
  std::vector<fleet::StreamKey> m_streams;
};

} // namespace papayafield::gossip
