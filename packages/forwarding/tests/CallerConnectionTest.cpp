#include "forwarding/CallerConnection.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace papayafield;
using namespace papayafield::forwarding;

BOOST_AUTO_TEST_SUITE(CallerConnectionTest)

// A stopping node lost the end of an answer on a connection that the answer had not closed.
BOOST_AUTO_TEST_CASE(AnswerOnAKeptConnectionIsSentBeforeTheNodeEnds) {
  constexpr size_t kBytes = 1U << 20U;
  adapters::http::EventLoop loop;
  int sockets[2] = { -1, -1 };
  BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) == 0);
  bool closed = false;
  const CallerSettings settings;
  base::BufferBudget buffers{ base::BufferBudgetSettings{} };
  const auto connection = std::make_shared<CallerConnection>(
    loop,
    buffers,
    adapters::http1::ServerConnection::FromAcceptedSocket(loop, sockets[0], 4096),
    settings,
    [&](auto&&, auto&&, auto, const AnswerSink& aSink) {
      aSink.m_onAnswer({}, std::string(kBytes, 'x'));
      loop.Stop();
      return nullptr;
    },
    [&](const auto&) { closed = true; });
  connection->Start();
  const std::string request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";
  BOOST_REQUIRE(write(sockets[1], request.data(), request.size()) ==
                static_cast<ssize_t>(request.size()));
  loop.Run();
  BOOST_TEST(connection->IsBusy());
  connection->Abort();
  BOOST_TEST(!closed);
  size_t received = 0;
  std::vector<char> buffer(65536);
  const auto reader = loop.OnReadable(sockets[1], [&] {
    const ssize_t bytes = read(sockets[1], buffer.data(), buffer.size());
    received += static_cast<size_t>(std::max<ssize_t>(bytes, 0));
    if (bytes <= 0) {
      loop.Stop();
    }
  });
  const auto timeout = loop.After(base::Millis(5000), [&] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(closed);
  BOOST_TEST(received > kBytes);
  close(sockets[1]);
}

// Callers that take no answers each held up to 64 KiB beside the budget, more than the memory of a
// small host for a large crowd.
BOOST_AUTO_TEST_CASE(AnswersThatAreNotTakenAreAccountedFor) {
  constexpr size_t kAnswerBytes = 32768;
  constexpr size_t kMaxUnaccountedBytes = 16384;
  adapters::http::EventLoop loop;
  int sockets[2] = { -1, -1 };
  BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) == 0);
  // The kernel takes only a small part of the answer.
  const int sendBufferBytes = 4096;
  BOOST_REQUIRE(
    setsockopt(sockets[0], SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof(sendBufferBytes)) == 0);
  const CallerSettings settings;
  base::BufferBudget buffers{ base::BufferBudgetSettings{} };
  const auto served = adapters::http1::ServerConnection::FromAcceptedSocket(loop, sockets[0], 4096);
  const auto connection = std::make_shared<CallerConnection>(
    loop,
    buffers,
    served,
    settings,
    [&](auto&&, auto&&, auto, const AnswerSink& aSink) {
      aSink.m_onAnswer({}, std::string(kAnswerBytes, 'x'));
      loop.Stop();
      return nullptr;
    },
    [](const auto&) {});
  connection->Start();
  const std::string request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";
  BOOST_REQUIRE(write(sockets[1], request.data(), request.size()) ==
                static_cast<ssize_t>(request.size()));
  loop.Run();
  BOOST_TEST(served->PendingOutput() > kMaxUnaccountedBytes);
  BOOST_TEST(buffers.UsedBytes() + kMaxUnaccountedBytes >= served->PendingOutput());
  connection->Close();
  close(sockets[1]);
}

BOOST_AUTO_TEST_SUITE_END()
