#include "quota/QuotaLedger.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace papayafield::quota {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant for smoothing rates, in seconds.
constexpr double kRateSmoothingSeconds = 1.5;
/// Fraction of the operators' slack that is added to the rate. The rest covers grants of other
/// nodes that have not been reported yet.
constexpr double kPlannedSlackFraction = 0.4;
/// A bucket below this fraction of its capacity is low.
constexpr double kLowLevelFraction = 0.5;
/// Weight of a call in the smoothed size of calls.
constexpr double kCallSizeSmoothing = 0.1;
/// Calls that a node may grant while the bucket is not low, whatever its share.
constexpr double kRoundingCalls = 2;
/// A view that is older than this many usual ages is stale.
constexpr double kStaleViewAges = 2;
/// Minimum capacity of a bucket, in seconds of its rate.
constexpr double kMinCapacitySeconds = 0.1;
/// Part of the rate that is shared equally, so that a node with new demand has a share.
constexpr double kEqualShareFraction = 0.5;
/// Initial level of a new bucket if the team's demand was low before, in seconds of its rate. This
/// level and the grants that may have been missed since are covered by the unplanned part of the
/// tolerance.
constexpr double kLowDemandInitialSeconds = 0.5;
/// Initial overdraft of any other new bucket, in seconds of its rate. After a restart of all nodes
/// the grants of the last heartbeat interval, or of a longer time, are unknown.
constexpr double kInitialOverdraftSeconds = 0.3;
/// A team's demand is low if it is at most this fraction of its rate.
constexpr double kLowDemandFraction = 0.6;
/// Maximum age of a usable demand record, and maximum time by which it may lie in the future. A
/// record outside this range is stale or was written before a clock was set.
constexpr base::Millis kMaxRecordAge{ 12000 };
constexpr base::Millis kMaxRecordLead{ 1000 };
/// Fraction of the operators' overrun that is added to rate and capacity.
constexpr double kPlannedOverrunFraction = 0.6;
/// Maximum overdraft by grants of other nodes, in seconds of the rate, which bounds how long
/// requests are rejected.
constexpr double kMaxOverdraftSeconds = 2.0;
/// A bucket younger than this adopts the level of the first peer that has run for longer.
constexpr base::Millis kLevelAdoptionWindow{ 2000 };
/// A node that has just started waits this long for the heartbeats of the others before it assumes
/// that they are unreachable.
constexpr base::Millis kInitialReachabilityWait{ 600 };

} // namespace

QuotaLedger::QuotaLedger(QuotaTolerance aTolerance, uint64_t aSeed)
  : m_tolerance(aTolerance)
  , m_random(aSeed) {}

double QuotaLedger::PlannedRate(const fleet::Quota& aQuota) const {
  const double slack = m_tolerance.m_slack * kPlannedSlackFraction / m_tolerance.m_windowSeconds;
  return (aQuota.m_ratePerSecond * (1 + m_tolerance.m_overrun * kPlannedOverrunFraction) + slack) *
         m_reachableFraction;
}

double QuotaLedger::PlannedCapacity(const fleet::Quota& aQuota) const {
  return aQuota.m_burst * (1 + m_tolerance.m_overrun * kPlannedOverrunFraction) *
         m_reachableFraction;
}

/// Returns the units within one window that operators allow beyond the planned ones.
double QuotaLedger::UnplannedUnits(const fleet::Quota& aQuota) const {
  const double quota = aQuota.m_ratePerSecond * m_tolerance.m_windowSeconds + aQuota.m_burst;
  return (quota * m_tolerance.m_overrun * (1 - kPlannedOverrunFraction) +
          m_tolerance.m_slack * (1 - kPlannedSlackFraction)) *
         m_reachableFraction;
}

double QuotaLedger::Meter::Update(double aTotal, double aSeconds) {
  const double increase = std::max(aTotal - m_total, 0.0);
  m_total = std::max(aTotal, m_total);
  m_rate += (increase / aSeconds - m_rate) * std::min(aSeconds / kRateSmoothingSeconds, 1.0);
  return increase;
}

void QuotaLedger::Configure(const fleet::Catalog& aCatalog, base::TimePoint aNow) {
  std::map<base::TeamId, Bucket> buckets;
  for (const fleet::Team& team : aCatalog.Teams()) {
    const auto previous = m_buckets.find(team.m_id);
    const double overdraft = team.m_quota.m_ratePerSecond * kInitialOverdraftSeconds;
    Bucket bucket{ team.m_quota, -overdraft, aNow, aNow, false, 0, {}, 0 };
    if (previous != m_buckets.end()) {
      Refill(team.m_id, previous->second, aNow);
      bucket.m_level = std::min(previous->second.m_level, PlannedCapacity(team.m_quota));
      bucket.m_grantedSinceView = previous->second.m_grantedSinceView;
      bucket.m_recentGrants = previous->second.m_recentGrants;
      bucket.m_unitsPerCall = previous->second.m_unitsPerCall;
      bucket.m_createdAt = previous->second.m_createdAt;
      bucket.m_hasAdoptedLevel = previous->second.m_hasAdoptedLevel;
    }
    buckets[team.m_id] = bucket;
  }
  m_buckets = std::move(buckets);
}

