#include "forwarding/Exchange.h"
#include "forwarding/EndpointRelay.h"

#include "PlannerFixture.h"
#include "adapters/http1/Listener.h"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <set>

/// \file
/// Tests which lost connections count as crashes of endpoints, and which as signs that another
/// process has taken the place of an endpoint.

using namespace papayafield;
using namespace papayafield::forwarding;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;
using adapters::http1::ServerConnection;
using base::Millis;

namespace {

constexpr Millis kTimeLimit{ 5000 };

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
  wire.m_idField = "Id";
  wire.m_encodeAttempt = [](const AttemptInfo& /*aInfo*/) {
    return RequestHead{ "POST", "/plain/a", {} };
  };
  wire.m_decodeAnswer = [](const ResponseHead& aHead) {
    AnswerInfo info;
    info.m_id = "call-1";
    info.m_signed = true;
    info.m_eventStream = aHead.m_fields.Find("Content-Type") == "text/event-stream";
    return info;
  };
  return wire;
}

/// Returns a catalog whose plain route has streams that may be resumed.
fleet::CatalogPtr MakeStreamCatalog() {
  fleet::Catalog::Contents contents;
  contents.m_version = 1;
  contents.m_services = tests::MakeCatalog()->Services();
  fleet::Route route = tests::MakeRoute("plain", tests::kPlain, 1, Millis(100));
  route.m_kind = fleet::CallKind::Stream;
  route.m_resumable = true;
  route.m_timeout = Millis(30000);
  route.m_maxAttempts = 2;
  contents.m_routes = { route };
  return std::make_shared<const fleet::Catalog>(std::move(contents));
}

/// An address at which new connections hang, because the queue of a listener is full.
class HangingAddress {
public:
  HangingAddress() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_address.m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto* const raw = reinterpret_cast<const sockaddr*>(&address);
    for (size_t i = 0; i <= kQueued; ++i) {
      m_sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      if (i == 0) {
        BOOST_REQUIRE(bind(m_sockets[0], raw, sizeof(address)) == 0);
        BOOST_REQUIRE(listen(m_sockets[0], 0) == 0);
      } else {
        BOOST_REQUIRE((connect(m_sockets[i], raw, sizeof(address)) == 0 || errno == EINPROGRESS));
      }
    }
  }
  ~HangingAddress() {
    for (const int fd : m_sockets) {
      close(fd);
    }
  }
  HangingAddress(const HangingAddress&) = delete;
  HangingAddress& operator=(const HangingAddress&) = delete;
  HangingAddress(HangingAddress&&) = delete;
  HangingAddress& operator=(HangingAddress&&) = delete;

  const base::Address& Address() const { return m_address; }

private:
  static constexpr size_t kQueued = 4;

  const base::Address m_address = FreeAddress();
  std::vector<int> m_sockets;
};

/// A node that sends a call to an endpoint, and another node that relays connections.
struct ExchangeFixture {
  explicit ExchangeFixture(fleet::CatalogPtr aCatalog = tests::MakeCatalog())
    : m_catalog(std::move(aCatalog))
    , m_listener(m_loop, m_endpointAddress, 65536, [this](auto aConnection) {
      Serve(aConnection);
    }) {
    BOOST_REQUIRE(m_listener.Listening());
    for (NodeState* const node : { &m_node, &m_otherNode }) {
      node->ApplyCatalog(m_catalog);
      PutEndpoint(*node, "i-1", tests::kPlain, m_endpointAddress);
      // Keeps the node isolated: one endpoint that is reached does not end that.
      PutEndpoint(*node, "i-2", tests::kEngines, FreeAddress());
    }
  }

  static void PutEndpoint(NodeState& aNode,
                          const char* aId,
                          const fleet::ServiceId& aService,
                          const base::Address& aAddress) {
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = { base::EndpointId(aId), 1 };
    endpoint.m_service = aService;
    endpoint.m_address = aAddress;
    endpoint.m_position = { 0, aNode.m_directory.All().size() + 1 };
    aNode.m_directory.Put({ base::EndpointId(aId), endpoint.m_position, endpoint });
  }

