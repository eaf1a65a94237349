#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <limits>

/// \file
/// Conversions of numbers from other systems. A plain conversion of a number that is out of range
/// is undefined.

namespace papayafield::base {

/// Maximum duration that is read from other systems. Sums of such durations and a point in time
/// stay in range.
inline constexpr Millis kMaxReadDuration = std::chrono::hours(24 * 365);

/// Converts `aValue` to an integer. A value out of range becomes the nearest limit of `T`, and NaN
/// becomes 0. Thread safe.
template<std::integral T>
constexpr T SaturatingCast(double aValue) {
  // The upper limit may be rounded up to the first value out of range.
  constexpr auto kLimit = static_cast<double>(std::numeric_limits<T>::max());
  constexpr auto kLowest = static_cast<double>(std::numeric_limits<T>::min());
  if (aValue != aValue) {
    return 0;
  }
  if (aValue >= kLimit) {
    return std::numeric_limits<T>::max();
  }
  return aValue <= kLowest ? std::numeric_limits<T>::min() : static_cast<T>(aValue);
}

/// Converts milliseconds to a duration of at least 0 and at most kMaxReadDuration. Thread safe.
constexpr Millis SaturatingMillis(double aMillis) {
  return std::clamp(Millis(SaturatingCast<int64_t>(aMillis)), Millis(0), kMaxReadDuration);
}

/// Returns `aValue`, or 0 if it is negative, infinite or NaN. Thread safe.
inline double FiniteAmount(double aValue) {
  return std::isfinite(aValue) ? std::max(aValue, 0.0) : 0;
}

} // namespace papayafield::base
