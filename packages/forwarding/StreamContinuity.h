#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace papayafield::forwarding {

/// Returns the event ID `aText` as a number; nullopt if it is none. Thread safe.
inline std::optional<uint64_t> EventNumber(std::string_view aText) {
  uint64_t number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

/// Distance between consecutive numbers of the events of a stream, if it is always the same. Not
/// thread safe.
class EventStep {
public:
  /// Records that the event `aNext` followed `aPrevious` in one run.
  void Record(std::optional<uint64_t> aPrevious, std::optional<uint64_t> aNext) {
    if (!aPrevious || !aNext) {
      return;
    }
    const uint64_t step = *aNext - *aPrevious;
    m_constant = m_constant && (!m_step || *m_step == step);
    m_step = step;
  }
  /// Returns the step; nullopt if it varies or is unknown.
  std::optional<uint64_t> Value() const { return m_constant ? m_step : std::nullopt; }

private:
  std::optional<uint64_t> m_step;
  bool m_constant = true;
};

/// Returns whether a run whose first event has the ID `aFirst`, empty if it has none, continues the
/// stream after the event `aLast`, which must not be empty. `aStep` is the constant step of the
/// stream, if known: a larger one means that events are missing. IDs that are no numbers continue a
/// stream unless they are equal. Thread safe.
inline bool ContinuesStream(std::string_view aLast,
                            std::string_view aFirst,
                            std::optional<uint64_t> aStep) {
  if (aFirst.empty() || aFirst == aLast) {
    return false;
  }
  const auto last = EventNumber(aLast);
  const auto first = EventNumber(aFirst);
  if (!last || !first) {
    return true;
  }
  return *first > *last && (!aStep || *first - *last <= *aStep);
}

} // namespace papayafield::forwarding
