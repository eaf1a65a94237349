#include "forwarding/EndpointPool.h"

#include <algorithm>

namespace papayafield::forwarding {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;

namespace {

/// Keep-alive time assumed if an endpoint does not state one.
constexpr base::Millis kDefaultKeepAlive{ 4000 };
/// A connection is closed if sent bytes stay unacknowledged for this long: a few round trips and
/// one retransmission.
constexpr base::Millis kStuckAfter{ 900 };
/// Maximum number of idle connections to one endpoint.
constexpr size_t kMaxIdle = 64;

} // namespace

EndpointPool::~EndpointPool() {
  for (auto& [endpoint, list] : m_idle) {
    for (const Idle& idle : list) {
      idle.m_connection->Close();
    }
  }
}

Lease EndpointPool::Take(const fleet::Endpoint& aEndpoint,
                         double aMaxIdlePart,
                         base::TimePoint aNow) {
  auto& list = m_idle[aEndpoint.m_incarnation];
  // The most recently used connection is the most likely to be alive; the others age and are
  // closed.
  if (!list.empty() && std::chrono::duration<double>(aNow - list.back().m_since) <=
                         std::chrono::duration<double>(list.back().m_keepAlive) * aMaxIdlePart) {
    const auto connection = list.back().m_connection;
    list.pop_back();
    connection->SetEvents({});
    connection->Resume();
    return { connection, true };
  }
  ++m_connects;
  return { ClientConnection::Connected(m_loop, aEndpoint.m_address, kStuckAfter), false };
}

void EndpointPool::Return(const fleet::Incarnation& aEndpoint,
                          const std::shared_ptr<ClientConnection>& aConnection,
                          std::optional<base::Millis> aKeepAlive,
                          base::TimePoint aNow) {
  auto& list = m_idle[aEndpoint];
  if (list.size() >= kMaxIdle || !aConnection->Open() || aConnection->PendingInput() > 0 ||
      aConnection->PendingOutput() > 0) {
    aConnection->Close();
    return;
  }
  const auto drop = [this, aEndpoint, weak = std::weak_ptr(aConnection)] {
    const auto connection = weak.lock();
    if (!connection) {
      return;
    }
    connection->Close();
    if (const auto found = m_idle.find(aEndpoint); found != m_idle.end()) {
      std::erase_if(found->second,
                    [&](const Idle& aIdle) { return aIdle.m_connection == connection; });
    }
  };
  ClientConnection::Events events;
  events.m_onEnd = [drop](EndKind, bool) { drop(); };
  // Bytes that arrive while no call waits for an answer belong to no call.
  events.m_onUnexpected = drop;
  aConnection->SetEvents(std::move(events));
  list.push_back({ aConnection, aNow, aKeepAlive.value_or(kDefaultKeepAlive) });
}

void EndpointPool::Sweep(const std::map<base::EndpointId, fleet::Endpoint>& aKnown,
                         base::TimePoint aNow) {
  for (auto at = m_idle.begin(); at != m_idle.end();) {
    const auto known = aKnown.find(at->first.m_endpoint);
    const bool current = known != aKnown.end() && known->second.m_incarnation == at->first;
    std::erase_if(at->second, [&](const Idle& aIdle) {
      const bool stale = !current || aNow - aIdle.m_since > aIdle.m_keepAlive;
      if (stale) {
        aIdle.m_connection->Close();
      }
      return stale;
    });
    at = at->second.empty() && !current ? m_idle.erase(at) : std::next(at);
  }
}

void EndpointPool::Distrust(const fleet::Incarnation& aEndpoint) {
  for (const Idle& idle : std::exchange(m_idle[aEndpoint], {})) {
    idle.m_connection->Close();
  }
}

} // namespace papayafield::forwarding
