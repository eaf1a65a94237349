#include "scheduling/PromptSplit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace papayafield::scheduling {

bool PromptSplit::HasLongPrompts(const CallClass& aClass) const {
  const auto found = m_arrivals.find(aClass);
  if (found == m_arrivals.end() || found->second.m_calls < m_settings.m_minCalls) {
    return false;
  }
  const double promptMs = found->second.m_promptMs / found->second.m_calls;
  return std::any_of(m_arrivals.begin(), m_arrivals.end(), [&](const auto& aEntry) {
    const auto& [other, arrivals] = aEntry;
    return other.m_priority < aClass.m_priority && arrivals.m_calls >= m_settings.m_minCalls &&
           promptMs > m_settings.m_longReadPart * static_cast<double>(other.m_target.count());
  });
}

void PromptSplit::RecordCall(const CallClass& aClass,
                             double aPromptTokens,
                             double aReadTokens,
                             double aPrefillTokensPerMs,
                             base::TimePoint aNow) {
  const std::chrono::duration<double> elapsed = aNow - m_updatedAt;
  const std::chrono::duration<double> window = m_settings.m_window;
  const double decay = std::exp(-elapsed.count() / window.count());
  m_updatedAt = aNow;
  for (auto& [callClass, arrivals] : m_arrivals) {
    arrivals.m_calls *= decay;
    arrivals.m_promptMs *= decay;
    arrivals.m_readMs *= decay;
  }
  Arrivals& arrivals = m_arrivals[aClass];
  arrivals.m_calls += 1;
  arrivals.m_promptMs += aPromptTokens / aPrefillTokensPerMs;
  arrivals.m_readMs += aReadTokens / aPrefillTokensPerMs;
  Update();
}

void PromptSplit::Update() {
  Arrivals longOnes;
  double totalMs = 0;
  for (const auto& [callClass, arrivals] : m_arrivals) {
    totalMs += arrivals.m_readMs;
    if (HasLongPrompts(callClass)) {
      longOnes.m_calls += arrivals.m_calls;
      longOnes.m_readMs += arrivals.m_readMs;
    }
  }
  if (longOnes.m_calls <= 0 || totalMs <= 0) {
    m_share.reset();
    return;
  }
  m_longReadMs = longOnes.m_readMs / longOnes.m_calls;
  const double share =
    std::clamp(longOnes.m_readMs / totalMs, m_settings.m_minShare, m_settings.m_maxShare);
  // Three quarters of a step, so that noise around the middle between two steps changes nothing.
  if (!m_share || std::abs(share - *m_share) > 0.75 * m_settings.m_shareStep) {
    m_share = std::round(share / m_settings.m_shareStep) * m_settings.m_shareStep;
  }
}

std::optional<EnginePreference> PromptSplit::PreferenceOf(const CallClass& aClass) const {
  if (!m_share) {
    return std::nullopt;
  }
  const bool isLong = HasLongPrompts(aClass);
  const double penaltyMs =
    isLong ? m_settings.m_longWaitPart * static_cast<double>(aClass.m_target.count())
           : m_longReadMs;
  return EnginePreference{ isLong, *m_share, penaltyMs };
}

bool IsLongEngine(const base::EndpointId& aEndpoint, double aLongShare) {
  const std::string& text = aEndpoint.Text();
  const auto position = static_cast<double>(XXH3_64bits(text.data(), text.size())) /
                        static_cast<double>(std::numeric_limits<uint64_t>::max());
  return position < aLongShare;
}

} // namespace papayafield::scheduling
