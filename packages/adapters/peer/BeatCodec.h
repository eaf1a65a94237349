#pragma once

#include "news/Beat.h"

#include <optional>
#include <string>
#include <string_view>

namespace papayafield::adapters::peer {

/// A beat as a datagram: a Cap'n Proto message in packed form. Thread safe.
std::string EncodeBeat(const news::Beat& aBeat);

/// The beat in a datagram, or nothing when the bytes are none. Thread safe.
std::optional<news::Beat> DecodeBeat(std::string_view aBytes);

} // namespace papayafield::adapters::peer
