#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <string>

namespace papayafield::duties {

/// How many requests of each team began to run, by window of wall time, over all nodes. Each node
/// counts its own and hears the running counts of the others, so that a dead node's last figures
/// remain known. Not thread safe.
class UsageLedger {
public:
  /// Requests by team.
  using Counts = std::map<base::TeamId, uint64_t>;
  /// Counts by window number.
  using Windows = std::map<int64_t, Counts>;

  /// Windows last `aWindowMs`; window k begins k times as long after the start of 1970.
  explicit UsageLedger(int64_t aWindowMs)
    : m_windowMs(aWindowMs) {}

  /// The window of a moment of wall time.
  int64_t WindowOf(int64_t aWallMs) const { return aWallMs / m_windowMs; }
  /// The end of a window, in wall time.
  int64_t EndOf(int64_t aWindow) const { return (aWindow + 1) * m_windowMs; }
  /// A request of `aTeam` began to run at a node's own endpoint at `aWallMs`.
  void CountOwn(const base::TeamId& aTeam, int64_t aWallMs);
  /// This node's own counts.
  const Windows& Own() const { return m_own; }
  /// Another node's running counts; `aPeer` names one life of that node.
  void HearPeer(const std::string& aPeer, const Windows& aWindows);
  /// The sum over all nodes.
  Counts Total(int64_t aWindow) const;
  /// Forgets windows before `aWindow`.
  void DropBefore(int64_t aWindow);

private:
  int64_t m_windowMs;
  Windows m_own;
  std::map<std::string, Windows> m_peers;
};

} // namespace papayafield::duties
