#include "forwarding/EndpointPool.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;

namespace {

fleet::Endpoint MakeEndpoint(const char* aId) {
  fleet::Endpoint endpoint;
  endpoint.m_incarnation = { base::EndpointId(aId), 1 };
  endpoint.m_address = { "127.0.0.1", 1 };
  return endpoint;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointPoolTest)

// A connection that was counted after its end, or not counted while idle, would make a node refuse
// calls in calm or exceed its descriptors.
BOOST_AUTO_TEST_CASE(ConnectionsCountUntilTheyEnd) {
  adapters::http::EventLoop loop;
  const EndpointReach reach{ EndpointReachSettings{} };
  EndpointPool pool(loop, reach, [] { return std::vector<base::Address>(); });
  const fleet::Endpoint one = MakeEndpoint("i-1");
  const fleet::Endpoint other = MakeEndpoint("i-2");
  const auto now = base::BootNow();
  auto first = pool.Connect(one, now).m_connection;
  auto second = pool.Connect(other, now).m_connection;
  BOOST_TEST(pool.OpenCount() == 2U);
  BOOST_TEST(!pool.CloseLongestIdle());
  pool.Return(one.m_incarnation, first, std::nullopt, now);
  pool.Return(other.m_incarnation, second, std::nullopt, now - base::Millis(1));
  first.reset();
  second.reset();
  BOOST_TEST(pool.OpenCount() == 2U);
  BOOST_TEST(pool.CloseLongestIdle());
  // Handlers that a connection no longer needs are destroyed by the loop.
  const auto stop = loop.After(base::Millis(10), [&] { loop.Stop(); });
  const auto reused = pool.Acquire(one, 1, now).m_connection;
  BOOST_TEST(reused != nullptr);
  loop.Run();
  BOOST_TEST(pool.OpenCount() == 1U);
  BOOST_TEST(!pool.CloseLongestIdle());
}

// A connection that was idle when the node was cut off may hang.
BOOST_AUTO_TEST_CASE(IsolatedNodeConnectsThroughOtherNodes) {
  adapters::http::EventLoop loop;
  EndpointReach reach{ EndpointReachSettings{} };
  std::vector<base::Address> relays;
  EndpointPool pool(loop, reach, [&] { return relays; });
  const fleet::Endpoint endpoint = MakeEndpoint("i-1");
  const auto now = base::BootNow();
  pool.Return(
    endpoint.m_incarnation, pool.ConnectDirectly(endpoint), std::nullopt, now - base::Millis(10));
  reach.SetEndpointCount(1);
  for (int i = 0; i < 2; ++i) {
    reach.RecordConnectFailed(endpoint.m_incarnation.m_endpoint, now, true);
    reach.Update(now);
  }
  reach.RecordProbesEnded(now);
  reach.Update(now);
  BOOST_REQUIRE(reach.IsIsolated());
  BOOST_TEST(!pool.HasRoute(now));
  relays = { { "127.0.0.2", 1 }, { "127.0.0.3", 1 } };
  BOOST_TEST(pool.HasRoute(now));
  const PooledConnection first = pool.Acquire(endpoint, 1, now);
  const PooledConnection second = pool.Acquire(endpoint, 1, now);
  BOOST_TEST(!first.m_reused);
  BOOST_TEST(!first.m_relay.empty());
  BOOST_TEST(!second.m_relay.empty());
  BOOST_TEST(first.m_relay != second.m_relay);
  BOOST_TEST(pool.RelayedCount() == 2U);
  pool.AvoidRelay(first.m_relay, now);
  BOOST_TEST(pool.Connect(endpoint, now).m_relay == second.m_relay);
  pool.AvoidRelay(second.m_relay, now);
  BOOST_TEST(!pool.HasRoute(now));
  BOOST_TEST(pool.HasRoute(now + base::Millis(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
