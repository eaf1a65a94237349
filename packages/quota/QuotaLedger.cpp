#include "quota/QuotaLedger.h"

#include <algorithm>
#include <chrono>

namespace papayafield::quota {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant for smoothing rates, in seconds.
constexpr double kRateSmoothingSeconds = 1.5;
/// Fraction of the operators' slack that is added to the rate. The rest covers grants of other
/// nodes that have not been reported yet.
constexpr double kPlannedSlackFraction = 0.4;
/// A bucket at or below this fraction of its capacity is low.
constexpr double kLowLevelFraction = 0.4;
/// Burst that a node may grant while a bucket is low, in seconds of its share of the rate.
constexpr double kLocalBurstSeconds = 0.4;
/// Overdraft up to which a low bucket still grants, in seconds of its rate.
constexpr double kMaxLowOverdraftSeconds = 0.1;
/// Units per second that are added to each node's demand, so that a node with new demand has a
/// share.
constexpr double kMinNodeDemand = 200;
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
constexpr double kPlannedOverrunFraction = 0.8;
/// Maximum overdraft by grants of other nodes, in seconds of the rate, which bounds how long
/// requests are rejected.
constexpr double kMaxOverdraftSeconds = 2.0;
/// A bucket younger than this adopts the level of the first peer that has run for longer.
constexpr base::Millis kLevelAdoptionWindow{ 2000 };
/// A node that has just started waits this long for the heartbeats of the others before it assumes
/// that they are unreachable.
constexpr base::Millis kInitialReachabilityWait{ 600 };

} // namespace

double QuotaLedger::PlannedRate(const fleet::Quota& aQuota) const {
  const double slack = m_tolerance.m_slack * kPlannedSlackFraction / m_tolerance.m_windowSeconds;
  return (aQuota.m_ratePerSecond * (1 + m_tolerance.m_overrun * kPlannedOverrunFraction) + slack) *
         m_reachableFraction;
}

