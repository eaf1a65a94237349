#include "requests/RetryBudget.h"

#include <algorithm>

namespace papayafield::requests {

RetryBudget::RetryBudget(RetryBudgetSettings aSettings)
  : m_settings(aSettings)
  , m_available(aSettings.m_maxRetries) {}

void RetryBudget::Configure(RetryBudgetSettings aSettings) {
  m_settings = aSettings;
  m_available = std::min(m_available, m_settings.m_maxRetries);
}

void RetryBudget::CreditRequest() {
  m_available = std::min(m_settings.m_maxRetries, m_available + m_settings.m_retriesPerRequest);
}

bool RetryBudget::HasRetry(base::TimePoint aNow) {
  Refill(aNow);
  return m_available >= 1;
}

bool RetryBudget::TrySpend(base::TimePoint aNow) {
  if (!HasRetry(aNow)) {
    return false;
  }
  m_available -= 1;
  return true;
}

void RetryBudget::Refill(base::TimePoint aNow) {
  if (m_lastRefill != base::TimePoint{}) {
    const std::chrono::duration<double> elapsed = aNow - m_lastRefill;
    m_available = std::min(m_settings.m_maxRetries,
                           m_available + elapsed.count() * m_settings.m_retriesPerSecond);
  }
  m_lastRefill = aNow;
}

} // namespace papayafield::requests
