#pragma once

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace papayafield::serving {

/// Returns at most `aMaxCount` of `aHosts`, drawn at random and in random order. Callers that use
/// only some of the addresses therefore spread over all nodes of a large fleet. Thread safe if no
/// other thread uses `aRandom`.
std::vector<std::string> SampleEntryHosts(std::vector<std::string> aHosts,
                                          size_t aMaxCount,
                                          std::mt19937_64& aRandom);

} // namespace papayafield::serving
