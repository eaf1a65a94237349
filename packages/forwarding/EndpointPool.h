#pragma once

#include "adapters/http1/Connection.h"
#include "fleet/EndpointDirectory.h"

#include <deque>
#include <map>
#include <memory>

namespace papayafield::forwarding {

/// A connection to an endpoint, and whether it has carried a call before.
struct Lease {
  std::shared_ptr<adapters::http1::ClientConnection> m_connection;
  bool m_reused = false;
};

/// Keeps connections to endpoints, apart for each life of an endpoint. Belongs to the thread of its
/// loop.
class EndpointPool {
public:
  explicit EndpointPool(adapters::http::EventLoop& aLoop)
    : m_loop(aLoop) {}
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;
  EndpointPool(EndpointPool&&) = delete;
  EndpointPool& operator=(EndpointPool&&) = delete;

  /// A connection that has been idle for at most `aMaxIdlePart` of the time that the endpoint keeps
  /// it, or a new one.
  Lease Take(const fleet::Endpoint& aEndpoint, double aMaxIdlePart, base::TimePoint aNow);
  /// Gives back a connection whose answer is complete. `aKeepAlive`: how long the endpoint says it
  /// keeps it.
  void Return(const fleet::Incarnation& aEndpoint,
              const std::shared_ptr<adapters::http1::ClientConnection>& aConnection,
              std::optional<base::Millis> aKeepAlive,
              base::TimePoint aNow);
  /// Closes what has been idle too long, and all idle connections of lives that are not in
  /// `aKnown`.
  void Sweep(const std::map<base::EndpointId, fleet::Endpoint>& aKnown, base::TimePoint aNow);
  /// Closes all idle connections to an endpoint, after one of them proved dead.
  void Distrust(const fleet::Incarnation& aEndpoint);
  /// New connections made so far.
  uint64_t Connects() const { return m_connects; }

private:
  struct Idle {
    std::shared_ptr<adapters::http1::ClientConnection> m_connection;
    base::TimePoint m_since;
    base::Millis m_keepAlive;
  };

  adapters::http::EventLoop& m_loop;
  std::map<fleet::Incarnation, std::deque<Idle>> m_idle;
  uint64_t m_connects = 0;
};

} // namespace papayafield::forwarding
