#include "duties/UsageLedger.h"

#include <algorithm>

namespace papayafield::duties {

void UsageLedger::CountLocalRequest(const base::TeamId& aTeam, int64_t aWallMs) {
  ++m_local[WindowOf(aWallMs)][aTeam];
}

void UsageLedger::MergePeerCounts(const std::string& aPeer, const Windows& aWindows) {
  Windows& merged = m_peers[aPeer];
  for (const auto& [window, counts] : aWindows) {
    for (const auto& [team, count] : counts) {
      uint64_t& highest = merged[window][team];
      highest = std::max(highest, count);
    }
  }
}

UsageLedger::Counts UsageLedger::TotalCounts(int64_t aWindow) const {
  Counts total;
  const auto add = [&](const Windows& aWindows) {
    if (const auto found = aWindows.find(aWindow); found != aWindows.end()) {
      for (const auto& [team, count] : found->second) {
        total[team] += count;
      }
    }
  };
  add(m_local);
  for (const auto& [peer, windows] : m_peers) {
    add(windows);
  }
  return total;
}

void UsageLedger::RemoveWindowsBefore(int64_t aWindow) {
  m_local.erase(m_local.begin(), m_local.lower_bound(aWindow));
  for (auto& [peer, windows] : m_peers) {
    windows.erase(windows.begin(), windows.lower_bound(aWindow));
  }
  std::erase_if(m_peers, [](const auto& aPeer) { return aPeer.second.empty(); });
}

} // namespace papayafield::duties
