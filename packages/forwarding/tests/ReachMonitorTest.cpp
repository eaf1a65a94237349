#include "forwarding/NodeState.h"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace papayafield;
using namespace papayafield::forwarding;
using base::Millis;

namespace {

/// A listening address that accepts no connections until it is told to: new ones hang then.
class HangingListener {
public:
  HangingListener()
    : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    BOOST_REQUIRE(bind(m_fd, reinterpret_cast<sockaddr*>(&address), length) == 0);
    BOOST_REQUIRE(listen(m_fd, 0) == 0);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &length);
    m_address = { "127.0.0.1", ntohs(address.sin_port) };
    // One connection fills the queue of connections to be accepted.
    m_filler = socket(AF_INET, SOCK_STREAM, 0);
    BOOST_REQUIRE(connect(m_filler, reinterpret_cast<sockaddr*>(&address), length) == 0);
  }
  ~HangingListener() {
    for (const int fd : m_accepted) {
      close(fd);
    }
    close(m_filler);
    close(m_fd);
  }
  HangingListener(const HangingListener&) = delete;
  HangingListener& operator=(const HangingListener&) = delete;
  HangingListener(HangingListener&&) = delete;
  HangingListener& operator=(HangingListener&&) = delete;

  /// Accepts what waits, and lets connections work from now on.
  void Open() {
    listen(m_fd, SOMAXCONN);
    for (int fd = accept(m_fd, nullptr, nullptr); fd >= 0; fd = accept(m_fd, nullptr, nullptr)) {
      m_accepted.push_back(fd);
    }
  }
  const base::Address& Address() const { return m_address; }

private:
  int m_fd;
  int m_filler = -1;
  base::Address m_address;
  std::vector<int> m_accepted;
};

/// A node and endpoints to which connections hang.
struct MonitorFixture {
  explicit MonitorFixture(size_t aEndpoints)
    : m_listeners(aEndpoints) {
    for (size_t i = 0; i < aEndpoints; ++i) {
      fleet::Endpoint endpoint;
      endpoint.m_incarnation = { Id(i), 1 };
      endpoint.m_service = fleet::ServiceId("engines");
      endpoint.m_address = m_listeners[i].Address();
      endpoint.m_position = { 0, i + 1 };
      m_node.m_directory.Put({ Id(i), endpoint.m_position, endpoint });
    }
    BOOST_REQUIRE(m_node.m_directory.Ready().size() == aEndpoints);
    m_node.m_reachMonitor.SetHandler(
      [this](bool aIsIsolated) { m_isolations += aIsIsolated ? 1 : 0; });
  }

  static base::EndpointId Id(size_t aIndex) {
    return base::EndpointId("i-" + std::to_string(aIndex + 1));
  }
  void Run(Millis aTime) {
    const auto stop = m_loop.After(aTime, [this] { m_loop.Stop(); });
    m_loop.Run();
  }
  /// Lets the thread stand still for `aTime`, during which the endpoints begin to accept
  /// connections. The kernel repeats those that hang a second after they began.
  void Pause(Millis aTime) {
    std::this_thread::sleep_for(aTime);
    for (HangingListener& listener : m_listeners) {
      listener.Open();
    }
  }
  void FailAll() {
    for (size_t i = 0; i < m_listeners.size(); ++i) {
      m_node.m_reachMonitor.OnConnectFailed(Id(i), true);
    }
  }
  bool IsIsolated() const { return m_node.m_reach.IsIsolated(); }
  bool HasRoute() const { return m_node.m_pool.HasRoute(base::BootNow()); }

  adapters::http::EventLoop m_loop;
  std::vector<base::Address> m_relays;
  std::vector<HangingListener> m_listeners;
  NodeState m_node{
    m_loop, {}, {}, {}, {}, Millis(0), 1000, {}, true, [] {}, [this] { return m_relays; }
  };
  int m_isolations = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReachMonitorTest)

// All nodes lose three endpoints at once, and one of them works again: without a node that relays,
// all callers were refused until a second one worked.
BOOST_AUTO_TEST_CASE(OnlyEndpointThatWorksAgainIsUsedWithoutRelays) {
  MonitorFixture fixture(3);
  fixture.Run(Millis(150));
  fixture.FailAll();
  fixture.Run(Millis(500));
  BOOST_REQUIRE(fixture.IsIsolated());
  BOOST_TEST(!fixture.HasRoute());
  fixture.m_listeners[1].Open();
  fixture.Run(Millis(1000));
  BOOST_TEST(!fixture.IsIsolated());
  BOOST_TEST(fixture.HasRoute());
  BOOST_TEST(fixture.m_isolations == 1);
}

// One endpoint that works must not keep a node from the others that its relays reach.
BOOST_AUTO_TEST_CASE(OneEndpointThatWorksDoesNotReplaceRelays) {
  MonitorFixture fixture(3);
  fixture.m_relays = { { "127.0.0.1", 1 } };
  fixture.Run(Millis(150));
  fixture.FailAll();
  fixture.Run(Millis(500));
  BOOST_REQUIRE(fixture.IsIsolated());
  fixture.m_listeners[1].Open();
  fixture.Run(Millis(1000));
  BOOST_TEST(fixture.IsIsolated());
  BOOST_TEST(fixture.HasRoute());
  fixture.m_listeners[2].Open();
  fixture.Run(Millis(1000));
  BOOST_TEST(!fixture.IsIsolated());
}

// Probes that were in flight when the process was stopped time out together when it goes on.
BOOST_AUTO_TEST_CASE(ProbesInFlightDuringAPauseDoNotConfirmACut) {
  MonitorFixture fixture(3);
  fixture.Run(Millis(150));
  fixture.FailAll();
  const auto pause = fixture.m_loop.After(Millis(50), [&] { fixture.Pause(Millis(700)); });
  fixture.Run(Millis(1500));
  BOOST_TEST(fixture.m_isolations == 0);
  BOOST_TEST((fixture.m_node.m_reach.State() == ReachState::Reaching));
}

// A cut that begins during a pause, or goes on after it, is still found.
BOOST_AUTO_TEST_CASE(CutAfterAPauseIsFound) {
  MonitorFixture fixture(3);
  fixture.Run(Millis(150));
  const auto pause =
    fixture.m_loop.After(Millis(10), [] { std::this_thread::sleep_for(Millis(900)); });
  const auto calls = fixture.m_loop.Every(Millis(50), [&] { fixture.FailAll(); });
  fixture.Run(Millis(2200));
  BOOST_TEST(fixture.IsIsolated());
}

BOOST_AUTO_TEST_SUITE_END()
