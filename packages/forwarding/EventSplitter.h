#pragma once

#include "forwarding/StreamContinuity.h"

#include <string>
#include <string_view>
#include <utility>

namespace papayafield::forwarding {

/// Splits a stream of server-sent events into complete events without changing their bytes. Not
/// thread safe.
class EventSplitter {
public:
  /// Maximum size of an event in bytes.
  static constexpr size_t kMaxEventBytes = 1U << 20U;

  /// Appends bytes and returns the events that are now complete, concatenated. Returns nothing once
  /// the run does not continue the stream, or has overflowed. Takes constant time for each byte.
  std::string Feed(std::string_view aBytes);
  /// Returns the last ID that a complete event carried; empty if none has carried one.
  const std::string& LastEventId() const { return m_lastEventId; }
  /// Returns whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !m_partialEvent.empty(); }
  /// Returns the number of bytes that are buffered.
  size_t BufferedBytes() const { return m_partialEvent.capacity(); }
  /// Returns whether an event of the present run exceeds kMaxEventBytes.
  bool HasOverflowed() const { return m_partialEvent.size() > kMaxEventBytes; }
  /// Returns false if the first event of the present run does not follow the last one of the
  /// stream: it comes again, events before it are missing, or it has no ID although earlier events
  /// have.
  bool IsContinuous() const { return m_continuous; }
  /// Sets the ID of the event after which the stream begins.
  void Resume(std::string aLastEventId) { m_lastEventId = std::move(aLastEventId); }
  /// Returns the number of complete events so far.
  size_t EventCount() const { return m_eventCount; }
  /// Starts a new run, which continues the stream at another endpoint. Discards the incomplete
  /// event of the previous one, if any.
  void StartRun();

private:
  /// Takes a complete event into account. Returns false if it does not continue the stream.
  bool TakeEvent(std::string_view aEvent);

  /// Returns the length of the first complete event in `aText`, or 0 if there is none.
  size_t FindEvent(std::string_view aText);

  std::string m_partialEvent;
  /// Number of bytes of the incomplete event in which no event ends, whatever follows.
  size_t m_searchedBytes = 0;
  std::string m_lastEventId;
  EventStep m_step;
  size_t m_eventCount = 0;
  /// Whether an event of the present run has been compared with the last one before it.
  bool m_runChecked = false;
  bool m_continuous = true;
};

} // namespace papayafield::forwarding
