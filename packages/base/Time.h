#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <ctime>

/// \file
/// Time as the decision logic sees it: a monotonic clock that is passed in as a port.

namespace papayafield::base {

/// A span of time.
using Millis = std::chrono::milliseconds;
/// A moment on the monotonic clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// A source of monotonic time.
template<class T>
concept ClockPort = requires(const T& aClock) {
  { aClock.Now() } -> std::same_as<TimePoint>;
};

/// The present moment on the boot-time clock, which goes on while the machine is suspended. Time
/// limits towards others are kept by it. Thread safe.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// The machine's monotonic clock. Thread safe.
class SteadyClock {
public:
  /// The present moment.
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
};

/// A clock that a test moves by hand. Not thread safe.
class ManualClock {
public:
  /// The moment last set.
  TimePoint Now() const { return m_now; }
  /// Moves the clock on by `aSpan`.
  void Advance(Millis aSpan) { m_now += aSpan; }

private:
  TimePoint m_now{ std::chrono::hours(1) };
};

/// Milliseconds of wall time since 1970; for messages between machines, never for time limits.
inline int64_t WallMillis() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace papayafield::base
