#pragma once

#include "adapters/peer/WireCodec.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayafield::adapters::peer {

/// A pool of authenticated RPC connections to other nodes. Connections are closed when a call fails
/// or when they are idle, and are established again on demand. Must only be used by the peers task.
class PeerClients {
public:
  /// Creates an empty pool. The arguments must outlive it.
  PeerClients(kj::AsyncIoContext& aContext, const std::vector<std::string>& aKeys);

  /// Runs `aCall` with the node at `aPeer`; `aTimeout` includes the time to connect. A call that
  /// fails or times out closes its connection, so that the next call uses a new one.
  template<class Result>
  kj::Promise<Result> Call(const base::Address& aPeer,
                           base::Millis aTimeout,
                           kj::Function<kj::Promise<Result>(wire::Peer::Client)> aCall);

  /// Closes connections that have been idle for too long.
  void CloseIdleConnections();

private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<capnp::TwoPartyClient> m_client;
    /// Resolves after the handshake.
    kj::Maybe<kj::ForkedPromise<wire::Peer::Client>> m_authenticatedPeer;
    /// Distinguishes successive connections to the same peer.
    uint64_t m_serial = 0;
    base::TimePoint m_lastUsed;
  };

  Connection& GetOrConnect(const base::Address& aPeer);
  kj::Promise<wire::Peer::Client> ConnectAndAuthenticate(const base::Address& aPeer,
                                                         uint64_t aSerial);
  Connection* FindConnection(const base::Address& aPeer, uint64_t aSerial);
  void CloseConnection(const base::Address& aPeer, uint64_t aSerial);

  kj::AsyncIoContext& m_context;
  const std::vector<std::string>& m_keys;
  std::map<base::Address, std::unique_ptr<Connection>> m_connections;
  uint64_t m_lastSerial = 0;
};

template<class Result>
kj::Promise<Result> PeerClients::Call(const base::Address& aPeer,
                                      base::Millis aTimeout,
                                      kj::Function<kj::Promise<Result>(wire::Peer::Client)> aCall) {
  Connection& connection = GetOrConnect(aPeer);
  const uint64_t serial = connection.m_serial;
  auto result = KJ_ASSERT_NONNULL(connection.m_authenticatedPeer)
                  .addBranch()
                  .then([call = kj::mv(aCall)](wire::Peer::Client aClient) mutable {
                    return call(kj::mv(aClient));
                  });
  return m_context.provider->getTimer()
    .timeoutAfter(aTimeout.count() * kj::MILLISECONDS, kj::mv(result))
    .catch_([this, aPeer, serial](kj::Exception&& aException) -> kj::Promise<Result> {
      CloseConnection(aPeer, serial);
      return kj::mv(aException);
    });
}

} // namespace papayafield::adapters::peer
