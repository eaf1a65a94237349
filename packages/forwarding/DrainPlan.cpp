#include "forwarding/DrainPlan.h"

namespace papayafield::forwarding {

namespace {

/// Fraction of the grace period that a drain may take; the rest is for answers that are being sent.
constexpr double kMaxGraceFraction = 0.92;
/// The signal to stop may be handled this much later than it was sent.
constexpr base::Millis kSignalDelay{ 250 };

} // namespace

DrainPlan::DrainPlan(DrainSettings aSettings, base::TimePoint aStart)
  : m_entriesExpireAt(aStart + aSettings.m_entryUseTime)
  , m_lastAcceptance(m_entriesExpireAt - kSignalDelay)
  , m_end(aStart +
          std::chrono::duration_cast<base::Millis>(aSettings.m_gracePeriod * kMaxGraceFraction))
  , m_forcedEnd(aStart + aSettings.m_gracePeriod) {}

bool DrainPlan::MayAccept(base::Millis aExpectedDuration, base::TimePoint aNow) const {
  return aNow < m_lastAcceptance && aNow + aExpectedDuration <= m_end;
}

} // namespace papayafield::forwarding
