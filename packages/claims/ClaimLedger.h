#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace papayafield::claims {

/// A claim of an idempotency key as it stands in the key-value service.
struct ClaimRecord {
  /// Digest of team and key.
  std::string m_key;
  /// The process that claimed it.
  base::IncarnationId m_owner;
  /// The owner's number for this claim.
  uint64_t m_number = 0;
  /// Whether it has run.
  bool m_done = false;
  /// Wall time in seconds after which it may be forgotten.
  int64_t m_expires = 0;
};

/// A sealed segment: claims that are written once and dropped as a whole.
struct SealedSegment {
  /// Key in the key-value service.
  std::string m_name;
  /// Wall time in seconds after which all its claims may be forgotten.
  int64_t m_expires = 0;
};

/// The head value of one shard: its newest claims, and the names of its sealed segments. Value
/// type.
class ClaimLedger {
public:
  /// Reads a value of the service; nothing when it is malformed.
  static std::optional<ClaimLedger> Parse(const std::string& aText);
  /// The value to write.
  std::string ToText() const;

  /// The claim of `aKey`, or null.
  const ClaimRecord* Find(const std::string& aKey) const;
  /// Adds a claim. Precondition: there is none of its key.
  void Add(ClaimRecord aRecord);
  /// Marks the claim of `aKey` as done; false when it is not here or was done.
  bool MarkDone(const std::string& aKey);
  /// Drops claims and segments that have expired at `aNow`, in wall seconds.
  /// \return the names of dropped segments.
  std::vector<std::string> DropExpired(int64_t aNow);
  /// Moves all claims into a segment of the name `aName`.
  /// \return the segment's value.
  std::string Seal(const std::string& aName);

  /// All claims.
  const std::unordered_map<std::string, ClaimRecord>& Records() const { return m_records; }
  /// Sealed segments.
  const std::vector<SealedSegment>& Segments() const { return m_segments; }

private:
  std::unordered_map<std::string, ClaimRecord> m_records;
  std::vector<SealedSegment> m_segments;
};

} // namespace papayafield::claims
