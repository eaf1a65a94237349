#pragma once

#include "adapters/http1/Listener.h"
#include "forwarding/CallerConnection.h"
#include "forwarding/NodeState.h"

#include <memory>
#include <set>

namespace papayafield::forwarding {

/// The callers' side of the forwarding path: accepts connections, finds each request's route and
/// team, and lets it in or turns it away. Belongs to the thread of the loop.
class Gateway {
public:
  /// Serves callers at `aAddress`.
  Gateway(NodeState& aNode, const base::Address& aAddress);

  /// Whether the address could be had.
  bool Listening() const { return m_listener.Listening(); }
  /// From now on each answer ends its connection.
  void BeginDrain() { m_settings.m_closing = true; }
  /// Connections on which a request is being read or answered.
  size_t Busy() const;
  /// Open connections.
  size_t Connections() const { return m_connections.size(); }
  /// Takes over bounds on callers after a change of the configuration.
  void ApplyLimits(const fleet::CallerLimits& aLimits) { m_settings.m_limits = aLimits; }
  /// Closes all connections that carry no request.
  void CloseIdle();

private:
  std::shared_ptr<Exchange> OnRequest(adapters::http1::RequestHead&& aHead,
                                      std::string&& aBody,
                                      base::TimePoint aArrival,
                                      AnswerSink aSink);
  void TurnAway(const AnswerSink& aSink,
                const CallInfo& aCall,
                int aStatus,
                const char* aReason,
                double aRetryAfterSeconds);
  bool WithinQuota(const fleet::Team& aTeam, const CallInfo& aCall, base::TimePoint aNow);

  NodeState& m_node;
  CallerSettings m_settings;
  std::set<std::shared_ptr<CallerConnection>> m_connections;
  adapters::http1::Listener m_listener;
};

} // namespace papayafield::forwarding
