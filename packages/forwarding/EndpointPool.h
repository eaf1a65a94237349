#pragma once

#include "adapters/http1/Connection.h"
#include "fleet/EndpointDirectory.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace papayafield::forwarding {

/// A connection to an endpoint, and whether an earlier call has used it.
struct PooledConnection {
  std::shared_ptr<adapters::http1::ClientConnection> m_connection;
  bool m_reused = false;
};

/// Pools connections to endpoints, separately for each incarnation of an endpoint. Belongs to the
/// event loop's thread.
class EndpointPool {
public:
  explicit EndpointPool(adapters::http::EventLoop& aLoop)
    : m_loop(aLoop) {}
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
  PooledConnection Connect(const fleet::Endpoint& aEndpoint);
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

private:
  struct IdleConnection {
    std::shared_ptr<adapters::http1::ClientConnection> m_connection;
    base::TimePoint m_since;
    base::Millis m_keepAlive;
  };

  adapters::http::EventLoop& m_loop;
  std::map<fleet::Incarnation, std::deque<IdleConnection>> m_idle;
  std::set<fleet::Incarnation> m_answersWithoutId;
  uint64_t m_connectCount = 0;
  /// Shared with the connections, which may outlive the pool.
  std::shared_ptr<size_t> m_openCount = std::make_shared<size_t>(0);
};

} // namespace papayafield::forwarding
