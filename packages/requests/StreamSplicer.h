#pragma once

#include <cstdint>

namespace papayafield::requests {

/// What to do with a received token.
enum class SpliceVerdict {
  /// It is the next token: forward it.
  Pass,
  /// It was already forwarded: drop it.
  Duplicate,
  /// One or more tokens before it are missing: request the stream again from NextOffset().
  Gap,
};

/// Joins the parts of one response, which may come from several attempts, by token offset, so that
/// no token is lost or duplicated. Not thread safe.
class StreamSplicer {
public:
  /// Starts at `aFirst`, the first token offset that the caller still needs.
  explicit StreamSplicer(uint64_t aFirst = 0)
    : m_nextOffset(aFirst) {}

  /// Returns what to do with the token at `aOffset`, and advances NextOffset() if it is to be
  /// forwarded.
  SpliceVerdict Accept(uint64_t aOffset) {
    if (aOffset < m_nextOffset) {
      return SpliceVerdict::Duplicate;
    }
    if (aOffset > m_nextOffset) {
      return SpliceVerdict::Gap;
    }
    ++m_nextOffset;
    return SpliceVerdict::Pass;
  }

  /// Returns the token offset that is needed next.
  uint64_t NextOffset() const { return m_nextOffset; }

private:
  uint64_t m_nextOffset;
};

} // namespace papayafield::requests
