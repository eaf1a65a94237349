#include "adapters/http1/StatusLineCheck.h"

namespace papayafield::adapters::http1 {

namespace {

/// `#` stands for a digit, `C` for the first digit of a status code, and `E` for what may follow a
/// status code: a space, or the end of the line if there is no reason phrase.
constexpr std::string_view kPattern = "HTTP/1.# C##E";

bool Matches(char aPattern, char aCharacter) {
  switch (aPattern) {
    case '#':
      return aCharacter >= '0' && aCharacter <= '9';
    case 'C':
      return aCharacter >= '1' && aCharacter <= '5';
    case 'E':
      return aCharacter == ' ' || aCharacter == '\r' || aCharacter == '\n';
    default:
      return aCharacter == aPattern;
  }
}

} // namespace

bool StatusLineCheck::Feed(std::string_view aBytes) {
  for (const char character : aBytes) {
    if (m_position == kPattern.size()) {
      break;
    }
    // Empty lines before a message are ignored (RFC 9112, section 2.2).
    if (m_position == 0 && (character == '\r' || character == '\n')) {
      continue;
    }
    if (!Matches(kPattern[m_position], character)) {
      return false;
    }
    ++m_position;
  }
  return true;
}

} // namespace papayafield::adapters::http1
