#pragma once

#include <cstdint>

namespace papayafield::requests {

/// What to do with a token that has come.
enum class SpliceVerdict {
  /// The next one: pass it on.
  Pass,
  /// Already passed on: leave it out.
  Duplicate,
  /// One or more are missing before it: ask again from Next().
  Gap,
};

/// Joins the parts of one answer, which may come from several attempts, by token offset, so that
/// none is lost or doubled. Not thread safe.
class StreamSplicer {
public:
  /// Starts at `aFirst`, the first offset that the caller still needs.
  explicit StreamSplicer(uint64_t aFirst = 0)
    : m_next(aFirst) {}

  /// Judges the token at `aOffset`; a passed one moves the splicer on.
  SpliceVerdict Take(uint64_t aOffset) {
    if (aOffset < m_next) {
      return SpliceVerdict::Duplicate;
    }
    if (aOffset > m_next) {
      return SpliceVerdict::Gap;
    }
    ++m_next;
    return SpliceVerdict::Pass;
  }

  /// The offset that is needed next.
  uint64_t Next() const { return m_next; }

private:
  uint64_t m_next;
};

} // namespace papayafield::requests
