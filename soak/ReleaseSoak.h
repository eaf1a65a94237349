#pragma once

#include <cstddef>
#include <cstdint>

namespace papayafield::soak {

/// Settings of a soak with releases.
struct ReleaseSoakSettings {
  uint64_t m_seed = 1;
  /// A round lasts 6 s.
  int m_rounds = 3;
  size_t m_nodes = 3;
  /// Callers that send all kinds of calls.
  size_t m_callers = 8;
  /// Callers that only send streams and resume them.
  size_t m_streamCallers = 90;
};

/// Runs rounds in which endpoints are replaced by those of other versions, single nodes are
/// disrupted, the timeout of streams changes, and nodes are restarted or reload their settings.
/// Checks the streams (see StreamChecks.h) and the calls (see Checks.h), and prints violations.
/// Returns whether there were none. Blocks until all processes have ended.
bool RunReleaseSoak(const ReleaseSoakSettings& aSettings);

} // namespace papayafield::soak
