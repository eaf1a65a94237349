#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace papayafield::routing {

/// Characters per token assumed when a prompt's length is estimated.
inline constexpr size_t kCharsPerToken = 4;
/// Tokens in one block of the prefix cache.
inline constexpr size_t kBlockTokens = 16;

/// Returns the estimated number of tokens in `aPrompt`. Thread safe.
uint64_t EstimateTokens(std::string_view aPrompt);

/// Returns one hash for each whole block of `aPrompt`. Each hash covers the prompt from its start
/// to the end of the block, so equal hashes mean equal prefixes. Thread safe.
std::vector<uint64_t> PrefixBlocks(std::string_view aPrompt);

} // namespace papayafield::routing
