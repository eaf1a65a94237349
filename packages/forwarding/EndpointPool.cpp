#include "forwarding/EndpointPool.h"

#include "forwarding/RelayTarget.h"

#include <algorithm>

namespace papayafield::forwarding {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;

namespace {

/// Keep-alive time assumed if an endpoint does not state one.
constexpr base::Millis kDefaultKeepAlive{ 4000 };
/// Maximum number of idle connections to one endpoint.
constexpr size_t kMaxIdlePerEndpoint = 64;
/// Fraction of its keep-alive time before which an idle connection does not end in the usual way.
constexpr double kEarlyEndFraction = 0.7;
/// Time for which a relay is not asked after it did not lead a connection through.
constexpr base::Millis kRelayAvoidance{ 250 };

} // namespace

EndpointPool::EndpointPool(adapters::http::EventLoop& aLoop,
                           const EndpointReach& aReach,
                           RelayList aRelays,
                           OnIdleEnded aOnIdleEnded)
  : m_loop(aLoop)
  , m_reach(aReach)
  , m_relays(std::move(aRelays))
  , m_onIdleEnded(std::move(aOnIdleEnded)) {}

EndpointPool::~EndpointPool() {
  for (auto& [endpoint, idleList] : m_idle) {
    for (const IdleConnection& idle : idleList) {
      idle.m_connection->Close();
    }
  }
}

PooledConnection EndpointPool::Acquire(const fleet::Endpoint& aEndpoint,
                                       double aMaxIdleFraction,
                                       base::TimePoint aNow) {
  auto& idleList = m_idle[aEndpoint.m_incarnation];
  // The most recently used connection is the most likely to be alive; the others age and are
  // closed.
  if (!idleList.empty() && MayReuse(idleList.back(), aNow) &&
      std::chrono::duration<double>(aNow - idleList.back().m_since) <=
        std::chrono::duration<double>(idleList.back().m_keepAlive) * aMaxIdleFraction) {
    const auto connection = idleList.back().m_connection;
    idleList.pop_back();
    connection->SetEvents({});
    connection->Resume();
    return { connection, true, {} };
  }
  return Connect(aEndpoint, aNow);
}

/// Returns whether an idle connection may work. One that was idle when the node was cut off may
/// have been lost without a sign.
bool EndpointPool::MayReuse(const IdleConnection& aIdle, base::TimePoint aNow) const {
  const auto since = m_reach.IsolatedSince();
  return !since || aIdle.m_since >= *since || !HasRelay(aNow);
}

/// Returns the relay with the fewest connections of this node; nullopt if none can be asked.
std::optional<base::Address> EndpointPool::SelectRelay(base::TimePoint aNow) const {
  std::vector<base::Address> best;
  size_t fewest = SIZE_MAX;
  for (const base::Address& relay : m_relays()) {
    const auto avoided = m_avoidedRelays.find(relay.m_host);
    if (avoided != m_avoidedRelays.end() && aNow < avoided->second) {
      continue;
    }
    const auto count = m_relayedCounts.find(relay.m_host);
    const size_t open = count == m_relayedCounts.end() ? 0 : *count->second;
    if (open < fewest) {
      fewest = open;
      best.clear();
    }
    if (open == fewest) {
      best.push_back(relay);
    }
  }
  return best.empty() ? std::nullopt : std::optional(best[m_random() % best.size()]);
}

bool EndpointPool::HasRoute(base::TimePoint aNow) const {
  return !m_reach.IsIsolated() || !m_reach.Hangs() || m_reach.ReceivesBytes(aNow) || HasRelay(aNow);
}

void EndpointPool::AvoidRelay(const std::string& aHost, base::TimePoint aNow) {
  m_avoidedRelays[aHost] = aNow + kRelayAvoidance;
}

size_t EndpointPool::RelayedCount() const {
  size_t sum = 0;
  for (const auto& [host, count] : m_relayedCounts) {
    sum += *count;
  }
  return sum;
}

/// Counts a connection in m_openCount and in `aCount`, if that is set, until it is released.
std::shared_ptr<ClientConnection> EndpointPool::Counted(
  std::shared_ptr<ClientConnection> aConnection,
  Count aCount) {
  ++m_connectCount;
  ++*m_openCount;
  if (aCount != nullptr) {
    ++*aCount;
  }
  ClientConnection* const raw = aConnection.get();
  // Weak references may keep the deleter for longer than the connection, so it releases it.
  const auto release = [connection = std::move(aConnection),
                        open = m_openCount,
                        count = std::move(aCount)](ClientConnection* /*aConnection*/) mutable {
    --*open;
    if (count != nullptr) {
      --*count;
    }
    connection.reset();
  };
  return { raw, release };
}

std::shared_ptr<ClientConnection> EndpointPool::ConnectDirectly(const fleet::Endpoint& aEndpoint) {
  return Counted(ClientConnection::ConnectTo(m_loop, aEndpoint.m_address, kUnacknowledgedTimeout),
                 nullptr);
}

PooledConnection EndpointPool::Connect(const fleet::Endpoint& aEndpoint, base::TimePoint aNow) {
  const auto relay = m_reach.IsIsolated() ? SelectRelay(aNow) : std::nullopt;
  if (!relay) {
    return { ConnectDirectly(aEndpoint), false, {} };
  }
  Count& count = m_relayedCounts[relay->m_host];
  if (count == nullptr) {
    count = std::make_shared<size_t>(0);
  }
  auto connection = ClientConnection::ConnectThrough(
    m_loop, *relay, RelayTarget(aEndpoint.m_incarnation), kUnacknowledgedTimeout);
  return { Counted(std::move(connection), count), false, relay->m_host };
}

void EndpointPool::Return(const fleet::Incarnation& aEndpoint,
                          const std::shared_ptr<ClientConnection>& aConnection,
                          std::optional<base::Millis> aKeepAlive,
                          base::TimePoint aNow) {
  auto& idleList = m_idle[aEndpoint];
  if (idleList.size() >= kMaxIdlePerEndpoint || !aConnection->IsOpen() ||
      aConnection->PendingInput() > 0 || aConnection->PendingOutput() > 0) {
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
                    [&](const IdleConnection& aIdle) { return aIdle.m_connection == connection; });
    }
  };
  ClientConnection::Events events;
  const auto earlyUntil = aNow + std::chrono::duration_cast<base::Millis>(
                                   aKeepAlive.value_or(kDefaultKeepAlive) * kEarlyEndFraction);
  events.m_onEnd = [this, drop, aEndpoint, earlyUntil, weak = std::weak_ptr(aConnection)](
                     EndKind aKind, bool /*aInMessage*/) {
    const auto connection = weak.lock();
    if (connection && m_onIdleEnded && base::BootNow() < earlyUntil) {
      m_onIdleEnded(aEndpoint, connection, aKind);
    }
    drop();
  };
  // Bytes that arrive while no call waits for an answer belong to no call.
  events.m_onUnexpectedData = drop;
  aConnection->SetEvents(std::move(events));
  idleList.push_back({ aConnection, aNow, aKeepAlive.value_or(kDefaultKeepAlive) });
}

