#include "forwarding/EventSplitter.h"

#include <algorithm>

namespace papayafield::forwarding {

namespace {

/// Returns the length of the first complete event in `aText`; 0 if there is none. An event ends
/// with an empty line; lines end with LF or CRLF.
size_t EventLength(std::string_view aText) {
  for (size_t i = aText.find('\n'); i != std::string_view::npos; i = aText.find('\n', i + 1)) {
    if (aText.substr(i + 1).starts_with('\n')) {
      return i + 2;
    }
    if (aText.substr(i + 1).starts_with("\r\n")) {
      return i + 3;
    }
  }
  return 0;
}

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

std::string EventSplitter::Feed(std::string_view aBytes) {
  m_partialEvent += aBytes;
  std::string_view rest = m_partialEvent;
  while (m_continuous) {
    const size_t length = EventLength(rest);
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
  m_partialEvent.clear();
  m_runChecked = false;
  m_continuous = true;
}

} // namespace papayafield::forwarding
