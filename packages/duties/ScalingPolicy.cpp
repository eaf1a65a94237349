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
  int m_full = 0;
};

/// Distributes `aCount` full-price engines over the zones, cheapest first, with at most `aMost`
/// engines in a zone. The first pass leaves room for all planned reclaimable engines; the second
/// uses the room of those that are unavailable. `aShares` is sorted by price in ascending order.
void PlaceFullPrice(std::vector<ZoneShare>& aShares, int aCount, int aMost) {
  int left = aCount;
  for (const ZoneShare& share : aShares) {
    left -= share.m_full;
  }
  for (const bool beside : { true, false }) {
    for (ZoneShare& share : aShares) {
      const int taken = share.m_full + (beside ? share.m_reclaimable : share.m_expected);
      const int more = std::clamp(aMost - taken, 0, std::max(left, 0));
      share.m_full += more;
      left -= more;
    }
  }
}

} // namespace

void ScalingPolicy::NoteDemand(double aWorkPerSecond, base::TimePoint aNow) {
  if (!m_firstDemand && aWorkPerSecond > 0) {
    m_firstDemand = aNow;
  }
  while (!m_samples.empty() && m_samples.back().m_work <= aWorkPerSecond) {
    m_samples.pop_back();
  }
  m_samples.push_back({ aNow, aWorkPerSecond });
  while (m_samples.size() > 1 && aNow - m_samples.front().m_at > m_settings.m_peakSpan) {
    m_samples.pop_front();
  }
}

double ScalingPolicy::EnginesOfDemand() const {
  return m_samples.empty() ? 0 : m_samples.front().m_work / kMillisPerSecond;
}

bool ScalingPolicy::KnowsDemand(base::TimePoint aNow) const {
  return m_firstDemand && aNow - *m_firstDemand >= m_settings.m_learnSpan;
}

/// Updates the observed size of the fleet, and returns whether its initial size is known.
bool ScalingPolicy::NoteSize(size_t aReady, base::TimePoint aNow) {
  if (aReady != m_ready) {
    m_ready = aReady;
    m_readySince = aNow;
  }
  if (!m_firstSize && aReady > 0 && aNow - m_readySince >= m_settings.m_settleSpan) {
    m_firstSize = aReady;
  }
  return m_firstSize.has_value();
}

/// Returns the lower bound that the initial fleet size still sets. It decays linearly to 0 until
/// demand has been observed for the whole peak window, since a few quiet seconds say little about
/// the peak that follows.
double ScalingPolicy::FirstSizePart(base::TimePoint aNow) const {
  if (!m_firstDemand || !m_firstSize) {
    return 0;
  }
  const std::chrono::duration<double> seen = aNow - *m_firstDemand;
  const std::chrono::duration<double> span = m_settings.m_peakSpan;
  return static_cast<double>(*m_firstSize) * std::max(1 - seen / span, 0.0);
}

ScalingPolicy::Size ScalingPolicy::SizeFor(const fleet::ScalingBounds& aBounds,
                                           base::TimePoint aNow) const {
  const int zones = static_cast<int>(aBounds.m_zonePrices.size());
  const int least = zones * std::max(aBounds.m_least, 1);
  // A short observation of the demand can show that the initial size is too small, but not that it
  // is too large.
  const double first = static_cast<double>(m_firstSize.value_or(0));
  const double demand = KnowsDemand(aNow)
                          ? EnginesOfDemand()
                          : std::max(EnginesOfDemand(), first * m_settings.m_targetUse);
  Size size;
  const double wanted = std::max(demand / m_settings.m_targetUse, FirstSizePart(aNow));
  size.m_total = std::clamp(static_cast<int>(std::ceil(wanted)), least, zones * aBounds.m_most);
  const double floor =
    KnowsDemand(aNow) ? demand * m_settings.m_floorPart : first * m_settings.m_unknownFloorPart;
  size.m_floor =
    std::clamp(static_cast<int>(std::ceil(floor)), std::min(size.m_total, zones), size.m_total);
  return size;
}

