#pragma once

#include "base/Time.h"
#include "fleet/Catalog.h"

#include <map>
#include <optional>

namespace papayafield::quota {

/// How far a team may exceed its quota, as configured by operators.
struct QuotaTolerance {
  /// Fraction of the quota.
  double m_overrun = 0;
  /// Additional units within one window.
  double m_slack = 0;
  /// Length of a window in seconds.
  double m_windowSeconds = 8;
};

/// Limits the usage of each team over all nodes. Every node keeps one token bucket per team that
/// represents the whole fleet. It subtracts its own grants at once, and those of the other nodes
/// when their running totals arrive by gossip. While some nodes are unreachable, a node uses only
/// the fraction of the quota that the reachable nodes stand for, so that all sides of a network
/// partition together stay within the quota. Once a bucket is low, each node grants only at its
/// share of the rate, in proportion to its share of the demand; otherwise all nodes would grant the
/// same refill before they learn of each other's grants. This covers a team that sends many times
/// its usual load, unevenly over the nodes, while nodes crash or are partitioned. Not thread safe.
class QuotaLedger {
public:
  /// Units, by team.
  using Totals = std::map<base::TeamId, double>;

  /// The state that nodes exchange by gossip.
  struct View {
    /// Units granted since the node started.
    Totals m_granted;
    /// Units requested since the node started, granted or not.
    Totals m_requested;
    /// Estimated units left in each bucket.
    Totals m_levels;
  };

  /// What `TryTake` would find.
  struct Forecast {
    bool m_admits = true;
    /// Units left in the bucket; negative if it is overdrawn.
    double m_level = 0;
  };

  explicit QuotaLedger(QuotaTolerance aTolerance)
    : m_tolerance(aTolerance) {}

  /// Applies the quotas of `aCatalog`. A new bucket starts overdrawn, since the grants of other
  /// nodes and of this node's earlier incarnation are not known yet.
  void Configure(const fleet::Catalog& aCatalog, base::TimePoint aNow);
  /// Initializes new buckets from the fleet's demand that was recorded `aAge` ago, as returned by
  /// `Demand`. Used after a restart of all nodes.
  void RestoreDemand(const Totals& aDemand, base::Millis aAge, base::TimePoint aNow);
  /// Returns the recent demand on the whole fleet in units per second, for each team with a quota.
  Totals Demand() const;
  /// Takes `aUnits` from the team's bucket. Returns false if the team is over its quota. Always
  /// returns true for a team without a quota.
  bool TryTake(const base::TeamId& aTeam, double aUnits, base::TimePoint aNow);
  /// Returns whether `TryTake` would succeed, without taking anything.
  Forecast Preview(const base::TeamId& aTeam, base::TimePoint aNow) const;
  /// Updates this node's demand rates and returns its view, which is sent to the other nodes.
  View UpdateLocalView(base::TimePoint aNow);
  /// Merges the view of another node.
  /// \param aIncarnation identifies the incarnation of the peer.
  /// \param aRecentlyStarted whether the peer started so recently that its totals count in full.
  void MergePeerView(const base::NodeId& aPeer,
                     int64_t aIncarnation,
                     bool aRecentlyStarted,
                     const View& aView,
                     base::TimePoint aNow);
  /// Removes a peer that has stopped.
  void RemovePeer(const base::NodeId& aPeer);
  /// Updates the size of the fleet.
  /// \param aReachable number of reachable nodes, including this one.
  /// \param aKnownCount number of known nodes, including this one.
  /// \param aSharing number of nodes that callers are directed to, if this is one of them;
  /// otherwise `aReachable`. \param aGossipAgeSeconds age of the views of those nodes in seconds.
  void SetFleetSize(size_t aReachable,
                    size_t aKnownCount,
                    size_t aSharing,
                    double aGossipAgeSeconds,
                    base::TimePoint aNow);
  /// Returns the units left in the team's bucket; negative if it is overdrawn.
  double Level(const base::TeamId& aTeam, base::TimePoint aNow);

private:
  struct Bucket {
    fleet::Quota m_quota;
    double m_level = 0;
    /// Units that this node may grant while the bucket is low.
    double m_localLevel = 0;
    base::TimePoint m_refilledAt;
    /// Time at which the team's quota became known.
    base::TimePoint m_createdAt;
    /// Whether another node's level has been adopted since the bucket was created.
    bool m_hasAdoptedLevel = false;
  };
  /// A running total and its smoothed rate in units per second.
  struct Meter {
    double m_total = 0;
    double m_rate = 0;

    /// Updates the total and the rate; returns the increase.
    double Update(double aTotal, double aSeconds);
  };
  struct Peer {
    int64_t m_incarnation = 0;
    std::map<base::TeamId, Meter> m_granted;
    std::map<base::TeamId, Meter> m_requested;
    base::TimePoint m_receivedAt;
  };

  double PlannedRate(const fleet::Quota& aQuota) const;
  double PlannedCapacity(const fleet::Quota& aQuota) const;
  double DemandShare(const base::TeamId& aTeam) const;
  double PeerGrantRate(const base::TeamId& aTeam) const;
  bool IsLow(const base::TeamId& aTeam, const Bucket& aBucket) const;
  bool MayGrant(const base::TeamId& aTeam, const Bucket& aBucket) const;
  void Refill(const base::TeamId& aTeam, Bucket& aBucket, base::TimePoint aNow) const;
  void AdoptLevels(const Totals& aLevels, base::TimePoint aNow);
  void SubtractPeerGrant(const base::TeamId& aTeam, double aUnits);

  QuotaTolerance m_tolerance;
  std::map<base::TeamId, Bucket> m_buckets;
  std::map<base::NodeId, Peer> m_peers;
  /// Fraction of the quota that this side of a partition may use; 0 before the fleet size is known.
  double m_reachableFraction = 0;
  /// Number of nodes over which the demand is spread.
  size_t m_sharingNodes = 1;
  /// Time of the first call of SetFleetSize.
  std::optional<base::TimePoint> m_firstFleetSizeAt;
  double m_gossipAgeSeconds = 0.25;
  Totals m_granted;
  Totals m_requested;
  std::map<base::TeamId, Meter> m_localDemand;
  base::TimePoint m_localDemandMeasuredAt{};
};

} // namespace papayafield::quota
