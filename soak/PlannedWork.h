#pragma once

#include "tests/harness/PlatformFleet.h"

#include "adapters/http/EventLoop.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace papayafield::soak {

/// A planned stop of a node.
struct PlannedStop {
  size_t m_node = 0;
  base::Address m_address;
  base::TimePoint m_start{};
  /// When the process had exited; not set while it still runs.
  std::optional<base::TimePoint> m_end;
  /// Whether the process still ran at the end of its grace period.
  bool m_killed = false;
};

/// The start of a process of a node that had run before.
struct NodeLaunch {
  base::Address m_address;
  base::TimePoint m_time{};
};

/// Stops and restarts nodes, sends them SIGHUP and changes the configuration, as an operator does,
/// while the event loop continues to run. Must be used only on the thread of the event loop.
class PlannedWork {
public:
  /// Time between SIGTERM and SIGKILL; matches grace_s in the settings of PlatformFleet.
  static constexpr base::Millis kGracePeriod{ 8000 };

  PlannedWork(tests::PlatformFleet& aFleet,
              adapters::http::EventLoop& aLoop,
              size_t aNodes,
              uint64_t aSeed);

  /// Starts one to three random items of work at random times within `aDuration`. Returns their
  /// names.
  std::string Schedule(base::Millis aDuration);
  /// Sends SIGTERM to `aNode`, and starts it again once it has exited. Does nothing while an
  /// earlier stop is in progress.
  void Restart(size_t aNode);
  /// Sends SIGHUP to `aNode`, unless it has only just been started.
  void Reload(size_t aNode);
  /// Writes a new configuration with another idle timeout for callers.
  void Configure();
  /// Writes a new configuration with another timeout for streams, which later ones keep.
  void ChangeStreamTimeout(base::Millis aTimeout);
  /// Starts `aNode` if it does not run.
  void EnsureRunning(size_t aNode);
  /// Whether a stop is in progress.
  bool IsStopping(size_t aNode) const { return CurrentStop(aNode) != nullptr; }
  /// Whether no stop is in progress on any node.
  bool IsSettled() const;
  /// Returns the addresses that callers may connect to: all but those of nodes that were told to
  /// stop some time ago.
  std::vector<base::Address> CallerAddresses() const;
  const std::vector<PlannedStop>& Stops() const { return m_stops; }
  const std::vector<NodeLaunch>& Launches() const { return m_launches; }
  /// Returns the number of the newest configuration that was written; 0 if there is none.
  int NewestConfiguration() const { return m_configurationCount; }
  /// Returns the host that only configuration `aNumber` has routes for.
  static std::string HostOf(int aNumber) { return "host-" + std::to_string(aNumber) + ".example"; }

private:
  const PlannedStop* CurrentStop(size_t aNode) const;
  void WriteConfiguration();
  void StartItem(size_t aItem, size_t aNode);
  void CheckStops();
  void Launch(size_t aNode);
  size_t RandomIndex(size_t aCount) { return m_random() % aCount; }

  tests::PlatformFleet& m_fleet;
  adapters::http::EventLoop& m_loop;
  size_t m_nodes;
  std::mt19937_64 m_random;
  std::vector<PlannedStop> m_stops;
  std::vector<NodeLaunch> m_launches;
  /// When each node was last restarted; not set for nodes that never were.
  std::vector<std::optional<base::TimePoint>> m_launchTimes;
  std::vector<adapters::http::EventHandlePtr> m_timers;
  adapters::http::EventHandlePtr m_checkTimer;
  int m_configurationCount = 0;
  std::optional<base::Millis> m_idleTimeout;
  std::optional<base::Millis> m_streamTimeout;
};

} // namespace papayafield::soak
