#pragma once

#include "base/Digest.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace papayafield::fleet {

/// Identifies a stream by a hash of the ID of the call that brought its first event.
using StreamKey = uint64_t;

/// Returns the key of the stream whose first event came with the call `aCallId`. Thread safe.
inline StreamKey StreamKeyOf(std::string_view aCallId) {
  return base::Hash64(aCallId);
}

/// The software version of the endpoint that began a stream. Only endpoints of that version can
/// continue it.
struct StreamOrigin {
  StreamKey m_stream = 0;
  std::string m_version;
};

} // namespace papayafield::fleet
