#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// What HTTP clients and servers of this project exchange.

namespace papayafield::adapters::http {

/// One header line.
struct Header {
  /// Name as sent; compared without regard to case.
  std::string m_name;
  /// Value.
  std::string m_value;
};

/// Header lines in order.
class Headers {
public:
  Headers() = default;
  /// The lines `aLines`.
  Headers(std::initializer_list<Header> aLines)
    : m_lines(aLines) {}

  /// Adds a line.
  void Add(std::string aName, std::string aValue) {
    m_lines.push_back({ std::move(aName), std::move(aValue) });
  }
  /// The first value of `aName`, or nothing.
  std::optional<std::string> Find(std::string_view aName) const;
  /// All lines.
  const std::vector<Header>& Lines() const { return m_lines; }

private:
  std::vector<Header> m_lines;
};

/// A request to send.
struct HttpRequest {
  /// Where to connect.
  base::Address m_to;
  /// GET, POST, PUT or DELETE.
  std::string m_method = "GET";
  /// Path and query.
  std::string m_target = "/";
  /// Header lines beyond Host, Content-Length and Connection.
  Headers m_headers;
  /// Body; may be empty.
  std::string m_body;
  /// How long connecting may take.
  base::Millis m_connectTimeout{ 1000 };
  /// How long the far end may stay silent after the connection stands.
  base::Millis m_idleTimeout{ 5000 };
  /// How long the whole transfer may take; 0 for no bound.
  base::Millis m_totalTimeout{ 0 };
};

/// A whole answer.
struct HttpAnswer {
  /// HTTP status code.
  int m_status = 0;
  /// Header lines.
  Headers m_headers;
  /// Body.
  std::string m_body;
};

/// How a transfer failed.
enum class TransferFault {
  ConnectRefused,
  ConnectTimedOut,
  ResetBeforeAnswer,
  ResetInAnswer,
  Silent,
};

/// Whether `aFault` proves that no byte of the request was sent.
constexpr bool NothingSent(TransferFault aFault) {
  return aFault == TransferFault::ConnectRefused || aFault == TransferFault::ConnectTimedOut;
}

} // namespace papayafield::adapters::http

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<adapters::http::TransferFault> =
  std::to_array<EnumName<adapters::http::TransferFault>>({
    { adapters::http::TransferFault::ConnectRefused, "connection refused" },
    { adapters::http::TransferFault::ConnectTimedOut, "connecting timed out" },
    { adapters::http::TransferFault::ResetBeforeAnswer, "connection lost before the answer" },
    { adapters::http::TransferFault::ResetInAnswer, "connection lost within the answer" },
    { adapters::http::TransferFault::Silent, "the far end went silent" },
  });

} // namespace papayafield::base
