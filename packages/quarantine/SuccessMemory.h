#pragma once

#include "base/Time.h"

#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace papayafield::quarantine {

/// Remembers when each prompt part was last answered, for a bounded number of parts; the one that
/// was used the longest ago is dropped first. Not thread safe.
class SuccessMemory {
public:
  /// Times of the latest answers with a part.
  struct Entry {
    std::string m_part;
    /// Beginning of the latest answer that any node received.
    base::TimePoint m_latest{};
    /// The same for this node.
    std::optional<base::TimePoint> m_own;
  };

  explicit SuccessMemory(size_t aMaxParts)
    : m_maxParts(aMaxParts) {}

  /// Records an answer that began at `aBegan`. `aIsOwn`: this node received it.
  void Record(const std::string& aPart, base::TimePoint aBegan, bool aIsOwn);
  /// Returns the entry of `aPart`, or null if none is remembered. Valid until the next call of
  /// Record.
  const Entry* Find(std::string_view aPart) const;
  size_t Count() const { return m_entries.size(); }

private:
  size_t m_maxParts;
  /// The most recently used entry is first.
  std::list<Entry> m_entries;
  /// The keys refer to the entries' own strings.
  std::unordered_map<std::string_view, std::list<Entry>::iterator> m_byPart;
};

} // namespace papayafield::quarantine