  void Serve(const std::shared_ptr<ServerConnection>& aConnection) {
    m_served.insert(aConnection);
    ServerConnection::Events events;
    events.m_onComplete = [this, weak = std::weak_ptr(aConnection)] {
      ++m_received;
      m_onRequest(*weak.lock());
    };
    aConnection->SetEvents(std::move(events));
  }

  static void Isolate(NodeState& aNode) {
    const auto now = base::BootNow();
    aNode.m_reach.SetEndpointCount(2);
    for (int i = 0; i < 2; ++i) {
      aNode.m_reach.RecordConnectFailed(base::EndpointId("i-1"), now);
      aNode.m_reach.RecordConnectFailed(base::EndpointId("i-2"), now);
      aNode.m_reach.Update(now);
    }
    aNode.m_reach.RecordProbesEnded(now);
    aNode.m_reach.Update(now);
    BOOST_REQUIRE(aNode.m_reach.IsIsolated());
  }

  /// Lets the other node relay connections of the isolated node.
  void StartRelay() {
    Isolate(m_node);
    m_relays = { FreeAddress() };
    m_relay = std::make_unique<EndpointRelay>(m_otherNode, m_relays[0], EndpointRelaySettings{});
    BOOST_REQUIRE(m_relay->Listening());
  }

  /// Sends a call with a shared prompt part, and returns the crashes that the node has recorded.
  size_t CrashesOfCall() {
    CallInfo call;
    call.m_id = "call-1";
    call.m_promptParts = { { "shared", 100 }, { "own", 50 } };
    AnswerSink sink;
    sink.m_onAnswer = [this](const ResponseHead& aHead, std::string_view /*aBody*/) {
      m_status = aHead.m_status;
      m_loop.Stop();
    };
    sink.m_onStreamHead = [](const ResponseHead& /*aHead*/) {};
    sink.m_onEvents = [](std::string_view /*aEvents*/) {};
    sink.m_onStreamBroken = [this] {
      m_isBroken = true;
      m_loop.Stop();
    };
    const auto exchange = std::make_shared<Exchange>(m_node,
                                                     m_catalog,
                                                     *m_catalog->FindRoute("h.example", "/plain/a"),
                                                     nullptr,
                                                     std::move(call),
                                                     RequestHead{ "POST", "/plain/a", {} },
                                                     std::make_shared<const RequestBody>(),
                                                     base::BootNow(),
                                                     std::move(sink));
    exchange->Start();
    const auto limit = m_loop.After(kTimeLimit, [this] { m_loop.Stop(); });
    m_loop.Run();
    return m_node.m_crashGuard.MakeReport(base::BootNow()).m_crashes.size();
  }

