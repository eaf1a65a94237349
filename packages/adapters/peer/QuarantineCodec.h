#pragma once

#include "quarantine/Report.h"

#include <optional>
#include <string>
#include <string_view>

namespace papayafield::adapters::peer {

/// Returns whether a gossip datagram is a quarantine report, by its first bytes. Thread safe.
bool IsQuarantineReport(std::string_view aBytes);

/// Encodes a report as lines of text, one for each entry. Precondition: keys of parts and digests
/// contain no white space. Thread safe.
std::string EncodeQuarantineReport(const quarantine::Report& aReport);

/// Decodes a report. Returns nullopt if it is malformed or exceeds the bounds on what a peer may
/// send. Thread safe.
std::optional<quarantine::Report> DecodeQuarantineReport(std::string_view aBytes);

} // namespace papayafield::adapters::peer
