#include "serving/EntryChoice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace papayafield::serving {

std::vector<std::string> SelectWorkingSet(const std::vector<gossip::ReadyNode>& aReady,
                                          double aCallsPerSecond,
                                          const WorkingSetSettings& aSettings) {
  // The hash spreads the order over unequal machines, which often have adjacent addresses.
  std::map<base::ZoneId, std::set<std::pair<uint64_t, std::string>>> ranked;
  for (const gossip::ReadyNode& node : aReady) {
    ranked[node.m_zone].emplace(XXH3_64bits(node.m_host.data(), node.m_host.size()), node.m_host);
  }
  const auto ready = static_cast<double>(aReady.size());
  const double wanted = std::max({ static_cast<double>(aSettings.m_minPerZone * ranked.size()),
                                   ready * aSettings.m_minFraction,
                                   aCallsPerSecond / aSettings.m_callsPerNode });
  const bool all = aReady.size() <= aSettings.m_maxNodesAllWorking || wanted >= ready;
  const size_t count = all ? aReady.size() : static_cast<size_t>(std::ceil(wanted));
  std::vector<std::string> hosts;
  bool added = true;
  while (hosts.size() < count && added) {
    added = false;
    for (auto& [zone, nodes] : ranked) {
      if (!nodes.empty()) {
        hosts.push_back(nodes.extract(nodes.begin()).value().second);
        added = true;
      }
    }
  }
  return hosts;
}

std::vector<std::string> SelectOriginKeepers(const std::vector<std::string>& aHosts,
                                             const std::string& aSelf,
                                             bool aShared,
                                             size_t aMaxCount) {
  std::vector<std::string> hosts = aHosts;
  const auto self = std::find(hosts.begin(), hosts.end(), aSelf);
  if (!aShared && self != hosts.end()) {
    std::rotate(hosts.begin(), self, hosts.end());
    hosts.erase(hosts.begin());
  }
  hosts.resize(std::min(hosts.size(), aMaxCount));
  std::erase(hosts, aSelf);
  return hosts;
}

std::vector<std::string> SampleEntryHosts(std::vector<std::string> aHosts,
                                          size_t aMaxCount,
                                          std::mt19937_64& aRandom) {
  std::shuffle(aHosts.begin(), aHosts.end(), aRandom);
  aHosts.resize(std::min(aHosts.size(), aMaxCount));
  return aHosts;
}

} // namespace papayafield::serving