  void RunFor(Millis aTime) {
    const auto timer = m_loop.After(aTime, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  static inline const fleet::Incarnation kEndpoint{ base::EndpointId("i-1"), 1 };

  adapters::http::EventLoop m_loop;
  std::vector<base::Address> m_relays;
  NodeState m_node{ m_loop, MakeWireFormat(),           {}, {}, {}, Millis(0), 1000, {}, true,
                    [] {},  [this] {
                     return m_relays; } };
  NodeState m_otherNode{ m_loop,
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
  const fleet::CatalogPtr m_catalog;
  const base::Address m_endpointAddress = FreeAddress();
  std::unique_ptr<EndpointRelay> m_relay;
  std::function<void(ServerConnection&)> m_onRequest = [](ServerConnection& aConnection) {
    aConnection.Close();
  };
  std::set<std::shared_ptr<ServerConnection>> m_served;
  adapters::http1::Listener m_listener;
  int m_received = 0;
  int m_status = 0;
  bool m_isBroken = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ExchangeTest)

BOOST_AUTO_TEST_CASE(LostConnectionIsACrash) {
  ExchangeFixture fixture;
  BOOST_TEST(fixture.CrashesOfCall() == 1U);
  BOOST_TEST(fixture.m_received == 1);
  BOOST_TEST(fixture.m_status == 502);
}

// QuarantineTest: all endpoints crashed within milliseconds, so that the nodes counted as cut off
// before they had seen the last crash, and the part in the most crashes was not the deadly one.
BOOST_AUTO_TEST_CASE(ConnectionLostJustAfterIsolationIsACrash) {
  ExchangeFixture fixture;
  ExchangeFixture::Isolate(fixture.m_node);
  fixture.m_node.m_reach.RecordBytes(1, base::BootNow());
  BOOST_TEST(fixture.CrashesOfCall() == 1U);
  BOOST_TEST(fixture.m_received == 1);
}

BOOST_AUTO_TEST_CASE(ConnectionLostInSilenceIsNoCrash) {
  ExchangeFixture fixture;
  ExchangeFixture::Isolate(fixture.m_node);
  BOOST_TEST(fixture.CrashesOfCall() == 0U);
  BOOST_TEST(fixture.m_received == 1);
}

// Crashes that calls of isolated nodes caused were not counted.
BOOST_AUTO_TEST_CASE(ConnectionThatAnEndpointEndsBehindARelayIsACrash) {
  for (const bool isReset : { false, true }) {
    ExchangeFixture fixture;
    fixture.StartRelay();
    fixture.m_onRequest = [isReset](ServerConnection& aConnection) {
      if (isReset) {
        aConnection.Reset();
      } else {
        aConnection.Close();
      }
    };
    BOOST_TEST(fixture.CrashesOfCall() == 1U);
    BOOST_TEST(fixture.m_received == 1);
    BOOST_TEST(fixture.m_otherNode.m_crashGuard.MakeReport(base::BootNow()).m_crashes.empty());
  }
}

BOOST_AUTO_TEST_CASE(ConnectionThatIsLostAtTheRelayIsNoCrash) {
  ExchangeFixture fixture;
  fixture.StartRelay();
  fixture.m_onRequest = [&](ServerConnection& /*aConnection*/) {
    fixture.m_loop.Defer([&] { fixture.m_relay.reset(); });
  };
  BOOST_TEST(fixture.CrashesOfCall() == 0U);
  BOOST_TEST(fixture.m_received == 1);
  BOOST_TEST(fixture.m_status == 502);
}

// An answer without a length counted as complete when the relay ended in the middle of it.
BOOST_AUTO_TEST_CASE(AnswerThatIsCutAtTheRelayIsNotDelivered) {
  for (const bool isCut : { false, true }) {
    ExchangeFixture fixture;
    fixture.StartRelay();
    adapters::http::EventHandlePtr timer;
    fixture.m_onRequest = [&](ServerConnection& aConnection) {
      aConnection.Write("HTTP/1.1 200 OK\r\n\r\nhalf");
      timer = fixture.m_loop.After(Millis(50), [&] {
        if (isCut) {
          fixture.m_relay.reset();
        } else {
          aConnection.Close();
        }
      });
    };
    BOOST_TEST(fixture.CrashesOfCall() == 0U);
    BOOST_TEST(fixture.m_status == (isCut ? 502 : 200));
  }
}

// The relay's own connections may have failed with its way to the endpoints.
BOOST_AUTO_TEST_CASE(ConnectionLostBehindAnIsolatedRelayIsNoCrash) {
  ExchangeFixture fixture;
  fixture.StartRelay();
  fixture.m_onRequest = [&](ServerConnection& aConnection) {
    ExchangeFixture::Isolate(fixture.m_otherNode);
    aConnection.Reset();
  };
  BOOST_TEST(fixture.CrashesOfCall() == 0U);
  BOOST_TEST(fixture.m_received == 1);
}

// A stream whose endpoint was lost before its version was confirmed waited up to 10 s without a
// sign to its caller.
BOOST_AUTO_TEST_CASE(StreamOfUnconfirmedVersionIsBrokenOffSoonAfterItsEndpoint) {
  ExchangeFixture fixture(MakeStreamCatalog());
  const auto refused = fixture.m_node.m_pool.ConnectDirectly(
    fixture.m_node.m_directory.All().at(ExchangeFixture::kEndpoint.m_endpoint));
  fixture.m_node.m_continuity.OnEnded(
    ExchangeFixture::kEndpoint, refused, adapters::http1::EndKind::NotConnected);
  refused->Close();
  fixture.m_onRequest = [](ServerConnection& aConnection) {
    aConnection.Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                      "id: 1\ndata: x\n\nid: 2\n");
    aConnection.CloseWhenFlushed();
  };
  const auto start = base::BootNow();
  fixture.CrashesOfCall();
  BOOST_TEST(fixture.m_received == 1);
  BOOST_TEST(fixture.m_isBroken);
  BOOST_TEST((base::BootNow() - start < Millis(3000)));
  // The version is recorded for the caller once it is confirmed.
  const fleet::StreamKey key = fleet::StreamKeyOf("call-1");
  BOOST_TEST(fixture.m_node.m_streamOrigins.Known({ key }).empty());
  fixture.m_node.m_versionFinder.SetConfirmView(
    [](Millis /*aMaxWait*/, const std::function<void(bool)>& aOnDone) { aOnDone(true); });
  fixture.RunFor(Millis(500));
  BOOST_TEST(fixture.m_node.m_streamOrigins.Known({ key }).size() == 1U);
}

// Endpoints that a node did not reach because it was cut off counted as replaced.
BOOST_AUTO_TEST_CASE(ConnectTimeoutOfANodeThatMayBeIsolatedIsNoSignOfAnotherProcess) {
  for (const bool mayBeIsolated : { false, true }) {
    const HangingAddress hanging;
    ExchangeFixture fixture;
    ExchangeFixture::PutEndpoint(fixture.m_node, "i-1", tests::kPlain, hanging.Address());
    if (mayBeIsolated) {
      const auto now = base::BootNow();
      fixture.m_node.m_reach.SetEndpointCount(2);
      fixture.m_node.m_reach.RecordConnectFailed(base::EndpointId("i-1"), now, true);
      fixture.m_node.m_reach.RecordConnectFailed(base::EndpointId("i-2"), now, true);
      fixture.m_node.m_reach.Update(now);
    }
    BOOST_REQUIRE(fixture.m_node.m_reach.MayBeIsolated() == mayBeIsolated);
    fixture.CrashesOfCall();
    BOOST_TEST(fixture.m_status == 503);
    BOOST_TEST(fixture.m_node.m_continuity.HasEnded(ExchangeFixture::kEndpoint) == !mayBeIsolated);
  }
}

// An isolated node did not notice that an endpoint was restarted under its identifier.
BOOST_AUTO_TEST_CASE(EndBehindARelayIsASignOfAnotherProcess) {
  ExchangeFixture fixture;
  fixture.StartRelay();
  fixture.CrashesOfCall();
  BOOST_TEST(fixture.m_received == 1);
  const ProcessContinuity& continuity = fixture.m_node.m_continuity;
  BOOST_TEST(continuity.HasEnded(ExchangeFixture::kEndpoint));
  fixture.m_onRequest = [](ServerConnection& aConnection) {
    aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  };
  ExchangeFixture::Isolate(fixture.m_node);
  fixture.CrashesOfCall();
  BOOST_TEST(fixture.m_status == 200);
  BOOST_TEST(fixture.m_otherNode.m_metrics.Page().find(R"({event="relay_accepted"} 2)") !=
             std::string::npos);
  BOOST_TEST(!continuity.HasEnded(ExchangeFixture::kEndpoint));
  // All later connections lead to the process that was reached then.
  const auto later = fixture.m_node.m_pool.ConnectDirectly(
    fixture.m_node.m_directory.All().at(ExchangeFixture::kEndpoint.m_endpoint));
  const auto since = continuity.ProcessSince(ExchangeFixture::kEndpoint, later);
  BOOST_TEST((since != base::TimePoint{}));
  fixture.RunFor(Millis(20));
  BOOST_TEST((continuity.ProcessSince(ExchangeFixture::kEndpoint, later) == since));
  later->Close();
}

// The loss of a relay says nothing about the endpoint.
BOOST_AUTO_TEST_CASE(EndOfARelayIsNoSignOfAnotherProcess) {
  ExchangeFixture fixture;
  fixture.StartRelay();
  fixture.m_onRequest = [&](ServerConnection& /*aConnection*/) {
    fixture.m_loop.Defer([&] { fixture.m_relay.reset(); });
  };
  fixture.CrashesOfCall();
  BOOST_TEST(fixture.m_received == 1);
  BOOST_TEST(!fixture.m_node.m_continuity.HasEnded(ExchangeFixture::kEndpoint));
}

BOOST_AUTO_TEST_SUITE_END()
