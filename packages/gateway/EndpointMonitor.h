#pragma once

#include "gateway/GatewayContext.h"

#include <functional>
#include <unordered_map>

namespace papayafield::gateway {

/// Polls the engines that this node uses for their load and for evicted cache blocks, and detects
/// engines that report that they are leaving. The poll rate is bounded regardless of the number of
/// engines. Must only be used on the gateway thread.
class EndpointMonitor {
public:
  /// Starts polling. `aOnLeaving` is called when an engine reports that it is leaving.
  EndpointMonitor(GatewayContext& aContext,
                  std::function<void(const base::EndpointId&)> aOnLeaving);

  /// Updates the set of polled engines from the router and polls new ones at once.
  void OnEndpointsChanged();

private:
  /// Poll state of one engine.
  struct PollState {
    /// Time of the last poll; the epoch if the engine has not been polled.
    base::TimePoint m_lastPolled{};
    uint64_t m_pollCount = 0;
    bool m_pollInFlight = false;
    /// Sequence number of the next cache event to request.
    uint64_t m_nextEvent = 0;
  };

  void Tick();
  void Poll(const base::EndpointId& aEndpoint, PollState& aState);
  void PollLoad(const routing::EndpointInfo& aEndpoint);
  void PollEvictions(const routing::EndpointInfo& aEndpoint, uint64_t aFrom);

  GatewayContext& m_context;
  std::function<void(const base::EndpointId&)> m_onLeaving;
  std::unordered_map<base::EndpointId, PollState> m_pollStates;
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::gateway
