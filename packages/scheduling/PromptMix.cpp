#include "scheduling/PromptMix.h"

#include <algorithm>

namespace papayafield::scheduling {

double MixedDelayMs(const PromptMixSettings& aSettings,
                    const CallNeeds& aCall,
                    const EngineWork& aWork) {
  if (aCall.m_slots <= 0 || aWork.m_prefillTokensPerMs <= 0) {
    return 0;
  }
  // Interpolates between the most urgent class, which goes before all tokens but its own class's,
  // and the least urgent one, which goes before none.
  const double ahead = aCall.m_urgency * std::min(aWork.m_urgentTokens, aWork.m_pendingTokens) +
                       (1 - aCall.m_urgency) * aWork.m_pendingTokens;
  // Only what waits for a slot can be overtaken.
  const double waiting = std::max(aWork.m_calls - aCall.m_slots, 0.0);
  const double waitingShare = aWork.m_calls > 0 ? waiting / aWork.m_calls : 0;
  const double overtaken = (aWork.m_pendingTokens - ahead) * waitingShare;

  const double urgentShare =
    aWork.m_calls > 0 ? std::clamp(aWork.m_urgency / aWork.m_calls, 0.0, 1.0) : 0;
  const double waitingAhead = waiting * (aCall.m_urgency * urgentShare + (1 - aCall.m_urgency));
  const double slotWait = aWork.m_calls >= aCall.m_slots
                            ? (waitingAhead + 1) * aSettings.m_slotTimeMs / aCall.m_slots
                            : 0;

  const double moreUrgent = std::max(aWork.m_urgency - aCall.m_urgency * aWork.m_calls, 0.0);
  const double displacement =
    moreUrgent * aCall.m_promptTokens / aWork.m_prefillTokensPerMs * aSettings.m_displacementWeight;
  return displacement + slotWait - overtaken / aWork.m_prefillTokensPerMs;
}

double AffinityToleranceMs(const PromptMixSettings& aSettings,
                           const CallNeeds& aCall,
                           double aPrefillTokensPerMs,
                           double aMaxMs) {
  const double rereadMs =
    aPrefillTokensPerMs > 0 ? aCall.m_sharedTokens / aPrefillTokensPerMs : aMaxMs;
  return std::min({ rereadMs, aCall.m_targetMs * aSettings.m_maxAffinityPart, aMaxMs });
}

} // namespace papayafield::scheduling
