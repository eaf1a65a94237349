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
/// Types shared by the HTTP clients and servers.

namespace papayafield::adapters::http {

/// One header line.
struct Header {
  /// The name as sent; compared case-insensitively.
  std::string m_name;
  std::string m_value;
};

/// The header lines of a message, in order.
class Headers {
public:
  Headers() = default;
  Headers(std::initializer_list<Header> aLines)
    : m_lines(aLines) {}

  /// Appends a line.
  void Add(std::string aName, std::string aValue) {
    m_lines.push_back({ std::move(aName), std::move(aValue) });
  }
  /// Returns the value of the first line named `aName`, or nullopt.
  std::optional<std::string> Find(std::string_view aName) const;
  const std::vector<Header>& Lines() const { return m_lines; }

private:
  std::vector<Header> m_lines;
};

/// A request to send.
struct HttpRequest {
  /// Address to connect to.
  base::Address m_to;
  /// Method: GET, POST, PUT, DELETE, PATCH or HEAD; any other value is sent as GET.
  std::string m_method = "GET";
  /// Path and query.
  std::string m_target = "/";
  /// Header lines other than Content-Length and Connection, which are added; Host is optional.
  Headers m_headers;
  /// Body; may be empty.
  std::string m_body;
  /// Maximum time to establish the connection.
  base::Millis m_connectTimeout{ 1000 };
  /// Maximum time without received data after the connection is established.
  base::Millis m_idleTimeout{ 5000 };
  /// Maximum duration of the whole transfer; 0 means no limit.
  base::Millis m_totalTimeout{ 0 };
  /// Maximum size of the body of the answer in bytes; 0 means no limit, for streams.
  size_t m_maxBodyBytes = 16U << 20U;
};

/// A complete response.
struct HttpResponse {
  /// HTTP status code.
  int m_status = 0;
  Headers m_headers;
  std::string m_body;
};

/// The reason why a transfer failed.
enum class TransferFault {
  ConnectRefused,
  ConnectTimedOut,
  ResetBeforeAnswer,
  ResetInAnswer,
  ResponseTimedOut,
  /// The far end sent bytes that are no answer of HTTP.
  InvalidAnswer,
  /// The answer exceeds a limit on its size.
  AnswerTooLarge,
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
    { adapters::http::TransferFault::ResponseTimedOut, "the far end went silent" },
    { adapters::http::TransferFault::InvalidAnswer, "the answer is not valid" },
    { adapters::http::TransferFault::AnswerTooLarge, "the answer is too large" },
  });

} // namespace papayafield::base
