#include "forwarding/EventSplitter.h"

namespace papayafield::forwarding {

std::string EventSplitter::Feed(std::string_view aBytes) {
  m_partialEvent += aBytes;
  // An event ends with an empty line; lines end with LF or CRLF.
  size_t end = 0;
  for (size_t i = 0; i + 1 < m_partialEvent.size(); ++i) {
    if (m_partialEvent[i] != '\n') {
      continue;
    }
    if (m_partialEvent[i + 1] == '\n') {
      end = i + 2;
    } else if (m_partialEvent[i + 1] == '\r' && i + 2 < m_partialEvent.size() &&
               m_partialEvent[i + 2] == '\n') {
      end = i + 3;
    }
  }
  std::string events = m_partialEvent.substr(0, end);
  m_partialEvent.erase(0, end);
  ParseEvents(events);
  return events;
}

void EventSplitter::ParseEvents(std::string_view aEvents) {
  constexpr std::string_view kField = "id:";
  for (size_t at = 0; at < aEvents.size();) {
    const size_t lineEnd = aEvents.find('\n', at);
    std::string_view line = aEvents.substr(at, lineEnd - at);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    m_eventCount += line.empty() ? 1 : 0;
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      m_lastEventId = line;
    }
    if (lineEnd == std::string_view::npos) {
      break;
    }
    at = lineEnd + 1;
  }
}

} // namespace papayafield::forwarding
