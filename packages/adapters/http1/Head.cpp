#include "adapters/http1/Head.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace papayafield::adapters::http1 {

namespace {

int HexDigit(char aLetter) {
  if (aLetter >= '0' && aLetter <= '9') {
    return aLetter - '0';
  }
  const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view aText) {
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() && HexDigit(aText[i + 1]) >= 0 &&
        HexDigit(aText[i + 2]) >= 0) {
      text += static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
      i += 2;
    } else {
      text += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return text;
}

} // namespace

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight) {
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return std::tolower(static_cast<unsigned char>(aOne)) ==
             std::tolower(static_cast<unsigned char>(aOther));
    });
}

void Fields::Add(std::string aName, std::string aValue) {
  m_list.push_back({ std::move(aName), std::move(aValue) });
}

void Fields::Remove(std::string_view aName) {
  std::erase_if(m_list,
                [&](const Field& aField) { return EqualsIgnoreCase(aField.m_name, aName); });
}

std::optional<std::string_view> Fields::Find(std::string_view aName) const {
  for (const Field& field : m_list) {
    if (EqualsIgnoreCase(field.m_name, aName)) {
      return field.m_value;
    }
  }
  return std::nullopt;
}

size_t Fields::Count(std::string_view aName) const {
  return static_cast<size_t>(std::count_if(m_list.begin(), m_list.end(), [&](const Field& aField) {
    return EqualsIgnoreCase(aField.m_name, aName);
  }));
}

bool IsHopByHop(std::string_view aName) {
  static constexpr std::array<std::string_view, 9> kNames = {
    "Connection", "Keep-Alive", "Proxy-Connection",   "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Proxy-Authenticate", "Content-Length"
  };
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view aKnown) {
    return EqualsIgnoreCase(aKnown, aName);
  });
}

std::string_view ReasonPhrase(int aStatus) {
  switch (aStatus) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string QueryParameter(std::string_view aTarget, std::string_view aName) {
  const size_t mark = aTarget.find('?');
  std::string_view rest =
    mark == std::string_view::npos ? std::string_view{} : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return PercentDecode(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

std::string PercentEncode(std::string_view aText) {
  static constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char letter : aText) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 || letter == '-' || letter == '_' || letter == '.' ||
        letter == '~' || letter == '/') {
      text += letter;
    } else {
      text += '%';
      text += kDigits[byte >> 4U];
      text += kDigits[byte & 0xFU];
    }
  }
  return text;
}

} // namespace papayafield::adapters::http1
