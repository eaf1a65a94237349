#pragma once

#include "base/Ids.h"
#include "claims/ShardWriter.h"

#include <cstdint>
#include <string>
#include <unordered_set>

namespace papayafield::claims {

/// Outcome of a claim for the process that requested it.
enum class ClaimOutcome {
  /// This process may run the call, and no other process will.
  Granted,
  /// This process claimed the key earlier and may have run the call.
  HeldHere,
  /// The process `m_holder` claimed the key.
  HeldElsewhere,
  /// The call has run.
  Done,
  /// The claim could not be confirmed; the call was not run.
  Unavailable,
};

/// Outcome of a claim, with the process that holds it.
struct ClaimResult {
  ClaimOutcome m_outcome = ClaimOutcome::Unavailable;
  base::IncarnationId m_holder;
};

/// Client side of claims in one process. It numbers the claims, and remembers which of its own
/// claims were abandoned before they were confirmed, and so never ran. Does no I/O; not thread
/// safe.
class ClaimClient {
public:
  /// Creates the client of the process `aOwner`.
  explicit ClaimClient(base::IncarnationId aOwner);

  /// Returns a new claim order for `aKey`.
  ClaimOrder MakeOrder(const std::string& aKey);
  /// Returns what a reply means for the call that waits for it.
  ClaimResult Interpret(const ClaimReply& aReply);
  /// Abandons a claim without waiting for its reply: the claim may be stored, but its call was not
  /// run.
  void AbandonClaim(const ClaimOrder& aOrder);

private:
  base::IncarnationId m_owner;
  uint64_t m_lastNumber = 0;
  /// Numbers of abandoned claims, none of which ran.
  std::unordered_set<uint64_t> m_abandoned;
};

/// Returns the shard of `aKey`, with `aShards` shards in total. Thread safe.
uint32_t ShardOf(const std::string& aKey, uint32_t aShards);

} // namespace papayafield::claims
