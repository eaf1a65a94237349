#pragma once

#include "base/Numbers.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>

/// \file
/// Helpers for JSON from other systems, where a member of the wrong type must not be fatal.

namespace papayafield::base {

/// Returns the number `aNumber` as a signed integer. A value out of range becomes the nearest limit
/// of `T`. Thread safe.
template<std::signed_integral T>
T SignedNumber(const nlohmann::json& aNumber) {
  using Limits = std::numeric_limits<T>;
  if (aNumber.is_number_unsigned()) {
    return static_cast<T>(std::min(aNumber.get<uint64_t>(), static_cast<uint64_t>(Limits::max())));
  }
  if (aNumber.is_number_integer()) {
    return static_cast<T>(
      std::clamp<int64_t>(aNumber.get<int64_t>(), Limits::min(), Limits::max()));
  }
  return SaturatingCast<T>(aNumber.get<double>());
}

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
    return found->is_number_unsigned() &&
               found->template get<uint64_t>() <= std::numeric_limits<T>::max()
             ? found->template get<T>()
             : aDefault;
  } else if constexpr (std::is_integral_v<T>) {
    return found->is_number() ? SignedNumber<T>(*found) : aDefault;
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

/// Builds the value of a CBOR document that is nested at most kMaxDepth levels deep.
class LimitedCborBuilder : public nlohmann::detail::json_sax_dom_parser<nlohmann::json> {
public:
  LimitedCborBuilder(nlohmann::json& aValue, size_t aBytes)
    : json_sax_dom_parser(aValue, false)
    , m_bytes(aBytes) {}

  // The names are given by the parser.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_object(size_t aSize) {
    return Enter(aSize) && json_sax_dom_parser::start_object(aSize);
  }
  bool start_array(size_t aSize) { return Enter(aSize) && json_sax_dom_parser::start_array(aSize); }
  bool end_object() {
    --m_depth;
    return json_sax_dom_parser::end_object();
  }
  bool end_array() {
    --m_depth;
    return json_sax_dom_parser::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  static constexpr size_t kMaxDepth = 64;

  /// The base class throws if a declared size exceeds its maximum. Each element takes a byte at
  /// least; the largest size stands for an unknown one.
  bool Enter(size_t aSize) {
    return ++m_depth <= kMaxDepth && (aSize <= m_bytes || aSize == static_cast<size_t>(-1));
  }

  size_t m_bytes;
  size_t m_depth = 0;
};

/// Parses `aBytes` as CBOR. Returns a discarded value if it is malformed or nested too deeply.
/// Thread safe.
inline nlohmann::json ParseCbor(const std::string& aBytes) {
  nlohmann::json value;
  LimitedCborBuilder builder(value, aBytes.size());
  if (!nlohmann::json::sax_parse(aBytes, &builder, nlohmann::json::input_format_t::cbor)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return value;
}

/// Serializes `aValue`, replacing bytes that are not valid UTF-8. Thread safe.
inline std::string DumpJson(const nlohmann::json& aValue) {
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace papayafield::base
