#include "forwarding/AnswerHeadReader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace papayafield::forwarding {

using adapters::http1::ResponseHead;

namespace {

/// Maximum size of a head that is read, in bytes.
constexpr size_t kMaxHeadBytes = 65536;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersion = "HTTP/1.";

std::string_view Trimmed(std::string_view aText) {
  const size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

/// Parses a head without the empty line at its end. Returns the status 0 if it is malformed.
ResponseHead Parse(std::string_view aText) {
  ResponseHead head;
  const size_t lineEnd = std::min(aText.find(kLineEnd), aText.size());
  const std::string_view statusLine = aText.substr(0, lineEnd);
  const size_t space = statusLine.find(' ');
  if (!statusLine.starts_with(kVersion) || space == std::string_view::npos) {
    return head;
  }
  const std::string_view status = statusLine.substr(space + 1);
  std::from_chars(status.data(), status.data() + status.size(), head.m_status);
  std::string_view rest = aText.substr(std::min(lineEnd + kLineEnd.size(), aText.size()));
  while (!rest.empty()) {
    const std::string_view line = rest.substr(0, rest.find(kLineEnd));
    if (const size_t colon = line.find(':'); colon != std::string_view::npos) {
      head.m_fields.Add(std::string(line.substr(0, colon)),
                        std::string(Trimmed(line.substr(colon + 1))));
    }
    rest.remove_prefix(std::min(rest.size(), line.size() + kLineEnd.size()));
  }
  return head;
}

} // namespace

std::optional<ResponseHead> AnswerHeadReader::Feed(std::string_view aBytes) {
  if (m_isDone) {
    return std::nullopt;
  }
  m_text += aBytes;
  while (true) {
    const size_t end = m_text.find(kHeadEnd);
    if (end == std::string::npos) {
      m_isDone = m_text.size() > kMaxHeadBytes;
      return std::nullopt;
    }
    ResponseHead head = Parse(std::string_view(m_text).substr(0, end));
    m_text.erase(0, end + kHeadEnd.size());
    const bool isInterim = head.m_status / 100 == 1;
    if (!isInterim) {
      m_isDone = true;
      m_text = {};
      return head.m_status > 0 ? std::optional(std::move(head)) : std::nullopt;
    }
  }
}

} // namespace papayafield::forwarding
