#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "scheduling/CallClasses.h"

#include <map>
#include <optional>

namespace papayafield::scheduling {

struct PromptSplitSettings {
  /// A class has long prompts if reading one takes more than this part of the target of a class
  /// with a more urgent priority. At a fifth, a call that arrives while one is read still has most
  /// of its target left.
  double m_longReadPart = 0.2;
  /// Bounds of the share of the engines that long prompts prefer. Each side keeps engines for the
  /// next burst of its calls; the urgent one keeps half, since it also has the longer outputs.
  double m_minShare = 0.25;
  double m_maxShare = 0.5;
  /// The share changes in these steps, since each change moves calls away from their cached
  /// prompts.
  double m_shareStep = 0.125;
  /// Time constant of the averages of arrived calls.
  base::Millis m_window{ 5000 };
  /// Calls in the average of each side from which the share is meaningful.
  double m_minCalls = 5;
  /// Part of its target that a call with a long prompt waits before it goes to an engine that other
  /// calls prefer. Small, because the delays that nodes know of are a fraction of the real ones.
  double m_longWaitPart = 0.1;
};

/// Which engines a call prefers.
struct EnginePreference {
  bool m_isLong = false;
  /// Share of the engines that calls with long prompts prefer.
  double m_longShare = 0;
  /// Delay in milliseconds that a call accepts at the engines that it prefers before it goes to
  /// others.
  double m_penaltyMs = 0;
};

/// Divides the engines of a mixed service between the calls whose prompts are long and less urgent,
/// and all others: long prompts hold up urgent short ones at the same engine, and the loads that
/// nodes know of are too old to avoid that. The division is a preference, not a reservation, and
/// its share follows the prompts that arrive at this node. All nodes divide the engines in the same
/// order, without communication. Not thread safe.
class PromptSplit {
public:
  explicit PromptSplit(PromptSplitSettings aSettings)
    : m_settings(aSettings) {}

  /// Records a call that has arrived.
  /// \param aPromptTokens size of its prompt.
  /// \param aReadTokens part of it that an engine is expected to read.
  /// \param aPrefillTokensPerMs speed of the engines; above 0.
  void RecordCall(const CallClass& aClass,
                  double aPromptTokens,
                  double aReadTokens,
                  double aPrefillTokensPerMs,
                  base::TimePoint aNow);
  /// Returns the engines that calls of `aClass` prefer; nullopt while no class has long prompts.
  std::optional<EnginePreference> PreferenceOf(const CallClass& aClass) const;
  /// Returns the share of the engines that long prompts prefer; nullopt while no class has any.
  std::optional<double> LongShare() const { return m_share; }

private:
  /// Exponentially decaying sums.
  struct Arrivals {
    double m_calls = 0;
    double m_promptMs = 0;
    double m_readMs = 0;
  };

  bool HasLongPrompts(const CallClass& aClass) const;
  void Update();

  PromptSplitSettings m_settings;
  std::map<CallClass, Arrivals> m_arrivals;
  base::TimePoint m_updatedAt{};
  std::optional<double> m_share;
  /// Mean time in milliseconds to read a long prompt.
  double m_longReadMs = 0;
};

/// Returns whether `aEndpoint` is among the share `aLongShare` of the engines that calls with long
/// prompts prefer. Thread safe.
bool IsLongEngine(const base::EndpointId& aEndpoint, double aLongShare);

} // namespace papayafield::scheduling
