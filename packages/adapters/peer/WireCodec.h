#pragma once

#include "base/Timeline.h"
#include "membership/Swim.h"

#include "adapters/peer/peer.capnp.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Between the types of the decision logic and the messages on the wire. All functions are thread
/// safe.

namespace papayafield::adapters::peer {

/// A datagram's content with the sender's clock.
struct WireMessage {
  membership::SwimMessage m_message;
  base::HybridTime m_clock;
};

/// A datagram with `aMessage`, signed with `aKey`.
std::string EncodeDatagram(const WireMessage& aMessage, const std::string& aKey);

/// The message in `aBytes`; nothing when it is malformed or not signed with one of `aKeys`.
std::optional<WireMessage> DecodeDatagram(std::string_view aBytes,
                                          const std::vector<std::string>& aKeys);

/// Writes a full table.
void WriteTable(wire::Table::Builder aTable,
                const std::vector<membership::MemberRecord>& aMembers,
                const std::vector<base::EndpointId>& aLeaving);
/// Reads the members of a table; those with a state that is not known are left out.
std::vector<membership::MemberRecord> ReadMembers(capnp::List<wire::Member>::Reader aMembers);
/// Reads the leaving endpoints of a table.
std::vector<base::EndpointId> ReadLeaving(capnp::List<capnp::Text>::Reader aLeaving);

/// Writes a claim order.
void WriteOrder(wire::ClaimOrder::Builder aTo, const claims::ClaimOrder& aOrder);
/// Reads a claim order.
claims::ClaimOrder ReadOrder(wire::ClaimOrder::Reader aOrder);
/// Writes a claim reply.
void WriteReply(wire::ClaimReply::Builder aTo, const claims::ClaimReply& aReply);
/// Reads a claim reply.
claims::ClaimReply ReadReply(wire::ClaimReply::Reader aReply);

} // namespace papayafield::adapters::peer
