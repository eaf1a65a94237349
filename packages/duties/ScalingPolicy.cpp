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

std::vector<ScalingOrder> ScalingPolicy::Plan(const fleet::Service& aService,
                                              const std::vector<fleet::Endpoint>& aEndpoints,
                                              base::TimePoint aNow) const {
  std::vector<ScalingOrder> orders;
  if (!aService.m_scaling || !m_firstDemand || aNow - *m_firstDemand < m_settings.m_learnSpan) {
    return orders;
  }
  const fleet::ScalingBounds& bounds = *aService.m_scaling;
  const std::vector<base::ZoneId> zones = ZonesByPrice(bounds);
  const int zoneCount = static_cast<int>(zones.size());
  const double demand = EnginesOfDemand();
  const int total = std::clamp(static_cast<int>(std::ceil(demand / m_settings.m_targetUse)),
                               zoneCount * std::max(bounds.m_least, 1),
                               zoneCount * bounds.m_most);
  const int floor = std::clamp(static_cast<int>(std::ceil(demand * m_settings.m_floorPart)),
                               std::min(total, zoneCount),
                               total);
  // Reclaimable engines that are ready now; those that are missing are stood in for.
  const auto readyReclaimable =
    std::count_if(aEndpoints.begin(), aEndpoints.end(), [](const fleet::Endpoint& aEndpoint) {
      return aEndpoint.m_reclaimable && !aEndpoint.m_draining;
    });
  const int missing = std::max(total - floor - static_cast<int>(readyReclaimable), 0);
  const int fullPrice = std::min(floor + missing, zoneCount * bounds.m_most);
  for (int i = 0; i < zoneCount; ++i) {
    const int reclaimable = (total - floor) / zoneCount + (i < (total - floor) % zoneCount ? 1 : 0);
    int full = fullPrice / zoneCount + (i < fullPrice % zoneCount ? 1 : 0);
    full = std::clamp(full, 0, std::max(bounds.m_most - reclaimable, 0));
    orders.push_back({ aService.m_id, zones[static_cast<size_t>(i)], false, full });
    orders.push_back({ aService.m_id, zones[static_cast<size_t>(i)], true, reclaimable });
  }
  return orders;
}

} // namespace papayafield::duties
