#include "rollout/RollbackTimer.h"

#include <algorithm>

namespace papayafield::rollout {

namespace {

/// Part of the bad answers that may exceed those of the old version at the same moment: the
/// intervals of the counts blur the beginning and the end of a disturbance.
constexpr double kUnexcusedPart = 0.2;

} // namespace

RollbackTimer::RollbackTimer(base::Millis aRollback, bool aHadLeader, base::TimePoint aNow)
  : m_rollback(aRollback)
  , m_knownFrom(aHadLeader ? aNow + kGrantsInUse : aNow) {}

bool RollbackTimer::IsExcused(const BadAnswers& aTotals) const {
  const auto bad = static_cast<double>(aTotals.m_bad - m_excused.m_bad);
  return aTotals.m_unexcused - m_excused.m_unexcused <= kUnexcusedPart * bad;
}

RollbackState RollbackTimer::Update(const BadAnswers& aTotals, base::TimePoint aNow) {
  if (m_isExpired) {
    return RollbackState::Expired;
  }
  if (aTotals.m_bad < m_excused.m_bad + kBadAnswers) {
    return RollbackState::Clear;
  }
  if (!m_since) {
    m_since = aNow;
    m_isOld = aNow < m_knownFrom;
  }
  const base::Millis stop =
    m_isOld ? base::Millis(0) : std::max(m_rollback - kReportDelay - kGrantsInUse, base::Millis(0));
  const base::Millis end =
    m_isOld ? base::Millis(0) : std::max(m_rollback - kReportDelay, base::Millis(0));
  if (IsExcused(aTotals)) {
    if (aNow - *m_since >= stop) {
      m_excused = aTotals;
      m_since.reset();
    }
    return RollbackState::Clear;
  }
  if (aNow - *m_since >= end) {
    m_isExpired = true;
    return RollbackState::Expired;
  }
  return aNow - *m_since >= stop ? RollbackState::Stopped : RollbackState::Pending;
}

} // namespace papayafield::rollout
