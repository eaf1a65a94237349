#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayafield::requests {

/// One server-sent event.
struct SseEvent {
  /// The `id` field; empty if the event has none.
  std::string m_id;
  /// The `event` field; empty if the event has none.
  std::string m_type;
  /// The `data` lines, joined by line feeds.
  std::string m_data;
};

/// Parses a byte stream into server-sent events. Not thread safe.
class SseReader {
public:
  /// Maximum size of an event in bytes.
  static constexpr size_t kMaxEventBytes = 1ULL << 20;

  /// Appends bytes of the stream, and returns the events that they complete. Comments are skipped.
  /// Takes constant time for each byte.
  std::vector<SseEvent> Feed(std::string_view aBytes);
  /// Returns whether an event exceeded kMaxEventBytes; no further events are returned then.
  bool HasOverflowed() const { return m_hasOverflowed; }

private:
  static void ParseLine(std::string_view aLine, SseEvent& aEvent, bool& aHasField);

  std::string m_buffer;
  /// Number of bytes of the buffer that have been searched for the end of an event.
  size_t m_searchedBytes = 0;
  bool m_hasOverflowed = false;
};

} // namespace papayafield::requests
