#pragma once

#include "adapters/http1/Listener.h"
#include "forwarding/CallerConnection.h"
#include "forwarding/DrainPlan.h"
#include "forwarding/NodeState.h"

#include <memory>
#include <optional>
#include <set>

namespace papayafield::forwarding {

/// Limits on the connections of a node, which share its descriptors; 0 is no limit.
struct ConnectionLimits {
  /// Maximum number of callers' connections.
  size_t m_callers = 0;
  /// Maximum number of callers' connections and of those to endpoints, together.
  size_t m_total = 0;
};

/// The caller-facing side of the forwarding path: accepts connections, finds the route and team of
/// each request, and admits or rejects it. Belongs to the event loop's thread.
class Gateway {
public:
  /// Accepts callers on `aAddress`.
  Gateway(NodeState& aNode, const base::Address& aAddress, ConnectionLimits aLimits);

  /// Returns whether the address could be bound.
  bool Listening() const { return m_listener.Listening(); }
  /// Makes each answer from now on close its connection, and rejects new calls that `aPlan` does
  /// not take as not run.
  void BeginDrain(const DrainPlan& aPlan);
  /// Ends all calls in progress with an answer or a visible break, and closes all connections once
  /// that has been sent.
  void AbortCalls();
  /// Returns the number of connections on which a request is being read or an answer is being sent.
  size_t BusyCount() const;
  /// Returns the number of open connections.
  size_t ConnectionCount() const { return m_connections.size(); }
  /// Updates the metrics of callers' connections.
  void SetMetrics() const;
  /// Applies the limits for callers after a change of the configuration.
  void ApplyLimits(const fleet::CallerLimits& aLimits);

private:
  std::shared_ptr<Exchange> OnRequest(adapters::http1::RequestHead&& aHead,
                                      RequestBodyPtr aBody,
                                      base::TimePoint aArrival,
                                      AnswerSink aSink);
  bool HasDescriptors() const;
  bool MayRefuse() const;
  bool CloseLongestIdle();
  bool MakeRoom();
  bool MakeRoomForCall();
  void Reject(const AnswerSink& aSink,
              const CallInfo& aCall,
              int aStatus,
              const char* aReason,
              double aRetryAfterSeconds);
  bool FitsDrain(const fleet::Route& aRoute, const CallInfo& aCall, base::TimePoint aNow) const;
  bool TryTakeQuota(const fleet::Team& aTeam, const CallInfo& aCall, base::TimePoint aNow);

  NodeState& m_node;
  CallerSettings m_settings;
  const size_t m_maxTotalConnections;
  /// Set while the node is stopping.
  std::optional<DrainPlan> m_drainPlan;
  std::set<std::shared_ptr<CallerConnection>> m_connections;
  adapters::http1::Listener m_listener;
};

} // namespace papayafield::forwarding
