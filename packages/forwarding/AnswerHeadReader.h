#pragma once

#include "adapters/http1/Head.h"

#include <optional>
#include <string>
#include <string_view>

namespace papayafield::forwarding {

/// Reads the head of the first final answer from the bytes of a connection that is passed on. Not
/// thread safe.
class AnswerHeadReader {
public:
  /// Adds bytes. Returns the head when it is complete; nullopt before and after that, and if there
  /// is none.
  std::optional<adapters::http1::ResponseHead> Feed(std::string_view aBytes);
  /// Returns whether further bytes make no difference.
  bool IsDone() const { return m_isDone; }

private:
  std::string m_text;
  bool m_isDone = false;
};

} // namespace papayafield::forwarding
