#include "adapters/peer/PeerClients.h"

#include "adapters/peer/PeerServer.h"

#include <kj/debug.h>

#include <vector>

namespace papayafield::adapters::peer {

namespace {

/// Idle time after which a connection is closed.
constexpr base::Millis kIdleTimeout{ 30000 };

} // namespace

PeerClients::PeerClients(kj::AsyncIoContext& aContext, const std::vector<std::string>& aKeys)
  : m_context(aContext)
  , m_keys(aKeys) {}

PeerClients::Connection& PeerClients::GetOrConnect(const base::Address& aPeer) {
  auto& connection = m_connections[aPeer];
  if (connection == nullptr) {
    connection = std::make_unique<Connection>();
    connection->m_serial = ++m_lastSerial;
    // Calls that are made while the connection is being established share the promise.
    connection->m_authenticatedPeer = ConnectAndAuthenticate(aPeer, connection->m_serial).fork();
  }
  connection->m_lastUsed = base::SteadyClock().Now();
  return *connection;
}

kj::Promise<wire::Peer::Client> PeerClients::ConnectAndAuthenticate(const base::Address& aPeer,
                                                                    uint64_t aSerial) {
  return m_context.provider->getNetwork()
    .parseAddress(aPeer.ToText())
    .then([](kj::Own<kj::NetworkAddress> aAddress) {
      auto connecting = aAddress->connect();
      return connecting.attach(kj::mv(aAddress));
    })
    .then([this, aPeer, aSerial](kj::Own<kj::AsyncIoStream> aStream) {
      Connection* connection = FindConnection(aPeer, aSerial);
      if (connection == nullptr) {
        kj::throwFatalException(
          KJ_EXCEPTION(DISCONNECTED, "the connection was closed before the handshake completed"));
      }
      connection->m_stream = kj::mv(aStream);
      connection->m_client = kj::heap<capnp::TwoPartyClient>(*connection->m_stream);
      auto gate = connection->m_client->bootstrap().castAs<wire::Gate>();
      // Authenticate with a fleet key by challenge and response.
      auto hello = gate.helloRequest();
      hello.setVersion(wire::PROTOCOL_VERSION);
      return hello.send();
    })
    .then([this](capnp::Response<wire::Gate::HelloResults> aHello) {
      const auto nonce = aHello.getNonce();
      auto answer = aHello.getChallenge().answerRequest();
      answer.setProof(ComputeProof(std::string(nonce.begin(), nonce.size()), m_keys.front()));
      return answer.send();
    })
    .then(
      [](capnp::Response<wire::Challenge::AnswerResults> aAnswer) { return aAnswer.getPeer(); });
}

PeerClients::Connection* PeerClients::FindConnection(const base::Address& aPeer, uint64_t aSerial) {
  const auto found = m_connections.find(aPeer);
  return found != m_connections.end() && found->second->m_serial == aSerial ? found->second.get()
                                                                            : nullptr;
}

void PeerClients::CloseConnection(const base::Address& aPeer, uint64_t aSerial) {
  if (FindConnection(aPeer, aSerial) != nullptr) {
    m_connections.erase(aPeer);
  }
}

void PeerClients::CloseIdleConnections() {
  const base::TimePoint now = base::SteadyClock().Now();
  std::erase_if(m_connections,
                [&](const auto& aEntry) { return now - aEntry.second->m_lastUsed > kIdleTimeout; });
}

} // namespace papayafield::adapters::peer
