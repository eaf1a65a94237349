#include "gateway/ServiceCallSession.h"

#include "adapters/engine/TransferFaults.h"

#include <algorithm>

namespace papayafield::gateway {

namespace {

using adapters::http::HttpResponse;
using adapters::http::TransferFault;
using base::EventKind;
using requests::CallKind;
using requests::Fault;
using requests::Outcome;
using requests::Reaction;

constexpr int kMinServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr char kAttemptHeader[] = "X-Attempt-Id";

base::TimePoint Now() {
  return base::SteadyClock().Now();
}

} // namespace

ServiceCallSession::ServiceCallSession(GatewayContext& aContext,
                                       base::RequestId aId,
                                       ServiceCallRequest aCall,
                                       std::function<void(Result)> aOnResult)
  : m_context(aContext)
  , m_id(std::move(aId))
  , m_call(std::move(aCall))
  , m_onResult(std::move(aOnResult))
  , m_deadline(Now() + m_call.m_timeout) {}

void ServiceCallSession::Begin() {
  m_context.m_dispatcher.RetryBudget().CreditRequest();
  StartAttempt();
}

void ServiceCallSession::StartAttempt() {
  const routing::RouteQuery query{ m_call.m_service, {}, 0, {}, m_triedEndpoints, {} };
  const auto choice = m_context.m_dispatcher.Router().Choose(query);
  const auto remaining = std::chrono::duration_cast<base::Millis>(m_deadline - Now());
  if (!choice || remaining.count() <= 0) {
    Finish(tl::unexpected(Problem{ kServiceUnavailable,
                                   "no endpoint could take the call",
                                   m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                                   "",
                                   base::Millis(1000) }));
    return;
  }
  m_endpoint = choice->m_endpoint;
  m_triedEndpoints.insert(m_endpoint);
  m_context.m_dispatcher.Router().RecordRequestSent(m_endpoint, query, Now());
  ++m_attempt;
  m_context.m_metrics.Add(Counter::Attempts);
  m_context.m_timeline.Add(
    EventKind::AttemptStarted, m_id, m_endpoint.Text(), "attempt " + std::to_string(m_attempt));
  adapters::http::HttpRequest request;
  request.m_to = choice->m_address;
  request.m_method = m_call.m_method;
  request.m_target = m_call.m_target;
  request.m_headers = m_call.m_headers;
  request.m_headers.Add(kAttemptHeader, m_id.Text() + "." + std::to_string(m_attempt));
  request.m_body = m_call.m_body;
  request.m_connectTimeout = m_context.m_settings.m_endpoints.m_connectTimeout;
  request.m_idleTimeout = remaining;
  request.m_totalTimeout = remaining;
  m_context.m_http.Fetch(
    std::move(request),
    [self = shared_from_this(),
     attempt = m_attempt](const tl::expected<HttpResponse, TransferFault>& aAnswer) {
      self->m_context.m_dispatcher.Router().RecordRequestEnded(self->m_endpoint);
      if (!aAnswer) {
        self->OnFault(adapters::engine::FaultOf(aAnswer.error(), true),
                      std::string(base::NameOf(aAnswer.error())));
      } else {
        self->OnAnswer(attempt, *aAnswer);
      }
    });
}

void ServiceCallSession::OnAnswer(uint64_t aAttempt, const HttpResponse& aAnswer) {
  if (aAnswer.m_headers.Find("X-Not-Started")) {
    OnFault(Fault::NotStarted, "the endpoint did not start it");
    return;
  }
  // If the response carries an attempt id, it must be the id of this attempt.
  const std::string expectedId = m_id.Text() + "." + std::to_string(aAttempt);
  if (aAnswer.m_headers.Find(kAttemptHeader).value_or(expectedId) != expectedId) {
    OnFault(Fault::MisdirectedAnswer, "the answer belongs to another request");
    return;
  }
  if (aAnswer.m_status >= kMinServerError) {
    OnFault(Fault::ServerError, "the endpoint answered " + std::to_string(aAnswer.m_status));
    return;
  }
  m_context.m_timeline.Add(
    EventKind::AnswerEnded, m_id, m_endpoint.Text(), std::to_string(aAnswer.m_status));
  Finish(aAnswer);
}

void ServiceCallSession::OnFault(Fault aFault, const std::string& aDetail) {
  m_context.m_timeline.Add(
    EventKind::AttemptFailed, m_id, m_endpoint.Text(), std::string(base::NameOf(aFault)));
  const requests::FaultRule& rule = requests::RuleFor(aFault, m_call.m_kind);
  m_mayHaveRun = m_mayHaveRun || rule.m_outcome != Outcome::NotRun;
  // A plain service response cannot be resumed, so a resume becomes a new attempt.
  const bool retry =
    rule.m_reaction == Reaction::RetryElsewhere || rule.m_reaction == Reaction::Resume;
  if (retry && !m_abandoned && m_context.m_dispatcher.RetryBudget().TrySpend(Now())) {
    m_context.m_metrics.Add(Counter::Retries);
    StartAttempt();
    return;
  }
  Finish(tl::unexpected(Problem{ kBadGateway,
                                 "the call failed",
                                 m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                                 aDetail,
                                 {} }));
}

void ServiceCallSession::Finish(Result aResult) {
  if (!std::exchange(m_finished, true)) {
    m_context.m_metrics.Add(aResult ? Counter::RequestsAnswered : Counter::RequestsRejected);
    m_onResult(std::move(aResult));
  }
}

} // namespace papayafield::gateway
