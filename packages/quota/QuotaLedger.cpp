#include "quota/QuotaLedger.h"

#include <algorithm>
#include <chrono>

namespace papayafield::quota {

namespace {

using Seconds = std::chrono::duration<double>;

/// A peer that has not been heard for so long counts as silent: four missed beats.
constexpr base::Millis kSilentAfter{ 1000 };
/// How long a silent peer is taken to go on as before: longer than a usual cut between zones.
constexpr base::Millis kReserveFor{ 30000 };
/// Span over which a peer's rate is smoothed, in seconds.
constexpr double kRateSpan = 1.5;
/// Part of the operators' slack that is planned with; the rest covers what other nodes have granted
/// and not told yet.
constexpr double kSlackPart = 0.7;
/// Age of what other nodes have told, in seconds: one beat and the way here.
constexpr double kNewsAge = 0.25;
/// Part of the difference to another node's view that is taken over with each of its beats.
constexpr double kAgreePart = 0.05;
/// However many peers are silent, a node keeps this part of a team's rate.
constexpr double kLeastShare = 0.1;
/// How far a bucket may be overdrawn, in seconds of its rate, so that a refusal stays bounded.
constexpr double kMaxDebtSeconds = 2.0;

} // namespace

double QuotaLedger::RateOf(const fleet::Quota& aQuota) const {
  return aQuota.m_ratePerSecond * (1 + m_tolerance.m_overrun);
}

double QuotaLedger::CapacityOf(const fleet::Quota& aQuota) const {
  return aQuota.m_burst * (1 + m_tolerance.m_overrun) + m_tolerance.m_slack * kSlackPart;
}

void QuotaLedger::Configure(const fleet::Catalog& aCatalog, base::TimePoint aNow) {
  std::map<base::TeamId, Bucket> buckets;
  for (const fleet::Team& team : aCatalog.Teams()) {
    const auto old = m_buckets.find(team.m_id);
    Bucket bucket{ team.m_quota, 0, aNow, false };
    if (old != m_buckets.end()) {
      Refill(team.m_id, old->second, aNow);
      bucket.m_level = std::min(old->second.m_level, CapacityOf(team.m_quota));
      bucket.m_agreed = old->second.m_agreed;
    }
    buckets[team.m_id] = bucket;
  }
  m_buckets = std::move(buckets);
}

double QuotaLedger::SilentRate(const base::TeamId& aTeam, base::TimePoint aNow) const {
  double rate = 0;
  for (const auto& [name, peer] : m_peers) {
    const auto silence = aNow - peer.m_heard;
    const auto share = peer.m_teams.find(aTeam);
    if (silence > kSilentAfter && silence < kReserveFor && share != peer.m_teams.end()) {
      rate += share->second.m_rate;
    }
  }
  return rate;
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

void QuotaLedger::Refill(const base::TeamId& aTeam, Bucket& aBucket, base::TimePoint aNow) {
  const double seconds = Seconds(aNow - aBucket.m_refilled).count();
  const double rate = RateOf(aBucket.m_quota);
  const double own = std::max(rate - SilentRate(aTeam, aNow), rate * kLeastShare);
  aBucket.m_level = std::min(aBucket.m_level + own * seconds, CapacityOf(aBucket.m_quota));
  aBucket.m_refilled = aNow;
}

bool QuotaLedger::Take(const base::TeamId& aTeam, double aUnits, base::TimePoint aNow) {
  const auto found = m_buckets.find(aTeam);
  if (found == m_buckets.end() || found->second.m_quota.m_ratePerSecond <= 0) {
    m_granted[aTeam] += aUnits;
    return true;
  }
  Bucket& bucket = found->second;
  Refill(aTeam, bucket, aNow);
  if (bucket.m_level <= PeerRate(aTeam) * kNewsAge) {
    return false;
  }
  bucket.m_level -= aUnits;
  m_granted[aTeam] += aUnits;
  return true;
}

void QuotaLedger::HearPeer(const std::string& aPeer,
                           const Totals& aTotals,
                           const Totals& aLevels,
                           base::TimePoint aNow) {
  for (const auto& [team, level] : aLevels) {
    const auto found = m_buckets.find(team);
    if (found != m_buckets.end()) {
      Bucket& bucket = found->second;
      bucket.m_level += (level - bucket.m_level) * (bucket.m_agreed ? kAgreePart : 1.0);
      bucket.m_agreed = true;
    }
  }
  const auto known = m_peers.find(aPeer);
  if (known == m_peers.end()) {
    // What it granted before it became known has been used up already.
    Peer& peer = m_peers[aPeer];
    peer.m_heard = aNow;
    for (const auto& [team, total] : aTotals) {
      peer.m_teams[team].m_total = total;
    }
    return;
  }
  Peer& peer = known->second;
  const double seconds = std::max(Seconds(aNow - peer.m_heard).count(), 0.001);
  for (const auto& [team, total] : aTotals) {
    PeerShare& share = peer.m_teams[team];
    const double used = std::max(total - share.m_total, 0.0);
    share.m_total = std::max(total, share.m_total);
    const double weight = std::min(seconds / kRateSpan, 1.0);
    share.m_rate += (used / seconds - share.m_rate) * weight;
    const auto bucket = m_buckets.find(team);
    if (bucket != m_buckets.end()) {
      const double debt = bucket->second.m_quota.m_ratePerSecond * kMaxDebtSeconds;
      bucket->second.m_level = std::max(bucket->second.m_level - used, -debt);
    }
  }
  peer.m_heard = aNow;
}

void QuotaLedger::ForgetPeer(const std::string& aPeer) {
  m_peers.erase(aPeer);
}

QuotaLedger::Totals QuotaLedger::Levels(base::TimePoint aNow) {
  Totals levels;
  for (auto& [team, bucket] : m_buckets) {
    if (bucket.m_quota.m_ratePerSecond > 0) {
      Refill(team, bucket, aNow);
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
  Refill(aTeam, found->second, aNow);
  return found->second.m_level;
}

} // namespace papayafield::quota
