#pragma once

#include "gateway/GatewayContext.h"
#include "gateway/Problem.h"

#include <functional>
#include <unordered_map>

namespace papayafield::gateway {

/// The operator HTTP API below `/operator`. Each call requires an operator key. Must only be used
/// on the gateway thread.
class OperatorApi {
public:
  /// `aOnDrain` is called when an operator requests a drain of this node, with the time limit if
  /// one was given.
  OperatorApi(GatewayContext& aContext, std::function<void(std::optional<base::Millis>)> aOnDrain);

  /// Handles a request below `/operator`.
  void Handle(const adapters::http::ExchangePtr& aExchange);
  /// Called with the platform task's answer to an apply.
  void OnApply(const tasks::ApplyResponse& aAnswer);

private:
  bool IsAuthorized(const adapters::http::ServerExchange& aExchange) const;
  void HandleStatus(const adapters::http::ExchangePtr& aExchange);
  void HandleManifest(const adapters::http::ExchangePtr& aExchange);
  void HandleApply(const adapters::http::ExchangePtr& aExchange);
  void HandleTimeline(const adapters::http::ExchangePtr& aExchange);

  GatewayContext& m_context;
  std::function<void(std::optional<base::Millis>)> m_onDrain;
  std::unordered_map<base::RequestId, adapters::http::ExchangePtr> m_pendingApplies;
  uint64_t m_lastApplyNumber = 0;
};

} // namespace papayafield::gateway
