#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayafield::requests {

/// Identifies a stream of an engine to the caller that owns it, so that any node can resume it.
struct AnswerToken {
  /// The engine that holds the stream.
  base::EndpointId m_endpoint;
  /// Name of the stream at the engine.
  std::string m_stream;
};

/// The position at which a caller stopped reading a stream.
struct AnswerPosition {
  AnswerToken m_token;
  /// Offset of the last token that was read.
  uint64_t m_offset = 0;
};

/// Returns the text of `aToken` for the team `aTeam`, signed with `aKey`. An event id is this text
/// followed by `.OFFSET`. Thread safe.
std::string SignAnswerToken(const AnswerToken& aToken,
                            const base::TeamId& aTeam,
                            const std::string& aKey);

/// Parses an event id (token, dot, offset) that `aTeam` presents. Returns nullopt if it is
/// malformed or was not signed for this team with one of `aKeys`. Thread safe.
std::optional<AnswerPosition> ParseAnswerPosition(const std::string& aText,
                                                  const base::TeamId& aTeam,
                                                  const std::vector<std::string>& aKeys);

} // namespace papayafield::requests
