#include "scheduling/Admission.h"

#include <algorithm>

namespace papayafield::scheduling {

namespace {

/// Width of the interval in which calls of one priority return, as a part of the expected wait.
constexpr double kReturnSpread = 0.5;

} // namespace

bool Admission::Refuses(const Prospect& aProspect) const {
  const bool spare = aProspect.m_waitingCalls <= 0 &&
                     aProspect.m_calls < aProspect.m_slots * m_settings.m_minTakenShare;
  return !spare && aProspect.m_expectedMs > aProspect.m_timeLeftMs;
}

double Admission::RoomInMs(const Prospect& aProspect) const {
  return std::max(aProspect.m_expectedMs - aProspect.m_timeLeftMs, 0.0);
}

double Admission::RetryAfterSeconds(double aRoomInMs,
                                    double aTimeLeftMs,
                                    const ReturnOrder& aOrder,
                                    double aRandom) const {
  const auto rank = static_cast<double>(std::min(aOrder.m_rank, aOrder.m_count - 1));
  const double lastFactor = 1 + kReturnSpread * static_cast<double>(aOrder.m_count);
  const double factor = 1 + kReturnSpread * (rank + aRandom);
  // The wait is bounded before it is spread, so that calls at the bound are spread as well.
  const double longest = std::max(aTimeLeftMs, 0.0) * m_settings.m_maxRetryPart / lastFactor;
  return std::min(std::max(aRoomInMs, m_settings.m_minRetryMs), longest) * factor / 1000;
}

} // namespace papayafield::scheduling
