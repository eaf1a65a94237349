#include "forwarding/NodeState.h"

#include <algorithm>

namespace papayafield::forwarding {

namespace {

/// Fraction of the fleet's retry budget that is given out; the rest covers an uneven distribution
/// over the nodes.
constexpr double kBudgetFraction = 0.75;
/// Callers may resume a stream for longer than the timeout of one try.
constexpr int kTimeoutsPerStream = 2;

} // namespace

NodeState::NodeState(adapters::http::EventLoop& aLoop,
                     WireFormat aWire,
                     base::ZoneId aZone,
                     RetryLimits aRetryLimits,
                     quota::QuotaTolerance aQuotaTolerance,
                     base::Millis aExpiryGrace,
                     int64_t aWindowMs,
                     base::BufferBudgetSettings aBufferSettings,
                     bool aOrdersBySlack,
                     std::function<void()> aOnEndpointLeaving,
                     EndpointPool::RelayList aRelays)
  : m_loop(aLoop)
  , m_wire(std::move(aWire))
  , m_zone(std::move(aZone))
  , m_ordersBySlack(aOrdersBySlack)
  , m_buffers(aBufferSettings)
  , m_directory(aExpiryGrace)
  , m_streamOrigins(aLoop)
  , m_continuity(aLoop,
                 m_directory,
                 [this](base::Millis aMaxWait, auto aOnDone) {
                   m_versionFinder.Confirm(aMaxWait, std::move(aOnDone));
                 })
  , m_pool(aLoop,
           m_reach,
           std::move(aRelays),
           [this](const auto& aEndpoint, const auto& aConnection, auto aKind) {
             m_continuity.OnEnded(aEndpoint, aConnection, aKind);
           })
  , m_signals(m_availability, m_rejectionLimit, m_pool, std::move(aOnEndpointLeaving))
  , m_quota(aQuotaTolerance, base::RandomSeed())
  , m_usage(aWindowMs)
  , m_reachMonitor(aLoop, m_directory, m_reach, m_pool, m_metrics)
  , m_retryLimits(aRetryLimits) {
  m_rejectionLimit.SetNodeCount(m_nodeCount);
}

bool NodeState::ApplyCatalog(fleet::CatalogPtr aCatalog) {
  if (m_catalog != nullptr && aCatalog->Version() < m_catalog->Version()) {
    return false;
  }
  m_catalog = std::move(aCatalog);
  const auto now = base::BootNow();
  m_quota.Configure(*m_catalog, now);
  m_durations.RetainRoutes(*m_catalog);
  base::Millis lifetime{ 0 };
  for (const fleet::Route& route : m_catalog->Routes()) {
    if (route.m_kind == fleet::CallKind::Stream && route.m_resumable) {
      lifetime = std::max(lifetime, route.m_timeout * kTimeoutsPerStream);
    }
  }
  m_streamLifetime.Set(lifetime, now);
  m_mixedServices = scheduling::MixedServices(*m_catalog);
  std::erase_if(m_splits,
                [&](const auto& aEntry) { return !m_mixedServices.contains(aEntry.first); });
  m_metrics.Set("mixed_services", static_cast<double>(m_mixedServices.size()));
  return true;
}

const scheduling::CallClasses* NodeState::MixedClasses(const fleet::ServiceId& aService) const {
  const auto found = m_mixedServices.find(aService);
  return found == m_mixedServices.end() ? nullptr : &found->second;
}

std::optional<scheduling::EnginePreference> NodeState::PreferenceOf(
  const fleet::ServiceId& aService,
  const scheduling::CallClass& aClass) const {
  const auto found = m_splits.find(aService);
  return found == m_splits.end() ? std::nullopt : found->second.PreferenceOf(aClass);
}

scheduling::PromptSplit& NodeState::SplitOf(const fleet::ServiceId& aService) {
  return m_splits.try_emplace(aService, scheduling::PromptSplitSettings{}).first->second;
}

void NodeState::SetNodeCount(size_t aCount) {
  if (aCount == m_nodeCount) {
    return;
  }
  m_nodeCount = std::max<size_t>(aCount, 1);
  m_rejectionLimit.SetNodeCount(m_nodeCount);
  for (auto& [service, budget] : m_budgets) {
    budget.Configure(MakeRetryBudgetSettings());
  }
}

OpenCalls NodeState::OpenCallsAt(const base::EndpointId& aEndpoint) const {
  const auto& loads = m_placement.LocalLoad();
  const auto own = loads.find(aEndpoint);
  return { own != loads.end() ? own->second.m_calls : 0, m_placement.TotalLoad(aEndpoint).m_calls };
}

void NodeState::ForgetOutcomes() {
  m_placement.ForgetOutcomes();
  m_failures.ForgetLocal();
}

void NodeState::SetSpeedGauges() {
  if (m_catalog == nullptr) {
    return;
  }
  for (const fleet::Service& service : m_catalog->Services()) {
    const std::string suffix = "_" + service.m_id.Text();
    if (const auto split = m_splits.find(service.m_id); split != m_splits.end()) {
      m_metrics.Set("long_prompt_engines" + suffix, split->second.LongShare().value_or(0));
    }
    if (service.m_engine) {
      m_metrics.Set("prefill_tokens_per_ms" + suffix, m_engines.PrefillTokensPerMs(service.m_id));
      m_metrics.Set("output_ms_per_token" + suffix, m_engines.OutputMsPerToken(service.m_id));
    } else {
      m_metrics.Set("plain_call_ms" + suffix, m_engines.PlainCallMs(service.m_id));
      m_metrics.Set("plain_concurrency" + suffix, m_engines.PlainConcurrency(service.m_id));
    }
  }
  m_metrics.Set("implausible_answers", static_cast<double>(m_engines.ImplausibleCount()));
}

requests::RetryBudgetSettings NodeState::MakeRetryBudgetSettings() const {
  const auto nodes = static_cast<double>(m_nodeCount);
  requests::RetryBudgetSettings settings;
  settings.m_retriesPerRequest = m_retryLimits.m_perCall * kBudgetFraction;
  settings.m_maxRetries = std::max(m_retryLimits.m_extraPerWindow * kBudgetFraction / nodes, 1.0);
  settings.m_retriesPerSecond =
    settings.m_maxRetries / std::chrono::duration<double>(m_retryLimits.m_window).count() / 2;
  return settings;
}

requests::RetryBudget& NodeState::RetryBudgetFor(const fleet::ServiceId& aService) {
  return m_budgets.try_emplace(aService, MakeRetryBudgetSettings()).first->second;
}

void NodeState::CreditRetryBudget(const fleet::ServiceId& aService) {
  RetryBudgetFor(aService).CreditRequest();
}

bool NodeState::HasRetry(const fleet::ServiceId& aService) {
  return RetryBudgetFor(aService).HasRetry(base::BootNow());
}

bool NodeState::TrySpendRetry(const fleet::ServiceId& aService) {
  return RetryBudgetFor(aService).TrySpend(base::BootNow());
}

} // namespace papayafield::forwarding
