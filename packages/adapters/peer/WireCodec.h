#pragma once

#include "base/Timeline.h"
#include "membership/Swim.h"

#include "adapters/peer/peer.capnp.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Converts between internal types and wire messages. All functions are thread safe.

namespace papayafield::adapters::peer {

/// The content of a datagram and the hybrid time of its sender.
struct WireMessage {
  membership::SwimMessage m_message;
  base::HybridTime m_clock;
};

/// Encodes `aMessage` as a datagram that is authenticated with `aKey`.
std::string EncodeDatagram(const WireMessage& aMessage, const std::string& aKey);

/// Decodes a datagram. Returns nullopt if it is malformed or not authenticated with one of `aKeys`.
std::optional<WireMessage> DecodeDatagram(std::string_view aBytes,
                                          const std::vector<std::string>& aKeys);

/// Writes a full membership table.
void WriteTable(wire::Table::Builder aTable,
                const std::vector<membership::MemberRecord>& aMembers,
                const std::vector<base::EndpointId>& aLeaving);
/// Reads the members of a table, skipping those without a name or with an unknown state.
std::vector<membership::MemberRecord> ReadMembers(capnp::List<wire::Member>::Reader aMembers);
/// Reads the leaving endpoints of a table.
std::vector<base::EndpointId> ReadLeaving(capnp::List<capnp::Text>::Reader aLeaving);

void WriteOrder(wire::ClaimOrder::Builder aTo, const claims::ClaimOrder& aOrder);
claims::ClaimOrder ReadOrder(wire::ClaimOrder::Reader aOrder);
void WriteReply(wire::ClaimReply::Builder aTo, const claims::ClaimReply& aReply);
/// Reads a claim reply; an unknown state is read as `Unavailable`.
claims::ClaimReply ReadReply(wire::ClaimReply::Reader aReply);

} // namespace papayafield::adapters::peer
