#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayafield::requests {

/// One event of a stream of server-sent events.
struct SseEvent {
  /// The `id` field; empty when there was none.
  std::string m_id;
  /// The `event` field; empty when there was none.
  std::string m_type;
  /// The `data` lines, joined by line feeds.
  std::string m_data;
};

/// Cuts a byte stream into server-sent events. Not thread safe.
class SseReader {
public:
  /// Largest event taken, in bytes.
  static constexpr size_t kMaxEventBytes = 1ULL << 20;

  /// Takes bytes and gives the events that they complete. Comments give nothing.
  std::vector<SseEvent> Feed(std::string_view aBytes);
  /// Whether an event exceeded the bound; the stream is then of no use.
  bool Overflown() const { return m_overflown; }

private:
  static void ParseLine(std::string_view aLine, SseEvent& aEvent, bool& aHasField);

  std::string m_rest;
  bool m_overflown = false;
};

} // namespace papayafield::requests
