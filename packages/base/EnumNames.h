#pragma once

#include <array>
#include <optional>
#include <string_view>

/// \file
/// Tables of names for enumerations. An enumeration gets its table by specialising `kEnumNames`.

namespace papayafield::base {

/// One row of a table of names.
template<class Enum>
struct EnumName {
  /// The enumerator.
  Enum m_value;
  /// Its name in messages, logs and settings.
  std::string_view m_name;
};

/// The table of names of `Enum`; specialised beside each enumeration.
template<class Enum>
inline constexpr std::array<EnumName<Enum>, 0> kEnumNames{};

/// The name of `aValue`, or "?" for a value outside the table. Thread safe.
template<class Enum>
constexpr std::string_view NameOf(Enum aValue) {
  for (const auto& row : kEnumNames<Enum>) {
    if (row.m_value == aValue) {
      return row.m_name;
    }
  }
  return "?";
}

/// The value named `aName`, or nothing. Thread safe.
template<class Enum>
constexpr std::optional<Enum> ParseEnum(std::string_view aName) {
  for (const auto& row : kEnumNames<Enum>) {
    if (row.m_name == aName) {
      return row.m_value;
    }
  }
  return std::nullopt;
}

} // namespace papayafield::base
