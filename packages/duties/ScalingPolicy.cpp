#include "duties/ScalingPolicy.h"

#include <algorithm>
#include <cmath>

namespace papayafield::duties {

namespace {

constexpr double kMillisPerSecond = 1000;

/// Zones of a service from the cheapest to the dearest.
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

/// Whether the fleet's first size is known.
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

ScalingPolicy::Size ScalingPolicy::SizeFor(const fleet::ScalingBounds& aBounds,
                                           base::TimePoint aNow) const {
  const int zones = static_cast<int>(aBounds.m_zonePrices.size());
  const int least = zones * std::max(aBounds.m_least, 1);
  const double demand = KnowsDemand(aNow)
                          ? EnginesOfDemand()
                          : static_cast<double>(m_firstSize.value_or(0)) * m_settings.m_targetUse;
  Size size;
  size.m_total = std::clamp(
    static_cast<int>(std::ceil(demand / m_settings.m_targetUse)), least, zones * aBounds.m_most);
  const double floor = KnowsDemand(aNow) ? demand * m_settings.m_floorPart
                                         : size.m_total * m_settings.m_unknownFloorPart;
  size.m_floor =
    std::clamp(static_cast<int>(std::ceil(floor)), std::min(size.m_total, zones), size.m_total);
  return size;
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
  const auto [total, floor] = SizeFor(bounds, aNow);
  // Reclaimable engines that are ready now; those that are missing are stood in for.
  const auto readyReclaimable =
    std::count_if(aEndpoints.begin(), aEndpoints.end(), [](const fleet::Endpoint& aEndpoint) {
      return aEndpoint.m_reclaimable && !aEndpoint.m_draining;
    });
  const int missing = std::max(total - floor - static_cast<int>(readyReclaimable), 0);
  const int fullPrice = std::min(floor + missing, zoneCount * bounds.m_most);
  // Cheap engines are spread, since a reclaim takes a zone's at once; full-price ones go where they
  // cost least.
  int left = fullPrice;
  for (int i = 0; i < zoneCount; ++i) {
    const int reclaimable = (total - floor) / zoneCount + (i < (total - floor) % zoneCount ? 1 : 0);
    const int zonesAfter = zoneCount - 1 - i;
    const int least = std::max(bounds.m_least - reclaimable, 0);
    const int most = std::max(bounds.m_most - reclaimable, 0);
    const int full = std::clamp(left - zonesAfter * least, least, most);
    left = std::max(left - full, 0);
    orders.push_back({ aService.m_id, zones[static_cast<size_t>(i)], false, full });
    orders.push_back({ aService.m_id, zones[static_cast<size_t>(i)], true, reclaimable });
  }
  return orders;
}

} // namespace papayafield::duties
