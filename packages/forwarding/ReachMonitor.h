#pragma once

#include "adapters/http/EventLoop.h"
#include "base/Log.h"
#include "fleet/EndpointDirectory.h"
#include "forwarding/EndpointPool.h"
#include "forwarding/EndpointReach.h"
#include "forwarding/Metrics.h"

#include <functional>
#include <list>
#include <map>
#include <random>
#include <vector>

namespace papayafield::forwarding {

/// Feeds EndpointReach with what calls experience, and connects to endpoints by itself while the
/// node may be cut off from them. Belongs to the event loop's thread.
class ReachMonitor {
public:
  /// All references must outlive the object.
  ReachMonitor(adapters::http::EventLoop& aLoop,
               const fleet::EndpointDirectory& aDirectory,
               EndpointReach& aReach,
               EndpointPool& aPool,
               Metrics& aMetrics);

  /// Sets the handler that is called when the node has become cut off from the endpoints, or
  /// reaches them again.
  void SetHandler(std::function<void(bool aIsIsolated)> aHandler) {
    m_handler = std::move(aHandler);
  }
  /// Records that an endpoint has sent bytes on a new direct connection.
  void OnConnected(const base::EndpointId& aEndpoint);
  /// Records that a direct connection to an endpoint could not be established in time, or ended
  /// before the endpoint sent anything.
  void OnConnectFailed(const base::EndpointId& aEndpoint, bool aHasTimedOut = false);
  /// Records a call on a direct connection, and returns a key for it. While the node is cut off,
  /// `aOnIsolated` is called by the event loop several times a second until OnEnded is called.
  uint64_t OnSent(std::function<void()> aOnIsolated);
  /// Records that the call `aCall` waits on an established connection.
  void OnWaiting(uint64_t aCall, const base::EndpointId& aEndpoint);
  /// Records that bytes have arrived for the call `aCall`.
  void OnBytes(uint64_t aCall);
  /// Ends the call `aCall`. Unknown calls are ignored.
  void OnEnded(uint64_t aCall);
  /// Returns whether the node is cut off and no endpoint has sent bytes lately.
  bool IsSilent() const;

private:
  struct Probe {
    fleet::Endpoint m_endpoint;
    std::shared_ptr<adapters::http1::ClientConnection> m_connection;
    adapters::http::EventHandlePtr m_timer;
  };
  using ProbeIterator = std::list<Probe>::iterator;

  void DetectPause(base::TimePoint aNow);
  void Evaluate();
  void Check();
  void OnChanged();
  void StartProbes(base::TimePoint aNow);
  void StartProbe(const fleet::Endpoint& aEndpoint);
  void EndProbe(ProbeIterator aProbe, bool aIsConnected, bool aHasTimedOut);
  void NotifyCalls();

  adapters::http::EventLoop& m_loop;
  const fleet::EndpointDirectory& m_directory;
  EndpointReach& m_reach;
  EndpointPool& m_pool;
  Metrics& m_metrics;
  const base::Log m_log{ "reach" };
  std::function<void(bool)> m_handler;
  uint64_t m_lastCall = 0;
  std::map<uint64_t, std::function<void()>> m_calls;
  std::list<Probe> m_probes;
  base::TimePoint m_nextProbes{};
  /// Time of the last check, or of the first evaluation after a pause.
  base::TimePoint m_lastCheck = base::BootNow();
  std::optional<base::TimePoint> m_isolatedSince;
  std::mt19937_64 m_random{ base::RandomSeed() };
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::forwarding
