#include "routing/PrefixHash.h"

#include "base/Digest.h"

namespace papayafield::routing {

uint64_t EstimateTokens(std::string_view aPrompt) {
  return aPrompt.size() / kCharsPerToken + 1;
}

std::vector<uint64_t> PrefixBlocks(std::string_view aPrompt) {
  constexpr size_t kBlockChars = kBlockTokens * kCharsPerToken;
  std::vector<uint64_t> blocks;
  blocks.reserve(aPrompt.size() / kBlockChars);
  uint64_t chain = 0;
  for (size_t start = 0; start + kBlockChars <= aPrompt.size(); start += kBlockChars) {
    chain = base::Hash64(aPrompt.substr(start, kBlockChars), chain);
    blocks.push_back(chain);
  }
  return blocks;
}

} // namespace papayafield::routing
