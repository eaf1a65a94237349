#include "duties/ScalingPolicy.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace papayafield::duties {

namespace {

constexpr double kMillisPerSecond = 1000;

/// Returns the zones of a service in ascending order of price.
std::vector<base::ZoneId> ZonesByPrice(const fleet::ScalingBounds& aBounds) {
  std::vector<base::ZoneId> zones;
  for (const auto& [zone, price] : aBounds.m_zonePrices) {
    zones.push_back(zone);
  }
  std::stable_sort(zones.begin(), zones.end(), [&](const auto& aLeft, const auto& aRight) {
    return aBounds.m_zonePrices.at(aLeft) < aBounds.m_zonePrices.at(aRight);
  });
  return zones;
}

/// Planned engines of one zone.
struct ZoneShare {
  int m_reclaimable = 0;
  /// Reclaimable engines that are running or starting.
  int m_expected = 0;
  int m_fullPrice = 0;
  int m_minFullPrice = 0;
};

/// Distributes `aCount` full-price engines over the zones, cheapest first, with at most
/// `aMaxPerZone` engines in a zone. The first pass leaves room for all planned reclaimable engines;
/// the second uses the room of those that are unavailable. `aShares` is sorted by price in
/// ascending order.
void DistributeFullPrice(std::vector<ZoneShare>& aShares, int aCount, int aMaxPerZone) {
  int unplaced = aCount;
  for (const ZoneShare& share : aShares) {
    unplaced -= share.m_fullPrice;
  }
  for (const bool besideReclaimable : { true, false }) {
    for (ZoneShare& share : aShares) {
      const int occupied =
        share.m_fullPrice + (besideReclaimable ? share.m_reclaimable : share.m_expected);
      const int added = std::clamp(aMaxPerZone - occupied, 0, std::max(unplaced, 0));
      share.m_fullPrice += added;
      unplaced -= added;
    }
  }
}

/// Distributes `aCount` full-price engines over the zones so that as few as possible of the running
/// ones stop: surplus ones stop in the most expensive zone first, and new ones start as in
/// DistributeFullPrice. `aRunning` holds the engines of each zone, in the order of `aShares`.
void AdjustFullPrice(std::vector<ZoneShare>& aShares,
                     const std::vector<int>& aRunning,
                     int aCount,
                     int aMaxPerZone) {
  int surplus = -aCount;
  for (size_t i = 0; i < aShares.size(); ++i) {
    aShares[i].m_fullPrice =
      std::max(aShares[i].m_fullPrice, std::min(aRunning[i], aMaxPerZone - aShares[i].m_expected));
    surplus += aShares[i].m_fullPrice;
  }
  std::vector<int> minimum;
  minimum.reserve(aShares.size());
  for (const ZoneShare& share : aShares) {
    minimum.push_back(share.m_minFullPrice);
  }
  for (size_t i = aShares.size(); i-- > 0 && surplus > 0;) {
    const int stopped = std::clamp(aShares[i].m_fullPrice - minimum[i], 0, surplus);
    aShares[i].m_fullPrice -= stopped;
    surplus -= stopped;
  }
  DistributeFullPrice(aShares, aCount, aMaxPerZone);
}

} // namespace

void ScalingPolicy::RecordLateness(double aCallsPerSecond,
                                   double aLatePerSecond,
                                   base::TimePoint aNow) {
  const std::chrono::duration<double> elapsed = aNow - m_growthChangedAt;
  m_growthChangedAt = aNow;
  if (aCallsPerSecond < m_settings.m_minCallsForLateness) {
    return;
  }
  const double lateness = aLatePerSecond / aCallsPerSecond;
  if (lateness > m_settings.m_toleratedLateness) {
    m_lastLateAt = aNow;
  }
  if (lateness > m_settings.m_excessiveLateness) {
    // The engines of the last growth have to start before their effect shows.
    if (aNow - m_lastGrowthAt >= m_settings.m_growthInterval) {
      m_lastGrowthAt = aNow;
      m_growth = std::min(m_growth * m_settings.m_growthFactor, m_settings.m_maxGrowth);
    }
  } else if (!m_lastLateAt || aNow - *m_lastLateAt >= m_settings.m_peakWindow) {
    m_growth =
      std::max(m_growth * std::pow(m_settings.m_growthDecayPerSecond, elapsed.count()), 1.0);
  }
}

void ScalingPolicy::RecordDemand(double aWorkPerSecond, base::TimePoint aNow) {
  if (!m_firstDemandAt && aWorkPerSecond > 0) {
    m_firstDemandAt = aNow;
  }
  while (!m_samples.empty() && m_samples.back().m_work <= aWorkPerSecond) {
    m_samples.pop_back();
  }
  m_samples.push_back({ aNow, aWorkPerSecond });
  while (m_samples.size() > 1 && aNow - m_samples.front().m_at > m_settings.m_peakWindow) {
    m_samples.pop_front();
  }
}

