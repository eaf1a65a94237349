#pragma once

#include "gateway/GatewayContext.h"

#include <functional>
#include <unordered_map>

namespace papayafield::gateway {

/// Asks the engines that this node uses for their load and for dropped cache blocks, and notices
/// when one says that it is leaving. Asks so many times a second at most, whatever the number of
/// engines. Belongs to the gateway's thread.
class EndpointMonitor {
public:
  /// Calls `aOnLeaving` when an engine itself says that it is leaving.
  EndpointMonitor(GatewayContext& aContext,
                  std::function<void(const base::EndpointId&)> aOnLeaving);

  /// The endpoints have changed: those that were not asked yet are asked now.
  void EndpointsChanged();

private:
  /// What is known of the questions to one engine.
  struct Progress {
    /// When it was last asked; never at first.
    base::TimePoint m_lastAsked{};
    uint64_t m_asks = 0;
    bool m_asking = false;
    /// Next cache event to ask for.
    uint64_t m_nextEvent = 0;
  };

  void Tick();
  void Ask(const base::EndpointId& aEndpoint, Progress& aProgress);
  void AskLoad(const routing::EndpointInfo& aEndpoint);
  void AskEvictions(const routing::EndpointInfo& aEndpoint, uint64_t aFrom);

  GatewayContext& m_context;
  std::function<void(const base::EndpointId&)> m_onLeaving;
  std::unordered_map<base::EndpointId, Progress> m_progress;
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::gateway
