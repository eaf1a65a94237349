#pragma once

#include "forwarding/Call.h"

#include <tl/expected.hpp>

#include <string>

namespace papayafield::forwarding {

/// The call that an operator asks about.
struct ExplainQuery {
  /// Has no key: the team is named by its identifier.
  CallInfo m_call;
  std::string m_method;
  /// Identifier of the team; empty if none is given.
  std::string m_team;
};

/// Decodes the query of `GET /explain`. Returns the name of the first invalid parameter if there is
/// one. Thread safe.
tl::expected<ExplainQuery, std::string> ParseExplainQuery(const std::string& aTarget);

} // namespace papayafield::forwarding