double ScalingPolicy::PeakDemandInEngines() const {
  return m_samples.empty() ? 0 : m_samples.front().m_work / kMillisPerSecond;
}

bool ScalingPolicy::IsDemandKnown(base::TimePoint aNow) const {
  return m_firstDemandAt && aNow - *m_firstDemandAt >= m_settings.m_observationPeriod;
}

/// Updates the observed size of the fleet, and returns whether its initial size is known.
bool ScalingPolicy::UpdateFleetSize(size_t aReady, base::TimePoint aNow) {
  if (aReady != m_readyEngines) {
    m_readyEngines = aReady;
    m_readySince = aNow;
  }
  if (!m_initialSize && aReady > 0 && aNow - m_readySince >= m_settings.m_sizeSettleTime) {
    m_initialSize = aReady;
  }
  return m_initialSize.has_value();
}

/// Returns the lower bound that the initial fleet size still sets. It decays linearly to 0 until
/// demand has been observed for the whole peak window, since a few quiet seconds say little about
/// the peak that follows.
double ScalingPolicy::InitialSizeBound(base::TimePoint aNow) const {
  if (!m_firstDemandAt || !m_initialSize) {
    return 0;
  }
  const std::chrono::duration<double> observed = aNow - *m_firstDemandAt;
  const std::chrono::duration<double> window = m_settings.m_peakWindow;
  return static_cast<double>(*m_initialSize) * std::max(1 - observed / window, 0.0);
}

ScalingPolicy::FleetSize ScalingPolicy::TargetFleetSize(const fleet::ScalingBounds& aBounds,
                                                        base::TimePoint aNow) const {
  const int zones = static_cast<int>(aBounds.m_zonePrices.size());
  const int minTotal = zones * std::max(aBounds.m_minEndpoints, 1);
  // A short observation of the demand can show that the initial size is too small, but not that it
  // is too large.
  const double initialSize = static_cast<double>(m_initialSize.value_or(0));
  const double demand =
    IsDemandKnown(aNow)
      ? PeakDemandInEngines()
      : std::max(PeakDemandInEngines(), initialSize * m_settings.m_targetUtilization);
  FleetSize size;
  const double wantedEngines =
    std::max(demand * m_growth / m_settings.m_targetUtilization, InitialSizeBound(aNow));
  size.m_total = std::clamp(
    static_cast<int>(std::ceil(wantedEngines)), minTotal, zones * aBounds.m_maxEndpoints);
  const double minFullPrice = IsDemandKnown(aNow)
                                ? demand * m_growth * m_settings.m_fullPriceFraction
                                : initialSize * m_settings.m_initialFullPriceFraction;
  size.m_minFullPrice = std::clamp(
    static_cast<int>(std::ceil(minFullPrice)), std::min(size.m_total, zones), size.m_total);
  return size;
}

void ScalingPolicy::RecordOrderOutcome(const fleet::Service& aService,
                                       const ScalingOrder& aOrder,
                                       bool aAccepted,
                                       base::TimePoint aNow) {
  if (!aOrder.m_reclaimable && aAccepted) {
    m_fullPriceOrders[{ aService.m_id, aOrder.m_zone }] = aOrder.m_count;
  }
  if (aOrder.m_reclaimable && aService.m_scaling) {
    m_lastOrders[{ aService.m_id, aOrder.m_zone }] = {
      aAccepted ? aOrder.m_count : 0, aNow + aService.m_scaling->m_boot + m_settings.m_startSlack
    };
  }
}

ScalingPolicy::EngineCounts ScalingPolicy::CountEngines(
  const fleet::Service& aService,
  const std::vector<fleet::Endpoint>& aEndpoints,
  base::TimePoint aNow) const {
  EngineCounts counts;
  std::set<base::ZoneId> reclaimed;
  for (const fleet::Endpoint& endpoint : aEndpoints) {
    if (endpoint.m_reclaimable && endpoint.m_draining) {
      reclaimed.insert(endpoint.m_zone);
    } else if (endpoint.m_reclaimable) {
      ++counts.m_reclaimable[endpoint.m_zone];
    } else if (!endpoint.m_draining) {
      ++counts.m_fullPrice;
      ++counts.m_fullPriceByZone[endpoint.m_zone];
    }
  }
  for (const auto& [key, count] : m_fullPriceOrders) {
    if (key.first == aService.m_id) {
      counts.m_fullPriceByZone[key.second] = count;
    }
  }
  counts.m_expected = counts.m_reclaimable;
  for (const auto& [key, order] : m_lastOrders) {
    const auto& [service, zone] = key;
    if (service == aService.m_id && aNow < order.m_readyBy && !reclaimed.contains(zone)) {
      counts.m_expected[zone] = std::max(counts.m_expected[zone], order.m_count);
    }
  }
  return counts;
}

