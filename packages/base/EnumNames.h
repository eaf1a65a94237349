#pragma once

#include <array>
#include <optional>
#include <string_view>

/// \file
/// Names of enumerators. An enumeration defines its table by specialising `kEnumNames`.

namespace papayafield::base {

/// An enumerator and its name.
template<class Enum>
struct EnumName {
  Enum m_value;
  /// The name in messages, logs and settings.
  std::string_view m_name;
};

/// The names of the enumerators of `Enum`; specialised next to each enumeration.
template<class Enum>
inline constexpr std::array<EnumName<Enum>, 0> kEnumNames{};

/// Returns the name of `aValue`, or "?" if the table does not contain it. Thread safe.
template<class Enum>
constexpr std::string_view NameOf(Enum aValue) {
  for (const auto& entry : kEnumNames<Enum>) {
    if (entry.m_value == aValue) {
      return entry.m_name;
    }
  }
  return "?";
}

/// Returns the enumerator named `aName`, or nullopt if there is none. Thread safe.
template<class Enum>
constexpr std::optional<Enum> ParseEnum(std::string_view aName) {
  for (const auto& entry : kEnumNames<Enum>) {
    if (entry.m_name == aName) {
      return entry.m_value;
    }
  }
  return std::nullopt;
}

} // namespace papayafield::base
