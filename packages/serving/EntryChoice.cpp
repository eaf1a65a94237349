#include "serving/EntryChoice.h"

#include <algorithm>

namespace papayafield::serving {

std::vector<std::string> SampleEntryHosts(std::vector<std::string> aHosts,
                                          size_t aMaxCount,
                                          std::mt19937_64& aRandom) {
  std::shuffle(aHosts.begin(), aHosts.end(), aRandom);
  aHosts.resize(std::min(aHosts.size(), aMaxCount));
  return aHosts;
}

} // namespace papayafield::serving
