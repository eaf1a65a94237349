#pragma once

#include <string_view>

namespace papayafield::forwarding {

/// The call that an answer belongs to.
enum class AnswerOrigin {
  /// The call that waits on the connection.
  ThisCall,
  /// A call that was sent earlier on the connection.
  OtherCall,
  /// Either of them.
  Unknown,
};

/// Returns the call that an answer belongs to. `aAnswerId` is the ID that the answer repeats, empty
/// if there is none; `aCallId` is the ID of the waiting call and must not be empty.
/// `aOthersPossible`: whether the endpoint has received other calls on the connection, or has
/// answered one there. Without that, even an answer without an ID can only belong to the waiting
/// call. Thread safe.
constexpr AnswerOrigin OriginOf(std::string_view aAnswerId,
                                std::string_view aCallId,
                                bool aOthersPossible) {
  if (!aAnswerId.empty()) {
    return aAnswerId == aCallId ? AnswerOrigin::ThisCall : AnswerOrigin::OtherCall;
  }
  return aOthersPossible ? AnswerOrigin::Unknown : AnswerOrigin::ThisCall;
}

} // namespace papayafield::forwarding
