#include "forwarding/EndpointRelay.h"

#include "forwarding/AnswerHeadReader.h"
#include "forwarding/RelayTarget.h"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <vector>

using namespace papayafield;
using namespace papayafield::forwarding;
using adapters::http1::ClientConnection;
using adapters::http1::EndKind;
using adapters::http1::ResponseHead;
using adapters::http1::ServerConnection;
using base::Millis;

namespace {

constexpr Millis kTimeout{ 5000 };

/// Returns a loopback address that was free a moment ago.
base::Address FreeAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  BOOST_REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return { "127.0.0.1", ntohs(address.sin_port) };
}

WireFormat MakeWireFormat() {
  WireFormat wire;
  wire.m_decodeAnswer = [](const ResponseHead& aHead) {
    AnswerInfo info;
    info.m_leaving = aHead.m_fields.Find("Server-Leaving").has_value();
    if (aHead.m_fields.Find("Retry-After")) {
      info.m_retryAfter = Millis(2000);
    }
    return info;
  };
  return wire;
}

/// An endpoint, and a node that relays connections to it.
struct RelayFixture {
  explicit RelayFixture(EndpointRelaySettings aSettings = {})
    : m_relayAddress(FreeAddress())
    , m_endpointAddress(FreeAddress())
    , m_relay(m_node, m_relayAddress, aSettings)
    , m_listener(m_loop, m_endpointAddress, 65536, [this](auto aConnection) {
      Serve(aConnection);
    }) {
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = kEndpoint;
    endpoint.m_service = fleet::ServiceId("engines");
    endpoint.m_address = m_endpointAddress;
    endpoint.m_position = { 0, 1 };
    m_node.m_directory.Put({ kEndpoint.m_endpoint, { 0, 1 }, endpoint });
    BOOST_REQUIRE(m_relay.Listening());
    BOOST_REQUIRE(m_listener.Listening());
  }

  void Serve(const std::shared_ptr<ServerConnection>& aConnection) {
    ++m_accepted;
    m_served.insert(aConnection);
    ServerConnection::Events events;
    const std::weak_ptr<ServerConnection> weak = aConnection;
    events.m_onBody = [this](std::string_view aBytes) { m_received += aBytes.size(); };
    events.m_onComplete = [this, weak] {
      if (const auto connection = weak.lock()) {
        connection->Write(m_answer);
        connection->Resume();
      }
    };
    events.m_onEnd = [this](EndKind /*aKind*/, bool /*aInMessage*/) {
      ++m_ended;
      m_loop.Stop();
    };
    aConnection->SetEvents(std::move(events));
  }

  /// Sends a request to `aEndpoint` through the relay, and returns how that ended. A complete
  /// answer counts as `Finished`.
  EndKind Call(const fleet::Incarnation& aEndpoint, const std::string& aBody = "{}") {
    const auto connection =
      ClientConnection::ConnectThrough(m_loop, m_relayAddress, RelayTarget(aEndpoint), kTimeout);
    EndKind result = EndKind::Malformed;
    m_body.clear();
    ClientConnection::Events events;
    events.m_onBody = [this](std::string_view aBytes) { m_body += aBytes; };
    events.m_onComplete = [&] {
      result = EndKind::Finished;
      m_loop.Stop();
    };
    events.m_onEnd = [&](EndKind aKind, bool /*aInMessage*/) {
      result = aKind;
      m_loop.Stop();
    };
    connection->SetEvents(std::move(events));
    connection->Write(adapters::http1::Serialize({ "POST", "/a", {} }, aBody));
    Run();
    connection->Close();
    return result;
  }

