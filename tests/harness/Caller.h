#pragma once

#include "adapters/http/BlockingClient.h"
#include "base/Json.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace papayafield::tests {

/// Keys of the manifest that Fleet applies.
inline constexpr char kTeamKey[] = "florists-key";
inline constexpr char kOtherTeamKey[] = "drivers-key";
inline constexpr char kThirdTeamKey[] = "parishes-key";
inline constexpr char kOperatorKey[] = "operator-key";

/// An answer as a caller sees it.
struct CallerAnswer {
  /// 0 when there was no whole answer.
  int m_status = 0;
  std::string m_body;
  /// Value of X-Outcome; empty when the answer has none.
  std::string m_outcome;
  adapters::http::Headers m_headers;
};

/// Sends a request with JSON body and waits for the whole answer.
CallerAnswer Call(const base::Address& aTo,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aBody = {},
                  const adapters::http::Headers& aHeaders = {});

/// Sends a request as the team with the key `aKey`.
CallerAnswer CallAs(const std::string& aKey,
                    const base::Address& aTo,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aBody = {},
                    const std::string& aIdempotencyKey = {});

/// A streamed answer as a caller gathers it.
struct Stream {
  int m_status = 0;
  /// Text of all tokens.
  std::string m_text;
  /// Id of the last event.
  std::string m_lastId;
  size_t m_tokens = 0;
  /// Whether the end mark came.
  bool m_whole = false;
  /// Type of the last event that had one.
  std::string m_type;
  std::string m_body;
};

/// Asks for a streamed completion of `aPrompt` with `aTokens` tokens. `aOnToken` is called with the
/// number of tokens so far and returns false to hang up. `aAfter` goes on after an earlier part.
Stream Generate(const base::Address& aTo,
                const std::string& aPrompt,
                uint64_t aTokens,
                const std::function<bool(size_t)>& aOnToken = {},
                const Stream* aAfter = nullptr,
                const std::string& aKey = kTeamKey);

/// The text that the stand-in engines give for `aPrompt`.
std::string ExpectedText(const std::string& aPrompt, uint64_t aTokens);

/// Waits until `aCondition` holds; false when it does not within a long time.
bool Eventually(const std::function<bool()>& aCondition);

} // namespace papayafield::tests
