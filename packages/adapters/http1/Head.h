#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayafield::adapters::http1 {

/// One header field. Names are compared case-insensitively.
struct Field {
  std::string m_name;
  std::string m_value;
};

/// Whether two field names are equal, ignoring case. Thread safe.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// The header fields of a message, in order. Not thread safe.
class Fields {
public:
  /// Appends a field.
  void Add(std::string aName, std::string aValue);
  /// Removes all fields named `aName`.
  void Remove(std::string_view aName);
  /// Returns the value of the first field named `aName`, or nullopt.
  std::optional<std::string_view> Find(std::string_view aName) const;
  /// Returns the number of fields named `aName`.
  size_t Count(std::string_view aName) const;
  const std::vector<Field>& List() const { return m_list; }

private:
  std::vector<Field> m_list;
};

/// The head of a request.
struct RequestHead {
  std::string m_method;
  /// Path and query as in the request line.
  std::string m_target;
  Fields m_fields;
};

/// The head of a response.
struct ResponseHead {
  int m_status = 0;
  std::string m_reason;
  Fields m_fields;
};

/// Whether the field `aName` applies to one connection only and must not be forwarded. Thread safe.
bool IsHopByHop(std::string_view aName);

/// Returns the standard reason phrase of a status code. Thread safe.
std::string_view ReasonPhrase(int aStatus);

/// Returns the percent-decoded value of the parameter `aName` in the query of `aTarget`, or an
/// empty string if it is missing. Thread safe.
std::string QueryParameter(std::string_view aTarget, std::string_view aName);

/// Percent-encodes all characters of `aText` except unreserved ones and the slash. Thread safe.
std::string PercentEncode(std::string_view aText);

} // namespace papayafield::adapters::http1
