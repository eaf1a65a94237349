#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>

/// \file
/// Helpers for JSON from other systems, where a member of the wrong type must not be fatal.

namespace papayafield::base {

/// Returns the member `aKey` of `aObject`, or `aDefault` if the member is missing, has another type
/// or `aObject` is not an object. Thread safe.
template<class T>
T ValueOr(const nlohmann::json& aObject, const char* aKey, T aDefault) {
  if (!aObject.is_object()) {
    return aDefault;
  }
  const auto found = aObject.find(aKey);
  if (found == aObject.end()) {
    return aDefault;
  }
  if constexpr (std::is_same_v<T, bool>) {
    return found->is_boolean() ? found->template get<bool>() : aDefault;
  } else if constexpr (std::is_unsigned_v<T>) {
    return found->is_number_unsigned() ? found->template get<T>() : aDefault;
  } else if constexpr (std::is_arithmetic_v<T>) {
    return found->is_number() ? found->template get<T>() : aDefault;
  } else {
    return found->is_string() ? found->template get<std::string>() : aDefault;
  }
}

/// Returns whether brackets in `aText` are nested more than `aMaxDepth` levels deep. Thread safe.
inline bool ExceedsDepth(const std::string& aText, size_t aMaxDepth) {
  size_t depth = 0;
  bool inString = false;
  for (size_t i = 0; i < aText.size(); ++i) {
    const char character = aText[i];
    if (inString) {
      if (character == '\\') {
        ++i;
      } else if (character == '"') {
        inString = false;
      }
    } else if (character == '"') {
      inString = true;
    } else if (character == '[' || character == '{') {
      if (++depth > aMaxDepth) {
        return true;
      }
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

/// Parses `aText` as JSON. Returns a discarded value if it is malformed or nested too deeply.
/// Thread safe.
inline nlohmann::json ParseJson(const std::string& aText) {
  constexpr size_t kMaxDepth = 64;
  if (ExceedsDepth(aText, kMaxDepth)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(aText, nullptr, false);
}

/// Serializes `aValue`, replacing bytes that are not valid UTF-8. Thread safe.
inline std::string DumpJson(const nlohmann::json& aValue) {
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace papayafield::base
