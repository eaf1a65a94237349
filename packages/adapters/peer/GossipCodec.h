#pragma once

#include "gossip/Heartbeat.h"
#include "gossip/LeavingNotice.h"
#include "gossip/StreamOrigins.h"
#include "gossip/Update.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace papayafield::adapters::peer {

/// The content of a gossip datagram.
using GossipMessage = std::variant<gossip::Heartbeat,
                                   gossip::Update,
                                   gossip::LeavingNotice,
                                   gossip::OriginNotice,
                                   gossip::OriginQuery>;

/// Encodes a heartbeat as a packed Cap'n Proto message. Thread safe.
std::string EncodeHeartbeat(const gossip::Heartbeat& aHeartbeat);

/// Encodes a store update as a packed Cap'n Proto message. Thread safe.
std::string EncodeUpdate(const gossip::Update& aUpdate);

/// Encodes a notice of stream origins as a packed Cap'n Proto message. Thread safe.
std::string EncodeOriginNotice(const gossip::OriginNotice& aNotice);

/// Encodes a query of stream origins as a packed Cap'n Proto message. Thread safe.
std::string EncodeOriginQuery(const gossip::OriginQuery& aQuery);

/// Encodes a notice as text: a line that names the kind of datagram, then one line for each
/// endpoint with its age in milliseconds, its start time and its ID. Thread safe.
std::string EncodeLeavingNotice(const gossip::LeavingNotice& aNotice);

/// Decodes a datagram. Returns nullopt if it is malformed. Thread safe.
std::optional<GossipMessage> DecodeGossip(std::string_view aBytes);

} // namespace papayafield::adapters::peer
