#include "quota/QuotaLedger.h"

#include <algorithm>
#include <chrono>

namespace papayafield::quota {

namespace {

using Seconds = std::chrono::duration<double>;

/// Span over which a peer's rate is smoothed, in seconds.
constexpr double kRateSpan = 1.5;
/// Part of the operators' slack that is planned with; the rest covers what other nodes have granted
/// and not told yet.
constexpr double kSlackPart = 0.2;
/// Age of what other nodes have told, in seconds: one beat and the way here.
constexpr double kNewsAge = 0.25;
/// How far a bucket may be overdrawn, in seconds of its rate, so that a refusal stays bounded.
constexpr double kMaxDebtSeconds = 2.0;

} // namespace

double QuotaLedger::RateOf(const fleet::Quota& aQuota) const {
  return aQuota.m_ratePerSecond * (1 + m_tolerance.m_overrun) * m_part;
}

double QuotaLedger::CapacityOf(const fleet::Quota& aQuota) const {
  return (aQuota.m_burst * (1 + m_tolerance.m_overrun) + m_tolerance.m_slack * kSlackPart) * m_part;
}

void QuotaLedger::Configure(const fleet::Catalog& aCatalog, base::TimePoint aNow) {
  std::map<base::TeamId, Bucket> buckets;
  for (const fleet::Team& team : aCatalog.Teams()) {
    const auto old = m_buckets.find(team.m_id);
    Bucket bucket{ team.m_quota, 0, aNow, false };
    if (old != m_buckets.end()) {
      Refill(old->second, aNow);
      bucket.m_level = std::min(old->second.m_level, CapacityOf(team.m_quota));
      bucket.m_agreed = old->second.m_agreed;
    }
    buckets[team.m_id] = bucket;
  }
  m_buckets = std::move(buckets);
}

void QuotaLedger::SetFleet(size_t aHeard, size_t aKnown, base::TimePoint aNow) {
  for (auto& [team, bucket] : m_buckets) {
    Refill(bucket, aNow);
  }
  m_part = std::min(static_cast<double>(aHeard) / static_cast<double>(std::max<size_t>(aKnown, 1)),
                    1.0);
}

double QuotaLedger::PeerRate(const base::TeamId& aTeam) const {
  double rate = 0;
  for (const auto& [name, peer] : m_peers) {
    if (const auto share = peer.m_teams.find(aTeam); share != peer.m_teams.end()) {
      rate += share->second.m_rate;
    }
  }
  return rate;
}

void QuotaLedger::Refill(Bucket& aBucket, base::TimePoint aNow) const {
  const double seconds = std::max(Seconds(aNow - aBucket.m_refilled).count(), 0.0);
  aBucket.m_level =
    std::min(aBucket.m_level + RateOf(aBucket.m_quota) * seconds, CapacityOf(aBucket.m_quota));
  aBucket.m_refilled = std::max(aBucket.m_refilled, aNow);
}

bool QuotaLedger::Take(const base::TeamId& aTeam, double aUnits, base::TimePoint aNow) {
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end() || found->second.m_quota.m_ratePerSecond <= 0) {
    m_granted[aTeam] += aUnits;
    return true;
  }
  Bucket& bucket = found->second;
  Refill(bucket, aNow);
  if (bucket.m_level <= PeerRate(aTeam) * kNewsAge) {
    return false;
  }
  bucket.m_level -= aUnits;
  m_granted[aTeam] += aUnits;
  return true;
}

void QuotaLedger::Agree(const Totals& aLevels) {
  for (const auto& [team, level] : aLevels) {
    const auto found = m_buckets.find(team);
    // Only once: a peer's view is older than this node's own, and so always too high under load.
    if (found != m_buckets.end() && !found->second.m_agreed) {
      found->second.m_level = level;
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

void QuotaLedger::HearPeer(const base::NodeId& aPeer,
                           int64_t aBorn,
                           bool aYoung,
                           const Totals& aTotals,
                           const Totals& aLevels,
                           base::TimePoint aNow) {
  Agree(aLevels);
  Peer& peer = m_peers[aPeer];
  if (peer.m_born != aBorn) {
    peer = { aBorn, {}, aNow };
    for (const auto& [team, total] : aTotals) {
      peer.m_teams[team].m_total = total;
      if (aYoung) {
        TakeHeard(team, total);
      }
    }
    return;
  }
  const double seconds = std::max(Seconds(aNow - peer.m_heard).count(), 0.001);
  const double weight = std::min(seconds / kRateSpan, 1.0);
  for (const auto& [team, total] : aTotals) {
    PeerShare& share = peer.m_teams[team];
    const double used = std::max(total - share.m_total, 0.0);
    share.m_total = std::max(total, share.m_total);
    share.m_rate += (used / seconds - share.m_rate) * weight;
    TakeHeard(team, used);
  }
  peer.m_heard = aNow;
}

void QuotaLedger::ForgetPeer(const base::NodeId& aPeer) {
  m_peers.erase(aPeer);
}

QuotaLedger::Totals QuotaLedger::Levels(base::TimePoint aNow) {
  Totals levels;
  for (auto& [team, bucket] : m_buckets) {
    if (bucket.m_quota.m_ratePerSecond > 0) {
      Refill(bucket, aNow);
      levels[team] = bucket.m_level;
    }
  }
  return levels;
}

double QuotaLedger::Level(const base::TeamId& aTeam, base::TimePoint aNow) {
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end()) {
    return 0;
  }
  Refill(found->second, aNow);
  return found->second.m_level;
}

} // namespace papayafield::quota
