#pragma once

#include "adapters/http1/Connection.h"
#include "base/Digest.h"
#include "fleet/EndpointDirectory.h"
#include "forwarding/EndpointReach.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayafield::forwarding {

/// A connection to an endpoint is closed if sent bytes stay unacknowledged, or keep-alive probes
/// unanswered, for this long. A sound endpoint may be silent for a second or so; a node that is cut
/// off, or an endpoint at which other calls fail, is noticed before.
inline constexpr base::Millis kUnacknowledgedTimeout{ 2500 };

/// A connection to an endpoint, and whether an earlier call has used it.
struct PooledConnection {
  std::shared_ptr<adapters::http1::ClientConnection> m_connection;
  bool m_reused = false;
  /// Host of the node that the connection leads through; empty if it is direct.
  std::string m_relay;
};

/// Pools connections to endpoints, separately for each incarnation of an endpoint. While the node
/// is cut off from the endpoints, connections lead through other nodes; these are not pooled.
/// Belongs to the event loop's thread.
class EndpointPool {
public:
  /// Returns the addresses of the relays of other nodes that reach the endpoints.
  using RelayList = std::function<std::vector<base::Address>()>;

  /// Called when an endpoint has ended an idle connection well before its keep-alive time.
  using OnIdleEnded =
    std::function<void(const fleet::Incarnation& aEndpoint,
                       const std::shared_ptr<adapters::http1::ClientConnection>& aConnection,
                       adapters::http1::EndKind aKind)>;

  /// `aReach` must outlive the object.
  EndpointPool(adapters::http::EventLoop& aLoop,
               const EndpointReach& aReach,
               RelayList aRelays,
               OnIdleEnded aOnIdleEnded = {});
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;
  EndpointPool(EndpointPool&&) = delete;
  EndpointPool& operator=(EndpointPool&&) = delete;

  /// Returns a connection that has been idle for at most the fraction `aMaxIdleFraction` of its
  /// keep-alive time, or a new one.
  PooledConnection Acquire(const fleet::Endpoint& aEndpoint,
                           double aMaxIdleFraction,
                           base::TimePoint aNow);
  /// Returns a new connection.
  PooledConnection Connect(const fleet::Endpoint& aEndpoint, base::TimePoint aNow);
  /// Returns a new connection that does not lead through another node.
  std::shared_ptr<adapters::http1::ClientConnection> ConnectDirectly(
    const fleet::Endpoint& aEndpoint);
  /// Returns whether there is a way to the endpoints, or trying takes no time. False if connections
  /// to them hang and there is no other node to lead connections through.
  bool HasRoute(base::TimePoint aNow) const;
  /// Returns whether another node can be asked to lead connections through.
  bool HasRelay(base::TimePoint aNow) const { return SelectRelay(aNow).has_value(); }
  /// Records that the node on the host `aHost` did not lead a connection through. It is not asked
  /// for a moment.
  void AvoidRelay(const std::string& aHost, base::TimePoint aNow);
  /// Records that `aEndpoint` has sent an answer that does not name its call.
  void RecordAnswerWithoutId(const fleet::Incarnation& aEndpoint) {
    m_answersWithoutId.insert(aEndpoint);
  }
  /// Returns whether RecordAnswerWithoutId was called for an endpoint that is still known.
  bool AnswersWithoutId(const fleet::Incarnation& aEndpoint) const {
    return m_answersWithoutId.contains(aEndpoint);
  }
  /// Puts a connection whose answer is complete back into the pool. `aKeepAlive`: how long the
  /// endpoint states that it keeps the connection open.
  void Return(const fleet::Incarnation& aEndpoint,
              const std::shared_ptr<adapters::http1::ClientConnection>& aConnection,
              std::optional<base::Millis> aKeepAlive,
              base::TimePoint aNow);
  /// Closes connections that have been idle for too long, and all idle connections of incarnations
  /// that are not in `aEndpoints`.
  void CloseExpired(const std::map<base::EndpointId, fleet::Endpoint>& aEndpoints,
                    base::TimePoint aNow);
  /// Closes all idle connections to an endpoint after one of them was found dead.
  void CloseIdle(const fleet::Incarnation& aEndpoint);
  /// Closes the idle connection that has been idle for the longest time. Returns false if none is
  /// idle.
  bool CloseLongestIdle();
  /// Returns the number of connections that are idle or in use.
  size_t OpenCount() const { return *m_openCount; }
  /// Returns the number of new connections opened so far.
  uint64_t ConnectCount() const { return m_connectCount; }
  /// Returns the number of open connections that lead through other nodes.
  size_t RelayedCount() const;

private:
  using Count = std::shared_ptr<size_t>;

  struct IdleConnection {
    std::shared_ptr<adapters::http1::ClientConnection> m_connection;
    base::TimePoint m_since;
    base::Millis m_keepAlive;
  };

  std::shared_ptr<adapters::http1::ClientConnection> Counted(
    std::shared_ptr<adapters::http1::ClientConnection> aConnection,
    Count aCount);
  std::optional<base::Address> SelectRelay(base::TimePoint aNow) const;
  bool MayReuse(const IdleConnection& aIdle, base::TimePoint aNow) const;

  adapters::http::EventLoop& m_loop;
  const EndpointReach& m_reach;
  RelayList m_relays;
  OnIdleEnded m_onIdleEnded;
  std::map<fleet::Incarnation, std::deque<IdleConnection>> m_idle;
  std::set<fleet::Incarnation> m_answersWithoutId;
  uint64_t m_connectCount = 0;
  /// Shared with the connections, which may outlive the pool.
  Count m_openCount = std::make_shared<size_t>(0);
  /// Number of open connections through other nodes, by host.
  std::map<std::string, Count> m_relayedCounts;
  std::map<std::string, base::TimePoint> m_avoidedRelays;
  mutable std::mt19937_64 m_random{ base::RandomSeed() };
};

} // namespace papayafield::forwarding
