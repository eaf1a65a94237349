#pragma once

#include "base/Time.h"
#include "fleet/Catalog.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

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

/// The fleet as a node sees it.
struct FleetState {
  /// Number of reachable nodes, including this one.
  size_t m_reachable = 1;
  /// Number of known nodes, including this one.
  size_t m_known = 1;
  /// Peers that callers are directed to as well as to this node. Empty if this is not one of the
  /// nodes that callers are directed to.
  std::set<base::NodeId> m_sharing;
  /// Time within which a view of one of those nodes usually arrives, in seconds.
  double m_gossipAgeSeconds = 0.25;
  /// Silence after which a node is no longer reachable, in seconds.
  double m_livenessSeconds = 1.5;
};

/// Limits the usage of each team over all nodes. Every node keeps one token bucket per team that
/// represents the whole fleet. It subtracts its own grants at once, and those of the other nodes
/// when their running totals arrive by gossip. While some nodes are unreachable, a node uses only
/// the fraction of the quota that the reachable nodes stand for, so that all sides of a network
/// partition together stay within the quota.
///
/// What the nodes grant before they learn of each other's grants must fit into the bucket as well.
/// Two rules ensure that: a node admits calls with the probability at which the demand that is
/// known of its peers uses up no more than the level, and its own recent grants may not exceed its
/// share of the level, which holds for demand that no peer has reported yet. Not thread safe.
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

  /// \param aSeed seed of the random decisions; must differ between nodes.
  QuotaLedger(QuotaTolerance aTolerance, uint64_t aSeed);

  /// The state of a bucket, for the log.
  struct Status {
    base::TeamId m_team;
    /// Units that this node has granted and that were requested of it since it started.
    double m_granted = 0;
    double m_requested = 0;
    double m_level = 0;
    /// Units that peers have probably requested, and would have granted if they did as this node,
    /// since their latest views.
    double m_unreportedDemand = 0;
    double m_unreportedGrants = 0;
    /// Ages of the views of the reachable peers in seconds; the mean is weighted with their demand.
    double m_meanViewAgeSeconds = 0;
    double m_oldestViewAgeSeconds = 0;
    /// Fraction of the quota that this side of a partition may use.
    double m_reachableFraction = 0;
  };

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
  /// Updates what is known of the fleet.
  void SetFleet(const FleetState& aFleet, base::TimePoint aNow);
  /// Returns the state of the buckets that are low.
  std::vector<Status> LowBuckets(base::TimePoint aNow);
  /// Returns the units left in the team's bucket; negative if it is overdrawn.
  double Level(const base::TeamId& aTeam, base::TimePoint aNow);

private:
  struct Bucket {
    fleet::Quota m_quota;
    double m_level = 0;
    base::TimePoint m_refilledAt;
    /// Time at which the team's quota became known.
    base::TimePoint m_createdAt;
    /// Whether another node's level has been adopted since the bucket was created.
    bool m_hasAdoptedLevel = false;
    /// Units that this node granted since its latest view.
    double m_grantedSinceView = 0;
    /// Units that this node granted before each of its latest views, with the view's time. Peers
    /// may not have received those views yet.
    std::deque<std::pair<base::TimePoint, double>> m_recentGrants;
    /// Smoothed size of this node's calls in units.
    double m_unitsPerCall = 0;
  };
  /// What the peers have probably requested and granted since their latest views, in units.
  struct Unreported {
    /// Requested at the rate that they last reported.
    double m_demand = 0;
    /// Granted at the rate that they last reported.
    double m_grants = 0;
    /// Granted if they did as this node since then, in proportion to their demand. Notices demand
    /// that no peer has reported yet.
    double m_grantsLikeLocal = 0;
    /// Rate of the peers' demand in units per second, and the age of their oldest view in seconds.
    double m_demandRate = 0;
    double m_oldestSeconds = 0;
  };
  /// A running total and its smoothed rate in units per second.
  struct Meter {
    double m_total = 0;
    double m_rate = 0;

    /// Updates the total and the rate; returns the increase.
    double Update(double aTotal, double aSeconds);
  };
  struct LocalDemand {
    Meter m_meter;
    /// The meter's rate at each of this node's latest views.
    std::deque<std::pair<base::TimePoint, double>> m_rates;
  };
  struct Peer {
    int64_t m_incarnation = 0;
    std::map<base::TeamId, Meter> m_granted;
    std::map<base::TeamId, Meter> m_requested;
    base::TimePoint m_receivedAt;
  };

  double PlannedRate(const fleet::Quota& aQuota) const;
  double PlannedCapacity(const fleet::Quota& aQuota) const;
  double UnplannedUnits(const fleet::Quota& aQuota) const;
  double LocalDemandRate(const base::TeamId& aTeam, base::TimePoint aNow) const;
  double LocalGrantsSince(const Bucket& aBucket, base::TimePoint aNow, double aSeconds) const;
  static double RateOf(const std::map<base::TeamId, Meter>& aMeters, const base::TeamId& aTeam);
  bool IsLow(const Bucket& aBucket, double aUnreportedDemand) const;
  Unreported EstimateUnreported(const base::TeamId& aTeam,
                                const Bucket& aBucket,
                                base::TimePoint aNow) const;
  bool MayGrant(const Bucket& aBucket, const Unreported& aUnreported) const;
  void Refill(Bucket& aBucket, double aUnreportedGrants, base::TimePoint aNow) const;
  Unreported Refill(const base::TeamId& aTeam, Bucket& aBucket, base::TimePoint aNow) const;
  void AdoptLevels(const Totals& aLevels, base::TimePoint aNow);
  void SubtractPeerGrant(const base::TeamId& aTeam, double aUnits);

  QuotaTolerance m_tolerance;
  std::map<base::TeamId, Bucket> m_buckets;
  std::map<base::NodeId, Peer> m_peers;
  /// Fraction of the quota that this side of a partition may use; 0 before the fleet size is known.
  double m_reachableFraction = 0;
  FleetState m_fleet;
  /// Time of the first call of SetFleet.
  std::optional<base::TimePoint> m_firstFleetAt;
  Totals m_granted;
  Totals m_requested;
  std::map<base::TeamId, LocalDemand> m_localDemand;
  base::TimePoint m_localDemandMeasuredAt{};
  std::mt19937_64 m_random;
  /// Decides on the next call, in [0, 1).
  double m_draw = 0;
};

} // namespace papayafield::quota
