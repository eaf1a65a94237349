#pragma once

#include "gateway/GatewayContext.h"

#include <functional>
#include <unordered_map>

namespace papayafield::gateway {

/// Asks each engine for its load and cache events, and notices when one says that it is leaving.
/// Belongs to the gateway's thread.
class EndpointMonitor {
public:
  /// Calls `aOnLeaving` when an engine itself says that it is leaving.
  EndpointMonitor(GatewayContext& aContext,
                  std::function<void(const base::EndpointId&)> aOnLeaving);

  /// Asks those that were not asked yet.
  void AskNew();

private:
  void Tick();
  void KeepListed();
  void AskLoad(const routing::EndpointInfo& aEndpoint);
  void AskEvents(const routing::EndpointInfo& aEndpoint);

  GatewayContext& m_context;
  std::function<void(const base::EndpointId&)> m_onLeaving;
  /// Next cache event to ask for, and whether a question is under way.
  struct Progress {
    uint64_t m_nextEvent = 0;
    /// Whether it was ever asked for its load.
    bool m_asked = false;
    bool m_asking = false;
    bool m_askingEvents = false;
  };
  std::unordered_map<base::EndpointId, Progress> m_progress;
  uint64_t m_round = 0;
  adapters::http::WatchPtr m_timer;
};

} // namespace papayafield::gateway
