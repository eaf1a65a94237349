#include "duties/DemandMeter.h"

#include <algorithm>

namespace papayafield::duties {

void DemandMeter::Record(const std::string& aNode, double aTotal, base::TimePoint aNow) {
  const auto [entry, isNew] = m_nodes.try_emplace(aNode, Node{ aTotal, aNow, aTotal, aNow });
  Node& node = entry->second;
  node.m_total = std::max(node.m_total, aTotal);
  node.m_at = aNow;
}

double DemandMeter::Measure(base::TimePoint aNow) {
  std::erase_if(m_nodes,
                [&](const auto& aEntry) { return aNow - aEntry.second.m_at > kMaxSilence; });
  double sum = 0;
  for (auto& [name, node] : m_nodes) {
    if (node.m_at > node.m_measuredAt) {
      const std::chrono::duration<double> span = node.m_at - node.m_measuredAt;
      node.m_rate = (node.m_total - node.m_measuredTotal) / span.count();
      node.m_measuredTotal = node.m_total;
      node.m_measuredAt = node.m_at;
    }
    sum += node.m_rate;
  }
  return sum;
}

} // namespace papayafield::duties
