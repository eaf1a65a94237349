#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>

namespace papayafield::forwarding {

/// Bounds log lines that callers can provoke at will, so that a flood leaves room for others. Not
/// thread safe.
class FloodLog {
public:
  /// Returns whether a line may be written at `aNow`; otherwise it is counted as left out.
  bool TryTake(base::TimePoint aNow) {
    if (aNow - m_windowStart >= kWindow) {
      m_windowStart = aNow;
      m_lines = 0;
    }
    if (m_lines < kMaxLines) {
      ++m_lines;
      return true;
    }
    ++m_leftOut;
    return false;
  }
  /// Returns the number of lines left out since the last call.
  uint64_t TakeLeftOut() { return std::exchange(m_leftOut, 0); }

private:
  static constexpr base::Millis kWindow{ 1000 };
  /// Enough to see each kind of rejection, and a small part of the 400 lines per second that a
  /// process may write.
  static constexpr int kMaxLines = 20;

  base::TimePoint m_windowStart{};
  int m_lines = 0;
  uint64_t m_leftOut = 0;
};

/// What the callers of a node cost together, and counters of what they were refused. Belongs to the
/// event loop's thread.
struct CallerLoad {
  /// Connections that only wait until their callers have stopped sending.
  size_t m_discarding = 0;
  /// Idle connections closed and new ones refused because there were too many.
  uint64_t m_idleClosed = 0;
  uint64_t m_refused = 0;
  /// Rejected requests whose rest was not read because too many others were being discarded.
  uint64_t m_cutOff = 0;
  FloodLog m_rejections;
  FloodLog m_connections;
  /// Spreads the return of rejected callers.
  std::minstd_rand m_random{ std::random_device{}() };
};

} // namespace papayafield::forwarding
