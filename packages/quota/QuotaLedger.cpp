#include "quota/QuotaLedger.h"

#include <algorithm>
#include <chrono>

namespace papayafield::quota {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constant for smoothing rates, in seconds.
constexpr double kRateSpan = 1.5;
/// Fraction of the operators' slack that is added to the rate. The rest covers grants of other
/// nodes that have not been reported yet.
constexpr double kSlackPart = 0.4;
/// A bucket at or below this fraction of its capacity is low.
constexpr double kLowPart = 0.4;
/// Burst that a node may grant while a bucket is low, in seconds of its share of the rate.
constexpr double kOwnSeconds = 0.4;
/// Overdraft up to which a low bucket still grants, in seconds of its rate.
constexpr double kOverdrawSeconds = 0.1;
/// Units per second that are added to each node's demand, so that a node with new demand has a
/// share.
constexpr double kLeastDemand = 200;
/// Initial level of a new bucket if the team's demand was low before, in seconds of its rate. This
/// level and the grants that may have been missed since are covered by the unplanned part of the
/// tolerance.
constexpr double kCalmSeconds = 0.5;
/// Initial overdraft of any other new bucket, in seconds of its rate. After a restart of all nodes
/// the earlier grants are unknown, which is at least one heartbeat interval's worth.
constexpr double kUnknownSeconds = 0.3;
/// A team's demand is low if it is at most this fraction of its rate.
constexpr double kCalmPart = 0.6;
/// Maximum age of a usable demand record, and maximum time by which it may lie in the future. A
/// record outside this range is stale or was written before a clock was set.
constexpr base::Millis kRecordLife{ 12000 };
constexpr base::Millis kClockSlack{ 1000 };
/// Fraction of the operators' overrun that is added to rate and capacity.
constexpr double kOverrunPart = 0.8;
/// Maximum overdraft by grants of other nodes, in seconds of the rate, which bounds how long
/// requests are rejected.
constexpr double kMaxDebtSeconds = 2.0;
/// A bucket younger than this adopts the level of the first peer that has run for longer.
constexpr base::Millis kAgreeSpan{ 2000 };
/// A node that has just started waits this long for the heartbeats of the others before it assumes
/// that they are unreachable.
constexpr base::Millis kHearSpan{ 600 };

} // namespace

double QuotaLedger::RateOf(const fleet::Quota& aQuota) const {
  const double slack = m_tolerance.m_slack * kSlackPart / m_tolerance.m_windowSeconds;
  return (aQuota.m_ratePerSecond * (1 + m_tolerance.m_overrun * kOverrunPart) + slack) * m_part;
}

double QuotaLedger::CapacityOf(const fleet::Quota& aQuota) const {
  return aQuota.m_burst * (1 + m_tolerance.m_overrun * kOverrunPart) * m_part;
}

double QuotaLedger::Meter::Advance(double aTotal, double aSeconds) {
  const double growth = std::max(aTotal - m_total, 0.0);
  m_total = std::max(aTotal, m_total);
  m_rate += (growth / aSeconds - m_rate) * std::min(aSeconds / kRateSpan, 1.0);
  return growth;
}

void QuotaLedger::Configure(const fleet::Catalog& aCatalog, base::TimePoint aNow) {
  std::map<base::TeamId, Bucket> buckets;
  for (const fleet::Team& team : aCatalog.Teams()) {
    const auto old = m_buckets.find(team.m_id);
    const double debt = team.m_quota.m_ratePerSecond * kUnknownSeconds;
    Bucket bucket{ team.m_quota, -debt, 0, aNow, aNow, false };
    if (old != m_buckets.end()) {
      Refill(team.m_id, old->second, aNow);
      bucket.m_level = std::min(old->second.m_level, CapacityOf(team.m_quota));
      bucket.m_ownLevel = old->second.m_ownLevel;
      bucket.m_made = old->second.m_made;
      bucket.m_agreed = old->second.m_agreed;
    }
    buckets[team.m_id] = bucket;
  }
  m_buckets = std::move(buckets);
}

