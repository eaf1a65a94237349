#pragma once

#include "gateway/GatewayContext.h"
#include "gateway/Problem.h"
#include "gateway/RunTable.h"
#include "requests/FaultTable.h"

#include <memory>
#include <set>

namespace papayafield::gateway {

/// What a caller asks of a plain service.
struct ServiceAsk {
  base::DeploymentId m_service;
  std::string m_method;
  /// Path and query below `/services/NAME`.
  std::string m_target;
  adapters::http::Headers m_headers;
  std::string m_body;
  requests::CallKind m_kind = requests::CallKind::NotRepeatable;
  base::Millis m_timeout{ 10000 };
};

/// One call of a plain service over as many attempts as its kind allows. It runs to its end also
/// when nobody waits any more. Belongs to the gateway's thread.
class ServiceRequest : public std::enable_shared_from_this<ServiceRequest> {
public:
  /// How a call ended: an answer of the service, or the problem.
  using Result = tl::expected<adapters::http::HttpResponse, Problem>;

  /// Prepares the call; `aOnResult` is called once.
  ServiceRequest(GatewayContext& aContext,
                 base::RequestId aId,
                 ServiceAsk aAsk,
                 std::function<void(Result)> aOnResult);

  /// Sends the first attempt.
  void Begin();
  /// The caller of a repeatable call has gone: no further attempt.
  void Abandon() { m_abandoned = true; }

private:
  void Attempt();
  void OnAnswer(uint64_t aAttempt, const adapters::http::HttpResponse& aAnswer);
  void OnFault(requests::Fault aFault, const std::string& aDetail);
  void Finish(Result aResult);

  GatewayContext& m_context;
  base::RequestId m_id;
  ServiceAsk m_ask;
  std::function<void(Result)> m_onResult;
  base::TimePoint m_deadline;
  base::EndpointId m_endpoint;
  std::set<base::EndpointId> m_tried;
  uint64_t m_attempt = 0;
  /// Whether some attempt may have run it; from then on it cannot be called not run.
  bool m_mayHaveRun = false;
  bool m_abandoned = false;
  bool m_finished = false;
};

} // namespace papayafield::gateway
