#include "forwarding/EventSplitter.h"

#include <algorithm>

namespace papayafield::forwarding {

namespace {

/// Properties of an event that matter for the order of events.
struct EventInfo {
  std::string_view m_id;
  /// Whether the event consists of comments only.
  bool m_commentOnly = true;
};

EventInfo Inspect(std::string_view aEvent) {
  constexpr std::string_view kIdField = "id:";
  EventInfo info;
  while (!aEvent.empty()) {
    std::string_view line = aEvent.substr(0, aEvent.find('\n'));
    aEvent.remove_prefix(std::min(aEvent.size(), line.size() + 1));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    info.m_commentOnly = info.m_commentOnly && (line.empty() || line.starts_with(':'));
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      info.m_id = line.starts_with(' ') ? line.substr(1) : line;
    }
  }
  return info;
}

} // namespace

/// An event ends with an empty line; lines end with LF or CRLF.
size_t EventSplitter::FindEvent(std::string_view aText) {
  constexpr std::string_view kEmptyLine = "\r\n";
  size_t lineEnd = aText.find('\n', m_searchedBytes);
  while (lineEnd != std::string_view::npos) {
    const std::string_view next = aText.substr(lineEnd + 1, kEmptyLine.size());
    if (next.starts_with('\n') || next == kEmptyLine) {
      m_searchedBytes = 0;
      return lineEnd + 1 + next.find('\n') + 1;
    }
    if (kEmptyLine.starts_with(next)) {
      // The bytes after this line end decide.
      m_searchedBytes = lineEnd;
      return 0;
    }
    lineEnd = aText.find('\n', lineEnd + 1);
  }
  m_searchedBytes = aText.size();
  return 0;
}

std::string EventSplitter::Feed(std::string_view aBytes) {
  m_partialEvent += aBytes;
  std::string_view rest = m_partialEvent;
  while (m_continuous) {
    const size_t length = FindEvent(rest);
    if (length == 0 || !TakeEvent(rest.substr(0, length))) {
      break;
    }
    rest.remove_prefix(length);
  }
  const size_t end = m_partialEvent.size() - rest.size();
  std::string events = m_partialEvent.substr(0, end);
  m_partialEvent.erase(0, end);
  return events;
}

bool EventSplitter::TakeEvent(std::string_view aEvent) {
  const EventInfo info = Inspect(aEvent);
  if (!info.m_commentOnly) {
    if (!std::exchange(m_runChecked, true) && !m_lastEventId.empty()) {
      m_continuous = ContinuesStream(m_lastEventId, info.m_id, m_step.Value());
      if (!m_continuous) {
        return false;
      }
    } else if (!info.m_id.empty()) {
      m_step.Record(EventNumber(m_lastEventId), EventNumber(info.m_id));
    }
  }
  if (!info.m_id.empty()) {
    m_lastEventId = info.m_id;
  }
  ++m_eventCount;
  return true;
}

void EventSplitter::StartRun() {
  m_partialEvent = {};
  m_searchedBytes = 0;
  m_runChecked = false;
  m_continuous = true;
}

} // namespace papayafield::forwarding