/// Returns the number of full-price engines, which replace reclaimable ones that are unavailable.
/// Running replacements stay until the reclaimable engines are ready; none are added for
/// reclaimable engines that are still starting.
int ScalingPolicy::FullPriceTarget(const FleetSize& aSize, const EngineCounts& aEngines) const {
  const int reclaimableTarget = aSize.m_total - aSize.m_minFullPrice;
  const auto missing = [&](const std::map<base::ZoneId, int>& aCounts) {
    int count = 0;
    for (const auto& [zone, engines] : aCounts) {
      count += engines;
    }
    return std::max(reclaimableTarget - count, 0);
  };
  const int neededNow = aSize.m_minFullPrice + missing(aEngines.m_reclaimable);
  const int neededSoon = aSize.m_minFullPrice + missing(aEngines.m_expected);
  return std::max(neededSoon, std::min(neededNow, aEngines.m_fullPrice));
}

/// Returns the size that the fleet should have now if `aWanted` engines would be enough. The fleet
/// grows at once, and shrinks in steps while all calls are answered in time.
int ScalingPolicy::LimitReduction(int aWanted, base::TimePoint aNow) {
  if (!IsDemandKnown(aNow) || !m_plannedSize || aWanted >= *m_plannedSize ||
      *m_plannedSize < m_settings.m_minSteadySize) {
    m_plannedSize = aWanted;
    m_lastReductionAt = aNow - m_settings.m_reductionInterval;
    return aWanted;
  }
  const int planned = *m_plannedSize;
  const bool isLate = m_lastLateAt && aNow - *m_lastLateAt < m_settings.m_peakWindow;
  const bool isWorthwhile = planned - aWanted >= planned * m_settings.m_minReduction;
  const auto steps =
    std::min<int64_t>((aNow - m_lastReductionAt) / m_settings.m_reductionInterval, planned);
  if (!isLate && isWorthwhile && steps > 0) {
    m_lastReductionAt = aNow;
    const int step = std::max(static_cast<int>(planned * m_settings.m_maxReduction), 2);
    m_plannedSize = std::max(planned - step * static_cast<int>(steps), aWanted);
  }
  return *m_plannedSize;
}

std::vector<ScalingOrder> ScalingPolicy::Plan(const fleet::Service& aService,
                                              const std::vector<fleet::Endpoint>& aEndpoints,
                                              base::TimePoint aNow) {
  std::vector<ScalingOrder> orders;
  const auto ready = static_cast<size_t>(
    std::count_if(aEndpoints.begin(), aEndpoints.end(), [](const fleet::Endpoint& aEndpoint) {
      return !aEndpoint.m_draining;
    }));
  if (!aService.m_scaling || (!UpdateFleetSize(ready, aNow) && !IsDemandKnown(aNow))) {
    return orders;
  }
  const fleet::ScalingBounds& bounds = *aService.m_scaling;
  const std::vector<base::ZoneId> zones = ZonesByPrice(bounds);
  const int zoneCount = static_cast<int>(zones.size());
  FleetSize size = TargetFleetSize(bounds, aNow);
  size.m_total = LimitReduction(size.m_total, aNow);
  const EngineCounts counts = CountEngines(aService, aEndpoints, aNow);
  const int reclaimableTarget = size.m_total - size.m_minFullPrice;
  std::vector<ZoneShare> shares;
  std::vector<int> running;
  for (int i = 0; i < zoneCount; ++i) {
    // Reclaimable engines are spread over the zones, since a reclaim takes all of a zone at once.
    const int share = reclaimableTarget / zoneCount + (i < reclaimableTarget % zoneCount ? 1 : 0);
    const auto expected = counts.m_expected.find(zones[static_cast<size_t>(i)]);
    const int available =
      std::min(share, expected == counts.m_expected.end() ? 0 : expected->second);
    const int minimum = std::max(bounds.m_minEndpoints - share, 0);
    shares.push_back({ share, available, minimum, minimum });
    const auto full = counts.m_fullPriceByZone.find(zones[static_cast<size_t>(i)]);
    running.push_back(full == counts.m_fullPriceByZone.end() ? 0 : full->second);
  }
  const int fullPrice = FullPriceTarget(size, counts);
  if (m_firstDemandAt && size.m_total >= m_settings.m_minSteadySize) {
    AdjustFullPrice(shares, running, fullPrice, bounds.m_maxEndpoints);
  } else {
    // Without calls, no cached prompt is lost by a move to cheaper zones.
    DistributeFullPrice(shares, fullPrice, bounds.m_maxEndpoints);
  }
  for (int i = 0; i < zoneCount; ++i) {
    const ZoneShare& share = shares[static_cast<size_t>(i)];
    const base::ZoneId& zone = zones[static_cast<size_t>(i)];
    const int reclaimable =
      std::clamp(bounds.m_maxEndpoints - share.m_fullPrice, 0, share.m_reclaimable);
    orders.push_back({ aService.m_id, zone, false, share.m_fullPrice });
    orders.push_back({ aService.m_id, zone, true, reclaimable });
  }
  return orders;
}

} // namespace papayafield::duties
