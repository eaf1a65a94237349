#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <string>

namespace papayafield::duties {

/// Counts the requests of each team that began to run, per window of wall time, over all nodes.
/// Each node counts its own requests and receives the running counts of the others, so that the
/// last counts of a dead node remain known. Not thread safe.
class UsageLedger {
public:
  /// Requests by team.
  using Counts = std::map<base::TeamId, uint64_t>;
  /// Counts by window number.
  using Windows = std::map<int64_t, Counts>;

  /// Uses windows of `aWindowMs` milliseconds. Window k begins `k * aWindowMs` ms after the start
  /// of 1970 (UTC).
  explicit UsageLedger(int64_t aWindowMs)
    : m_windowMs(aWindowMs) {}

  /// Returns the number of the window that contains a wall time in milliseconds.
  int64_t WindowOf(int64_t aWallMs) const { return aWallMs / m_windowMs; }
  /// Returns the end of a window as wall time in milliseconds.
  int64_t WindowEndMs(int64_t aWindow) const { return (aWindow + 1) * m_windowMs; }
  /// Counts a request of `aTeam` that began to run at an endpoint of this node at `aWallMs`.
  void CountLocalRequest(const base::TeamId& aTeam, int64_t aWallMs);
  /// Returns the counts of this node.
  const Windows& LocalCounts() const { return m_local; }
  /// Merges the running counts of another node; `aPeer` identifies one incarnation of that node.
  /// Keeps the greater count of each team, so that an older message has no effect.
  void MergePeerCounts(const std::string& aPeer, const Windows& aWindows);
  /// Returns the sum of a window over all nodes.
  Counts TotalCounts(int64_t aWindow) const;
  /// Removes the windows before `aWindow`.
  void RemoveWindowsBefore(int64_t aWindow);

private:
  int64_t m_windowMs;
  Windows m_local;
  std::map<std::string, Windows> m_peers;
};

} // namespace papayafield::duties