void ScalingPolicy::NoteOutcome(const fleet::Service& aService,
                                const ScalingOrder& aOrder,
                                bool aAccepted,
                                base::TimePoint aNow) {
  if (aOrder.m_reclaimable && aService.m_scaling) {
    m_ordered[{ aService.m_id, aOrder.m_zone }] = {
      aAccepted ? aOrder.m_count : 0, aNow + aService.m_scaling->m_boot + m_settings.m_startSlack
    };
  }
}

ScalingPolicy::Running ScalingPolicy::Count(const fleet::Service& aService,
                                            const std::vector<fleet::Endpoint>& aEndpoints,
                                            base::TimePoint aNow) const {
  Running running;
  std::set<base::ZoneId> reclaimed;
  for (const fleet::Endpoint& endpoint : aEndpoints) {
    if (endpoint.m_reclaimable && endpoint.m_draining) {
      reclaimed.insert(endpoint.m_zone);
    } else if (endpoint.m_reclaimable) {
      ++running.m_reclaimable[endpoint.m_zone];
    } else if (!endpoint.m_draining) {
      ++running.m_full;
    }
  }
  running.m_expected = running.m_reclaimable;
  for (const auto& [subject, ordered] : m_ordered) {
    const auto& [service, zone] = subject;
    if (service == aService.m_id && aNow < ordered.m_readyBy && !reclaimed.contains(zone)) {
      running.m_expected[zone] = std::max(running.m_expected[zone], ordered.m_count);
    }
  }
  return running;
}

/// Returns the number of full-price engines, which replace reclaimable ones that are unavailable.
/// Running replacements stay until the reclaimable engines are ready; none are added for
/// reclaimable engines that are still starting.
int ScalingPolicy::FullPrice(const Size& aSize, const Running& aRunning) const {
  const int wanted = aSize.m_total - aSize.m_floor;
  const auto missing = [&](const std::map<base::ZoneId, int>& aCounts) {
    int count = 0;
    for (const auto& [zone, engines] : aCounts) {
      count += engines;
    }
    return std::max(wanted - count, 0);
  };
  const int now = aSize.m_floor + missing(aRunning.m_reclaimable);
  const int soon = aSize.m_floor + missing(aRunning.m_expected);
  return std::max(soon, std::min(now, aRunning.m_full));
}

std::vector<ScalingOrder> ScalingPolicy::Plan(const fleet::Service& aService,
                                              const std::vector<fleet::Endpoint>& aEndpoints,
                                              base::TimePoint aNow) {
  std::vector<ScalingOrder> orders;
  const auto ready = static_cast<size_t>(
    std::count_if(aEndpoints.begin(), aEndpoints.end(), [](const fleet::Endpoint& aEndpoint) {
      return !aEndpoint.m_draining;
    }));
  if (!aService.m_scaling || (!NoteSize(ready, aNow) && !KnowsDemand(aNow))) {
    return orders;
  }
  const fleet::ScalingBounds& bounds = *aService.m_scaling;
  const std::vector<base::ZoneId> zones = ZonesByPrice(bounds);
  const int zoneCount = static_cast<int>(zones.size());
  const Size size = SizeFor(bounds, aNow);
  const Running running = Count(aService, aEndpoints, aNow);
  const int wanted = size.m_total - size.m_floor;
  std::vector<ZoneShare> shares;
  for (int i = 0; i < zoneCount; ++i) {
    // Reclaimable engines are spread over the zones, since a reclaim takes all of a zone at once.
    const int share = wanted / zoneCount + (i < wanted % zoneCount ? 1 : 0);
    const auto expected = running.m_expected.find(zones[static_cast<size_t>(i)]);
    const int there = std::min(share, expected == running.m_expected.end() ? 0 : expected->second);
    shares.push_back({ share, there, std::max(bounds.m_least - share, 0) });
  }
  PlaceFullPrice(shares, FullPrice(size, running), bounds.m_most);
  for (int i = 0; i < zoneCount; ++i) {
    const ZoneShare& share = shares[static_cast<size_t>(i)];
    const base::ZoneId& zone = zones[static_cast<size_t>(i)];
    const int reclaimable = std::clamp(bounds.m_most - share.m_full, 0, share.m_reclaimable);
    orders.push_back({ aService.m_id, zone, false, share.m_full });
    orders.push_back({ aService.m_id, zone, true, reclaimable });
  }
  return orders;
}

} // namespace papayafield::duties
