#pragma once

#include "fleet/StreamOrigin.h"

#include <string>
#include <vector>

namespace papayafield::serving {

/// Encodes the origins of streams as a JSON object: for each version, the keys of its streams as 16
/// hexadecimal digits each. Thread safe.
std::string EncodeStreamRecord(const std::vector<fleet::StreamOrigin>& aOrigins);

/// Decodes the origins of streams. Leaves out what is malformed. Thread safe.
std::vector<fleet::StreamOrigin> DecodeStreamRecord(const std::string& aData);

} // namespace papayafield::serving
