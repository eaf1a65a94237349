#pragma once

#include "adapters/peer/WireCodec.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayafield::adapters::peer {

/// Connections to other nodes, kept for a while and renewed when they fail or grow old. Belongs to
/// the peers task.
class PeerClients {
public:
  /// Connects through `aContext`. All arguments must outlive it.
  PeerClients(kj::AsyncIoContext& aContext, const std::vector<std::string>& aKeys);

  /// Does `aCall` with the node at `aPeer`, within `aTimeout` in all. A call that fails or takes
  /// too long drops its connection, so that the next one gets a fresh one.
  template<class Result>
  kj::Promise<Result> Call(const base::Address& aPeer,
                           base::Millis aTimeout,
                           kj::Function<kj::Promise<Result>(wire::Peer::Client)> aCall);

  /// Drops connections that were not used for a while.
  void DropIdle();

private:
  struct Connection {
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<capnp::TwoPartyClient> m_client;
    /// Resolves once the peer has let this node in.
    kj::Maybe<kj::ForkedPromise<wire::Peer::Client>> m_peer;
    /// Tells connections to the same peer apart.
    uint64_t m_serial = 0;
    base::TimePoint m_used;
  };

  Connection& Get(const base::Address& aPeer);
  kj::Promise<wire::Peer::Client> Enter(const base::Address& aPeer, uint64_t aSerial);
  Connection* Find(const base::Address& aPeer, uint64_t aSerial);
  void Drop(const base::Address& aPeer, uint64_t aSerial);

  kj::AsyncIoContext& m_context;
  const std::vector<std::string>& m_keys;
  std::map<base::Address, std::unique_ptr<Connection>> m_connections;
  uint64_t m_lastSerial = 0;
};

template<class Result>
kj::Promise<Result> PeerClients::Call(const base::Address& aPeer,
                                      base::Millis aTimeout,
                                      kj::Function<kj::Promise<Result>(wire::Peer::Client)> aCall) {
  Connection& connection = Get(aPeer);
  const uint64_t serial = connection.m_serial;
  auto work = KJ_ASSERT_NONNULL(connection.m_peer)
                .addBranch()
                .then([call = kj::mv(aCall)](wire::Peer::Client aClient) mutable {
                  return call(kj::mv(aClient));
                });
  return m_context.provider->getTimer()
    .timeoutAfter(aTimeout.count() * kj::MILLISECONDS, kj::mv(work))
    .catch_([this, aPeer, serial](kj::Exception&& aFault) -> kj::Promise<Result> {
      Drop(aPeer, serial);
      return kj::mv(aFault);
    });
}

} // namespace papayafield::adapters::peer
