#include "forwarding/EventCutter.h"

namespace papayafield::forwarding {

std::string EventCutter::Feed(std::string_view aBytes) {
  m_rest += aBytes;
  // An event ends with an empty line; lines end with LF or CRLF.
  size_t end = 0;
  for (size_t i = 0; i + 1 < m_rest.size(); ++i) {
    if (m_rest[i] != '\n') {
      continue;
    }
    if (m_rest[i + 1] == '\n') {
      end = i + 2;
    } else if (m_rest[i + 1] == '\r' && i + 2 < m_rest.size() && m_rest[i + 2] == '\n') {
      end = i + 3;
    }
  }
  std::string events = m_rest.substr(0, end);
  m_rest.erase(0, end);
  NoteIds(events);
  return events;
}

void EventCutter::NoteIds(std::string_view aEvents) {
  constexpr std::string_view kField = "id:";
  for (size_t at = 0; at < aEvents.size();) {
    const size_t lineEnd = aEvents.find('\n', at);
    std::string_view line = aEvents.substr(at, lineEnd - at);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    m_events += line.empty() ? 1 : 0;
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      m_lastId = line;
    }
    if (lineEnd == std::string_view::npos) {
      break;
    }
    at = lineEnd + 1;
  }
}

} // namespace papayafield::forwarding
