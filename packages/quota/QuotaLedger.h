#pragma once

#include "base/Time.h"
#include "fleet/Catalog.h"

#include <map>
#include <optional>

namespace papayafield::quota {

/// How far a team may go beyond its quota, as operators allow.
struct QuotaTolerance {
  /// Part of the quota.
  double m_overrun = 0;
  /// Units besides, within one window.
  double m_slack = 0;
  /// Length of a window in seconds.
  double m_windowSeconds = 8;
};

/// Bounds what each team uses over all nodes. Every node keeps one bucket for each team that stands
/// for the whole fleet: it takes its own grants from it at once, and those of the other nodes as
/// their running totals become known. While some nodes are not heard, the others keep to their part
/// of the quota, so that all sides of a cut together stay within it. Once a bucket runs low, each
/// node grants at its part of the rate only, by its part of the demand: otherwise all would grant
/// the same refill before they hear of one another. Answers the load of one team sending many times
/// its usual, unevenly over the nodes, while nodes die or are cut off. Not thread safe.
class QuotaLedger {
public:
  /// Units, by team.
  using Totals = std::map<base::TeamId, double>;

  /// What nodes tell one another.
  struct View {
    /// Units granted since the node's start.
    Totals m_granted;
    /// Units asked for since the node's start, granted or not.
    Totals m_asked;
    /// Units believed to be left in each bucket.
    Totals m_levels;
  };

  explicit QuotaLedger(QuotaTolerance aTolerance)
    : m_tolerance(aTolerance) {}

  /// Takes over the quotas of `aCatalog`. A new bucket starts overdrawn: what other nodes, or an
  /// earlier life of this one, have granted is not known yet.
  void Configure(const fleet::Catalog& aCatalog, base::TimePoint aNow);
  /// Takes over what the fleet recorded of its demand `aAge` ago, as `Demand` gave it, into buckets
  /// made just now. Serves after a restart of all nodes.
  void Recall(const Totals& aDemand, base::Millis aAge, base::TimePoint aNow);
  /// Units a second that the whole fleet is asked for lately, for each team with a quota.
  Totals Demand() const;
  /// Takes `aUnits` from the team's bucket; false when the team is over its quota. Teams without a
  /// quota always succeed.
  bool Take(const base::TeamId& aTeam, double aUnits, base::TimePoint aNow);
  /// This node's own view, as other nodes hear it.
  View Own(base::TimePoint aNow);
  /// Another node's view. `aBorn` tells its lives apart; `aYoung`: it has started so lately that
  /// all of its totals count.
  void HearPeer(const base::NodeId& aPeer,
                int64_t aBorn,
                bool aYoung,
                const View& aView,
                base::TimePoint aNow);
  /// A node is known to have ended.
  void ForgetPeer(const base::NodeId& aPeer);
  /// How many nodes there are and how many of them are heard, this one included; `aNewsAge`: how
  /// old the others' news is, in seconds.
  void SetFleet(size_t aHeard, size_t aKnown, double aNewsAge, base::TimePoint aNow);
  /// Units left in the team's bucket; negative while overdrawn.
  double Level(const base::TeamId& aTeam, base::TimePoint aNow);

private:
  struct Bucket {
    fleet::Quota m_quota;
    double m_level = 0;
    /// Units that this node may grant while the bucket is low.
    double m_ownLevel = 0;
    base::TimePoint m_refilled;
    /// When the team's quota became known.
    base::TimePoint m_made;
    /// Whether another node's view has been taken over since the bucket was made.
    bool m_agreed = false;
  };
  /// A running total and its rate in units a second, smoothed.
  struct Meter {
    double m_total = 0;
    double m_rate = 0;

    /// Takes a later total; gives the growth.
    double Advance(double aTotal, double aSeconds);
  };
  struct Peer {
    int64_t m_startMs = 0;
    std::map<base::TeamId, Meter> m_granted;
    std::map<base::TeamId, Meter> m_asked;
    base::TimePoint m_heard;
  };

  double RateOf(const fleet::Quota& aQuota) const;
  double CapacityOf(const fleet::Quota& aQuota) const;
  double ShareOf(const base::TeamId& aTeam) const;
  double PeerRate(const base::TeamId& aTeam) const;
  void Refill(const base::TeamId& aTeam, Bucket& aBucket, base::TimePoint aNow) const;
  void Agree(const Totals& aLevels, base::TimePoint aNow);
  void TakeHeard(const base::TeamId& aTeam, double aUnits);

  QuotaTolerance m_tolerance;
  std::map<base::TeamId, Bucket> m_buckets;
  std::map<base::NodeId, Peer> m_peers;
  /// Part of the quota that this side of a cut may use; nothing before the fleet is known.
  double m_part = 0;
  size_t m_heardNodes = 1;
  /// When the fleet's size was first told.
  std::optional<base::TimePoint> m_firstSeen;
  double m_newsAge = 0.25;
  Totals m_granted;
  Totals m_asked;
  std::map<base::TeamId, Meter> m_ownAsked;
  base::TimePoint m_ownMeasured{};
};

} // namespace papayafield::quota
