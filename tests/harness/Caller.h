#pragma once

#include "adapters/http/BlockingClient.h"
#include "base/Json.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace papayafield::tests {

/// API keys defined in the manifest and settings that Fleet writes.
inline constexpr char kTeamKey[] = "florists-key";
inline constexpr char kOtherTeamKey[] = "drivers-key";
inline constexpr char kThirdTeamKey[] = "parishes-key";
inline constexpr char kOperatorKey[] = "operator-key";

/// An HTTP answer as the caller receives it.
struct CallerAnswer {
  /// 0 if no complete answer was received.
  int m_status = 0;
  std::string m_body;
  /// Value of the X-Outcome header; empty if the answer has none.
  std::string m_outcome;
  adapters::http::Headers m_headers;
};

/// Sends a request and blocks until the complete answer is received.
CallerAnswer Call(const base::Address& aTo,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aBody = {},
                  const adapters::http::Headers& aHeaders = {});

/// Like Call, with `aKey` as the bearer token and an optional idempotency key.
CallerAnswer CallAs(const std::string& aKey,
                    const base::Address& aTo,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aBody = {},
                    const std::string& aIdempotencyKey = {});

/// A streamed completion as the caller accumulates it.
struct Stream {
  int m_status = 0;
  /// Concatenated text of all tokens.
  std::string m_text;
  /// Id of the last event.
  std::string m_lastId;
  size_t m_tokens = 0;
  /// Whether the end marker `[DONE]` was received.
  bool m_complete = false;
  /// Type of the last event with an explicit type.
  std::string m_type;
  std::string m_body;
};

/// Requests a streamed completion of `aPrompt` with `aTokens` tokens. `aOnToken` is called with the
/// number of tokens received so far and returns false to close the connection. If `aAfter` is set,
/// the request resumes that partial stream.
Stream Generate(const base::Address& aTo,
                const std::string& aPrompt,
                uint64_t aTokens,
                const std::function<bool(size_t)>& aOnToken = {},
                const Stream* aAfter = nullptr,
                const std::string& aKey = kTeamKey);

/// Returns the text that the stand-in engines generate for `aPrompt`.
std::string ExpectedText(const std::string& aPrompt, uint64_t aTokens);

/// Polls until `aCondition` holds; returns false if it does not hold within 60 s.
bool Eventually(const std::function<bool()>& aCondition);

} // namespace papayafield::tests
