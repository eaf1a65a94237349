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

BOOST_AUTO_TEST_SUITE_END()