void QuotaLedger::RestoreDemand(const Totals& aDemand, base::Millis aAge, base::TimePoint aNow) {
  if (aAge > kMaxRecordAge || aAge < -kMaxRecordLead) {
    return;
  }
  for (auto& [team, bucket] : m_buckets) {
    const auto demand = aDemand.find(team);
    if (demand == aDemand.end() || bucket.m_hasAdoptedLevel ||
        aNow - bucket.m_createdAt >= kLevelAdoptionWindow) {
      continue;
    }
    const double rate = bucket.m_quota.m_ratePerSecond;
    if (demand->second <= rate * kLowDemandFraction) {
      bucket.m_level = std::min(rate * kLowDemandInitialSeconds, bucket.m_quota.m_burst);
    }
  }
}

QuotaLedger::Totals QuotaLedger::Demand() const {
  Totals demand;
  for (const auto& [team, bucket] : m_buckets) {
    if (bucket.m_quota.m_ratePerSecond <= 0) {
      continue;
    }
    double rate = 0;
    if (const auto localMeter = m_localDemand.find(team); localMeter != m_localDemand.end()) {
      rate += localMeter->second.m_meter.m_rate;
    }
    for (const auto& [name, peer] : m_peers) {
      if (const auto meter = peer.m_requested.find(team); meter != peer.m_requested.end()) {
        rate += meter->second.m_rate;
      }
    }
    demand[team] = rate;
  }
  return demand;
}

void QuotaLedger::SetFleet(const FleetState& aFleet, base::TimePoint aNow) {
  const size_t known = std::max<size_t>(aFleet.m_known, 1);
  m_fleet = aFleet;
  if (!m_firstFleetAt) {
    m_firstFleetAt = aNow;
  }
  if (aFleet.m_reachable * 2 < known && aNow - *m_firstFleetAt < kInitialReachabilityWait) {
    return;
  }
  for (auto& [team, bucket] : m_buckets) {
    Refill(team, bucket, aNow);
  }
  m_reachableFraction =
    std::min(static_cast<double>(aFleet.m_reachable) / static_cast<double>(known), 1.0);
}

double QuotaLedger::RateOf(const std::map<base::TeamId, Meter>& aMeters,
                           const base::TeamId& aTeam) {
  const auto meter = aMeters.find(aTeam);
  return meter == aMeters.end() ? 0 : meter->second.m_rate;
}

/// Returns the rate at which callers request units of this node, as old as what it knows of its
/// peers. While demand rises on all nodes, each would see its own rise first and take it for a
/// larger share.
double QuotaLedger::LocalDemandRate(const base::TeamId& aTeam, base::TimePoint aNow) const {
  double found = 0;
  if (const auto local = m_localDemand.find(aTeam); local != m_localDemand.end()) {
    for (const auto& [measuredAt, rate] : local->second.m_rates) {
      if (Seconds(aNow - measuredAt).count() >= m_fleet.m_gossipAgeSeconds / 2) {
        found = rate;
      }
    }
  }
  return found;
}

bool QuotaLedger::IsLow(const Bucket& aBucket, double aUnreportedDemand) const {
  return aBucket.m_level - aUnreportedDemand < PlannedCapacity(aBucket.m_quota) * kLowLevelFraction;
}

/// Estimates what the peers have done since their latest views. A peer that is no longer reachable
/// counts with the fraction of the quota that is left to it instead.
QuotaLedger::Unreported QuotaLedger::EstimateUnreported(const base::TeamId& aTeam,
                                                        const Bucket& aBucket,
                                                        base::TimePoint aNow) const {
  const size_t sharing =
    m_fleet.m_sharing.empty() ? m_fleet.m_reachable : m_fleet.m_sharing.size() + 1;
  const double equalDemand =
    aBucket.m_quota.m_ratePerSecond * kEqualShareFraction / static_cast<double>(sharing);
  const double localDemand = LocalDemandRate(aTeam, aNow) + equalDemand;
  const double rounding = kRoundingCalls * aBucket.m_unitsPerCall;
  double rounded = 0;
  Unreported unreported;
  for (const auto& [name, peer] : m_peers) {
    const double silence = Seconds(aNow - peer.m_receivedAt).count();
    if (silence > m_fleet.m_livenessSeconds) {
      continue;
    }
    const double age = silence + m_fleet.m_gossipAgeSeconds / 2;
    const double demand = RateOf(peer.m_requested, aTeam);
    unreported.m_demand += demand * age;
    unreported.m_grants += RateOf(peer.m_granted, aTeam) * age;
    unreported.m_demandRate += demand;
    double ratio = demand / localDemand;
    if (m_fleet.m_sharing.contains(name)) {
      ratio += equalDemand / localDemand;
      if (silence > kStaleViewAges * m_fleet.m_gossipAgeSeconds) {
        // The demand may have moved to the peer since.
        ratio = std::max(ratio, 1.0);
      }
    }
    if (ratio > 0) {
      const double grants = LocalGrantsSince(aBucket, aNow, age);
      unreported.m_grantsLikeLocal += grants * ratio;
      rounded += std::min(grants, rounding) * ratio;
      unreported.m_oldestSeconds = std::max(unreported.m_oldestSeconds, silence);
    }
  }
  if (!IsLow(aBucket, unreported.m_demand)) {
    // A share may be smaller than a call. While the bucket is nearly full, a few are in order.
    unreported.m_grantsLikeLocal -= rounded;
  }
  return unreported;
}

