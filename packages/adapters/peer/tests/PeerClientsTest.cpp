#include "adapters/peer/PeerClients.h"
#include "adapters/peer/PeerServer.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace papayafield;
using namespace papayafield::adapters::peer;

namespace {

const std::vector<std::string> kKeys{ "the first key of the fleet", "the second key of the fleet" };
constexpr base::Millis kTimeout{ 300 };

/// A peer server on a port assigned by the kernel.
struct TestServer {
  TestServer(kj::AsyncIoContext& aContext, const std::vector<std::string>& aKeys)
    : m_keys(aKeys)
    , m_server(MakeGate(m_handlers, m_keys)) {
    m_handlers.m_configuration = [] { return std::string("the configuration"); };
    auto address =
      aContext.provider->getNetwork().parseAddress("127.0.0.1").wait(aContext.waitScope);
    m_listener = address->listen();
    m_listening = m_server.listen(*m_listener).eagerlyEvaluate(nullptr);
  }

  base::Address ListenAddress() {
    return { "127.0.0.1", static_cast<uint16_t>(m_listener->getPort()) };
  }

  PeerHandlers m_handlers;
  std::vector<std::string> m_keys;
  capnp::TwoPartyServer m_server;
  kj::Own<kj::ConnectionReceiver> m_listener;
  kj::Promise<void> m_listening = nullptr;
};

kj::Promise<std::string> FetchConfiguration(PeerClients& aClients, const base::Address& aPeer) {
  return aClients.Call<std::string>(aPeer, kTimeout, [](wire::Peer::Client aClient) {
    return aClient.configurationRequest().send().then(
      [](capnp::Response<wire::Peer::ConfigurationResults> aResult) {
        const auto text = aResult.getText();
        return std::string(text.begin(), text.size());
      });
  });
}

bool CallFails(PeerClients& aClients, const base::Address& aPeer, kj::WaitScope& aScope) {
  return FetchConfiguration(aClients, aPeer)
    .then([](const std::string&) { return false; }, [](kj::Exception&&) { return true; })
    .wait(aScope);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerClientsTest)

BOOST_AUTO_TEST_CASE(OnlyFleetKeysAreAccepted) {
  auto context = kj::setupAsyncIo();
  TestServer server(context, kKeys);
  const std::vector<std::string> second{ kKeys[1] };
  const std::vector<std::string> foreign{ "the key of another fleet" };
  for (const std::vector<std::string>* keys : { &kKeys, &second }) {
    PeerClients clients(context, *keys);
    BOOST_TEST(FetchConfiguration(clients, server.ListenAddress()).wait(context.waitScope) ==
               "the configuration");
  }
  PeerClients clients(context, foreign);
  BOOST_TEST(CallFails(clients, server.ListenAddress(), context.waitScope));
}

// A peer that accepts connections but never responds must not block the client: the call times out,
// and the next call uses a new connection.
BOOST_AUTO_TEST_CASE(CallToSilentPeerTimesOut) {
  auto context = kj::setupAsyncIo();
  PeerClients clients(context, kKeys);
  const int silentSocket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  BOOST_REQUIRE(bind(silentSocket, reinterpret_cast<const sockaddr*>(&address), size) == 0);
  listen(silentSocket, 8);
  getsockname(silentSocket, reinterpret_cast<sockaddr*>(&address), &size);
  const base::Address silentAddress{ "127.0.0.1", ntohs(address.sin_port) };
  BOOST_TEST(CallFails(clients, silentAddress, context.waitScope));
  close(silentSocket);
  TestServer server(context, kKeys);
  BOOST_TEST(CallFails(clients, silentAddress, context.waitScope));
  BOOST_TEST(FetchConfiguration(clients, server.ListenAddress()).wait(context.waitScope) ==
             "the configuration");
}

BOOST_AUTO_TEST_SUITE_END()
