#pragma once

#include "gossip/Heartbeat.h"
#include "gossip/Update.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace papayafield::adapters::peer {

/// The content of a gossip datagram.
using GossipMessage = std::variant<gossip::Heartbeat, gossip::Update>;

/// Encodes a heartbeat as a packed Cap'n Proto message. Thread safe.
std::string EncodeHeartbeat(const gossip::Heartbeat& aHeartbeat);

/// Encodes a store update as a packed Cap'n Proto message. Thread safe.
std::string EncodeUpdate(const gossip::Update& aUpdate);

/// Decodes a datagram. Returns nullopt if it is malformed. Thread safe.
std::optional<GossipMessage> DecodeGossip(std::string_view aBytes);

} // namespace papayafield::adapters::peer
