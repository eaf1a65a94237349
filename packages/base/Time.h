#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <ctime>

/// \file
/// Clocks. The decision logic receives its clock as a template argument, so that tests can control
/// time.

namespace papayafield::base {

/// A duration in milliseconds.
using Millis = std::chrono::milliseconds;
/// An instant on a monotonic clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// A source of monotonic time.
template<class T>
concept ClockPort = requires(const T& aClock) {
  { aClock.Now() } -> std::same_as<TimePoint>;
};

/// Returns the current time of the boot-time clock, which continues while the machine is suspended.
/// It is used for timeouts that other machines rely on, such as leases. Thread safe.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// The machine's boot-time clock, see BootNow(). Thread safe.
class BootClock {
public:
  TimePoint Now() const { return BootNow(); }
};

/// The machine's monotonic clock. Thread safe.
class SteadyClock {
public:
  TimePoint Now() const { return std::chrono::steady_clock::now(); }
};

/// A clock for tests that only advances when told to. Not thread safe.
class ManualClock {
public:
  TimePoint Now() const { return m_now; }
  void Advance(Millis aDuration) { m_now += aDuration; }

private:
  TimePoint m_now{ std::chrono::hours(1) };
};

/// Returns the wall time in milliseconds since 1970. It is used in messages between machines, never
/// for timeouts, since the wall clock can be adjusted.
inline int64_t WallMillis() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace papayafield::base
