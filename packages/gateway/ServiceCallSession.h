#pragma once

#include "gateway/GatewayContext.h"
#include "gateway/IdempotencyTable.h"
#include "gateway/Problem.h"
#include "requests/FaultTable.h"

#include <memory>
#include <set>

namespace papayafield::gateway {

/// A caller's request to a plain service.
struct ServiceCallRequest {
  base::DeploymentId m_service;
  std::string m_method;
  /// Path and query below `/services/NAME`.
  std::string m_target;
  adapters::http::Headers m_headers;
  std::string m_body;
  requests::CallKind m_kind = requests::CallKind::NotRepeatable;
  base::Millis m_timeout{ 10000 };
};

/// One call to a plain service, with as many attempts as its kind allows. It runs to completion
/// even if no caller waits for it any more. Must only be used on the gateway thread.
class ServiceCallSession : public std::enable_shared_from_this<ServiceCallSession> {
public:
  /// The outcome of a call: the service's response or a problem.
  using Result = tl::expected<adapters::http::HttpResponse, Problem>;

  /// Prepares the call. `aOnResult` is called exactly once.
  ServiceCallSession(GatewayContext& aContext,
                     base::RequestId aId,
                     ServiceCallRequest aCall,
                     std::function<void(Result)> aOnResult);

  /// Starts the first attempt.
  void Begin();
  /// Prevents further attempts after the caller of a repeatable call has disconnected.
  void Abandon() { m_abandoned = true; }

private:
  void StartAttempt();
  void OnAnswer(uint64_t aAttempt, const adapters::http::HttpResponse& aAnswer);
  void OnFault(requests::Fault aFault, const std::string& aDetail);
  void Finish(Result aResult);

  GatewayContext& m_context;
  base::RequestId m_id;
  ServiceCallRequest m_call;
  std::function<void(Result)> m_onResult;
  base::TimePoint m_deadline;
  base::EndpointId m_endpoint;
  std::set<base::EndpointId> m_triedEndpoints;
  uint64_t m_attempt = 0;
  /// Whether any attempt may have run the call; if so, the outcome `NotRun` must not be reported.
  bool m_mayHaveRun = false;
  bool m_abandoned = false;
  bool m_finished = false;
};

} // namespace papayafield::gateway
