#include "requests/AnswerToken.h"

#include "base/Digest.h"

#include <charconv>

namespace papayafield::requests {

namespace {

/// Number of hexadecimal digits of the signature in a token; the rest is truncated.
constexpr size_t kSignatureDigits = 24;

std::string Sign(const AnswerToken& aToken, const base::TeamId& aTeam, const std::string& aKey) {
  const std::string text =
    "answer|" + aToken.m_endpoint.Text() + "|" + aToken.m_stream + "|" + aTeam.Text();
  return base::HmacHex(aKey, text).substr(0, kSignatureDigits);
}

} // namespace

std::string SignAnswerToken(const AnswerToken& aToken,
                            const base::TeamId& aTeam,
                            const std::string& aKey) {
  return aToken.m_endpoint.Text() + "~" + aToken.m_stream + "~" + Sign(aToken, aTeam, aKey);
}

std::optional<AnswerPosition> ParseAnswerPosition(const std::string& aText,
                                                  const base::TeamId& aTeam,
                                                  const std::vector<std::string>& aKeys) {
  // Splits `endpoint~stream~signature.offset`.
  const size_t dot = aText.rfind('.');
  const size_t first = aText.find('~');
  const size_t second = first == std::string::npos ? first : aText.find('~', first + 1);
  if (dot == std::string::npos || second == std::string::npos || dot < second) {
    return std::nullopt;
  }
  AnswerPosition position;
  position.m_token.m_endpoint = base::EndpointId(aText.substr(0, first));
  position.m_token.m_stream = aText.substr(first + 1, second - first - 1);
  const std::string signature = aText.substr(second + 1, dot - second - 1);
  const char* begin = aText.data() + dot + 1;
  const char* end = aText.data() + aText.size();
  const auto [parsed, error] = std::from_chars(begin, end, position.m_offset);
  if (error != std::errc() || parsed != end || begin == end) {
    return std::nullopt;
  }
  // Any of the present keys may have signed the token.
  for (const std::string& key : aKeys) {
    if (base::EqualConstantTime(signature, Sign(position.m_token, aTeam, key))) {
      return position;
    }
  }
  return std::nullopt;
}

} // namespace papayafield::requests
