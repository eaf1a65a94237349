#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayafield::requests {

/// Names a stream at an engine to the caller that owns it, so that any node can resume it.
struct AnswerToken {
  /// The engine that holds the stream.
  base::EndpointId m_endpoint;
  /// The stream's name at the engine.
  std::string m_stream;
};

/// Where a caller stopped reading.
struct AnswerPosition {
  AnswerToken m_token;
  /// Offset of the last token read.
  uint64_t m_offset = 0;
};

/// Writes `aToken` for the team `aTeam`, signed with `aKey`. Events append `.OFFSET` to it. Thread
/// safe.
std::string SignAnswerToken(const AnswerToken& aToken,
                            const base::TeamId& aTeam,
                            const std::string& aKey);

/// Reads the text of an event id (token, point, offset) that `aTeam` presents; nothing when it is
/// malformed or was not signed with one of `aKeys` for this team. Thread safe.
std::optional<AnswerPosition> ReadAnswerPosition(const std::string& aText,
                                                 const base::TeamId& aTeam,
                                                 const std::vector<std::string>& aKeys);

} // namespace papayafield::requests
