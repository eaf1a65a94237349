#pragma once

#include "adapters/http/HttpServer.h"
#include "requests/Outcome.h"

#include <optional>
#include <string>

namespace papayafield::gateway {

/// The description of a rejected or failed request that is returned to the caller.
struct Problem {
  /// HTTP status code.
  int m_status = 500;
  /// Short summary.
  std::string m_title;
  /// Whether the call has run, as far as this node can guarantee it.
  requests::Outcome m_outcome = requests::Outcome::NotRun;
  /// Human-readable detail.
  std::string m_detail;
  /// Time after which a retry may succeed.
  std::optional<base::Millis> m_retryAfter;
};

/// Returns the problem as application/problem+json.
std::string ToJson(const Problem& aProblem);

/// Responds to `aExchange` with `aProblem`. Precondition: no response has been started.
void Reply(adapters::http::ServerExchange& aExchange, const Problem& aProblem);

} // namespace papayafield::gateway
