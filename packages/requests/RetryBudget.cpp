#include "requests/RetryBudget.h"

#include <algorithm>

namespace papayafield::requests {

RetryBudget::RetryBudget(RetryBudgetSettings aSettings)
  : m_settings(aSettings)
  , m_saved(aSettings.m_most) {}

void RetryBudget::Earn() {
  m_saved = std::min(m_settings.m_most, m_saved + m_settings.m_perRequest);
}

bool RetryBudget::Spend(base::TimePoint aNow) {
  Refill(aNow);
  if (m_saved < 1) {
    return false;
  }
  m_saved -= 1;
  return true;
}

void RetryBudget::Refill(base::TimePoint aNow) {
  if (m_refilled != base::TimePoint{}) {
    const std::chrono::duration<double> span = aNow - m_refilled;
    m_saved = std::min(m_settings.m_most, m_saved + span.count() * m_settings.m_perSecond);
  }
  m_refilled = aNow;
}

} // namespace papayafield::requests
