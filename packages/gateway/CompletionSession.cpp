#include "gateway/CompletionSession.h"

#include "base/Digest.h"

#include <cassert>

namespace papayafield::gateway {

namespace {

using base::EventKind;
using base::Millis;
using requests::Fault;
using requests::Outcome;
using requests::Reaction;

constexpr int kSeeOther = 303;
constexpr int kTemporaryRedirect = 307;
constexpr int kGone = 410;
constexpr int kServiceUnavailable = 503;
/// Number of resumes without a new token at the same engine before another engine is tried.
constexpr int kMaxResumes = 2;
/// Delay before an accepted request checks an exhausted retry budget again.
constexpr Millis kBudgetRetryDelay{ 200 };
/// Delay between two attempts to find a target engine for a move.
constexpr Millis kMoveRetryDelay{ 50 };
/// Part of the termination notice that is reserved for the prefill on another engine.
constexpr Millis kPrefillReserve{ 500 };
/// Timeout of the export of a stream's state.
constexpr Millis kExportTimeout{ 2000 };
/// Time for which an engine keeps generating after its streaming caller has disconnected.
constexpr Millis kReconnectGrace{ 10000 };
/// Number of random bytes in a stream name.
constexpr size_t kStreamNameBytes = 12;

base::TimePoint Now() {
  return base::SteadyClock().Now();
}

double Seconds(base::TimePoint::duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

CompletionSession::CompletionSession(GatewayContext& aContext,
                                     adapters::http::ExchangePtr aExchange,
                                     base::RequestId aId,
                                     const manifest::Team& aTeam,
                                     CompletionRequest aCompletion,
                                     std::function<void(const base::RequestId&)> aOnFinished)
  : m_context(aContext)
  , m_id(aId)
  , m_response(aContext.m_loop,
               std::move(aExchange),
               std::move(aId),
               aContext.m_settings.m_limits.m_maxUnsentBytes)
  , m_team(aTeam)
  , m_completion(std::move(aCompletion))
  , m_onFinished(std::move(aOnFinished))
  , m_arrivalTime(Now()) {}

void CompletionSession::Begin() {
  m_response.OnDisconnect([self = shared_from_this()] { self->OnCallerDisconnected(); });
  Enqueue();
}

void CompletionSession::BeginAfter(const requests::AnswerPosition& aPosition) {
  m_response.OnDisconnect([self = shared_from_this()] { self->OnCallerDisconnected(); });
  m_firstCallerOffset = aPosition.m_offset + 1;
  const routing::EndpointInfo* endpoint =
    m_context.m_dispatcher.Router().Find(aPosition.m_token.m_endpoint);
  m_attempt.m_endpoint = aPosition.m_token.m_endpoint;
  m_attempt.m_streamName = aPosition.m_token.m_stream;
  m_triedEndpoints.insert(m_attempt.m_endpoint);
  if (endpoint == nullptr) {
    OnFault(Fault::NotConnected);
    return;
  }
  m_attempt.m_address = endpoint->m_address;
  m_attempt.m_zone = endpoint->m_zone;
  m_attempt.m_open = true;
  m_context.m_dispatcher.Router().RecordRequestSent(
    m_attempt.m_endpoint,
    { m_completion.m_deployment, {}, 0, m_team.m_firstTokenTarget, {}, {} },
    Now());
  ResumeAttempt();
}

routing::RouteQuery CompletionSession::MakeRouteQuery() const {
  return { m_completion.m_deployment,
           m_completion.m_blockHashes,
           m_completion.m_promptTokens + m_splicer.NextOffset(),
           m_team.m_firstTokenTarget,
           m_triedEndpoints,
           {} };
}

double CompletionSession::TokenCost() const {
  return static_cast<double>(m_completion.m_promptTokens + m_completion.m_maxTokens);
}

QueuedRequest CompletionSession::MakeQueuedRequest() {
  QueuedRequest queued;
  queued.m_waiting.m_request = m_id;
  queued.m_waiting.m_team = m_team.m_name;
  queued.m_waiting.m_weight = m_team.m_weight;
  queued.m_waiting.m_class = static_cast<size_t>(m_team.m_priority);
  queued.m_waiting.m_cost = TokenCost();
  queued.m_waiting.m_since = m_arrivalTime;
  queued.m_waiting.m_deadline = m_arrivalTime + m_team.m_maxWait;
  queued.m_waiting.m_teamLimit = m_team.m_maxQueued;
  queued.m_query = MakeRouteQuery();
  queued.m_onDispatched = [self = shared_from_this()](const routing::RouteChoice& aChoice) {
    self->OnDispatched(aChoice);
  };
  queued.m_onRejected = [self = shared_from_this()](const admission::Rejection& aRejection) {
    self->OnRejected(aRejection);
  };
  return queued;
}

void CompletionSession::Enqueue() {
  m_context.m_timeline.Add(EventKind::RequestQueued, m_id, m_completion.m_deployment.Text());
  m_context.m_dispatcher.Submit(MakeQueuedRequest());
}

void CompletionSession::OnDispatched(const routing::RouteChoice& aChoice) {
  assert(!m_attempt.m_open);
  m_attempt.m_endpoint = aChoice.m_endpoint;
  m_attempt.m_address = aChoice.m_address;
  const routing::EndpointInfo* endpoint = m_context.m_dispatcher.Router().Find(aChoice.m_endpoint);
  m_attempt.m_zone = endpoint == nullptr ? base::ZoneId() : endpoint->m_zone;
  m_attempt.m_open = true;
  m_attempt.m_resumes = 0;
  StartAttempt();
}

void CompletionSession::OnRejected(const admission::Rejection& aRejection) {
  m_context.m_timeline.Add(
    EventKind::RequestRejected, m_id, "", std::string(base::NameOf(aRejection.m_reason)));
  const requests::FaultRule& rule =
    requests::RuleFor(Fault::QueueTimeout, requests::CallKind::Repeatable);
  Fail({ kServiceUnavailable,
         "no room",
         rule.m_outcome,
         std::string(base::NameOf(aRejection.m_reason)),
         aRejection.m_retryAfter });
}

void CompletionSession::StartAttempt() {
  ++m_attempt.m_number;
  m_attempt.m_streamName = base::RandomHex(kStreamNameBytes);
  m_eventIdPrefix = requests::SignAnswerToken({ m_attempt.m_endpoint, m_attempt.m_streamName },
                                              m_team.m_name,
                                              m_context.m_settings.m_fleet.m_keys.front());
  m_context.m_metrics.Add(Counter::Attempts);
  m_context.m_timeline.Add(EventKind::AttemptStarted,
                           m_id,
                           m_attempt.m_endpoint.Text(),
                           "attempt " + std::to_string(m_attempt.m_number) + " from token " +
                             std::to_string(m_splicer.NextOffset()));
  if (m_splicer.NextOffset() > 0 && m_kvState.empty()) {
    m_context.m_metrics.Add(
      Counter::TokensRecomputed,
      static_cast<double>(m_completion.m_promptTokens + m_splicer.NextOffset()));
  }
  adapters::engine::GenerationRequest call;
  call.m_engine = m_attempt.m_address;
  call.m_path = m_completion.m_path;
  call.m_body = m_completion.m_body;
  call.m_stream = m_attempt.m_streamName;
  call.m_priority = static_cast<size_t>(m_team.m_priority);
  call.m_startAt = m_splicer.NextOffset();
  call.m_textSoFar = m_text;
  call.m_kvState = std::exchange(m_kvState, {});
  m_attempt.m_transfer = m_context.m_engines.Start(call, MakeStreamCallbacks());
}

void CompletionSession::ResumeAttempt() {
  ++m_attempt.m_resumes;
  ++m_attempt.m_number;
  m_eventIdPrefix = requests::SignAnswerToken({ m_attempt.m_endpoint, m_attempt.m_streamName },
                                              m_team.m_name,
                                              m_context.m_settings.m_fleet.m_keys.front());
  m_context.m_metrics.Add(Counter::StreamsResumed);
  m_context.m_timeline.Add(EventKind::StreamResumed,
                           m_id,
                           m_attempt.m_endpoint.Text(),
                           "from token " + std::to_string(m_splicer.NextOffset()));
  m_attempt.m_transfer = m_context.m_engines.Resume(
    m_attempt.m_address, m_attempt.m_streamName, m_splicer.NextOffset(), MakeStreamCallbacks());
}

adapters::engine::StreamEvents CompletionSession::MakeStreamCallbacks() {
  // Late events of an earlier attempt are dropped.
  const auto isCurrent = [self = shared_from_this(), number = m_attempt.m_number] {
    return !self->m_finished && self->m_attempt.m_number == number;
  };
  adapters::engine::StreamEvents events;
  events.m_onTokens = [self = shared_from_this(),
                       isCurrent](const std::vector<adapters::engine::StreamToken>& aTokens) {
    if (isCurrent()) {
      self->OnTokens(aTokens);
    }
  };
  events.m_onEnd = [self = shared_from_this(), isCurrent] {
    if (isCurrent()) {
      self->OnEnd();
    }
  };
  events.m_onSuperseded = [self = shared_from_this(), isCurrent] {
    if (isCurrent()) {
      self->OnSuperseded();
    }
  };
  events.m_onFault = [self = shared_from_this(), isCurrent](Fault aFault) {
    if (isCurrent()) {
      self->OnFault(aFault);
    }
  };
  return events;
}

void CompletionSession::OnTokens(const std::vector<adapters::engine::StreamToken>& aTokens) {
  std::string eventText;
  bool gap = false;
  const uint64_t before = m_splicer.NextOffset();
  for (const adapters::engine::StreamToken& token : aTokens) {
    const requests::SpliceVerdict verdict = m_splicer.Accept(token.m_offset);
    if (verdict == requests::SpliceVerdict::Gap) {
      gap = true;
      break;
    }
    if (verdict == requests::SpliceVerdict::Duplicate) {
      continue;
    }
    m_text += adapters::engine::TokenText(token.m_data);
    if (m_completion.m_streamRequested && token.m_offset >= m_firstCallerOffset) {
      eventText += "id: " + m_eventIdPrefix + "." + std::to_string(token.m_offset) +
                   "\ndata: " + token.m_data + "\n\n";
    }
  }
  if (m_splicer.NextOffset() > before) {
    m_attempt.m_resumes = 0;
    RecordTokenMetrics(m_splicer.NextOffset() - before);
  }
  if (!eventText.empty() && !m_response.Send(eventText)) {
    OnCallerDisconnected();
  }
  // The resume requests the missing tokens; the engine sends the rest of this batch again too.
  if (gap && !m_finished) {
    OnFault(Fault::ResetInAnswer);
  }
}

void CompletionSession::RecordTokenMetrics(uint64_t aTokens) {
  const base::TimePoint now = Now();
  if (m_lastToken == base::TimePoint{}) {
    m_context.m_metrics.Observe(DurationMetric::FirstToken, Seconds(now - m_arrivalTime));
  } else {
    m_context.m_metrics.Observe(DurationMetric::TokenGap, Seconds(now - m_lastToken));
  }
  m_lastToken = now;
  m_context.m_metrics.Add(Counter::TokensRelayed, static_cast<double>(aTokens));
}

void CompletionSession::OnEnd() {
  CloseAttempt(TokenCost());
  m_context.m_timeline.Add(EventKind::AnswerEnded,
                           m_id,
                           m_attempt.m_endpoint.Text(),
                           std::to_string(m_splicer.NextOffset()) + " tokens");
  m_context.m_metrics.Add(Counter::RequestsAnswered);
  if (m_completion.m_streamRequested) {
    m_response.EndStream();
  } else {
    m_response.ReplyComplete(MakeResponseBody(m_completion, m_id, m_text, m_splicer.NextOffset()));
  }
  Finish();
}

void CompletionSession::CloseAttempt(double aServedTokenCost) {
  adapters::http::CancelTransfer(m_attempt.m_transfer);
  if (std::exchange(m_attempt.m_open, false)) {
    m_context.m_dispatcher.OnRequestEnded(
      m_attempt.m_endpoint, m_completion.m_deployment, aServedTokenCost);
  }
}

void CompletionSession::OnFault(Fault aFault) {
  // An engine closes a stream when it exports its state. The move is still in progress, so this is
  // not a fault.
  if (m_moving) {
    return;
  }
  m_context.m_timeline.Add(
    EventKind::AttemptFailed, m_id, m_attempt.m_endpoint.Text(), std::string(base::NameOf(aFault)));
  const requests::FaultRule& rule = requests::RuleFor(aFault, requests::CallKind::Repeatable);
  adapters::http::CancelTransfer(m_attempt.m_transfer);
  // The engine may still hold the stream, so it is tried first.
  if (rule.m_reaction == Reaction::Resume && m_attempt.m_resumes < kMaxResumes) {
    ResumeAttempt();
    return;
  }
  CloseAttempt(0);
  m_triedEndpoints.insert(m_attempt.m_endpoint);
  Requeue(rule.m_outcome);
}

void CompletionSession::Requeue(Outcome aOutcome) {
  // A request for an existing answer carries no prompt, so it cannot be restarted.
  if (m_completion.m_body == nullptr) {
    Fail({ kGone, "the answer is gone", aOutcome, "ask again afresh", {} });
    return;
  }
  // Another engine can only continue text that the caller sent or that this node has received.
  if (m_firstCallerOffset > m_splicer.NextOffset()) {
    if (m_completion.m_textSoFar.empty()) {
      Fail({ kGone,
             "the stream is gone",
             aOutcome,
             "the engine that held it has gone; ask again with 'text_so_far', or afresh",
             {} });
      return;
    }
    m_text = m_completion.m_textSoFar;
    m_splicer = requests::StreamSplicer(m_firstCallerOffset);
  }
  if (m_context.m_dispatcher.RetryBudget().TrySpend(Now())) {
    m_context.m_metrics.Add(Counter::Retries);
    m_context.m_dispatcher.Resubmit(MakeQueuedRequest());
    return;
  }
  // An exhausted retry budget delays an accepted request but never fails it.
  m_retryTimer = m_context.m_loop.After(kBudgetRetryDelay, [self = shared_from_this(), aOutcome] {
    if (!self->m_finished) {
      self->Requeue(aOutcome);
    }
  });
}

void CompletionSession::OnEndpointLeaving(const base::EndpointId& aEndpoint) {
  if (m_finished || m_moving || m_attempt.m_endpoint != aEndpoint || !m_attempt.m_open) {
    return;
  }
  TryMove();
}

bool CompletionSession::EndsBefore(int64_t aDepartureMs) const {
  if (aDepartureMs == 0) {
    return false;
  }
  const uint64_t remainingTokens =
    m_completion.m_maxTokens - std::min(m_completion.m_maxTokens, m_splicer.NextOffset());
  const Millis remainingTime = m_team.m_tokenGapTarget * static_cast<int64_t>(remainingTokens);
  return base::WallMillis() + remainingTime.count() + kPrefillReserve.count() < aDepartureMs;
}

void CompletionSession::TryMove() {
  const routing::EndpointInfo* current = m_context.m_dispatcher.Router().Find(m_attempt.m_endpoint);
  const int64_t leavesAt = current == nullptr ? 0 : current->m_leavesAtMs;
  // A move timer that was armed for a previous engine may fire after the stream has moved to an
  // engine that is not leaving.
  const bool isLive = current != nullptr && current->m_state == routing::EndpointState::Live;
  // A stream that is expected to end before the engine leaves is not moved.
  if (m_finished || m_moving || !m_attempt.m_open || m_completion.m_body == nullptr || isLive ||
      EndsBefore(leavesAt)) {
    return;
  }
  routing::RouteQuery query = MakeRouteQuery();
  query.m_exclude.insert(m_attempt.m_endpoint);
  query.m_avoidZone = m_attempt.m_zone;
  if (const auto target = m_context.m_dispatcher.Router().Choose(query)) {
    m_context.m_dispatcher.Router().RecordRequestSent(target->m_endpoint, query, Now());
    Move(*target);
    return;
  }
  // No engine has capacity. The stream stays during the termination notice and the search is
  // retried.
  m_moveTimer =
    m_context.m_loop.After(kMoveRetryDelay, [self = shared_from_this()] { self->TryMove(); });
}

void CompletionSession::Move(const routing::RouteChoice& aTarget) {
  m_moving = true;
  m_context.m_timeline.Add(EventKind::StreamMoved,
                           m_id,
                           aTarget.m_endpoint.Text(),
                           "from " + m_attempt.m_endpoint.Text() + " at token " +
                             std::to_string(m_splicer.NextOffset()));
  m_context.m_metrics.Add(Counter::StreamsMoved);
  const auto onState = [self = shared_from_this(), aTarget](std::string aState) {
    if (self->m_finished) {
      self->m_context.m_dispatcher.OnRequestEnded(
        aTarget.m_endpoint, self->m_completion.m_deployment, 0);
      return;
    }
    // Ignore anything that the old engine still sends and continue on the new engine.
    self->CloseAttempt(0);
    self->m_triedEndpoints.insert(self->m_attempt.m_endpoint);
    self->m_kvState = std::move(aState);
    self->m_moving = false;
    self->OnDispatched(aTarget);
  };
  m_context.m_engines.ExportStream(
    m_attempt.m_address, m_attempt.m_streamName, kExportTimeout, onState);
}

void CompletionSession::HandOver(const base::Address& aNext) {
  if (m_finished) {
    return;
  }
  const std::string next = "http://" + aNext.ToText();
  if (m_response.IsStreaming()) {
    // The caller resumes at that node with the id of the last event it received.
    m_response.EndStreamMovedTo(aNext);
  } else if (m_context.m_dispatcher.Withdraw(m_id) || !m_attempt.m_open) {
    // The request has not reached an engine, so the other node handles it from the start.
    m_response.Redirect(kTemporaryRedirect, next + m_completion.m_path);
  } else {
    // The engine keeps generating, and the other node returns the complete answer.
    const std::string kind = m_completion.m_path == kChatCompletionPath ? "chat" : "text";
    m_response.Redirect(kSeeOther, next + "/v1/answers/" + kind + "/" + m_eventIdPrefix + ".0");
  }
  CloseAttempt(0);
  Finish();
}

void CompletionSession::OnCallerDisconnected() {
  if (m_finished) {
    return;
  }
  m_context.m_timeline.Add(EventKind::CallerDisconnected, m_id);
  const bool waiting = m_context.m_dispatcher.Withdraw(m_id);
  // A streaming caller may reconnect at any node to resume, so its engine keeps generating for a
  // grace period. A non-streaming request has no position to resume from and is cancelled at once.
  if (!waiting && m_attempt.m_open && !m_response.IsStreaming()) {
    m_context.m_engines.Cancel(m_attempt.m_address, m_attempt.m_streamName, false);
  } else if (!waiting && m_attempt.m_open) {
    m_graceTimer = m_context.m_loop.After(kReconnectGrace, [self = shared_from_this()] {
      self->m_context.m_engines.Cancel(
        self->m_attempt.m_address, self->m_attempt.m_streamName, true);
      self->m_graceTimer.reset();
    });
  }
  CloseAttempt(0);
  Finish();
}

void CompletionSession::OnSuperseded() {
  // The caller's connection to this node stalled and it resumed the stream through another node.
  // Resuming here would take the stream away from that node.
  m_context.m_timeline.Add(EventKind::CallerDisconnected, m_id, "", "reads on at another node");
  CloseAttempt(0);
  m_response.AbortConnection();
  Finish();
}

void CompletionSession::Fail(const Problem& aProblem) {
  if (m_finished) {
    return;
  }
  m_context.m_metrics.Add(Counter::RequestsRejected);
  m_response.Fail(aProblem);
  Finish();
}

void CompletionSession::Finish() {
  if (std::exchange(m_finished, true)) {
    return;
  }
  m_moveTimer.reset();
  m_retryTimer.reset();
  m_context.m_loop.Defer([self = shared_from_this()] {
    self->m_response.Detach();
    self->m_onFinished(self->m_id);
  });
}

} // namespace papayafield::gateway
