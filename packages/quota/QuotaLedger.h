#pragma once

#include "base/Time.h"
#include "fleet/Catalog.h"

#include <map>
#include <string>

namespace papayafield::quota {

/// Bounds what each team uses over all nodes. Every node keeps one bucket for each team that stands
/// for the whole fleet: it takes its own grants from it at once, and those of the other nodes as
/// their running totals become known. Nodes that have fallen silent are taken to go on as before.
/// Answers the load of one team sending many times its usual, unevenly over the nodes, while nodes
/// die or are cut off. Not thread safe.
class QuotaLedger {
public:
  /// Running totals of units granted, by team.
  using Totals = std::map<base::TeamId, double>;

  /// Takes over the quotas of `aCatalog`. A bucket that is new starts with `aStartLevel` of its
  /// burst, from 0 to 1.
  void Configure(const fleet::Catalog& aCatalog, double aStartLevel, base::TimePoint aNow);
  /// Takes `aUnits` from the team's bucket; false when the team is over its quota. Teams without a
  /// quota always succeed.
  bool Take(const base::TeamId& aTeam, double aUnits, base::TimePoint aNow);
  /// What this node has granted since its start.
  const Totals& Granted() const { return m_granted; }
  /// Another node's totals since its start; `aPeer` names one life of that node.
  void HearPeer(const std::string& aPeer, const Totals& aTotals, base::TimePoint aNow);
  /// A node is known to have ended; nothing is set aside for it any more.
  void ForgetPeer(const std::string& aPeer);
  /// Units left in the team's bucket; negative while overdrawn.
  double Level(const base::TeamId& aTeam, base::TimePoint aNow);

private:
  struct Bucket {
    fleet::Quota m_quota;
    double m_level = 0;
    base::TimePoint m_refilled;
  };
  struct PeerShare {
    double m_total = 0;
    /// Units a second, smoothed.
    double m_rate = 0;
  };
  struct Peer {
    std::map<base::TeamId, PeerShare> m_teams;
    base::TimePoint m_heard;
  };

  void Refill(const base::TeamId& aTeam, Bucket& aBucket, base::TimePoint aNow);
  double SilentRate(const base::TeamId& aTeam, base::TimePoint aNow) const;

  std::map<base::TeamId, Bucket> m_buckets;
  std::map<std::string, Peer> m_peers;
  Totals m_granted;
};

} // namespace papayafield::quota
