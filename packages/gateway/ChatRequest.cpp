#include "gateway/ChatRequest.h"

#include "base/Digest.h"

#include <cassert>

namespace papayafield::gateway {

namespace {

using base::EventKind;
using base::Millis;
using requests::Fault;
using requests::Outcome;
using requests::Step;

constexpr int kSeeOther = 303;
constexpr int kTemporaryRedirect = 307;
constexpr int kGone = 410;
constexpr int kServiceUnavailable = 503;
/// Resumes at the same engine before another is tried.
constexpr int kMaxResumes = 2;
/// Pause before an accepted request that found no retry budget tries again.
constexpr Millis kRetryPause{ 200 };
/// Pause between two looks for an engine to move to.
constexpr Millis kMovePause{ 50 };
/// Part of the notice that is kept free for prefilling elsewhere.
constexpr Millis kMoveReserve{ 500 };
/// Longest time that an export may take.
constexpr Millis kExportTimeout{ 2000 };
/// How long an engine goes on for a streaming caller that has gone.
constexpr Millis kReturnGrace{ 10000 };
/// Random bytes in the name of a stream.
constexpr size_t kStreamNameBytes = 12;

base::TimePoint Now() {
  return base::SteadyClock().Now();
}

double Seconds(base::TimePoint::duration aSpan) {
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

ChatRequest::ChatRequest(GatewayContext& aContext,
                         adapters::http::ExchangePtr aExchange,
                         base::RequestId aId,
                         const manifest::Team& aTeam,
                         Completion aCompletion,
                         std::function<void(const base::RequestId&)> aOnOver)
  : m_context(aContext)
  , m_id(aId)
  , m_caller(aContext.m_loop,
             std::move(aExchange),
             std::move(aId),
             aContext.m_settings.m_limits.m_maxUnsentBytes)
  , m_team(aTeam)
  , m_completion(std::move(aCompletion))
  , m_onOver(std::move(aOnOver))
  , m_since(Now()) {}

void ChatRequest::Begin() {
  m_caller.OnDisconnect([self = shared_from_this()] { self->OnCallerGone(); });
  Queue();
}

void ChatRequest::BeginAfter(const requests::AnswerPosition& aPosition) {
  m_caller.OnDisconnect([self = shared_from_this()] { self->OnCallerGone(); });
  m_callerFrom = aPosition.m_offset + 1;
  const routing::EndpointInfo* endpoint =
    m_context.m_dispatcher.Router().Find(aPosition.m_token.m_endpoint);
  m_attempt.m_endpoint = aPosition.m_token.m_endpoint;
  m_attempt.m_stream = aPosition.m_token.m_stream;
  m_tried.insert(m_attempt.m_endpoint);
  if (endpoint == nullptr) {
    OnFault(Fault::NotConnected);
    return;
  }
  m_attempt.m_address = endpoint->m_address;
  m_attempt.m_zone = endpoint->m_zone;
  m_attempt.m_open = true;
  m_context.m_dispatcher.Router().NoteSent(
    m_attempt.m_endpoint, { m_completion.m_deployment, {}, 0, m_team.m_firstToken, {}, {} }, Now());
  ResumeAttempt();
}

routing::RouteQuery ChatRequest::Query() const {
  return { m_completion.m_deployment,
           m_completion.m_blocks,
           m_completion.m_promptTokens + m_splicer.Next(),
           m_team.m_firstToken,
           m_tried,
           {} };
}

double ChatRequest::Cost() const {
  return static_cast<double>(m_completion.m_promptTokens + m_completion.m_maxTokens);
}

DispatchTicket ChatRequest::MakeTicket() {
  DispatchTicket ticket;
  ticket.m_waiting.m_request = m_id;
  ticket.m_waiting.m_team = m_team.m_name;
  ticket.m_waiting.m_weight = m_team.m_weight;
  ticket.m_waiting.m_class = static_cast<size_t>(m_team.m_priority);
  ticket.m_waiting.m_cost = Cost();
  ticket.m_waiting.m_since = m_since;
  ticket.m_waiting.m_deadline = m_since + m_team.m_maxWait;
  ticket.m_waiting.m_teamLimit = m_team.m_maxQueued;
  ticket.m_query = Query();
  ticket.m_onTurn = [self = shared_from_this()](const routing::RouteChoice& aChoice) {
    self->OnTurn(aChoice);
  };
  ticket.m_onRefused = [self = shared_from_this()](const admission::Refused& aRefused) {
    self->OnRefused(aRefused);
  };
  return ticket;
}

void ChatRequest::Queue() {
  m_context.m_timeline.Add(EventKind::RequestQueued, m_id, m_completion.m_deployment.Text());
  m_context.m_dispatcher.Submit(MakeTicket());
}

void ChatRequest::OnTurn(const routing::RouteChoice& aChoice) {
  assert(!m_attempt.m_open);
  m_attempt.m_endpoint = aChoice.m_endpoint;
  m_attempt.m_address = aChoice.m_address;
  const routing::EndpointInfo* endpoint = m_context.m_dispatcher.Router().Find(aChoice.m_endpoint);
  m_attempt.m_zone = endpoint == nullptr ? base::ZoneId() : endpoint->m_zone;
  m_attempt.m_open = true;
  m_attempt.m_resumes = 0;
  StartAttempt();
}

void ChatRequest::OnRefused(const admission::Refused& aRefused) {
  m_context.m_timeline.Add(
    EventKind::RequestRefused, m_id, "", std::string(base::NameOf(aRefused.m_why)));
  const requests::FaultRule& rule =
    requests::RuleFor(Fault::QueueTimeout, requests::CallKind::Repeatable);
  Fail({ kServiceUnavailable,
         "no room",
         rule.m_outcome,
         std::string(base::NameOf(aRefused.m_why)),
         aRefused.m_retryAfter });
}

void ChatRequest::StartAttempt() {
  ++m_attempt.m_number;
  m_attempt.m_stream = base::RandomHex(kStreamNameBytes);
  m_eventPrefix = requests::SignAnswerToken({ m_attempt.m_endpoint, m_attempt.m_stream },
                                            m_team.m_name,
                                            m_context.m_settings.m_fleet.m_keys.front());
  m_context.m_metrics.Add(Counter::Attempts);
  m_context.m_timeline.Add(EventKind::AttemptStarted,
                           m_id,
                           m_attempt.m_endpoint.Text(),
                           "attempt " + std::to_string(m_attempt.m_number) + " from token " +
                             std::to_string(m_splicer.Next()));
  if (m_splicer.Next() > 0 && m_kvState.empty()) {
    m_context.m_metrics.Add(Counter::TokensRecomputed,
                            static_cast<double>(m_completion.m_promptTokens + m_splicer.Next()));
  }
  adapters::engine::GenerationRequest call;
  call.m_engine = m_attempt.m_address;
  call.m_path = m_completion.m_path;
  call.m_body = m_completion.m_body;
  call.m_stream = m_attempt.m_stream;
  call.m_priority = static_cast<size_t>(m_team.m_priority);
  call.m_startAt = m_splicer.Next();
  call.m_textSoFar = m_text;
  call.m_kvState = std::exchange(m_kvState, {});
  m_attempt.m_transfer = m_context.m_engines.Start(call, MakeEvents());
}

void ChatRequest::ResumeAttempt() {
  ++m_attempt.m_resumes;
  ++m_attempt.m_number;
  m_eventPrefix = requests::SignAnswerToken({ m_attempt.m_endpoint, m_attempt.m_stream },
                                            m_team.m_name,
                                            m_context.m_settings.m_fleet.m_keys.front());
  m_context.m_metrics.Add(Counter::StreamsResumed);
  m_context.m_timeline.Add(EventKind::StreamResumed,
                           m_id,
                           m_attempt.m_endpoint.Text(),
                           "from token " + std::to_string(m_splicer.Next()));
  m_attempt.m_transfer = m_context.m_engines.Resume(
    m_attempt.m_address, m_attempt.m_stream, m_splicer.Next(), MakeEvents());
}

adapters::engine::StreamEvents ChatRequest::MakeEvents() {
  // Events of an attempt that is no longer the present one are late answers and are dropped.
  const auto present = [self = shared_from_this(), number = m_attempt.m_number] {
    return !self->m_over && self->m_attempt.m_number == number;
  };
  adapters::engine::StreamEvents events;
  events.m_onTokens = [self = shared_from_this(),
                       present](const std::vector<adapters::engine::StreamToken>& aTokens) {
    if (present()) {
      self->OnTokens(aTokens);
    }
  };
  events.m_onEnd = [self = shared_from_this(), present] {
    if (present()) {
      self->OnEnd();
    }
  };
  events.m_onSuperseded = [self = shared_from_this(), present] {
    if (present()) {
      self->OnSuperseded();
    }
  };
  events.m_onFault = [self = shared_from_this(), present](Fault aFault) {
    if (present()) {
      self->OnFault(aFault);
    }
  };
  return events;
}

void ChatRequest::OnTokens(const std::vector<adapters::engine::StreamToken>& aTokens) {
  std::string part;
  bool gap = false;
  const uint64_t before = m_splicer.Next();
  for (const adapters::engine::StreamToken& token : aTokens) {
    const requests::SpliceVerdict verdict = m_splicer.Take(token.m_offset);
    if (verdict == requests::SpliceVerdict::Gap) {
      gap = true;
      break;
    }
    if (verdict == requests::SpliceVerdict::Duplicate) {
      continue;
    }
    m_text += adapters::engine::TokenText(token.m_data);
    if (m_completion.m_stream && token.m_offset >= m_callerFrom) {
      part += "id: " + m_eventPrefix + "." + std::to_string(token.m_offset) +
              "\ndata: " + token.m_data + "\n\n";
    }
  }
  if (m_splicer.Next() > before) {
    m_attempt.m_resumes = 0;
    Measure(m_splicer.Next() - before);
  }
  if (!part.empty() && !m_caller.Send(part)) {
    OnCallerGone();
  }
  // Ask again for what is missing; the rest of this batch comes again too.
  if (gap && !m_over) {
    OnFault(Fault::ResetInAnswer);
  }
}

void ChatRequest::Measure(uint64_t aTokens) {
  const base::TimePoint now = Now();
  if (m_lastToken == base::TimePoint{}) {
    m_context.m_metrics.Observe(Span::FirstToken, Seconds(now - m_since));
  } else {
    m_context.m_metrics.Observe(Span::TokenGap, Seconds(now - m_lastToken));
  }
  m_lastToken = now;
  m_context.m_metrics.Add(Counter::TokensRelayed, static_cast<double>(aTokens));
}

void ChatRequest::OnEnd() {
  LeaveAttempt(Cost());
  m_context.m_timeline.Add(EventKind::AnswerEnded,
                           m_id,
                           m_attempt.m_endpoint.Text(),
                           std::to_string(m_splicer.Next()) + " tokens");
  m_context.m_metrics.Add(Counter::RequestsAnswered);
  if (m_completion.m_stream) {
    m_caller.EndStream();
  } else {
    m_caller.ReplyWhole(WholeAnswer(m_completion, m_id, m_text, m_splicer.Next()));
  }
  Over();
}

void ChatRequest::LeaveAttempt(double aServedCost) {
  adapters::http::CancelTransfer(m_attempt.m_transfer);
  if (std::exchange(m_attempt.m_open, false)) {
    m_context.m_dispatcher.Ended(m_attempt.m_endpoint, m_completion.m_deployment, aServedCost);
  }
}

void ChatRequest::OnFault(Fault aFault) {
  // An engine that exports a stream cuts it; the move itself goes on.
  if (m_moving) {
    return;
  }
  m_context.m_timeline.Add(
    EventKind::AttemptFailed, m_id, m_attempt.m_endpoint.Text(), std::string(base::NameOf(aFault)));
  const requests::FaultRule& rule = requests::RuleFor(aFault, requests::CallKind::Repeatable);
  adapters::http::CancelTransfer(m_attempt.m_transfer);
  // The engine may hold the stream still: ask there first.
  if (rule.m_step == Step::Resume && m_attempt.m_resumes < kMaxResumes) {
    ResumeAttempt();
    return;
  }
  LeaveAttempt(0);
  m_tried.insert(m_attempt.m_endpoint);
  Requeue(rule.m_outcome);
}

void ChatRequest::Requeue(Outcome aOutcome) {
  // An answer asked for by its name alone came without its prompt.
  if (m_completion.m_body == nullptr) {
    Fail({ kGone, "the answer is gone", aOutcome, "ask again afresh", {} });
    return;
  }
  // Only what the caller has, or what this node has seen, can be continued elsewhere.
  if (m_callerFrom > m_splicer.Next()) {
    if (m_completion.m_textSoFar.empty()) {
      Fail({ kGone,
             "the stream is gone",
             aOutcome,
             "the engine that held it has gone; ask again with 'text_so_far', or afresh",
             {} });
      return;
    }
    m_text = m_completion.m_textSoFar;
    m_splicer = requests::StreamSplicer(m_callerFrom);
  }
  if (m_context.m_dispatcher.Retries().Spend(Now())) {
    m_context.m_metrics.Add(Counter::Retries);
    m_context.m_dispatcher.Resubmit(MakeTicket());
    return;
  }
  // An accepted request is not lost for want of budget: it only waits for it.
  m_retryTimer = m_context.m_loop.After(kRetryPause, [self = shared_from_this(), aOutcome] {
    if (!self->m_over) {
      self->Requeue(aOutcome);
    }
  });
}

void ChatRequest::EndpointLeaving(const base::EndpointId& aEndpoint) {
  if (m_over || m_moving || m_attempt.m_endpoint != aEndpoint || !m_attempt.m_open) {
    return;
  }
  TryMove();
}

bool ChatRequest::EndsBefore(int64_t aLeavesAtMs) const {
  if (aLeavesAtMs == 0) {
    return false;
  }
  const uint64_t left =
    m_completion.m_maxTokens - std::min(m_completion.m_maxTokens, m_splicer.Next());
  const Millis need = m_team.m_tokenGap * static_cast<int64_t>(left);
  return base::WallMillis() + need.count() + kMoveReserve.count() < aLeavesAtMs;
}

void ChatRequest::TryMove() {
  const routing::EndpointInfo* here = m_context.m_dispatcher.Router().Find(m_attempt.m_endpoint);
  const int64_t leavesAt = here == nullptr ? 0 : here->m_leavesAtMs;
  // A look that was due for an engine since left finds the stream at one that stays.
  const bool stays = here != nullptr && here->m_state == routing::EndpointState::Live;
  // What ends in time need not move.
  if (m_over || m_moving || !m_attempt.m_open || m_completion.m_body == nullptr || stays ||
      EndsBefore(leavesAt)) {
    return;
  }
  routing::RouteQuery query = Query();
  query.m_exclude.insert(m_attempt.m_endpoint);
  query.m_avoidZone = m_attempt.m_zone;
  if (const auto target = m_context.m_dispatcher.Router().Choose(query)) {
    m_context.m_dispatcher.Router().NoteSent(target->m_endpoint, query, Now());
    Move(*target);
    return;
  }
  // No room anywhere: stay for as long as the notice lasts, and look again.
  m_moveTimer =
    m_context.m_loop.After(kMovePause, [self = shared_from_this()] { self->TryMove(); });
}

void ChatRequest::Move(const routing::RouteChoice& aTarget) {
  m_moving = true;
  m_context.m_timeline.Add(EventKind::StreamMoved,
                           m_id,
                           aTarget.m_endpoint.Text(),
                           "from " + m_attempt.m_endpoint.Text() + " at token " +
                             std::to_string(m_splicer.Next()));
  m_context.m_metrics.Add(Counter::StreamsMoved);
  const auto onState = [self = shared_from_this(), aTarget](std::string aState) {
    if (self->m_over) {
      self->m_context.m_dispatcher.Ended(aTarget.m_endpoint, self->m_completion.m_deployment, 0);
      return;
    }
    // Leave the old engine, whatever it still sends, and go on at the new one.
    self->LeaveAttempt(0);
    self->m_tried.insert(self->m_attempt.m_endpoint);
    self->m_kvState = std::move(aState);
    self->m_moving = false;
    self->OnTurn(aTarget);
  };
  m_context.m_engines.ExportStream(
    m_attempt.m_address, m_attempt.m_stream, kExportTimeout, onState);
}

void ChatRequest::HandOver(const base::Address& aNext) {
  if (m_over) {
    return;
  }
  const std::string next = "http://" + aNext.ToText();
  if (m_caller.Streaming()) {
    // The caller asks there again, with the id of the last event.
    m_caller.EndStreamAt(aNext);
  } else if (m_context.m_dispatcher.Withdraw(m_id) || !m_attempt.m_open) {
    // It has not reached an engine: the other node takes it from the start.
    m_caller.Redirect(kTemporaryRedirect, next + m_completion.m_path);
  } else {
    // The engine goes on, and the other node brings the whole answer.
    const std::string kind = m_completion.m_path == kChatPath ? "chat" : "text";
    m_caller.Redirect(kSeeOther, next + "/v1/answers/" + kind + "/" + m_eventPrefix + ".0");
  }
  LeaveAttempt(0);
  Over();
}

void ChatRequest::OnCallerGone() {
  if (m_over) {
    return;
  }
  m_context.m_timeline.Add(EventKind::CallerGone, m_id);
  const bool waiting = m_context.m_dispatcher.Withdraw(m_id);
  // A streaming caller may come back for the rest at any node, so its engine goes on for a while; a
  // whole answer has no position to come back to.
  if (!waiting && m_attempt.m_open && !m_caller.Streaming()) {
    m_context.m_engines.Cancel(m_attempt.m_address, m_attempt.m_stream, false);
  } else if (!waiting && m_attempt.m_open) {
    m_graceTimer = m_context.m_loop.After(kReturnGrace, [self = shared_from_this()] {
      self->m_context.m_engines.Cancel(self->m_attempt.m_address, self->m_attempt.m_stream, true);
      self->m_graceTimer.reset();
    });
  }
  LeaveAttempt(0);
  Over();
}

void ChatRequest::OnSuperseded() {
  // The connection here went silent and its caller reads on elsewhere: resuming would only take the
  // stream away from it.
  m_context.m_timeline.Add(EventKind::CallerGone, m_id, "", "reads on at another node");
  LeaveAttempt(0);
  m_caller.HangUp();
  Over();
}

void ChatRequest::Fail(const Problem& aProblem) {
  if (m_over) {
    return;
  }
  m_context.m_metrics.Add(Counter::RequestsRefused);
  m_caller.Fail(aProblem);
  Over();
}

void ChatRequest::Over() {
  if (std::exchange(m_over, true)) {
    return;
  }
  m_moveTimer.reset();
  m_retryTimer.reset();
  m_context.m_loop.Defer([self = shared_from_this()] {
    self->m_caller.Release();
    self->m_onOver(self->m_id);
  });
}

} // namespace papayafield::gateway
