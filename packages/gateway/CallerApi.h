#pragma once

#include "gateway/ChatRequest.h"
#include "gateway/ClaimedCalls.h"
#include "gateway/GatewayContext.h"

#include <memory>
#include <unordered_map>

namespace papayafield::gateway {

/// The callers' interface: completions, plain services, tickets and the discovery of nodes. Belongs
/// to the gateway's thread.
class CallerApi {
public:
  /// Works with what `aContext` holds.
  explicit CallerApi(GatewayContext& aContext);

  /// Answers a caller's request.
  void Handle(const adapters::http::ExchangePtr& aExchange);
  /// The platform has answered a claim.
  void OnClaim(const tasks::ClaimResponse& aAnswer) { m_claimed.OnClaim(aAnswer); }
  /// An endpoint is leaving: its streams are moved, the oldest first.
  void EndpointLeaving(const base::EndpointId& aEndpoint);
  /// The node stops: streams are handed over to `aNext`.
  void HandOverAll(const base::Address& aNext);
  /// Requests not yet ended.
  size_t OpenRequests() const { return m_chats.size() + m_openCalls; }

private:
  std::optional<manifest::Team> FindTeam(const adapters::http::ServerExchange& aExchange) const;
  void Entries(const adapters::http::ExchangePtr& aExchange);
  void Completions(const adapters::http::ExchangePtr& aExchange, const manifest::Team& aTeam);
  void Answers(const adapters::http::ExchangePtr& aExchange, const manifest::Team& aTeam);
  std::shared_ptr<ChatRequest> AddChat(const adapters::http::ExchangePtr& aExchange,
                                       const manifest::Team& aTeam,
                                       Completion aCompletion);
  void Services(const adapters::http::ExchangePtr& aExchange, const manifest::Team& aTeam);
  void Tickets(const adapters::http::ExchangePtr& aExchange, const manifest::Team& aTeam);
  base::RequestId NextId();

  GatewayContext& m_context;
  ClaimedCalls m_claimed;
  std::unordered_map<base::RequestId, std::shared_ptr<ChatRequest>> m_chats;
  size_t m_openCalls = 0;
  uint64_t m_lastId = 0;
};

} // namespace papayafield::gateway
