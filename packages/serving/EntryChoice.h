#pragma once

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace papayafield::serving {

/// At most `aMost` of `aHosts`, drawn at random in random order, so that callers who take only some
/// of them spread over all nodes of a large fleet. Thread safe if nobody else uses `aRandom`.
std::vector<std::string> DrawEntries(std::vector<std::string> aHosts,
                                     size_t aMost,
                                     std::mt19937_64& aRandom);

} // namespace papayafield::serving
