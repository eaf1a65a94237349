#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace papayafield::forwarding {

/// Splits a stream of server-sent events into complete events without changing their bytes. Not
/// thread safe.
class EventSplitter {
public:
  /// Appends bytes and returns the events that are now complete, concatenated.
  std::string Feed(std::string_view aBytes);
  /// Returns the last ID that a complete event carried; empty if none has carried one.
  const std::string& LastEventId() const { return m_lastEventId; }
  /// Returns whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !m_partialEvent.empty(); }
  /// Sets the ID of the event after which the stream begins.
  void Resume(std::string aLastEventId) { m_lastEventId = std::move(aLastEventId); }
  /// Returns the number of complete events so far.
  size_t EventCount() const { return m_eventCount; }
  /// Discards the incomplete event, if any, before the stream resumes at another endpoint.
  void DiscardPartialEvent() { m_partialEvent.clear(); }

private:
  void ParseEvents(std::string_view aEvents);

  std::string m_partialEvent;
  std::string m_lastEventId;
  size_t m_eventCount = 0;
};

} // namespace papayafield::forwarding
