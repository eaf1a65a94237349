#include "tests/harness/PiecewiseCaller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <stdexcept>

namespace papayafield::tests {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLengthField = "Content-Length: ";

} // namespace

PiecewiseCaller::PiecewiseCaller(const base::Address& aTo)
  : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aTo.m_port);
  inet_pton(AF_INET, aTo.m_host.c_str(), &to.sin_addr);
  const int noDelay = 1;
  setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
  if (connect(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(m_socket);
    throw std::runtime_error("cannot connect to " + aTo.ToText());
  }
}

PiecewiseCaller::~PiecewiseCaller() {
  close(m_socket);
}

bool PiecewiseCaller::Send(std::string_view aPart) const {
  while (!aPart.empty()) {
    const ssize_t sent = send(m_socket, aPart.data(), aPart.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aPart.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool PiecewiseCaller::TakeChunks(size_t aBodyStart) {
  std::string body;
  size_t at = aBodyStart;
  while (true) {
    const size_t lineEnd = m_input.find("\r\n", at);
    if (lineEnd == std::string::npos) {
      return false;
    }
    const size_t size = std::strtoul(m_input.c_str() + at, nullptr, 16);
    const size_t end = lineEnd + 2 + size + 2;
    if (m_input.size() < end) {
      return false;
    }
    body += m_input.substr(lineEnd + 2, size);
    at = end;
    if (size == 0) {
      m_body = body;
      m_input.erase(0, end);
      return true;
    }
  }
}

bool PiecewiseCaller::TakeAnswer() {
  const size_t headEnd = m_input.find(kHeadEnd);
  if (headEnd == std::string::npos) {
    return false;
  }
  const std::string head = m_input.substr(0, headEnd + 2);
  const size_t bodyStart = headEnd + kHeadEnd.size();
  const size_t lengthAt = head.find(kLengthField);
  m_status = std::atoi(head.c_str() + head.find(' '));
  if (lengthAt == std::string::npos) {
    return TakeChunks(bodyStart);
  }
  const size_t length = std::strtoul(head.c_str() + lengthAt + kLengthField.size(), nullptr, 10);
  if (m_input.size() < bodyStart + length) {
    return false;
  }
  m_body = m_input.substr(bodyStart, length);
  m_input.erase(0, bodyStart + length);
  return true;
}

int PiecewiseCaller::ReceiveStatus(base::Millis aTimeout) {
  const auto until = base::BootNow() + aTimeout;
  std::array<char, 65536> buffer{};
  while (!TakeAnswer()) {
    const auto left = std::chrono::duration_cast<base::Millis>(until - base::BootNow());
    pollfd readable{ m_socket, POLLIN, 0 };
    if (left.count() <= 0 || poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
      return 0;
    }
    const ssize_t received = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (received <= 0) {
      return 0;
    }
    m_input.append(buffer.data(), static_cast<size_t>(received));
  }
  return m_status;
}

} // namespace papayafield::tests