void EndpointPool::CloseExpired(const std::map<base::EndpointId, fleet::Endpoint>& aEndpoints,
                                base::TimePoint aNow) {
  std::erase_if(m_answersWithoutId, [&](const fleet::Incarnation& aIncarnation) {
    const auto known = aEndpoints.find(aIncarnation.m_endpoint);
    return known == aEndpoints.end() || known->second.m_incarnation != aIncarnation;
  });
  for (auto at = m_idle.begin(); at != m_idle.end();) {
    const auto known = aEndpoints.find(at->first.m_endpoint);
    const bool current = known != aEndpoints.end() && known->second.m_incarnation == at->first;
    std::erase_if(at->second, [&](const IdleConnection& aIdle) {
      const bool stale = !current || aNow - aIdle.m_since > aIdle.m_keepAlive;
      if (stale) {
        aIdle.m_connection->Close();
      }
      return stale;
    });
    at = at->second.empty() && !current ? m_idle.erase(at) : std::next(at);
  }
}

bool EndpointPool::CloseLongestIdle() {
  // The connections of each endpoint are in the order in which they became idle.
  auto longest = m_idle.end();
  for (auto at = m_idle.begin(); at != m_idle.end(); ++at) {
    if (!at->second.empty() &&
        (longest == m_idle.end() || at->second.front().m_since < longest->second.front().m_since)) {
      longest = at;
    }
  }
  if (longest == m_idle.end()) {
    return false;
  }
  longest->second.front().m_connection->Close();
  longest->second.pop_front();
  return true;
}

void EndpointPool::CloseIdle(const fleet::Incarnation& aEndpoint) {
  for (const IdleConnection& idle : std::exchange(m_idle[aEndpoint], {})) {
    idle.m_connection->Close();
  }
}

} // namespace papayafield::forwarding
