#include "forwarding/Exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayafield::forwarding {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;
using adapters::http1::ResponseHead;
using fleet::CallKind;

namespace {

/// Longest wait for a connection: some round trips; a lost first packet takes a second.
constexpr base::Millis kConnectLimit{ 250 };
/// Part of its keep-alive time that a connection may have been idle: little for calls that must not
/// be sent twice, since an endpoint may be closing it.
constexpr double kIdlePart = 0.7;
constexpr double kIdlePartUnsafe = 0.3;
/// A call without an answer, or a stream without an event, after so many times its goal goes on at
/// another endpoint, if it may.
constexpr double kStallGoals = 2.0;
/// Part of the shared prompt parts that an endpoint is expected to read again.
constexpr double kSharedReadPart = 0.2;
/// Least time that is worth an attempt.
constexpr base::Millis kLeastAttempt{ 20 };
/// Largest whole answer that is held.
constexpr size_t kMaxWholeAnswer = 16U << 20U;
/// Callers honour a Retry-After of up to this part of the time they have left.
constexpr double kRetryAfterPart = 0.33;

/// A team's priority replaces its routes'.
int UrgencyOf(const fleet::Team* aTeam, const fleet::Route& aRoute) {
  return aTeam == nullptr ? aRoute.m_priority : aTeam->m_priority.value_or(aRoute.m_priority);
}

double Seconds(base::Millis aSpan) {
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

/// One attempt under way.
struct Exchange::Running {
  fleet::Endpoint m_endpoint;
  std::shared_ptr<ClientConnection> m_connection;
  bool m_reused = false;
  base::TimePoint m_sentAt;
  /// Prompt tokens that count as waiting at the endpoint.
  double m_waitingTokens = 0;
  AnswerInfo m_info;
  ResponseHead m_head;
  std::string m_body;
  bool m_hasHead = false;
  /// The answer at hand belongs to an earlier call on this connection.
  bool m_stray = false;
  bool m_sawStray = false;
  bool m_streams = false;
  bool m_counted = false;
  bool m_over = false;
  adapters::http::WatchPtr m_connectTimer;
  adapters::http::WatchPtr m_stallTimer;
};

Exchange::Exchange(NodeState& aNode,
                   fleet::CatalogPtr aCatalog,
                   const fleet::Route& aRoute,
                   const fleet::Team* aTeam,
                   CallInfo aCall,
                   adapters::http1::RequestHead aHead,
                   std::string aBody,
                   base::TimePoint aArrival,
                   AnswerSink aSink)
  : m_node(aNode)
  , m_catalog(std::move(aCatalog))
  , m_route(aRoute)
  , m_team(aTeam != nullptr ? aTeam->m_id : base::TeamId())
  , m_priority(UrgencyOf(aTeam, aRoute))
  , m_call(std::move(aCall))
  , m_head(std::move(aHead))
  , m_body(std::move(aBody))
  , m_arrival(aArrival)
  , m_sink(std::move(aSink)) {
  base::Millis patience = m_route.m_timeout;
  if (m_call.m_patience) {
    patience = std::min(patience, *m_call.m_patience);
  }
  m_limit = m_arrival + patience;
}

base::Millis Exchange::TimeLeft() const {
  return std::chrono::duration_cast<base::Millis>(m_limit - base::BootNow());
}

double Exchange::UncachedTokens() const {
  if (!m_call.m_promptTokens) {
    return 0;
  }
  const double own =
    m_call.m_parts.empty() ? *m_call.m_promptTokens : m_call.m_parts.back().m_tokens;
  return own + std::max(*m_call.m_promptTokens - own, 0.0) * kSharedReadPart;
}

fleet::ServiceId Exchange::PickService() {
  double total = 0;
  for (const fleet::Backend& backend : m_route.m_backends) {
    total += backend.m_weight;
  }
  double draw = m_node.Random() * total;
  for (const fleet::Backend& backend : m_route.m_backends) {
    draw -= backend.m_weight;
    if (draw < 0) {
      return backend.m_service;
    }
  }
  return m_route.m_backends.empty() ? fleet::ServiceId() : m_route.m_backends.back().m_service;
}

placement::Need Exchange::MakeNeed(const fleet::ServiceId& aService) const {
  placement::Need need;
  need.m_service = aService;
  need.m_subject = m_call.Subject();
  need.m_promptTokens = UncachedTokens();
  need.m_zone = m_node.m_zone;
  need.m_tried = m_tried;
  return need;
}

void Exchange::Start() {
  m_service = PickService();
  m_node.EarnRetries(m_service);
  if (m_call.m_promptTokens) {
    m_node.NoteWork(m_node.m_scaling.EstimateWorkMs(UncachedTokens(), 0));
  }
  m_cutter.Resume(m_call.m_lastEventId);
  m_limitTimer = m_node.m_loop.After(std::max(TimeLeft(), base::Millis(0)),
                                     [self = shared_from_this()] { self->TimeUp(); });
  Dispatch();
}

void Exchange::Dispatch() {
  const auto now = base::BootNow();
  if (TimeLeft() < kLeastAttempt) {
    TimeUp();
    return;
  }
  const auto& ready = m_node.m_directory.Ready();
  const auto choice = m_node.m_placement.Choose(MakeNeed(m_service), ready, now);
  if (!choice) {
    if (m_failure) {
      Deliver(m_failure->first, m_failure->second);
      return;
    }
    Refuse(FinalStatus(m_runs > 0, false), "no_endpoint", 1.0);
    return;
  }
  m_expectedMs = m_node.m_placement.LoadDelayAt(ready[*choice].m_incarnation.m_endpoint,
                                                m_call.m_promptTokens.has_value());
  if (m_sends == 0 && m_expectedMs > static_cast<double>(TimeLeft().count())) {
    Refuse(503, "overload", m_expectedMs / 1000 / 2);
    return;
  }
  Send(ready[*choice]);
}

base::Millis Exchange::AttemptLimit() const {
  return std::chrono::duration_cast<base::Millis>(m_route.m_goal * kStallGoals);
}

void Exchange::Send(const fleet::Endpoint& aEndpoint) {
  const auto now = base::BootNow();
  const bool careful = !m_route.Repeatable();
  Lease lease = m_node.m_pool.Take(aEndpoint, careful ? kIdlePartUnsafe : kIdlePart, now);
  auto run = std::make_shared<Running>();
  run->m_endpoint = aEndpoint;
  run->m_connection = std::move(lease.m_connection);
  run->m_reused = lease.m_reused;
  run->m_sentAt = now;
  run->m_waitingTokens = UncachedTokens();
  m_run = run;
  ++m_sends;
  m_tried.insert(aEndpoint.m_incarnation.m_endpoint);
  m_node.m_placement.Begin(aEndpoint.m_incarnation.m_endpoint, run->m_waitingTokens);
  const Attempt attempt{ m_head,           aEndpoint.m_incarnation.m_endpoint,
                         m_team,           TimeLeft(),
                         m_priority,       m_call.m_promptTokens.has_value(),
                         m_cutter.LastId() };
  Arm(run);
  run->m_connection->Write(
    adapters::http1::Serialize(m_node.m_wire.m_encodeAttempt(attempt), m_body));
}

void Exchange::Arm(const std::shared_ptr<Running>& aRun) {
  const auto self = shared_from_this();
  ClientConnection::Events events;
  events.m_onHead = [self, aRun](ResponseHead&& aHead) { self->OnHead(aRun, std::move(aHead)); };
  events.m_onBody = [self, aRun](std::string_view aBytes) { self->OnBody(aRun, aBytes); };
  events.m_onComplete = [self, aRun] { self->OnComplete(aRun); };
  events.m_onEnd = [self, aRun](EndKind aKind, bool /*aInMessage*/) {
    self->Fail(aRun,
               aKind == EndKind::NotConnected ? AttemptFault::NotSent : AttemptFault::Lost,
               std::string(base::NameOf(aKind)));
  };
  aRun->m_connection->SetEvents(std::move(events));
  const std::weak_ptr<Running> weak = aRun;
  if (!aRun->m_connection->Established()) {
    aRun->m_connectTimer = m_node.m_loop.After(kConnectLimit, [self, weak] {
      const auto run = weak.lock();
      if (run && !run->m_connection->Established()) {
        self->Fail(run, AttemptFault::NotSent, "connect_timeout");
      }
    });
  }
  if (m_route.Repeatable()) {
    aRun->m_stallTimer = m_node.m_loop.After(AttemptLimit(), [self, weak] {
      const auto run = weak.lock();
      if (run && !run->m_hasHead) {
        self->Fail(run, AttemptFault::Stalled, "no_answer");
      }
    });
  }
}

/// An engine may go silent in the middle of a stream without closing the connection.
void Exchange::WatchPause(const std::shared_ptr<Running>& aRun) {
  if (!m_route.Repeatable() || m_route.m_gapGoal.count() <= 0) {
    return;
  }
  const auto limit = std::chrono::duration_cast<base::Millis>(m_route.m_gapGoal * kStallGoals);
  aRun->m_stallTimer =
    m_node.m_loop.After(limit, [self = shared_from_this(), weak = std::weak_ptr<Running>(aRun)] {
      if (const auto run = weak.lock()) {
        self->Fail(run, AttemptFault::Stalled, "no_event");
      }
    });
}

void Exchange::OnHead(const std::shared_ptr<Running>& aRun, ResponseHead&& aHead) {
  aRun->m_info = m_node.m_wire.m_decodeAnswer(aHead);
  const AnswerInfo& info = aRun->m_info;
  aRun->m_stray = !info.m_id.empty() && info.m_id != m_call.m_id;
  if (aRun->m_stray) {
    aRun->m_sawStray = true;
    return;
  }
  aRun->m_hasHead = true;
  aRun->m_head = std::move(aHead);
  const bool success = aRun->m_head.m_status / 100 == 2;
  const bool encoded = aRun->m_head.m_fields.Find("Content-Encoding").has_value();
  if (success && (!info.m_signed || info.m_id.empty() || encoded)) {
    Fail(aRun, AttemptFault::Lost, "unsigned_answer");
    return;
  }
  aRun->m_streams = success && m_route.m_kind == CallKind::Stream && info.m_eventStream;
  if (m_begun && !aRun->m_streams && !info.m_notExecuted) {
    Fail(aRun, AttemptFault::Lost, "not_resumed");
  }
}

void Exchange::OnBody(const std::shared_ptr<Running>& aRun, std::string_view aBytes) {
  if (aRun->m_over || aRun->m_stray) {
    return;
  }
  if (aRun->m_streams) {
    OnStreamBytes(aRun, aBytes);
    return;
  }
  aRun->m_body += aBytes;
  if (aRun->m_body.size() > kMaxWholeAnswer) {
    Fail(aRun, AttemptFault::Lost, "answer_too_large");
  }
}

void Exchange::CountRun(const std::shared_ptr<Running>& aRun, base::TimePoint aBegan) {
  if (aRun->m_counted) {
    return;
  }
  aRun->m_counted = true;
  const auto ago = std::chrono::duration_cast<base::Millis>(base::BootNow() - aBegan);
  m_node.m_usage.CountLocalRequest(m_team, base::WallMillis() - ago.count());
}

void Exchange::OnStreamBytes(const std::shared_ptr<Running>& aRun, std::string_view aBytes) {
  const std::string events = m_cutter.Feed(aBytes);
  if (events.empty()) {
    return;
  }
  if (aRun->m_waitingTokens > 0) {
    m_node.m_placement.Answering(aRun->m_endpoint.m_incarnation.m_endpoint, aRun->m_waitingTokens);
    aRun->m_waitingTokens = 0;
  }
  CountRun(aRun, base::BootNow());
  if (!m_begun) {
    m_begun = true;
    m_firstByte = base::BootNow();
    m_sink.m_begin(CallerHead(aRun->m_head));
  }
  m_sink.m_piece(events);
  WatchPause(aRun);
}

void Exchange::OnComplete(const std::shared_ptr<Running>& aRun) {
  if (aRun->m_over) {
    return;
  }
  if (aRun->m_stray) {
    // The answer to this call is still to come on the same connection.
    aRun->m_stray = false;
    if (aRun->m_connection->KeepAlive()) {
      aRun->m_connection->Resume();
    } else {
      Fail(aRun, AttemptFault::Lost, "stray_answer");
    }
    return;
  }
  if (aRun->m_info.m_notExecuted) {
    Fail(aRun, AttemptFault::NotExecuted, std::to_string(aRun->m_head.m_status));
    return;
  }
  OnAnswerComplete(aRun);
}

void Exchange::OnAnswerComplete(const std::shared_ptr<Running>& aRun) {
  if (aRun->m_streams) {
    if (m_cutter.InEvent() || !m_begun) {
      Fail(aRun, AttemptFault::Lost, "stream_cut");
      return;
    }
    m_node.m_placement.NoteOutcome(
      aRun->m_endpoint.m_incarnation.m_endpoint, true, base::BootNow());
    Release(aRun, true);
    m_sink.m_end();
    Finish(aRun->m_head.m_status, "served");
    return;
  }
  CountRun(aRun, aRun->m_sentAt);
  const int status = aRun->m_head.m_status;
  if (status >= 500) {
    Fail(aRun, AttemptFault::Failed, std::to_string(status));
    return;
  }
  m_node.m_placement.NoteOutcome(aRun->m_endpoint.m_incarnation.m_endpoint, true, base::BootNow());
  Release(aRun, true);
  Deliver(aRun->m_head, aRun->m_body);
}

void Exchange::Release(const std::shared_ptr<Running>& aRun, bool aReuse) {
  if (aRun->m_over) {
    return;
  }
  aRun->m_over = true;
  aRun->m_connectTimer.reset();
  aRun->m_stallTimer.reset();
  const fleet::Incarnation& incarnation = aRun->m_endpoint.m_incarnation;
  m_node.m_placement.End(incarnation.m_endpoint, aRun->m_waitingTokens);
  if (aReuse && aRun->m_connection->KeepAlive() && !aRun->m_sawStray) {
    m_node.m_pool.Return(
      incarnation, aRun->m_connection, aRun->m_info.m_keepAlive, base::BootNow());
  } else {
    aRun->m_connection->Close();
  }
  if (m_run == aRun) {
    m_run.reset();
  }
}

void Exchange::Fail(const std::shared_ptr<Running>& aRun,
                    AttemptFault aFault,
                    const std::string& aWhy) {
  if (aRun->m_over) {
    return;
  }
  const auto self = shared_from_this();
  const fleet::Endpoint endpoint = aRun->m_endpoint;
  const auto now = base::BootNow();
  const bool mayHaveRun = aFault != AttemptFault::NotSent && aFault != AttemptFault::NotExecuted;
  if (mayHaveRun) {
    ++m_runs;
    if (m_route.m_kind != CallKind::Stream) {
      CountRun(aRun, aRun->m_sentAt);
    }
  }
  if (aFault == AttemptFault::Lost && aRun->m_reused) {
    m_node.m_pool.Distrust(endpoint.m_incarnation);
  }
  m_node.m_placement.NoteOutcome(endpoint.m_incarnation.m_endpoint, false, now);
  Release(aRun, aFault == AttemptFault::NotExecuted || aFault == AttemptFault::Failed);
  m_cutter.DropRest();
  const AttemptState state{ m_route.m_kind, m_route.Repeatable(),  aFault,
                            m_runs,         m_route.m_maxAttempts, m_begun };
  const bool again = !m_callerGone && !m_finished && MayTryAnother(state) &&
                     TimeLeft() > kLeastAttempt &&
                     (aFault == AttemptFault::NotSent || m_node.SpendRetry(m_service));
  m_node.m_log.Event(
    "attempt failed",
    { { "request", m_call.m_id },
      { "endpoint", endpoint.m_incarnation.m_endpoint.Text() },
      { "revision", endpoint.m_revision },
      { "fault", base::NameOf(aFault) },
      { "why", aWhy },
      { "reused", aRun->m_reused },
      { "age_ms", std::chrono::duration_cast<base::Millis>(now - aRun->m_sentAt).count() },
      { "last_event", m_cutter.LastId() },
      { "again", again } });
  m_node.m_metrics.Count("attempt_" + std::string(base::NameOf(aFault)));
  if (m_finished) {
    return;
  }
  if (m_callerGone) {
    Finish(0, "caller_gone");
    return;
  }
  if (aFault == AttemptFault::Failed) {
    m_failure.emplace(aRun->m_head, aRun->m_body);
  }
  if (again) {
    Dispatch();
  } else if (m_begun) {
    m_sink.m_abort();
    Finish(0, "stream_broken");
  } else if (m_failure) {
    Deliver(m_failure->first, m_failure->second);
  } else {
    Refuse(FinalStatus(m_runs > 0, false), std::string(base::NameOf(aFault)), 0.3);
  }
}

void Exchange::TimeUp() {
  const auto self = shared_from_this();
  if (m_finished) {
    return;
  }
  // A send that is under way may have run; one whose connection never stood has not.
  const bool sent = m_run != nullptr && m_run->m_connection->Established();
  if (m_run != nullptr && (m_route.m_kind != CallKind::Unsafe || !sent)) {
    Release(m_run, false);
  }
  if (m_begun) {
    m_sink.m_abort();
    Finish(0, "stream_timeout");
    return;
  }
  Refuse(FinalStatus(m_runs > 0 || sent, true), "timeout", 0);
}

void Exchange::CallerGone() {
  const auto self = shared_from_this();
  m_callerGone = true;
  m_limitTimer.reset();
  if (m_finished) {
    return;
  }
  if (m_run != nullptr && m_route.m_kind != CallKind::Unsafe) {
    Release(m_run, false);
  }
  if (m_run == nullptr) {
    Finish(0, "caller_gone");
  }
}

ResponseHead Exchange::CallerHead(const ResponseHead& aHead) const {
  ResponseHead head;
  head.m_status = aHead.m_status;
  head.m_reason = aHead.m_reason;
  for (const auto& field : aHead.m_fields.List()) {
    if (!adapters::http1::IsHopByHop(field.m_name)) {
      head.m_fields.Add(field.m_name, field.m_value);
    }
  }
  return head;
}

void Exchange::Deliver(const ResponseHead& aHead, const std::string& aBody) {
  if (m_finished) {
    return;
  }
  if (m_firstByte == base::TimePoint{}) {
    m_firstByte = base::BootNow();
  }
  if (!m_callerGone) {
    m_sink.m_whole(CallerHead(aHead), aBody);
  }
  Finish(aHead.m_status,
         m_callerGone                ? "caller_gone"
         : aHead.m_status / 100 == 2 ? "served"
                                     : "endpoint_failure");
}

void Exchange::Refuse(int aStatus, const std::string& aReason, double aRetryAfterSeconds) {
  if (m_finished) {
    return;
  }
  if (m_callerGone) {
    Finish(0, "caller_gone");
    return;
  }
  ResponseHead head;
  head.m_status = aStatus;
  head.m_fields.Add(m_node.m_wire.m_idField, m_call.m_id);
  if (aStatus == 503 && aRetryAfterSeconds > 0) {
    // Spread over half to one and a half times the span, so that callers do not return together.
    const double most = Seconds(TimeLeft()) * kRetryAfterPart;
    const double span = std::min(aRetryAfterSeconds * (0.5 + m_node.Random()), std::max(most, 0.0));
    char text[16];
    std::snprintf(text, sizeof(text), "%.2f", span);
    head.m_fields.Add("Retry-After", text);
  }
  m_sink.m_whole(head, {});
  Finish(aStatus, aReason);
}

/// How much a stream brings is known only at its end; what callers state is the most it may bring.
void Exchange::NoteOutput() {
  const fleet::Service* service = m_catalog->FindService(m_service);
  if (service != nullptr && service->m_engine) {
    const auto tokens =
      static_cast<double>(m_cutter.Events()) * service->m_engine->m_tokensPerEvent;
    m_node.NoteWork(m_node.m_scaling.EstimateWorkMs(0, tokens));
  }
}

void Exchange::Finish(int aStatus, const std::string& aReason) {
  if (m_finished) {
    return;
  }
  m_finished = true;
  m_limitTimer.reset();
  NoteOutput();
  const auto now = base::BootNow();
  const auto span = [&](base::TimePoint aUntil) {
    return std::chrono::duration_cast<base::Millis>(aUntil - m_arrival).count();
  };
  m_node.m_metrics.CountAnswer(aStatus, aReason);
  if (m_firstByte != base::TimePoint{}) {
    m_node.m_metrics.ObserveFirstByte(static_cast<double>(span(m_firstByte)) / 1000);
    m_node.m_metrics.ObserveWhole(static_cast<double>(span(now)) / 1000);
  }
  m_node.m_log.Event("call ended",
                     { { "request", m_call.m_id },
                       { "route", m_route.m_name },
                       { "team", m_team.Text() },
                       { "service", m_service.Text() },
                       { "status", aStatus },
                       { "reason", aReason },
                       { "tokens", m_call.m_promptTokens.value_or(0) + m_call.m_outputTokens },
                       { "sends", m_sends },
                       { "endpoint", m_tried.empty() ? "" : m_tried.rbegin()->Text() },
                       { "expected_ms", m_expectedMs },
                       { "first_ms", m_firstByte == base::TimePoint{} ? -1 : span(m_firstByte) },
                       { "total_ms", span(now) },
                       { "version", m_catalog->Version() },
                       { "endpoints", m_node.m_directory.LastRevision() } });
  // The sink's owner may be the one that destroys this call.
  m_node.m_loop.Defer([sink = std::make_shared<AnswerSink>(std::exchange(m_sink, {}))] {});
}

} // namespace papayafield::forwarding
