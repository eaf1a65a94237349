#include "claims/ClaimClient.h"

#include "base/Digest.h"

namespace papayafield::claims {

namespace {

/// Maximum number of abandoned claims to remember. A repeated call whose abandoned claim is not
/// remembered is told that its key is held.
constexpr size_t kMaxAbandoned = 50000;

} // namespace

ClaimClient::ClaimClient(base::IncarnationId aOwner)
  : m_owner(std::move(aOwner)) {}

ClaimOrder ClaimClient::MakeOrder(const std::string& aKey) {
  return { aKey, m_owner, ++m_lastNumber };
}

ClaimResult ClaimClient::Interpret(const ClaimReply& aReply) {
  switch (aReply.m_state) {
    case ClaimState::Granted:
      return { ClaimOutcome::Granted, m_owner };
    case ClaimState::Unavailable:
      AbandonClaim(aReply.m_order);
      return { ClaimOutcome::Unavailable, {} };
    case ClaimState::Held:
      break;
  }
  const ClaimRecord& holder = aReply.m_holder;
  if (holder.m_done) {
    return { ClaimOutcome::Done, holder.m_owner };
  }
  if (holder.m_owner != m_owner) {
    return { ClaimOutcome::HeldElsewhere, holder.m_owner };
  }
  // A claim of this process that was abandoned before its confirmation never ran: it may run now.
  const bool neverRan = m_abandoned.erase(holder.m_number) > 0;
  return { neverRan ? ClaimOutcome::Granted : ClaimOutcome::HeldHere, m_owner };
}

void ClaimClient::AbandonClaim(const ClaimOrder& aOrder) {
  if (m_abandoned.size() < kMaxAbandoned) {
    m_abandoned.insert(aOrder.m_number);
  }
}

uint32_t ShardOf(const std::string& aKey, uint32_t aShards) {
  return static_cast<uint32_t>(base::Hash64(aKey) % aShards);
}

} // namespace papayafield::claims
