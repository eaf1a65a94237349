#pragma once

#include "adapters/peer/WireCodec.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace papayafield::adapters::peer {

/// What the server answers from, and tells of. Belongs to the peers task.
struct PeerHooks {
  /// The configuration in force, as it stands in the key-value service.
  std::function<std::string()> m_configuration;
  /// A digest of this node's table.
  std::function<uint64_t()> m_digest;
  /// Takes a peer's table and gives this node's.
  std::function<void(wire::Table::Reader aTheirs, wire::Table::Builder aOurs)> m_exchange;
  /// Carries out claims; the promise is kept when the replies are there.
  std::function<kj::Promise<std::vector<claims::ClaimReply>>(std::vector<claims::ClaimOrder>)>
    m_claim;
  /// Notes claimed calls that have run.
  std::function<void(std::vector<std::string>)> m_done;
};

/// What a new connection can call: it leads on only with a proof of a fleet's key.
/// \return the gate; `aHooks` and `aKeys` must outlive it.
wire::Gate::Client MakeGate(const PeerHooks& aHooks, const std::vector<std::string>& aKeys);

/// The proof that answers the nonce `aNonce` under `aKey`.
std::string ProofOf(const std::string& aNonce, const std::string& aKey);

} // namespace papayafield::adapters::peer