/// Returns the units that this node granted in the last `aSeconds`, in steps of its views.
double QuotaLedger::LocalGrantsSince(const Bucket& aBucket,
                                     base::TimePoint aNow,
                                     double aSeconds) const {
  double units = aBucket.m_grantedSinceView;
  for (auto grant = aBucket.m_recentGrants.rbegin(); grant != aBucket.m_recentGrants.rend();
       ++grant) {
    if (Seconds(aNow - grant->first).count() >= aSeconds) {
      break;
    }
    units += grant->second;
  }
  return units;
}

/// Refills a bucket. Grants that the peers have not reported yet, `aUnreportedGrants`, are missing
/// from the level, so it may exceed the capacity by them.
void QuotaLedger::Refill(Bucket& aBucket, double aUnreportedGrants, base::TimePoint aNow) const {
  if (m_reachableFraction > 0) {
    const double seconds = std::max(Seconds(aNow - aBucket.m_refilledAt).count(), 0.0);
    const double rate = PlannedRate(aBucket.m_quota);
    const double capacity = std::max(PlannedCapacity(aBucket.m_quota), rate * kMinCapacitySeconds);
    aBucket.m_level = std::min(aBucket.m_level + rate * seconds, capacity + aUnreportedGrants);
  }
  aBucket.m_refilledAt = std::max(aBucket.m_refilledAt, aNow);
}

QuotaLedger::Unreported QuotaLedger::Refill(const base::TeamId& aTeam,
                                            Bucket& aBucket,
                                            base::TimePoint aNow) const {
  const Unreported unreported = EstimateUnreported(aTeam, aBucket, aNow);
  Refill(aBucket, unreported.m_grants, aNow);
  return unreported;
}

/// Returns whether a refilled bucket admits a call.
bool QuotaLedger::MayGrant(const Bucket& aBucket, const Unreported& aUnreported) const {
  return aBucket.m_level > 0 && aBucket.m_level >= m_draw * aUnreported.m_demand &&
         aBucket.m_level + UnplannedUnits(aBucket.m_quota) >= aUnreported.m_grantsLikeLocal;
}

QuotaLedger::Forecast QuotaLedger::Preview(const base::TeamId& aTeam, base::TimePoint aNow) const {
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end() || found->second.m_quota.m_ratePerSecond <= 0) {
    return {};
  }
  Bucket bucket = found->second;
  const Unreported unreported = Refill(aTeam, bucket, aNow);
  return { MayGrant(bucket, unreported), bucket.m_level };
}

bool QuotaLedger::TryTake(const base::TeamId& aTeam, double aUnits, base::TimePoint aNow) {
  m_requested[aTeam] += aUnits;
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end() || found->second.m_quota.m_ratePerSecond <= 0) {
    m_granted[aTeam] += aUnits;
    return true;
  }
  Bucket& bucket = found->second;
  const Unreported unreported = Refill(aTeam, bucket, aNow);
  const bool mayGrant = MayGrant(bucket, unreported);
  bucket.m_unitsPerCall += (aUnits - bucket.m_unitsPerCall) * kCallSizeSmoothing;
  m_draw = std::uniform_real_distribution<double>(0, 1)(m_random);
  if (!mayGrant) {
    return false;
  }
  bucket.m_level -= aUnits;
  bucket.m_grantedSinceView += aUnits;
  m_granted[aTeam] += aUnits;
  return true;
}

