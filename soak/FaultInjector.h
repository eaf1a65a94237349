#pragma once

#include "tests/harness/PlatformFleet.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace papayafield::soak {

/// Injects seeded random faults from outside the nodes and reverts them. Terminates only processes
/// of its own fleet. Not thread safe.
class FaultInjector {
public:
  FaultInjector(tests::PlatformFleet& aFleet, size_t aNodes, size_t aRunners, uint64_t aSeed)
    : m_fleet(aFleet)
    , m_nodes(aNodes)
    , m_runners(aRunners)
    , m_random(aSeed) {}

  /// Reverts the newer half of the active faults and injects one or two new ones. Returns the names
  /// of reverted (-) and injected (+) faults.
  std::string Advance();
  /// Reverts all active faults.
  void RevertAll();

private:
  struct ActiveFault {
    std::string m_name;
    std::function<void()> m_revert;
  };

  void InjectRandom();
  void InjectNodeFault();
  void InjectStoreFault();
  void InjectRunnerFault();
  void InjectProxyFault();
  size_t RandomIndex(size_t aCount) { return m_random() % aCount; }

  tests::PlatformFleet& m_fleet;
  size_t m_nodes;
  size_t m_runners;
  std::mt19937_64 m_random;
  std::vector<ActiveFault> m_active;
  std::string m_stepSummary;
  int m_configurationCount = 0;
};

} // namespace papayafield::soak
