#pragma once

#include "base/BufferBudget.h"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayafield::forwarding {

/// The body of a request. It is held in blocks that are never copied: a string that grows leaves
/// gaps in the heap, which took as much memory as the bodies. Shared by the call and by the
/// connections that send it, so that it is held once. Not thread safe.
class RequestBody {
public:
  /// Appends as much of `aBytes` as fits into the last block, and returns the rest.
  std::string_view Append(std::string_view aBytes) {
    const size_t count = std::min(aBytes.size(), m_capacity - m_size);
    if (count > 0) {
      m_blocks.back().append(aBytes.substr(0, count));
      m_size += count;
    }
    return aBytes.substr(count);
  }
  /// Returns the capacity after the next call of AddBlock, in bytes.
  size_t NextCapacity() const {
    return m_capacity + (m_blocks.empty() ? kFirstBlockBytes : kBlockBytes);
  }
  /// Adds an empty block. The last block must be full.
  void AddBlock() {
    const size_t capacity = NextCapacity();
    m_blocks.emplace_back().reserve(capacity - m_capacity);
    m_capacity = capacity;
  }
  /// Makes `aClaim` last as long as the body.
  void Keep(base::BufferBudget::Claim aClaim) {
    m_claim = std::make_unique<base::BufferBudget::Claim>(std::move(aClaim));
  }

  size_t Size() const { return m_size; }
  size_t Capacity() const { return m_capacity; }
  const std::vector<std::string>& Blocks() const { return m_blocks; }

private:
  /// Most bodies fit into one small block.
  static constexpr size_t kFirstBlockBytes = 4096;
  static constexpr size_t kBlockBytes = 65536;

  std::vector<std::string> m_blocks;
  size_t m_size = 0;
  size_t m_capacity = 0;
  std::unique_ptr<base::BufferBudget::Claim> m_claim;
};

using RequestBodyPtr = std::shared_ptr<const RequestBody>;

} // namespace papayafield::forwarding
