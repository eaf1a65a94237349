#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayafield::adapters::http1 {

/// One header field. Names are compared without regard to case.
struct Field {
  std::string m_name;
  std::string m_value;
};

/// Whether two field names are the same. Thread safe.
bool SameName(std::string_view aLeft, std::string_view aRight);

/// The header fields of one message, in their order. Not thread safe.
class Fields {
public:
  /// Adds a field after those that are there.
  void Add(std::string aName, std::string aValue);
  /// Removes every field called `aName`.
  void Remove(std::string_view aName);
  /// The value of the first field called `aName`; nothing when there is none.
  std::optional<std::string_view> Find(std::string_view aName) const;
  /// How many fields are called `aName`.
  size_t Count(std::string_view aName) const;
  /// All fields, in order.
  const std::vector<Field>& List() const { return m_list; }

private:
  std::vector<Field> m_list;
};

/// The head of a request.
struct RequestHead {
  std::string m_method;
  /// Path and query as they stand in the request line.
  std::string m_target;
  Fields m_fields;
};

/// The head of a response.
struct ResponseHead {
  int m_status = 0;
  std::string m_reason;
  Fields m_fields;
};

/// Whether `aName` concerns one connection only and is never passed on. Thread safe.
bool IsHopByHop(std::string_view aName);

/// The usual reason phrase of a status. Thread safe.
std::string_view ReasonOf(int aStatus);

/// The value of the parameter `aName` in the query of `aTarget`, percent-decoded; empty when it is
/// missing. Thread safe.
std::string QueryParameter(std::string_view aTarget, std::string_view aName);

/// `aText` with everything but unreserved characters percent-encoded. Thread safe.
std::string PercentEncode(std::string_view aText);

} // namespace papayafield::adapters::http1
