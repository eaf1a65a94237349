#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace papayafield::routing {

/// Characters that count as one token when a prompt's length is estimated.
inline constexpr size_t kCharsPerToken = 4;
/// Tokens in one block of the prefix cache.
inline constexpr size_t kBlockTokens = 16;

/// Estimated number of tokens of `aPrompt`. Thread safe.
uint64_t EstimateTokens(std::string_view aPrompt);

/// One hash for each whole block of `aPrompt`; each covers the prompt from its start to the block's
/// end, so equal hashes mean equal prefixes. Thread safe.
std::vector<uint64_t> PrefixBlocks(std::string_view aPrompt);

} // namespace papayafield::routing