void QuotaLedger::RestoreDemand(const Totals& aDemand, base::Millis aAge, base::TimePoint aNow) {
  if (aAge > kRecordLife || aAge < -kClockSlack) {
    return;
  }
  for (auto& [team, bucket] : m_buckets) {
    const auto demand = aDemand.find(team);
    if (demand == aDemand.end() || bucket.m_agreed || aNow - bucket.m_made >= kAgreeSpan) {
      continue;
    }
    const double rate = bucket.m_quota.m_ratePerSecond;
    if (demand->second <= rate * kCalmPart) {
      bucket.m_level = std::min(rate * kCalmSeconds, bucket.m_quota.m_burst);
      bucket.m_ownLevel = bucket.m_level;
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
    if (const auto own = m_ownAsked.find(team); own != m_ownAsked.end()) {
      rate += own->second.m_rate;
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

void QuotaLedger::SetFleetSize(size_t aHeard, size_t aKnown, double aNewsAge, base::TimePoint aNow) {
  m_newsAge = aNewsAge;
  if (!m_firstSeen) {
    m_firstSeen = aNow;
  }
  if (aHeard * 2 < aKnown && aNow - *m_firstSeen < kHearSpan) {
    m_heardNodes = std::max<size_t>(aKnown, 1);
    return;
  }
  for (auto& [team, bucket] : m_buckets) {
    Refill(team, bucket, aNow);
  }
  m_heardNodes = std::max<size_t>(aHeard, 1);
  m_part =
    std::min(static_cast<double>(aHeard) / static_cast<double>(std::max<size_t>(aKnown, 1)), 1.0);
}

double QuotaLedger::PeerRate(const base::TeamId& aTeam) const {
  double rate = 0;
  for (const auto& [name, peer] : m_peers) {
    if (const auto meter = peer.m_granted.find(aTeam); meter != peer.m_granted.end()) {
      rate += meter->second.m_rate;
    }
  }
  return rate;
}

double QuotaLedger::ShareOf(const base::TeamId& aTeam) const {
  const auto own = m_ownAsked.find(aTeam);
  const double mine = (own == m_ownAsked.end() ? 0 : own->second.m_rate) + kLeastDemand;
  double all = mine + kLeastDemand * static_cast<double>(m_heardNodes - 1);
  for (const auto& [name, peer] : m_peers) {
    if (const auto meter = peer.m_requested.find(aTeam); meter != peer.m_requested.end()) {
      all += meter->second.m_rate;
    }
  }
  return mine / all;
}

void QuotaLedger::Refill(const base::TeamId& aTeam, Bucket& aBucket, base::TimePoint aNow) const {
  if (m_part <= 0) {
    aBucket.m_refilled = std::max(aBucket.m_refilled, aNow);
    return;
  }
  const double seconds = std::max(Seconds(aNow - aBucket.m_refilled).count(), 0.0);
  const double rate = RateOf(aBucket.m_quota);
  const double own = rate * ShareOf(aTeam);
  aBucket.m_level = std::min(aBucket.m_level + rate * seconds, CapacityOf(aBucket.m_quota));
  aBucket.m_ownLevel = std::min(aBucket.m_ownLevel + own * seconds, own * kOwnSeconds);
  aBucket.m_refilled = std::max(aBucket.m_refilled, aNow);
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
  const double low = std::max(CapacityOf(bucket.m_quota) * kLowPart, PeerRate(aTeam) * m_newsAge);
  if (bucket.m_level <= low) {
    if (bucket.m_ownLevel <= 0 || bucket.m_level <= -RateOf(bucket.m_quota) * kOverdrawSeconds) {
      return false;
    }
    bucket.m_ownLevel -= aUnits;
  }
  bucket.m_level -= aUnits;
  m_granted[aTeam] += aUnits;
  return true;
}

QuotaLedger::View QuotaLedger::UpdateLocalView(base::TimePoint aNow) {
  const double seconds = Seconds(aNow - m_ownMeasured).count();
  for (const auto& [team, total] : m_requested) {
    m_ownAsked[team].Advance(total, std::max(seconds, 0.001));
  }
  m_ownMeasured = aNow;
  View view{ m_granted, m_requested, {} };
  for (auto& [team, bucket] : m_buckets) {
    if (bucket.m_quota.m_ratePerSecond > 0) {
      Refill(team, bucket, aNow);
      view.m_levels[team] = bucket.m_level;
    }
  }
  return view;
}

void QuotaLedger::Agree(const Totals& aLevels, base::TimePoint aNow) {
  for (const auto& [team, level] : aLevels) {
    const auto found = m_buckets.find(team);
    // Adopt a peer's level only once: it is older than this node's own and so always too high under
    // load. No peer knows what an earlier incarnation of this node granted after its last
    // heartbeat, so the possible grants of one gossip age are subtracted.
    if (found != m_buckets.end() && !found->second.m_agreed &&
        aNow - found->second.m_made < kAgreeSpan) {
      found->second.m_level = level - RateOf(found->second.m_quota) * m_newsAge;
      found->second.m_agreed = true;
    }
  }
}

void QuotaLedger::TakeHeard(const base::TeamId& aTeam, double aUnits) {
  const auto found = m_buckets.find(aTeam);
  if (found != m_buckets.end()) {
    const double debt = found->second.m_quota.m_ratePerSecond * kMaxDebtSeconds;
    found->second.m_level = std::max(found->second.m_level - aUnits, -debt);
  }
}

void QuotaLedger::MergePeerView(const base::NodeId& aPeer,
                           int64_t aBorn,
                           bool aYoung,
                           const View& aView,
                           base::TimePoint aNow) {
  if (!aYoung) {
    Agree(aView.m_levels, aNow);
  }
  Peer& peer = m_peers[aPeer];
  const bool known = peer.m_born == aBorn;
  if (!known) {
    peer = { aBorn, {}, {}, aNow };
    if (!aYoung) {
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
  const double seconds = std::max(Seconds(aNow - peer.m_heard).count(), known ? 0.001 : kRateSpan);
  for (const auto& [team, total] : aView.m_granted) {
    TakeHeard(team, peer.m_granted[team].Advance(total, seconds));
  }
  for (const auto& [team, total] : aView.m_requested) {
    peer.m_requested[team].Advance(total, seconds);
  }
  peer.m_heard = aNow;
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
