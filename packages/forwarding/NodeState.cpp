#include "forwarding/NodeState.h"

#include <algorithm>

namespace papayafield::forwarding {

namespace {

/// Part of the fleet's retry budget that is planned with; the rest covers nodes that share it
/// unevenly.
constexpr double kBudgetPart = 0.75;

} // namespace

NodeState::NodeState(adapters::http::EventLoop& aLoop,
                     WireFormat aWire,
                     base::ZoneId aZone,
                     RetryLimits aRetryLimits,
                     quota::QuotaTolerance aQuotaTolerance,
                     base::Millis aLapseGrace,
                     int64_t aWindowMs)
  : m_loop(aLoop)
  , m_wire(std::move(aWire))
  , m_zone(std::move(aZone))
  , m_directory(aLapseGrace)
  , m_pool(aLoop)
  , m_quota(aQuotaTolerance)
  , m_usage(aWindowMs)
  , m_retryLimits(aRetryLimits) {}

bool NodeState::Adopt(fleet::CatalogPtr aCatalog) {
  if (m_catalog != nullptr && aCatalog->Version() <= m_catalog->Version()) {
    return false;
  }
  m_catalog = std::move(aCatalog);
  m_quota.Configure(*m_catalog, base::BootNow());
  return true;
}

void NodeState::SetNodeCount(size_t aCount) {
  m_nodeCount = std::max<size_t>(aCount, 1);
}

requests::RetryBudget& NodeState::BudgetOf(const fleet::ServiceId& aService) {
  const auto found = m_budgets.find(aService);
  if (found != m_budgets.end()) {
    return found->second;
  }
  const auto nodes = static_cast<double>(m_nodeCount);
  requests::RetryBudgetSettings settings;
  settings.m_retriesPerRequest = m_retryLimits.m_perCall * kBudgetPart;
  settings.m_maxRetries = std::max(m_retryLimits.m_slack * kBudgetPart / nodes, 1.0);
  settings.m_retriesPerSecond =
    settings.m_maxRetries / std::chrono::duration<double>(m_retryLimits.m_window).count() / 2;
  return m_budgets.emplace(aService, requests::RetryBudget(settings)).first->second;
}

void NodeState::EarnRetries(const fleet::ServiceId& aService) {
  BudgetOf(aService).CreditRequest();
}

bool NodeState::SpendRetry(const fleet::ServiceId& aService) {
  return BudgetOf(aService).TrySpend(base::BootNow());
}

} // namespace papayafield::forwarding
