#pragma once

namespace papayafield::scheduling {

/// What the cost of a call at an engine depends on.
struct CallNeeds {
  /// Prompt tokens that the engine has to read for the call.
  double m_promptTokens = 0;
  /// From 0 (least urgent class of the service) to 1 (most urgent one).
  double m_urgency = 0;
  /// Number of requests that the engine runs concurrently; 0 if it is not known.
  double m_slots = 0;
  /// Prompt tokens that need not be read where the shared parts of the prompt are cached.
  double m_sharedTokens = 0;
  /// Target time in milliseconds to the first event.
  double m_targetMs = 0;
};

/// Work at one engine.
struct EngineWork {
  /// Open calls, and the sum of their urgencies.
  double m_calls = 0;
  double m_urgency = 0;
  /// Prompt tokens still to be read, and their sum weighted by the urgency of their calls.
  double m_pendingTokens = 0;
  double m_urgentTokens = 0;
  double m_prefillTokensPerMs = 1;
};

/// Weights of the costs.
struct PromptMixSettings {
  /// Factor of the delay that a prompt causes to more urgent calls at the engine. In replays, 0.25
  /// lowers the long gaps of urgent calls slightly; with 1, more calls miss their targets
  /// (docs/POLICY.md).
  double m_displacementWeight = 0.25;
  /// Mean time in milliseconds for which a call holds a slot: 100 output tokens at 5 ms per step,
  /// and as long again for the prompts that are read in between.
  double m_slotTimeMs = 1000;
  /// Part of its target by which a call may be delayed for the sake of cached prompt parts.
  double m_maxAffinityPart = 0.05;
};

/// Returns the milliseconds that are to be added to the expected delay of a call, which assumes
/// that all pending prompts are read before its own and that slots are free:
///
/// - less, where less urgent prompts wait for a slot and the call goes before them;
/// - more, where the call waits for a slot;
/// - more, by the delay that its prompt causes to calls that are more urgent than it is. The most
///   urgent class has no such cost, so it is never placed worse in favour of another one.
///
/// Thread safe.
double MixedDelayMs(const PromptMixSettings& aSettings,
                    const CallNeeds& aCall,
                    const EngineWork& aWork);

/// Returns the extra delay in milliseconds that a call may accept to reuse the cached parts of its
/// prompt: the time needed to read them again, at most `m_maxAffinityPart` of its target and
/// `aMaxMs`. A short prompt thus does not wait behind long ones for a few cached tokens. Thread
/// safe.
double AffinityToleranceMs(const PromptMixSettings& aSettings,
                           const CallNeeds& aCall,
                           double aPrefillTokensPerMs,
                           double aMaxMs);

} // namespace papayafield::scheduling