double QuotaLedger::PlannedCapacity(const fleet::Quota& aQuota) const {
  return aQuota.m_burst * (1 + m_tolerance.m_overrun * kPlannedOverrunFraction) *
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
    Bucket bucket{ team.m_quota, -overdraft, 0, aNow, aNow, false };
    if (previous != m_buckets.end()) {
      Refill(team.m_id, previous->second, aNow);
      bucket.m_level = std::min(previous->second.m_level, PlannedCapacity(team.m_quota));
      bucket.m_localLevel = previous->second.m_localLevel;
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
      bucket.m_localLevel = bucket.m_level;
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
      rate += localMeter->second.m_rate;
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

void QuotaLedger::SetFleetSize(size_t aReachable,
                               size_t aKnownCount,
                               size_t aSharing,
                               double aGossipAgeSeconds,
                               base::TimePoint aNow) {
  m_gossipAgeSeconds = aGossipAgeSeconds;
  if (!m_firstFleetSizeAt) {
    m_firstFleetSizeAt = aNow;
  }
  if (aReachable * 2 < aKnownCount && aNow - *m_firstFleetSizeAt < kInitialReachabilityWait) {
    m_sharingNodes = std::max<size_t>(aKnownCount, 1);
    return;
  }
  for (auto& [team, bucket] : m_buckets) {
    Refill(team, bucket, aNow);
  }
  m_sharingNodes = std::max<size_t>(aSharing, 1);
  m_reachableFraction = std::min(
    static_cast<double>(aReachable) / static_cast<double>(std::max<size_t>(aKnownCount, 1)), 1.0);
}

double QuotaLedger::PeerGrantRate(const base::TeamId& aTeam) const {
  double rate = 0;
  for (const auto& [name, peer] : m_peers) {
    if (const auto meter = peer.m_granted.find(aTeam); meter != peer.m_granted.end()) {
      rate += meter->second.m_rate;
    }
  }
  return rate;
}

double QuotaLedger::DemandShare(const base::TeamId& aTeam) const {
  const auto localMeter = m_localDemand.find(aTeam);
  const double localDemand =
    (localMeter == m_localDemand.end() ? 0 : localMeter->second.m_rate) + kMinNodeDemand;
  double totalDemand = localDemand + kMinNodeDemand * static_cast<double>(m_sharingNodes - 1);
  for (const auto& [name, peer] : m_peers) {
    if (const auto meter = peer.m_requested.find(aTeam); meter != peer.m_requested.end()) {
      totalDemand += meter->second.m_rate;
    }
  }
  return localDemand / totalDemand;
}

void QuotaLedger::Refill(const base::TeamId& aTeam, Bucket& aBucket, base::TimePoint aNow) const {
  if (m_reachableFraction <= 0) {
    aBucket.m_refilledAt = std::max(aBucket.m_refilledAt, aNow);
    return;
  }
  const double seconds = std::max(Seconds(aNow - aBucket.m_refilledAt).count(), 0.0);
  const double rate = PlannedRate(aBucket.m_quota);
  const double localRate = rate * DemandShare(aTeam);
  aBucket.m_level = std::min(aBucket.m_level + rate * seconds, PlannedCapacity(aBucket.m_quota));
  aBucket.m_localLevel =
    std::min(aBucket.m_localLevel + localRate * seconds, localRate * kLocalBurstSeconds);
  aBucket.m_refilledAt = std::max(aBucket.m_refilledAt, aNow);
}

bool QuotaLedger::IsLow(const base::TeamId& aTeam, const Bucket& aBucket) const {
  return aBucket.m_level <= std::max(PlannedCapacity(aBucket.m_quota) * kLowLevelFraction,
                                     PeerGrantRate(aTeam) * m_gossipAgeSeconds);
}

/// Returns whether a refilled bucket admits a call.
bool QuotaLedger::MayGrant(const base::TeamId& aTeam, const Bucket& aBucket) const {
  return !IsLow(aTeam, aBucket) ||
         (aBucket.m_localLevel > 0 &&
          aBucket.m_level > -PlannedRate(aBucket.m_quota) * kMaxLowOverdraftSeconds);
}

QuotaLedger::Forecast QuotaLedger::Preview(const base::TeamId& aTeam, base::TimePoint aNow) const {
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end() || found->second.m_quota.m_ratePerSecond <= 0) {
    return {};
  }
  Bucket bucket = found->second;
  Refill(aTeam, bucket, aNow);
  return { MayGrant(aTeam, bucket), bucket.m_level };
}

bool QuotaLedger::TryTake(const base::TeamId& aTeam, double aUnits, base::TimePoint aNow) {
  m_requested[aTeam] += aUnits;
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end() || found->second.m_quota.m_ratePerSecond <= 0) {
    m_granted[aTeam] += aUnits;
    return true;
  }
  Bucket& bucket = found->second;
  Refill(aTeam, bucket, aNow);
  if (!MayGrant(aTeam, bucket)) {
    return false;
  }
  if (IsLow(aTeam, bucket)) {
    bucket.m_localLevel -= aUnits;
  }
  bucket.m_level -= aUnits;
  m_granted[aTeam] += aUnits;
  return true;
}

QuotaLedger::View QuotaLedger::UpdateLocalView(base::TimePoint aNow) {
  const double seconds = Seconds(aNow - m_localDemandMeasuredAt).count();
  for (const auto& [team, total] : m_requested) {
    m_localDemand[team].Update(total, std::max(seconds, 0.001));
  }
  m_localDemandMeasuredAt = aNow;
  View view{ m_granted, m_requested, {} };
  for (auto& [team, bucket] : m_buckets) {
    if (bucket.m_quota.m_ratePerSecond > 0) {
      Refill(team, bucket, aNow);
      view.m_levels[team] = bucket.m_level;
    }
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
      found->second.m_level = level - PlannedRate(found->second.m_quota) * m_gossipAgeSeconds;
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

double QuotaLedger::Level(const base::TeamId& aTeam, base::TimePoint aNow) {
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end()) {
    return 0;
  }
  Refill(aTeam, found->second, aNow);
  return found->second.m_level;
}

} // namespace papayafield::quota
