#pragma once

#include "fleet/Catalog.h"

#include <optional>
#include <string>
#include <string_view>

namespace papayafield::forwarding {

/// Returns the name under which relays are asked for a connection to an endpoint. Thread safe.
std::string RelayTarget(const fleet::Incarnation& aEndpoint);

/// Parses a name made by RelayTarget; nullopt if it is malformed. Thread safe.
std::optional<fleet::Incarnation> ParseRelayTarget(std::string_view aTarget);

} // namespace papayafield::forwarding
