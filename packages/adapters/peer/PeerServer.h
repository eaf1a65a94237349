#pragma once

#include "adapters/peer/WireCodec.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace papayafield::adapters::peer {

/// Handlers of the calls from other nodes. They are invoked by the peers task.
struct PeerHandlers {
  /// Returns the active configuration as stored in the key-value store; empty if there is none.
  std::function<std::string()> m_configuration;
  /// Returns a digest of this node's membership table.
  std::function<uint64_t()> m_digest;
  /// Merges the peer's membership table and fills in this node's.
  std::function<void(wire::Table::Reader aTheirs, wire::Table::Builder aOurs)> m_exchange;
  /// Handles claims; the promise resolves with the replies.
  std::function<kj::Promise<std::vector<claims::ClaimReply>>(std::vector<claims::ClaimOrder>)>
    m_claim;
  /// Marks claimed calls as done.
  std::function<void(std::vector<std::string>)> m_done;
};

/// Creates the bootstrap interface of a new connection. It gives access to the peer interface only
/// after a handshake that proves possession of one of the fleet keys `aKeys`. The arguments must
/// outlive it.
wire::Gate::Client MakeGate(const PeerHandlers& aHandlers, const std::vector<std::string>& aKeys);

/// Returns the handshake proof for `aNonce` under `aKey`.
std::string ComputeProof(const std::string& aNonce, const std::string& aKey);

} // namespace papayafield::adapters::peer
