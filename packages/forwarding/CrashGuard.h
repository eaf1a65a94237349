#pragma once

#include "base/Log.h"
#include "forwarding/Call.h"
#include "forwarding/Metrics.h"
#include "quarantine/PromptQuarantine.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papayafield::forwarding {

/// Keeps calls with prompt parts that crash engines from endpoints: feeds the quarantine with the
/// outcomes of attempts, logs its decisions, and tells peers. Belongs to the event loop's thread.
class CrashGuard {
public:
  /// An engine that is lost before it has sent this many events may have crashed on the prompt; one
  /// that has sent them has not.
  static constexpr size_t kFirstEvents = 3;

  /// `aMetrics` must outlive this object.
  explicit CrashGuard(Metrics& aMetrics);

  /// Returns how long a call must not be sent, or nullopt if it may be; then a trial may have
  /// begun.
  std::optional<base::Millis> RefusalTime(const CallInfo& aCall, base::TimePoint aNow);
  /// Returns the same as `RefusalTime` without beginning a trial, logging or counting.
  std::optional<base::Millis> PeekRefusalTime(const CallInfo& aCall, base::TimePoint aNow) const;
  /// Records that the connection of an attempt ended after `aEvents` events of its answer.
  void OnConnectionLost(const CallInfo& aCall,
                        const base::EndpointId& aEndpoint,
                        size_t aEvents,
                        base::TimePoint aNow);
  /// Records that an answer that began at `aBegan` has reached kFirstEvents or is complete.
  void OnAnswered(const CallInfo& aCall, base::TimePoint aBegan, base::TimePoint aNow);

  /// Merges a peer's report.
  void Merge(const quarantine::Report& aReport, base::TimePoint aNow);
  /// Returns what peers need to know.
  quarantine::Report MakeReport(base::TimePoint aNow) const {
    return m_quarantine.MakeReport(aNow);
  }
  /// Evaluates the evidence. Call several times a second.
  void Tick(base::TimePoint aNow);
  /// Sets what is called when peers need to learn of new evidence or a new ban at once.
  void SetUrgentHandler(std::function<void()> aOnUrgent) { m_onUrgent = std::move(aOnUrgent); }

private:
  static std::vector<std::string> SharedParts(const CallInfo& aCall);
  void Evaluate(base::TimePoint aNow);

  const base::Log m_log{ "quarantine" };
  Metrics& m_metrics;
  quarantine::PromptQuarantine m_quarantine;
  std::function<void()> m_onUrgent;
  base::TimePoint m_lastTick{};
  /// Reports that arrive before this time may have waited while this process did not run.
  base::TimePoint m_staleUntil{};
};

} // namespace papayafield::forwarding
