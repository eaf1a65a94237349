#pragma once

#include "adapters/http/HttpServer.h"
#include "requests/Outcome.h"

#include <optional>
#include <string>

namespace papayafield::gateway {

/// A refused or failed request, as the caller is told.
struct Problem {
  /// HTTP status code.
  int m_status = 500;
  /// What happened, in a few words.
  std::string m_title;
  /// What the caller may rely on.
  requests::Outcome m_outcome = requests::Outcome::NotRun;
  /// More, for a person.
  std::string m_detail;
  /// When asking again may help.
  std::optional<base::Millis> m_retryAfter;
};

/// The problem as application/problem+json.
std::string ToJson(const Problem& aProblem);

/// Answers `aExchange` with `aProblem`. Precondition: nothing was answered before.
void Reply(adapters::http::ServerExchange& aExchange, const Problem& aProblem);

} // namespace papayafield::gateway