  void Run() {
    const auto limit = m_loop.After(kTimeout, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  static inline const fleet::Incarnation kEndpoint{ base::EndpointId("i 1/x"), 7 };

  adapters::http::EventLoop m_loop;
  NodeState m_node{ m_loop,
                    MakeWireFormat(),
                    {},
                    {},
                    {},
                    Millis(0),
                    1000,
                    {},
                    true,
                    [] {},
                    [] { return std::vector<base::Address>(); } };
  const base::Address m_relayAddress;
  const base::Address m_endpointAddress;
  EndpointRelay m_relay;
  adapters::http1::Listener m_listener;
  std::set<std::shared_ptr<ServerConnection>> m_served;
  std::string m_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  int m_accepted = 0;
  int m_ended = 0;
  size_t m_received = 0;
  std::string m_body;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointRelayTest)

BOOST_AUTO_TEST_CASE(TargetsKeepTheirCharacters) {
  const fleet::Incarnation incarnation{ base::EndpointId("i@1 ?&=/x"), -5 };
  BOOST_TEST((ParseRelayTarget(RelayTarget(incarnation)) == incarnation));
  for (const char* target : { "", "i-1", "@1", "i-1@", "i-1@x", "i-1@1x" }) {
    BOOST_TEST(!ParseRelayTarget(target).has_value());
  }
}

BOOST_AUTO_TEST_CASE(AnswersArePassedOn) {
  RelayFixture fixture;
  BOOST_TEST((fixture.Call(RelayFixture::kEndpoint) == EndKind::Finished));
  BOOST_TEST(fixture.m_body == "ok");
  BOOST_TEST(fixture.m_accepted == 1);
}

// More than the buffers of both sides hold.
BOOST_AUTO_TEST_CASE(LargeBodiesPassInBothDirections) {
  constexpr size_t kBytes = 8U << 20U;
  RelayFixture fixture;
  fixture.m_answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) + "\r\n\r\n" +
                     std::string(kBytes, 'x');
  BOOST_TEST(
    (fixture.Call(RelayFixture::kEndpoint, std::string(kBytes, 'y')) == EndKind::Finished));
  BOOST_TEST(fixture.m_received == kBytes);
  BOOST_TEST(fixture.m_body.size() == kBytes);
}

BOOST_AUTO_TEST_CASE(EndOfAnEndpointIsPassedOn) {
  RelayFixture fixture;
  fixture.m_answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok";
  const auto poll = fixture.m_loop.Every(Millis(5), [&] {
    for (const auto& connection : std::exchange(fixture.m_served, {})) {
      connection->CloseWhenFlushed();
    }
  });
  const EndKind end = fixture.Call(RelayFixture::kEndpoint);
  BOOST_TEST((end == EndKind::Finished || end == EndKind::Reset));
  BOOST_TEST(fixture.m_body.size() <= 2U);
}

// A relay that states no end is of an earlier version: it may be its own end.
BOOST_AUTO_TEST_CASE(AnswersOfRelaysWithoutFramesAreRead) {
  for (const bool isComplete : { true, false }) {
    adapters::http::EventLoop loop;
    const base::Address address = FreeAddress();
    const adapters::http1::SocketListener relay(loop, address, [&](int aFd) {
      const std::string bytes =
        "HTTP/1.1 200 Connected\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no" +
        std::string(isComplete ? "k" : "");
      BOOST_TEST(write(aFd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
      shutdown(aFd, SHUT_WR);
    });
    const auto connection = ClientConnection::ConnectThrough(loop, address, "i-1@1", kTimeout);
    bool isAnswered = false;
    std::optional<EndKind> end;
    ClientConnection::Events events;
    events.m_onComplete = [&] { isAnswered = true; };
    events.m_onEnd = [&](EndKind aKind, bool /*aInMessage*/) {
      end = aKind;
      loop.Stop();
    };
    connection->SetEvents(std::move(events));
    const auto limit = loop.After(kTimeout, [&] { loop.Stop(); });
    loop.Run();
    BOOST_TEST(isAnswered == isComplete);
    BOOST_TEST((end == EndKind::RelayLost));
  }
}

BOOST_AUTO_TEST_CASE(ClientsThatAskForNoFramesGetNone) {
  RelayFixture fixture;
  const auto connection =
    ClientConnection::ConnectTo(fixture.m_loop, fixture.m_relayAddress, kTimeout);
  connection->Write("CONNECT " + RelayTarget(RelayFixture::kEndpoint) + " HTTP/1.1\r\n\r\n" +
                    adapters::http1::Serialize({ "POST", "/a", {} }, "{}"));
  std::vector<int> statuses;
  ClientConnection::Events events;
  // The response of the relay has no length either.
  connection->ExpectNoBody();
  events.m_onHead = [&](ResponseHead&& aHead) { statuses.push_back(aHead.m_status); };
  events.m_onComplete = [&] {
    connection->Resume();
    if (statuses.size() == 2) {
      fixture.m_loop.Stop();
    }
  };
  connection->SetEvents(std::move(events));
  fixture.Run();
  BOOST_TEST((statuses == std::vector<int>{ 200, 200 }));
  connection->Close();
}

// The endpoint drops a call whose caller has gone.
BOOST_AUTO_TEST_CASE(EndOfTheClientIsPassedOn) {
  RelayFixture fixture;
  fixture.m_answer.clear();
  const auto connection = ClientConnection::ConnectThrough(
    fixture.m_loop, fixture.m_relayAddress, RelayTarget(RelayFixture::kEndpoint), kTimeout);
  connection->Write(adapters::http1::Serialize({ "POST", "/a", {} }, "{}"));
  const auto close = fixture.m_loop.After(Millis(100), [&] { connection->Close(); });
  fixture.Run();
  BOOST_TEST(fixture.m_ended == 1);
  BOOST_TEST(fixture.m_received == 2U);
}

/// A client that has ended its sending side after a request, and an endpoint that still answers it,
/// both as raw sockets.
struct HalfClosedFixture : RelayFixture {
  HalfClosedFixture()
    : RelayFixture(EndpointRelaySettings{ .m_maxLinger = Millis(300) })
    , m_target(FreeAddress())
    , m_sockets(m_loop, m_target, [this](int aFd) { m_endpoint = aFd; })
    , m_client(socket(AF_INET, SOCK_STREAM, 0)) {
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = { base::EndpointId("i-2"), 1 };
    endpoint.m_address = m_target;
    endpoint.m_position = { 0, 2 };
    m_node.m_directory.Put({ endpoint.m_incarnation.m_endpoint, { 0, 2 }, endpoint });
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_relayAddress.m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(m_client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    const std::string request =
      "CONNECT " + RelayTarget(endpoint.m_incarnation) + " HTTP/1.1\r\n\r\nrequest";
    BOOST_REQUIRE(write(m_client, request.data(), request.size()) ==
                  static_cast<ssize_t>(request.size()));
    shutdown(m_client, SHUT_WR);
    RunFor(Millis(100));
    BOOST_REQUIRE(m_endpoint >= 0);
    BOOST_REQUIRE(m_relay.Count() == 1U);
  }
  ~HalfClosedFixture() {
    close(m_client);
    close(m_endpoint);
  }
  HalfClosedFixture(const HalfClosedFixture&) = delete;
  HalfClosedFixture& operator=(const HalfClosedFixture&) = delete;
  HalfClosedFixture(HalfClosedFixture&&) = delete;
  HalfClosedFixture& operator=(HalfClosedFixture&&) = delete;

  void RunFor(Millis aTime) {
    const auto stop = m_loop.After(aTime, [this] { m_loop.Stop(); });
    m_loop.Run();
  }
  /// Returns what the client has received of the answer since the last call.
  std::string Received() const {
    std::string all;
    std::array<char, 65536> buffer{};
    for (ssize_t length = 1; length > 0;) {
      length = recv(m_client, buffer.data(), buffer.size(), MSG_DONTWAIT);
      all.append(buffer.data(), static_cast<size_t>(std::max<ssize_t>(length, 0)));
    }
    return all.substr(all.starts_with("HTTP/1.1 200") ? all.find("\r\n\r\n") + 4 : 0);
  }

  const base::Address m_target;
  adapters::http1::SocketListener m_sockets;
  int m_client;
  int m_endpoint = -1;
};

// A long answer was cut off at a fixed time after its client had ended its side.
BOOST_FIXTURE_TEST_CASE(AnswerOutlastsTheEndOfItsClient, HalfClosedFixture) {
  std::string received;
  for (int i = 0; i < 12; ++i) {
    BOOST_TEST(send(m_endpoint, "x", 1, MSG_NOSIGNAL) == 1);
    RunFor(Millis(100));
    received += Received();
  }
  BOOST_TEST(received == std::string(12, 'x'));
  shutdown(m_endpoint, SHUT_WR);
  RunFor(Millis(100));
  BOOST_TEST(m_relay.Count() == 0U);
}

// The rest of an answer waits in the relay if the client reads slowly.
BOOST_FIXTURE_TEST_CASE(SlowReaderGetsTheWholeAnswer, HalfClosedFixture) {
  constexpr size_t kBytes = 4U << 20U;
  const std::string answer(kBytes, 'x');
  size_t sent = 0;
  size_t received = 0;
  std::string taken(1U << 20U, '\0');
  const auto start = base::BootNow();
  while (received < kBytes && base::BootNow() - start < kTimeout) {
    const ssize_t length =
      send(m_endpoint, answer.data() + sent, kBytes - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    sent += static_cast<size_t>(std::max<ssize_t>(length, 0));
    if (sent == kBytes) {
      shutdown(m_endpoint, SHUT_WR);
    }
    RunFor(Millis(100));
    const ssize_t read = recv(m_client, taken.data(), taken.size(), MSG_DONTWAIT);
    received += static_cast<size_t>(std::max<ssize_t>(read, 0));
  }
  // The answer to CONNECT comes first.
  BOOST_TEST(received >= kBytes);
}

// An endpoint that sends nothing more must not hold a connection of the relay for ever.
BOOST_FIXTURE_TEST_CASE(ConnectionWithoutProgressEndsAfterItsClient, HalfClosedFixture) {
  RunFor(Millis(1000));
  BOOST_TEST(m_relay.Count() == 0U);
  BOOST_TEST(send(m_endpoint, "x", 1, MSG_NOSIGNAL) == -1);
}

// A refusal that is due to the endpoint must not count against the relay: one endpoint that leaves
// would keep the node from all relays.
BOOST_AUTO_TEST_CASE(RefusedConnectionsReachNoEndpoint) {
  const auto expect =
    [](RelayFixture& aFixture, const fleet::Incarnation& aEndpoint, EndKind aKind) {
      BOOST_TEST((aFixture.Call(aEndpoint) == aKind));
      BOOST_TEST(aFixture.m_accepted == 0);
    };
  const auto expectEndpointRefused = [&](RelayFixture& aFixture,
                                         const fleet::Incarnation& aEndpoint) {
    expect(aFixture, aEndpoint, EndKind::NotConnected);
  };
  const auto expectRefusal = [&](RelayFixture& aFixture, const fleet::Incarnation& aEndpoint) {
    expect(aFixture, aEndpoint, EndKind::RelayFailed);
  };
  const fleet::Incarnation endpoint = RelayFixture::kEndpoint;
  {
    RelayFixture fixture;
    expectEndpointRefused(fixture, { base::EndpointId("i-2"), 7 });
    expectEndpointRefused(fixture, { endpoint.m_endpoint, 8 });
  }
  {
    RelayFixture fixture;
    fixture.m_node.m_availability.MarkLeaving(endpoint, base::BootNow());
    expectEndpointRefused(fixture, endpoint);
  }
  {
    RelayFixture fixture;
    fixture.m_node.m_availability.Pause(endpoint, Millis(1000), base::BootNow());
    expectEndpointRefused(fixture, endpoint);
  }
  {
    RelayFixture fixture;
    fixture.m_relay.BeginDrain();
    BOOST_TEST(!fixture.m_relay.IsAvailable());
    expectRefusal(fixture, endpoint);
  }
  {
    RelayFixture fixture;
    fixture.m_node.m_reach.SetEndpointCount(1);
    fixture.m_node.m_reach.RecordConnectFailed(endpoint.m_endpoint, base::BootNow());
    fixture.m_node.m_reach.Update(base::BootNow());
    BOOST_TEST(!fixture.m_relay.IsAvailable());
    expectRefusal(fixture, endpoint);
  }
  {
    RelayFixture fixture(EndpointRelaySettings{ 0 });
    expectRefusal(fixture, endpoint);
  }
}

BOOST_AUTO_TEST_CASE(UnreachableEndpointIsNotConnected) {
  RelayFixture fixture;
  fleet::Endpoint endpoint;
  endpoint.m_incarnation = { base::EndpointId("i-2"), 1 };
  endpoint.m_address = FreeAddress();
  endpoint.m_position = { 0, 2 };
  fixture.m_node.m_directory.Put({ endpoint.m_incarnation.m_endpoint, { 0, 2 }, endpoint });
  BOOST_TEST((fixture.Call(endpoint.m_incarnation) == EndKind::NotConnected));
}

// The endpoint has stated it to the host of the relay.
BOOST_AUTO_TEST_CASE(StatementsOfEndpointsApplyAtTheRelay) {
  RelayFixture leaving;
  leaving.m_answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"
                     "Content-Length: 2\r\n\r\nok";
  BOOST_TEST((leaving.Call(RelayFixture::kEndpoint) == EndKind::Finished));
  BOOST_TEST((leaving.m_node.m_availability.Check(RelayFixture::kEndpoint, base::BootNow()) ==
              fleet::Unavailability::Leaving));
  RelayFixture waiting;
  waiting.m_answer = "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n";
  BOOST_TEST((waiting.Call(RelayFixture::kEndpoint) == EndKind::Finished));
  BOOST_TEST((waiting.m_node.m_availability.Check(RelayFixture::kEndpoint, base::BootNow()) ==
              fleet::Unavailability::Waiting));
}

BOOST_AUTO_TEST_CASE(HeadIsReadFromPieces) {
  const std::string bytes = "HTTP/1.1 503 Busy\r\nRetry-After:  2 \r\nX: y\r\n\r\nbody";
  AnswerHeadReader reader;
  std::optional<ResponseHead> head;
  for (const char byte : bytes) {
    if (auto read = reader.Feed({ &byte, 1 })) {
      head = std::move(read);
    }
  }
  BOOST_REQUIRE(head.has_value());
  BOOST_TEST(head->m_status == 503);
  BOOST_TEST(head->m_fields.Find("retry-after").value_or("") == "2");
  BOOST_TEST(reader.IsDone());
  AnswerHeadReader malformed;
  BOOST_TEST(!malformed.Feed("no answer\r\n\r\n").has_value());
  BOOST_TEST(malformed.IsDone());
  AnswerHeadReader endless;
  BOOST_TEST(!endless.Feed(std::string(100000, 'x')).has_value());
  BOOST_TEST(endless.IsDone());
}

BOOST_AUTO_TEST_SUITE_END()
