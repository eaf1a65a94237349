#pragma once

#include "news/Heartbeat.h"
#include "news/Update.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace papayafield::adapters::peer {

/// What a datagram holds.
using News = std::variant<news::Heartbeat, news::Update>;

/// A beat as a datagram: a Cap'n Proto message in packed form. Thread safe.
std::string EncodeBeat(const news::Heartbeat& aBeat);

/// An update as a datagram. Thread safe.
std::string EncodeUpdate(const news::Update& aUpdate);

/// What a datagram holds, or nothing when its bytes are no message. Thread safe.
std::optional<News> DecodeNews(std::string_view aBytes);

} // namespace papayafield::adapters::peer
