#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace papayafield::forwarding {

/// Cuts a stream of server-sent events into whole events and keeps their bytes as they are. Not
/// thread safe.
class EventCutter {
public:
  /// Takes bytes; gives the whole events that are now complete, as one piece of text.
  std::string Feed(std::string_view aBytes);
  /// The id of the last whole event; empty when none had one.
  const std::string& LastId() const { return m_lastId; }
  /// Whether bytes of an event wait for its end.
  bool InEvent() const { return !m_rest.empty(); }
  /// Sets the id after which the stream begins.
  void Resume(std::string aLastId) { m_lastId = std::move(aLastId); }
  /// Whole events so far.
  size_t Events() const { return m_events; }
  /// Drops an unfinished event, when the stream goes on elsewhere.
  void DropRest() { m_rest.clear(); }

private:
  void NoteIds(std::string_view aEvents);

  std::string m_rest;
  std::string m_lastId;
  size_t m_events = 0;
};

} // namespace papayafield::forwarding
