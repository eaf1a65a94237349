#pragma once

#include "soak/PlannedWork.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace papayafield::soak {

/// A time at which an unplanned fault was active.
struct FaultSpan {
  base::TimePoint m_start{};
  base::TimePoint m_end{};
};

/// Injects seeded random faults from outside the nodes and reverts them. Terminates only processes
/// of its own fleet. Not thread safe.
class FaultInjector {
public:
  FaultInjector(tests::PlatformFleet& aFleet,
                PlannedWork& aPlannedWork,
                size_t aNodes,
                size_t aRunners,
                uint64_t aSeed)
    : m_fleet(aFleet)
    , m_plannedWork(aPlannedWork)
    , m_nodes(aNodes)
    , m_runners(aRunners)
    , m_random(aSeed) {}

  /// Reverts the newer half of the active faults and injects one or two new ones. Returns the names
  /// of reverted (-) and injected (+) faults.
  std::string Advance();
  /// Reverts all active faults.
  void RevertAll();
  /// Returns the spans of all unplanned faults that have been reverted.
  const std::vector<FaultSpan>& UnplannedSpans() const { return m_unplannedSpans; }

private:
  struct ActiveFault {
    std::string m_name;
    std::function<void()> m_revert;
    /// Planned work, which includes restores of the store, is allowed at any time and is no reason
    /// to lose a call.
    bool m_isPlanned = false;
    base::TimePoint m_start = base::BootNow();
  };

  void InjectRandom();
  void Revert(const ActiveFault& aFault);
  void InjectNodeFault();
  void InjectStoreFault();
  /// Writes a configuration and lets the store return from an older copy, unless it already does.
  void InjectRestore();
  void InjectRunnerFault();
  void InjectProxyFault();
  /// Lets callers of one node send requests that they never complete.
  void InjectUncontrolledCallers();
  size_t RandomIndex(size_t aCount) { return m_random() % aCount; }
  /// Returns a random time from `aMin` up to `aMax`.
  base::Millis RandomTime(base::Millis aMin, base::Millis aMax) {
    return aMin + base::Millis(RandomIndex(static_cast<size_t>((aMax - aMin).count()) + 1));
  }

  tests::PlatformFleet& m_fleet;
  PlannedWork& m_plannedWork;
  size_t m_nodes;
  size_t m_runners;
  std::mt19937_64 m_random;
  std::vector<ActiveFault> m_active;
  std::vector<FaultSpan> m_unplannedSpans;
  std::string m_stepSummary;
};

} // namespace papayafield::soak
