#include "tests/harness/RawCaller.h"

#include "tests/harness/PlatformFleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace papayafield::tests {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// Returns the value of the field `aName` in a head; the case of the name must match.
std::optional<std::string> FieldValue(const std::string& aHead, const std::string& aName) {
  const std::string start = "\r\n" + aName + ": ";
  const size_t at = aHead.find(start);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const size_t from = at + start.size();
  return aHead.substr(from, aHead.find(kLineEnd, from) - from);
}

/// Decodes the chunks of `aInput` into `aBody`. Returns the number of bytes of the complete body
/// with its framing, or nullopt if it is incomplete.
std::optional<size_t> DecodeChunks(const std::string& aInput, std::string& aBody) {
  aBody.clear();
  size_t at = 0;
  while (true) {
    const size_t lineEnd = aInput.find(kLineEnd, at);
    if (lineEnd == std::string::npos) {
      return std::nullopt;
    }
    const size_t size = std::strtoul(aInput.c_str() + at, nullptr, 16);
    const size_t data = lineEnd + kLineEnd.size();
    if (size == 0) {
      // Nodes send no trailer fields.
      return aInput.size() >= data + kLineEnd.size() ? std::optional<size_t>(data + kLineEnd.size())
                                                     : std::nullopt;
    }
    aBody += aInput.substr(std::min(data, aInput.size()), size);
    at = data + size + kLineEnd.size();
    if (aInput.size() < at) {
      return std::nullopt;
    }
  }
}

} // namespace

bool RawAnswer::HasLine(std::string_view aLine) const {
  return (m_head + std::string(kLineEnd))
           .find(std::string(kLineEnd) + std::string(aLine) + std::string(kLineEnd)) !=
         std::string::npos;
}

RawCaller::RawCaller(const base::Address& aTo) {
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aTo.m_port);
  inet_pton(AF_INET, aTo.m_host.c_str(), &address.sin_addr);
  const int on = 1;
  setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    Close();
  }
}

RawCaller::~RawCaller() {
  Close();
}

void RawCaller::Close() {
  if (m_fd >= 0) {
    close(m_fd);
    m_fd = -1;
  }
}

bool RawCaller::Send(std::string_view aBytes) const {
  while (!aBytes.empty()) {
    const ssize_t sent = send(m_fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

RawCaller::ReadResult RawCaller::ReadMore(base::TimePoint aUntil) {
  const auto left = std::chrono::duration_cast<base::Millis>(aUntil - base::BootNow()).count();
  pollfd waiting{ m_fd, POLLIN, 0 };
  if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    return ReadResult::TimedOut;
  }
  char part[8192];
  const ssize_t bytes = recv(m_fd, part, sizeof(part), 0);
  if (bytes > 0) {
    m_input.append(part, static_cast<size_t>(bytes));
    return ReadResult::Bytes;
  }
  return bytes == 0 ? ReadResult::Closed : ReadResult::Reset;
}

RawAnswer RawCaller::Receive(base::Millis aTimeout) {
  const auto until = base::BootNow() + aTimeout;
  RawAnswer answer;
  const auto fail = [&](ReadResult aResult) {
    answer.m_end = aResult == ReadResult::TimedOut ? AnswerEnd::TimedOut
                   : aResult == ReadResult::Closed ? AnswerEnd::Closed
                                                   : AnswerEnd::Reset;
    Close();
    return answer;
  };
  size_t headEnd = 0;
  while ((headEnd = m_input.find(kHeadEnd)) == std::string::npos) {
    if (const auto result = ReadMore(until); result != ReadResult::Bytes) {
      answer.m_body = m_input;
      return fail(result);
    }
  }
  answer.m_head = m_input.substr(0, headEnd);
  m_input.erase(0, headEnd + kHeadEnd.size());
  answer.m_status = std::atoi(answer.m_head.c_str() + std::min<size_t>(9, answer.m_head.size()));
  const auto length = FieldValue(answer.m_head, "Content-Length");
  const bool chunked = FieldValue(answer.m_head, "Transfer-Encoding") == "chunked";
  std::optional<size_t> size;
  while (true) {
    if (chunked) {
      size = DecodeChunks(m_input, answer.m_body);
    } else {
      answer.m_body = m_input;
      if (length && m_input.size() >= std::strtoul(length->c_str(), nullptr, 10)) {
        size = std::strtoul(length->c_str(), nullptr, 10);
        answer.m_body.resize(*size);
      }
    }
    if (size) {
      break;
    }
    if (const auto result = ReadMore(until); result != ReadResult::Bytes) {
      if (result == ReadResult::Closed && !chunked && !length) {
        Close();
        answer.m_end = AnswerEnd::Complete;
        return answer;
      }
      return fail(result);
    }
  }
  m_input.erase(0, *size);
  answer.m_end = AnswerEnd::Complete;
  if (answer.HasLine("Connection: close")) {
    Close();
  }
  return answer;
}

std::string MakeRawRequest(const std::string& aMethod,
                           const std::string& aTarget,
                           const std::string& aId,
                           base::Millis aTimeout) {
  std::string request = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  if (aMethod != "GET") {
    request += "Content-Length: 0\r\n";
  }
  for (const auto& field : MakeCallerHeaders("h.example", "key-1", aId, aTimeout)) {
    request += field.m_name + ": " + field.m_value + "\r\n";
  }
  return request + "\r\n";
}

} // namespace papayafield::tests
