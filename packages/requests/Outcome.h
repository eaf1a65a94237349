#pragma once

#include "base/EnumNames.h"

namespace papayafield::requests {

/// What the caller of a failed or rejected request may assume about its execution.
enum class Outcome {
  /// No endpoint ran the request, and none will.
  NotRun,
  /// An endpoint ran the request.
  Ran,
  /// The request may or may not have run.
  Unknown,
};

/// Whether a call may be sent to an endpoint more than once.
enum class CallKind { Repeatable, NotRepeatable };

} // namespace papayafield::requests

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<requests::Outcome> = std::to_array<EnumName<requests::Outcome>>({
  { requests::Outcome::NotRun, "not run" },
  { requests::Outcome::Ran, "ran" },
  { requests::Outcome::Unknown, "unknown" },
});

template<>
inline constexpr auto kEnumNames<requests::CallKind> = std::to_array<EnumName<requests::CallKind>>({
  { requests::CallKind::Repeatable, "repeatable" },
  { requests::CallKind::NotRepeatable, "not repeatable" },
});

} // namespace papayafield::base
