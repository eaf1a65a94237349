#include "requests/SseReader.h"

namespace papayafield::requests {

std::vector<SseEvent> SseReader::Feed(std::string_view aBytes) {
  std::vector<SseEvent> events;
  if (m_hasOverflowed) {
    return events;
  }
  m_buffer.append(aBytes);
  size_t start = 0;
  size_t searched = m_searchedBytes;
  // An empty line ends an event.
  while (true) {
    const size_t end = m_buffer.find("\n\n", searched);
    if (end == std::string::npos) {
      break;
    }
    SseEvent event;
    bool hasField = false;
    size_t line = start;
    while (line <= end) {
      const size_t lineEnd = std::min(m_buffer.find('\n', line), end);
      ParseLine(std::string_view(m_buffer).substr(line, lineEnd - line), event, hasField);
      line = lineEnd + 1;
    }
    if (hasField) {
      events.push_back(std::move(event));
    }
    start = end + 2;
    searched = start;
  }
  m_buffer.erase(0, start);
  // The last byte may be the first line feed of an event's end.
  m_searchedBytes = m_buffer.empty() ? 0 : m_buffer.size() - 1;
  m_hasOverflowed = m_buffer.size() > kMaxEventBytes;
  return events;
}

void SseReader::ParseLine(std::string_view aLine, SseEvent& aEvent, bool& aHasField) {
  const size_t colon = aLine.find(':');
  if (colon == 0 || colon == std::string_view::npos) {
    return;
  }
  const std::string_view name = aLine.substr(0, colon);
  std::string_view value = aLine.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (value.ends_with('\r')) {
    value.remove_suffix(1);
  }
  aHasField = true;
  if (name == "id") {
    aEvent.m_id = value;
  } else if (name == "event") {
    aEvent.m_type = value;
  } else if (name == "data") {
    if (!aEvent.m_data.empty()) {
      aEvent.m_data += '\n';
    }
    aEvent.m_data += value;
  }
}

} // namespace papayafield::requests