QuotaLedger::View QuotaLedger::UpdateLocalView(base::TimePoint aNow) {
  const double seconds = std::max(Seconds(aNow - m_localDemandMeasuredAt).count(), 0.001);
  const base::TimePoint oldest =
    aNow - std::chrono::duration_cast<base::TimePoint::duration>(
             Seconds(m_fleet.m_livenessSeconds + m_fleet.m_gossipAgeSeconds));
  const auto add = [&](auto& aHistory, double aValue) {
    aHistory.emplace_back(aNow, aValue);
    while (aHistory.front().first < oldest) {
      aHistory.pop_front();
    }
  };
  for (const auto& [team, total] : m_requested) {
    LocalDemand& demand = m_localDemand[team];
    demand.m_meter.Update(total, seconds);
    add(demand.m_rates, demand.m_meter.m_rate);
  }
  m_localDemandMeasuredAt = aNow;
  View view{ m_granted, m_requested, {} };
  for (auto& [team, bucket] : m_buckets) {
    if (bucket.m_quota.m_ratePerSecond > 0) {
      Refill(team, bucket, aNow);
      view.m_levels[team] = bucket.m_level;
    }
    add(bucket.m_recentGrants, std::exchange(bucket.m_grantedSinceView, 0));
  }
  return view;
}

void QuotaLedger::AdoptLevels(const Totals& aLevels, base::TimePoint aNow) {
  for (const auto& [team, level] : aLevels) {
    const auto found = m_buckets.find(team);
    // Adopt a peer's level only once: it is older than this node's own and so always too high under
    // load. No peer knows what an earlier incarnation of this node granted after its last
    // heartbeat, so the possible grants of one gossip age are subtracted.
    if (found != m_buckets.end() && !found->second.m_hasAdoptedLevel &&
        aNow - found->second.m_createdAt < kLevelAdoptionWindow) {
      found->second.m_level =
        level - PlannedRate(found->second.m_quota) * m_fleet.m_gossipAgeSeconds;
      found->second.m_hasAdoptedLevel = true;
    }
  }
}

void QuotaLedger::SubtractPeerGrant(const base::TeamId& aTeam, double aUnits) {
  const auto found = m_buckets.find(aTeam);
  if (found != m_buckets.end()) {
    const double overdraft = found->second.m_quota.m_ratePerSecond * kMaxOverdraftSeconds;
    found->second.m_level = std::max(found->second.m_level - aUnits, -overdraft);
  }
}

void QuotaLedger::MergePeerView(const base::NodeId& aPeer,
                                int64_t aIncarnation,
                                bool aRecentlyStarted,
                                const View& aView,
                                base::TimePoint aNow) {
  if (!aRecentlyStarted) {
    AdoptLevels(aView.m_levels, aNow);
  }
  Peer& peer = m_peers[aPeer];
  const bool isKnown = peer.m_incarnation == aIncarnation;
  if (!isKnown) {
    // The earlier incarnation did not report its last grants.
    for (const auto& [team, meter] : peer.m_granted) {
      SubtractPeerGrant(team, meter.m_rate * m_fleet.m_gossipAgeSeconds);
    }
    peer = { aIncarnation, {}, {}, aNow };
    if (!aRecentlyStarted) {
      // Grants from before the peer became known are not subtracted: they have been used up
      // already.
      for (const auto& [team, total] : aView.m_granted) {
        peer.m_granted[team].m_total = total;
      }
    }
    for (const auto& [team, total] : aView.m_requested) {
      peer.m_requested[team].m_total = total;
    }
  }
  const double seconds =
    std::max(Seconds(aNow - peer.m_receivedAt).count(), isKnown ? 0.001 : kRateSmoothingSeconds);
  for (const auto& [team, total] : aView.m_granted) {
    SubtractPeerGrant(team, peer.m_granted[team].Update(total, seconds));
  }
  for (const auto& [team, total] : aView.m_requested) {
    peer.m_requested[team].Update(total, seconds);
  }
  peer.m_receivedAt = aNow;
}

void QuotaLedger::RemovePeer(const base::NodeId& aPeer) {
  m_peers.erase(aPeer);
}

std::vector<QuotaLedger::Status> QuotaLedger::LowBuckets(base::TimePoint aNow) {
  std::vector<Status> low;
  for (auto& [team, bucket] : m_buckets) {
    if (bucket.m_quota.m_ratePerSecond <= 0) {
      continue;
    }
    const Unreported unreported = Refill(team, bucket, aNow);
    if (IsLow(bucket, unreported.m_demand)) {
      const double rate = std::max(unreported.m_demandRate, 1.0);
      low.push_back({ team,
                      m_granted[team],
                      m_requested[team],
                      bucket.m_level,
                      unreported.m_demand,
                      unreported.m_grantsLikeLocal,
                      unreported.m_demand / rate,
                      unreported.m_oldestSeconds,
                      m_reachableFraction });
    }
  }
  return low;
}

double QuotaLedger::Level(const base::TeamId& aTeam, base::TimePoint aNow) {
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end()) {
    return 0;
  }
  Refill(aTeam, found->second, aNow);
  return found->second.m_level;
}

} // namespace papayafield::quota
