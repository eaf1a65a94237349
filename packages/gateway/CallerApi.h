#pragma once

#include "gateway/AtMostOnceCalls.h"
#include "gateway/CompletionSession.h"
#include "gateway/GatewayContext.h"

#include <memory>
#include <unordered_map>

namespace papayafield::gateway {

/// The client HTTP API: completions, plain services, tickets and node discovery. Must only be used
/// on the gateway thread.
class CallerApi {
public:
  /// Keeps a reference to `aContext`, which must outlive this object.
  explicit CallerApi(GatewayContext& aContext);

  /// Handles one client request.
  void Handle(const adapters::http::ExchangePtr& aExchange);
  /// Called with the platform's answer to a claim.
  void OnClaim(const tasks::ClaimResponse& aAnswer) { m_atMostOnceCalls.OnClaim(aAnswer); }
  /// Moves the streams of a leaving endpoint to other endpoints, oldest request first.
  void OnEndpointLeaving(const base::EndpointId& aEndpoint);
  /// Hands all open completion requests over to the node at `aNext` because this node is stopping.
  void HandOverAll(const base::Address& aNext);
  /// Returns the number of completion requests and service calls in progress.
  size_t OpenRequestCount() const { return m_completions.size() + m_openCalls; }

private:
  std::optional<manifest::Team> AuthenticateTeam(
    const adapters::http::ServerExchange& aExchange) const;
  void HandleEntries(const adapters::http::ExchangePtr& aExchange);
  void HandleCompletions(const adapters::http::ExchangePtr& aExchange, const manifest::Team& aTeam);
  void HandleAnswers(const adapters::http::ExchangePtr& aExchange, const manifest::Team& aTeam);
  std::shared_ptr<CompletionSession> AddCompletion(const adapters::http::ExchangePtr& aExchange,
                                                   const manifest::Team& aTeam,
                                                   CompletionRequest aCompletion);
  void HandleServices(const adapters::http::ExchangePtr& aExchange, const manifest::Team& aTeam);
  void HandleTickets(const adapters::http::ExchangePtr& aExchange, const manifest::Team& aTeam);
  base::RequestId MakeRequestId();

  GatewayContext& m_context;
  AtMostOnceCalls m_atMostOnceCalls;
  std::unordered_map<base::RequestId, std::shared_ptr<CompletionSession>> m_completions;
  size_t m_openCalls = 0;
  uint64_t m_lastId = 0;
};

} // namespace papayafield::gateway
