#pragma once

#include "gateway/GatewayContext.h"
#include "gateway/Problem.h"

#include <functional>
#include <unordered_map>

namespace papayafield::gateway {

/// The operators' interface below `/operator`. Each call needs an operator's key. Belongs to the
/// gateway's thread.
class OperatorApi {
public:
  /// Calls `aOnDrain` when an operator asks this node to leave, with the time that it has, if
  /// bounded.
  OperatorApi(GatewayContext& aContext, std::function<void(std::optional<base::Millis>)> aOnDrain);

  /// Answers a call below `/operator`.
  void Handle(const adapters::http::ExchangePtr& aExchange);
  /// The platform task has answered an apply.
  void OnApply(const tasks::ApplyResponse& aAnswer);

private:
  bool MayEnter(const adapters::http::ServerExchange& aExchange) const;
  void Status(const adapters::http::ExchangePtr& aExchange);
  void ShowManifest(const adapters::http::ExchangePtr& aExchange);
  void Apply(const adapters::http::ExchangePtr& aExchange);
  void ShowTimeline(const adapters::http::ExchangePtr& aExchange);

  GatewayContext& m_context;
  std::function<void(std::optional<base::Millis>)> m_onDrain;
  std::unordered_map<base::RequestId, adapters::http::ExchangePtr> m_applies;
  uint64_t m_lastApply = 0;
};

} // namespace papayafield::gateway
