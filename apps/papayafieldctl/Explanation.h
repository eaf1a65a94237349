#pragma once

#include "papayafieldctl/Options.h"

#include <nlohmann/json.hpp>

#include <string>

namespace papayafield::papayafieldctl {

/// Returns the request target that asks a node about the call in `aOptions`. Thread safe.
std::string ExplainTarget(const Options& aOptions);

/// Returns the text for a node's answer, which ends with a newline. Thread safe.
std::string ExplanationText(const nlohmann::json& aAnswer);

} // namespace papayafield::papayafieldctl
