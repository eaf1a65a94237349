#pragma once

#include "base/Ids.h"
#include "claims/ShardWriter.h"

#include <cstdint>
#include <string>
#include <unordered_set>

namespace papayafield::claims {

/// How a claim ended for the node that asked.
enum class ClaimEnd {
  /// This process may run it, and no other will.
  Granted,
  /// This process claimed it earlier and may have run it.
  HeldHere,
  /// The process `m_holder` claimed it.
  HeldElsewhere,
  /// It has run.
  Done,
  /// The claim could not be made; nothing ran.
  Unavailable,
};

/// A claim's end with its holder.
struct ClaimConclusion {
  ClaimEnd m_end = ClaimEnd::Unavailable;
  base::IncarnationId m_holder;
};

/// The asking side of claims at one process: numbers them, and knows which of its own claims it
/// gave up before they were confirmed, and so never ran. Pure; not thread safe.
class ClaimDesk {
public:
  /// The desk of the process `aOwner`.
  explicit ClaimDesk(base::IncarnationId aOwner);

  /// A new order for `aKey`.
  ClaimOrder MakeOrder(const std::string& aKey);
  /// What a reply means for the call that waits for it.
  ClaimConclusion Conclude(const ClaimReply& aReply);
  /// No reply will come: the claim may stand, but the call was not run.
  void GiveUp(const ClaimOrder& aOrder);

private:
  base::IncarnationId m_owner;
  uint64_t m_lastNumber = 0;
  /// Numbers of claims given up, none of which ran.
  std::unordered_set<uint64_t> m_givenUp;
};

/// The shard of `aKey` among `aShards`. Thread safe.
uint32_t ShardOf(const std::string& aKey, uint32_t aShards);

} // namespace papayafield::claims
