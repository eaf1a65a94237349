#include "adapters/http/BlockingClient.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

using namespace papayafield;
using namespace papayafield::adapters::http;

namespace {

/// Accepts one connection, reads a request, sends `aBytes`, then `aRepeated` until `aMaxBytes` are
/// sent, and closes the connection.
class RawServer {
public:
  explicit RawServer(std::string aBytes, std::string aRepeated = {}, size_t aMaxBytes = 0)
    : m_listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    BOOST_REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr*>(&address), length) == 0);
    BOOST_REQUIRE(listen(m_listener, 1) == 0);
    BOOST_REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    m_port = ntohs(address.sin_port);
    m_thread =
      std::thread([this, bytes = std::move(aBytes), repeated = std::move(aRepeated), aMaxBytes] {
        Serve(bytes, repeated, aMaxBytes);
      });
  }
  ~RawServer() {
    m_thread.join();
    close(m_listener);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  RawServer(RawServer&&) = delete;
  RawServer& operator=(RawServer&&) = delete;

  base::Address Address() const { return { "127.0.0.1", m_port }; }
  /// Waits until the connection has ended and returns whether the client took all bytes.
  bool HasSentAll() {
    m_thread.join();
    m_thread = std::thread([] {});
    return m_hasSentAll;
  }

private:
  void Serve(const std::string& aBytes, const std::string& aRepeated, size_t aMaxBytes) {
    const int fd = accept(m_listener, nullptr, nullptr);
    std::string request;
    char part[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t got = recv(fd, part, sizeof(part), 0);
      if (got <= 0) {
        break;
      }
      request.append(part, static_cast<size_t>(got));
    }
    m_hasSentAll = SendAll(fd, aBytes);
    for (size_t sent = 0; m_hasSentAll && sent < aMaxBytes; sent += aRepeated.size()) {
      m_hasSentAll = SendAll(fd, aRepeated);
    }
    close(fd);
  }

  static bool SendAll(int aFd, std::string_view aBytes) {
    while (!aBytes.empty()) {
      const ssize_t sent = send(aFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }

  int m_listener;
  uint16_t m_port = 0;
  bool m_hasSentAll = false;
  std::thread m_thread;
};

tl::expected<HttpResponse, TransferFault> FetchFrom(const RawServer& aServer) {
  HttpRequest request;
  request.m_to = aServer.Address();
  return FetchBlocking(std::move(request));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TransferTest)

// A status outside the range of HTTP was reported as the status of a complete answer.
BOOST_AUTO_TEST_CASE(AnswersWithAnInvalidStatusFail) {
  for (const char* status : { "20", "099", "-5", "600", "999", "2000", "103" }) {
    const RawServer server(std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n");
    const auto answer = FetchFrom(server);
    BOOST_TEST_CONTEXT(status) {
      BOOST_REQUIRE(!answer.has_value());
      BOOST_TEST(base::NameOf(answer.error()) == "the answer is not valid");
      BOOST_TEST(!NothingSent(answer.error()));
    }
  }
}

BOOST_AUTO_TEST_CASE(AnswersWithAValidStatusAreComplete) {
  for (const int status : { 200, 204, 404, 599 }) {
    const RawServer server("HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Length: 0\r\n\r\n");
    const auto answer = FetchFrom(server);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->m_status == status);
  }
}

// A client held all bytes of an answer without end.
BOOST_AUTO_TEST_CASE(AnswersWithoutEndFail) {
  constexpr size_t kMaxBytes = 64U << 20U;
  const std::string part(65536, 'x');
  const std::pair<const char*, std::string> answers[] = {
    { "HTTP/1.1 200 OK\r\n\r\n", part },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", part },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + part + "\r\n" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000000\r\n", part },
    { "HTTP/1.1 200 OK\r\nX: ", part },
    { "HTTP/1.1 200 OK\r\n", "X: x\r\n" },
    { "HTTP/1.1 200 ", part },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", part },
  };
  for (const auto& [start, repeated] : answers) {
    RawServer server(start, repeated, kMaxBytes);
    BOOST_TEST_CONTEXT(start << repeated.substr(0, 8)) {
      BOOST_TEST(!FetchFrom(server).has_value());
      BOOST_TEST(!server.HasSentAll());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
