#pragma once

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace papayafield::gossip {

/// Splits the hosts of one round of heartbeats into bursts of at most `aMaxBurst`, in random order.
/// The queue of a slow link drops the end of a long burst. In a fixed order that would always be
/// the same hosts, which then take their peers for idle. A round of at most `aMaxSingle` hosts
/// stays one burst. Preconditions: `aMaxBurst` is positive. Thread safe if no other thread uses
/// `aRandom`.
template<class Random>
std::vector<std::vector<std::string>> SplitIntoBursts(std::vector<std::string> aHosts,
                                                      size_t aMaxSingle,
                                                      size_t aMaxBurst,
                                                      Random& aRandom) {
  std::shuffle(aHosts.begin(), aHosts.end(), aRandom);
  const size_t size = aHosts.size() <= aMaxSingle ? std::max<size_t>(aHosts.size(), 1) : aMaxBurst;
  std::vector<std::vector<std::string>> bursts;
  for (size_t begin = 0; begin < aHosts.size(); begin += size) {
    const size_t end = std::min(begin + size, aHosts.size());
    bursts.emplace_back(aHosts.begin() + static_cast<std::ptrdiff_t>(begin),
                        aHosts.begin() + static_cast<std::ptrdiff_t>(end));
  }
  return bursts;
}

} // namespace papayafield::gossip
