#include "gateway/ServiceRequest.h"

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
using requests::Step;

constexpr int kServerErrors = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr char kAttemptHeader[] = "X-Attempt-Id";

base::TimePoint Now() {
  return base::SteadyClock().Now();
}

} // namespace

ServiceRequest::ServiceRequest(GatewayContext& aContext,
                               base::RequestId aId,
                               ServiceAsk aAsk,
                               std::function<void(Result)> aOnResult)
  : m_context(aContext)
  , m_id(std::move(aId))
  , m_ask(std::move(aAsk))
  , m_onResult(std::move(aOnResult))
  , m_deadline(Now() + m_ask.m_timeout) {}

void ServiceRequest::Begin() {
  m_context.m_dispatcher.Retries().Earn();
  Attempt();
}

void ServiceRequest::Attempt() {
  const routing::RouteQuery query{ m_ask.m_service, {}, 0, {}, m_tried, {} };
  const auto choice = m_context.m_dispatcher.Router().Choose(query);
  const auto left = std::chrono::duration_cast<base::Millis>(m_deadline - Now());
  if (!choice || left.count() <= 0) {
    Finish(tl::unexpected(Problem{ kServiceUnavailable,
                                   "no endpoint could take the call",
                                   m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                                   "",
                                   base::Millis(1000) }));
    return;
  }
  m_endpoint = choice->m_endpoint;
  m_tried.insert(m_endpoint);
  m_context.m_dispatcher.Router().NoteSent(m_endpoint, query, Now());
  ++m_attempt;
  m_context.m_metrics.Add(Counter::Attempts);
  m_context.m_timeline.Add(
    EventKind::AttemptStarted, m_id, m_endpoint.Text(), "attempt " + std::to_string(m_attempt));
  adapters::http::HttpRequest request;
  request.m_to = choice->m_address;
  request.m_method = m_ask.m_method;
  request.m_target = m_ask.m_target;
  request.m_headers = m_ask.m_headers;
  request.m_headers.Add(kAttemptHeader, m_id.Text() + "." + std::to_string(m_attempt));
  request.m_body = m_ask.m_body;
  request.m_connectTimeout = m_context.m_settings.m_endpoints.m_connectTimeout;
  request.m_idleTimeout = left;
  request.m_totalTimeout = left;
  m_context.m_http.Fetch(std::move(request),
                         [self = shared_from_this(), attempt = m_attempt](
                           const tl::expected<HttpResponse, TransferFault>& aAnswer) {
                           self->m_context.m_dispatcher.Router().NoteEnded(self->m_endpoint);
                           if (!aAnswer) {
                             self->OnFault(adapters::engine::FaultOf(aAnswer.error(), true),
                                           std::string(base::NameOf(aAnswer.error())));
                           } else {
                             self->OnAnswer(attempt, *aAnswer);
                           }
                         });
}

void ServiceRequest::OnAnswer(uint64_t aAttempt, const HttpResponse& aAnswer) {
  if (aAnswer.m_headers.Find("X-Not-Started")) {
    OnFault(Fault::NotStarted, "the endpoint did not start it");
    return;
  }
  // An answer that names an attempt must name this one.
  const std::string own = m_id.Text() + "." + std::to_string(aAttempt);
  if (aAnswer.m_headers.Find(kAttemptHeader).value_or(own) != own) {
    OnFault(Fault::CrossedAnswer, "the answer belongs to another request");
    return;
  }
  if (aAnswer.m_status >= kServerErrors) {
    OnFault(Fault::ServerError, "the endpoint answered " + std::to_string(aAnswer.m_status));
    return;
  }
  m_context.m_timeline.Add(
    EventKind::AnswerEnded, m_id, m_endpoint.Text(), std::to_string(aAnswer.m_status));
  Finish(aAnswer);
}

void ServiceRequest::OnFault(Fault aFault, const std::string& aDetail) {
  m_context.m_timeline.Add(
    EventKind::AttemptFailed, m_id, m_endpoint.Text(), std::string(base::NameOf(aFault)));
  const requests::FaultRule& rule = requests::RuleFor(aFault, m_ask.m_kind);
  m_mayHaveRun = m_mayHaveRun || rule.m_outcome != Outcome::NotRun;
  // A whole answer cannot be resumed, only asked for again.
  const bool again = rule.m_step == Step::TryAnother || rule.m_step == Step::Resume;
  if (again && !m_abandoned && m_context.m_dispatcher.Retries().Spend(Now())) {
    m_context.m_metrics.Add(Counter::Retries);
    Attempt();
    return;
  }
  Finish(tl::unexpected(Problem{ kBadGateway,
                                 "the call failed",
                                 m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                                 aDetail,
                                 {} }));
}

void ServiceRequest::Finish(Result aResult) {
  if (!std::exchange(m_finished, true)) {
    m_context.m_metrics.Add(aResult ? Counter::RequestsAnswered : Counter::RequestsRefused);
    m_onResult(std::move(aResult));
  }
}

} // namespace papayafield::gateway
