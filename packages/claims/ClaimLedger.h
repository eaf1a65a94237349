#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace papayafield::claims {

/// A claim of an idempotency key, as stored in the key-value service.
struct ClaimRecord {
  /// Digest of the team and the idempotency key.
  std::string m_key;
  /// The process that claimed the key.
  base::IncarnationId m_owner;
  /// Number that the owner gave to this claim.
  uint64_t m_number = 0;
  /// Whether the call has run.
  bool m_done = false;
  /// Wall time in seconds after which the claim may be dropped.
  int64_t m_expires = 0;
};

/// A sealed segment: an immutable set of claims that is dropped as a whole.
struct SealedSegment {
  /// Key of the segment in the key-value service.
  std::string m_name;
  /// Wall time in seconds after which all its claims may be dropped.
  int64_t m_expires = 0;
};

/// The head value of one shard: its newest claims, and the names of its sealed segments. This is a
/// value type.
class ClaimLedger {
public:
  /// Parses a value of the key-value service. An empty text is an empty ledger. Returns nullopt if
  /// the text is malformed.
  static std::optional<ClaimLedger> Parse(const std::string& aText);
  /// Returns the text to store.
  std::string ToText() const;

  /// Returns the claim of `aKey`, or nullptr if this value has none.
  const ClaimRecord* Find(const std::string& aKey) const;
  /// Adds a claim. Precondition: the ledger has no claim of the same key.
  void Add(ClaimRecord aRecord);
  /// Marks the claim of `aKey` as done. Returns false if the claim is missing or already done.
  bool MarkDone(const std::string& aKey);
  /// Removes claims and segments that have expired at `aNow`, a wall time in seconds.
  /// \return the names of the removed segments.
  std::vector<std::string> RemoveExpired(int64_t aNow);
  /// Moves all claims to a new segment named `aName`.
  /// \return the text of the segment to store.
  std::string Seal(const std::string& aName);

  /// Returns the claims of the head by key.
  const std::unordered_map<std::string, ClaimRecord>& Records() const { return m_records; }
  /// Returns the sealed segments.
  const std::vector<SealedSegment>& Segments() const { return m_segments; }

private:
  std::unordered_map<std::string, ClaimRecord> m_records;
  std::vector<SealedSegment> m_segments;
};

} // namespace papayafield::claims
