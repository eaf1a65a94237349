#include "tests/harness/Fleet.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

/// \file
/// Tests that malformed, oversized and hostile requests are rejected and the node keeps serving.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

/// Sends `aBytes` over a raw connection and returns the bytes received until the node closes the
/// connection or sends nothing for 300 ms.
std::string SendRaw(const base::Address& aTo, const std::string& aBytes) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aTo.m_port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::string answer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    send(fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    pollfd wait{ fd, POLLIN, 0 };
    char part[4096];
    constexpr int kReadTimeoutMs = 300;
    while (poll(&wait, 1, kReadTimeoutMs) == 1) {
      const ssize_t got = recv(fd, part, sizeof(part), 0);
      if (got <= 0) {
        break;
      }
      answer.append(part, static_cast<size_t>(got));
    }
  }
  close(fd);
  return answer;
}

std::string MakePost(const std::string& aBody, const std::string& aExtraHeaders = {}) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
         std::string(kTeamKey) + "\r\n" + aExtraHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

struct Case {
  const char* m_name;
  std::string m_bytes;
  /// Expected start of the answer; empty if the node may close the connection without one.
  const char* m_expectedPrefix;
};

std::vector<Case> MakeCases() {
  const std::string deep(100000, '[');
  return {
    { "no JSON", MakePost("hello"), "HTTP/1.1 400" },
    { "deep JSON", MakePost(deep), "HTTP/1.1 400" },
    { "a list", MakePost("[]"), "HTTP/1.1 400" },
    { "no model", MakePost("{}"), "HTTP/1.1 404" },
    { "no messages", MakePost(R"({"model":"condolence"})"), "HTTP/1.1 400" },
    { "messages of numbers", MakePost(R"({"model":"condolence","messages":[1]})"), "HTTP/1.1 400" },
    { "content of another type",
      MakePost(R"({"model":"condolence","messages":[{"role":1,"content":{}}]})"),
      "HTTP/1.1 400" },
    { "max_tokens below 1",
      MakePost(R"({"model":"condolence","max_tokens":-1,"messages":[{"role":"u","content":"x"}]})"),
      "HTTP/1.1 400" },
    { "bytes that are no UTF-8",
      MakePost(
        "{\"model\":\"condolence\",\"messages\":[{\"role\":\"u\",\"content\":\"\xff\xfe\"}]}"),
      "HTTP/1.1 400" },
    { "a body too large",
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\nx",
      "HTTP/1.1 413" },
    { "headers too large",
      "GET /healthz HTTP/1.1\r\nHost: x\r\n" +
        [] {
          std::string lines;
          for (int i = 0; i < 100; ++i) {
            lines += "X-H" + std::to_string(i) + ": " + std::string(900, 'h') + "\r\n";
          }
          return lines;
        }() +
        "\r\n",
      "HTTP/1.1 431" },
    { "no HTTP at all", "\x16\x03\x01 nonsense\r\n\r\n", "" },
    { "a bad chunk",
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "" },
    { "two requests at once",
      "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
      "HTTP/1.1 200" },
    { "a foreign method", "BREW / HTTP/1.1\r\nHost: x\r\n\r\n", "" },
    { "no key", "GET /services/orders/stock HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 401" },
    { "a wrong key",
      "GET /services/orders/stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer x\r\n\r\n",
      "HTTP/1.1 401" },
    { "no such path", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 404" },
    { "a foreign Last-Event-ID",
      MakePost(R"({"model":"condolence","stream":true,"messages":[{"role":"u","content":"x"}]})",
               "Last-Event-ID: gpu-0~abc~def.3\r\n"),
      "HTTP/1.1 400" },
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(MalformedTest)

BOOST_AUTO_TEST_CASE(MalformedRequestsAreRejected) {
  FleetSettings settings;
  settings.m_nodes = 1;
  Fleet fleet(settings);
  for (const Case& testCase : MakeCases()) {
    const std::string answer = SendRaw(fleet.NodeAddress(0), testCase.m_bytes);
    BOOST_TEST(answer.starts_with(testCase.m_expectedPrefix),
               testCase.m_name << ": " << answer.substr(0, 200));
    BOOST_TEST(fleet.NodeProcess(0).IsRunning(), testCase.m_name);
  }
  BOOST_TEST(Call(fleet.NodeAddress(0), "GET", "/healthz").m_status == 200);
}

// Requests with random byte changes, some of them truncated. The random seed is fixed.
BOOST_AUTO_TEST_CASE(RandomlyChangedRequestsDoNotStopTheNode) {
  FleetSettings settings;
  settings.m_nodes = 1;
  Fleet fleet(settings);
  std::mt19937_64 random(42);
  std::vector<std::string> seeds{
    MakePost(R"({"model":"condolence","max_tokens":2,"messages":[{"role":"u","content":"x"}]})"),
    "GET /v1/entries?zone=a HTTP/1.1\r\nHost: x\r\n\r\n",
    "POST /services/orders/orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: "
    "Bearer florists-key\r\nContent-Length: 13\r\n\r\n{\"order\":\"a\"}"
  };
  for (int round = 0; round < 120; ++round) {
    std::string bytes = seeds[random() % seeds.size()];
    for (uint64_t edits = random() % 6; edits > 0; --edits) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 3 == 0) {
      bytes.resize(random() % bytes.size());
    }
    SendRaw(fleet.NodeAddress(0), bytes);
    BOOST_REQUIRE_MESSAGE(fleet.NodeProcess(0).IsRunning(), "round " << round << ": " << bytes);
  }
  BOOST_TEST(Call(fleet.NodeAddress(0), "GET", "/healthz").m_status == 200);
}

// The node closes the connection of a caller that does not read its answer once the unsent data
// exceeds max_unsent_bytes; this bounds the memory per caller.
BOOST_AUTO_TEST_CASE(SlowReaderIsDisconnected) {
  FleetSettings settings;
  settings.m_nodes = 1;
  settings.m_engines = 1;
  settings.m_engineOptions = { "--token-ms", "0.05", "--slowdown", "0" };
  settings.m_nodeSettings = "[limits]\nmax_unsent_bytes = 65536\n";
  Fleet fleet(settings);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(fleet.NodeAddress(0).m_port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  const std::string bytes = MakePost(
    R"({"model":"condolence","stream":true,"max_tokens":5000,"messages":[{"role":"u","content":"x"}]})");
  send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  BOOST_TEST(Eventually([&] {
    const std::string page = Call(fleet.NodeAddress(0), "GET", "/metrics").m_body;
    return page.find("papayafield_requests_taken_total 1") != std::string::npos &&
           page.find("papayafield_requests_open 0") != std::string::npos;
  }));
  close(fd);
  BOOST_TEST(fleet.NodeProcess(0).IsRunning());
}

BOOST_AUTO_TEST_SUITE_END()
