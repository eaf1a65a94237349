#pragma once

#include <cstddef>
#include <string_view>

namespace papayafield::adapters::http1 {

/// Checks that a response begins with `HTTP/1.`, a digit, a space, and a status code of three
/// digits from 100 to 599 (RFC 9112, section 4; RFC 9110, section 15). http-parser reports only the
/// value of the code and accepts codes of any length and other versions. Not thread safe.
class StatusLineCheck {
public:
  /// Takes the next bytes of the response. Returns false if they cannot belong to a response; call
  /// Restart before the next call then. Bytes after the status code are ignored.
  bool Feed(std::string_view aBytes);
  /// Expects the start of another response.
  void Restart() { m_position = 0; }

private:
  /// Number of characters of the pattern that have been matched.
  size_t m_position = 0;
};

} // namespace papayafield::adapters::http1
