#include "forwarding/Exchange.h"

#include "forwarding/AnswerOrigin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayafield::forwarding {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;
using adapters::http1::ResponseHead;
using fleet::CallKind;

namespace {

/// Maximum time for connecting: a few round trips. A lost first packet would take a second.
constexpr base::Millis kConnectTimeout{ 250 };
/// Fraction of its keep-alive time for which a reused connection may have been idle. It is smaller
/// for calls that must not be sent twice, since the endpoint may be closing the connection.
constexpr double kMaxIdleFraction = 0.7;
constexpr double kMaxIdleFractionUnsafe = 0.3;
/// A call without an answer, or a stream without an event, is retried at another endpoint after
/// this multiple of its latency or gap target, if it may be repeated.
constexpr double kStallTimeoutFactor = 2.0;
/// Maximum time for which a silent attempt is kept while another endpoint has the call. The two
/// must not work on it side by side for longer.
constexpr base::Millis kMaxOverlap{ 300 };
/// Maximum size of a buffered answer, in bytes.
constexpr size_t kMaxAnswerBytes = 16U << 20U;
/// Size of a request body up to which it is sent together with its head; larger ones are not
/// copied.
constexpr size_t kMaxCopiedBodyBytes = 4096;
/// Smallest capacity of the buffer of an answer, in bytes.
constexpr size_t kMinBufferBytes = 4096;
/// Time for which an endpoint gets no new calls after an answer that exceeded a limit on its size.
constexpr base::Millis kOversizedAvoidance{ 5000 };
/// Retry-After of a node that is stopping, in seconds: other nodes can take the call at once.
constexpr double kStoppingRetrySeconds = 0.05;
/// Retry-After while neither this node nor, as far as it knows, any other one reaches the
/// endpoints, in seconds.
constexpr double kIsolatedRetrySeconds = 0.5;
/// Callers honour a Retry-After of up to this fraction of their remaining time.
constexpr double kMaxRetryAfterFraction = 0.33;

/// Time after the deadline of a call that must not be cancelled at which its attempt is abandoned.
/// The endpoint was told the deadline and stops at it by itself.
constexpr base::Millis kAbandonDelay{ 500 };

/// Method whose answers have no body.
constexpr std::string_view kHeadMethod = "HEAD";

/// Reason in the log of a call that ended because its time was over.
constexpr const char* kTimeoutReason = "timeout";

/// Reason in the log of a stream that cannot be continued at the version that began it.
constexpr const char* kVersionUnknownReason = "stream_version_unknown";

/// Longest search for the version that began a stream, also as a divisor of the caller's time.
constexpr base::Millis kMaxVersionSearch{ 1000 };
constexpr int kVersionSearchDivisor = 3;
/// Interval at which a resumed stream looks for an endpoint of its version.
constexpr base::Millis kVersionCheckInterval{ 20 };

/// Longest time for which the version that began a stream is to be confirmed.
constexpr base::Millis kMaxVersionConfirmation{ 10000 };
/// Longest time for which a stream without an endpoint waits for that.
constexpr base::Millis kMaxConfirmationWait{ 2500 };

/// Appended to a route's name where the gaps between the events of its streams are counted.
constexpr const char* kGapSuffix = "/gap";

/// Longest reading time of shared prompt parts that is taken into account when versions are
/// compared.
constexpr double kMaxReadingMs = 2000;

double Seconds(base::Millis aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

/// One attempt in progress.
struct Exchange::ActiveAttempt {
  fleet::Endpoint m_endpoint;
  std::shared_ptr<ClientConnection> m_connection;
  bool m_reused = false;
  /// Whether the request has been passed to the connection.
  bool m_isWritten = false;
  /// When the endpoint's process was first reached, if it may have replaced the registered one.
  base::TimePoint m_processSince{};
  /// Host of the node that the connection leads through; empty if it is direct.
  std::string m_relay;
  /// Key of the attempt at the monitor; 0 if the connection is not direct.
  uint64_t m_watch = 0;
  /// Whether the endpoint has sent the head of any answer.
  bool m_hasBytes = false;
  base::TimePoint m_sentAt;
  /// Open calls at the endpoint over all nodes when this one had been sent.
  double m_openCalls = 0;
  /// Prompt tokens that are counted as queued at the endpoint.
  double m_queuedTokens = 0;
  /// Urgency with which the call is counted at the endpoint.
  double m_urgency = 0;
  AnswerInfo m_answerInfo;
  ResponseHead m_head;
  std::string m_body;
  /// Covers the body, or the incomplete event of a stream; nullopt until there are bytes.
  std::optional<base::BufferBudget::Claim> m_bufferClaim;
  /// Number of bytes that were received for no caller.
  size_t m_discardedBytes = 0;
  bool m_hasHead = false;
  /// Whether the current answer belongs to an earlier call on this connection.
  bool m_isMisdirected = false;
  bool m_sawMisdirected = false;
  bool m_isStream = false;
  bool m_usageCounted = false;
  /// Whether the endpoint closed or reset the connection.
  bool m_connectionLost = false;
  /// Number of complete events that this attempt has returned, and when the first one arrived.
  size_t m_events = 0;
  base::TimePoint m_firstEventAt{};
  /// The version that a running roll-out counts the attempt for.
  rollout::AttemptVersion m_version;
  /// When the latest events arrived, and how many came at once.
  base::TimePoint m_lastEventsAt{};
  size_t m_lastEvents = 0;
  bool m_ended = false;
  adapters::http::EventHandlePtr m_connectTimer;
  adapters::http::EventHandlePtr m_silenceTimer;
  bool m_silenceLogged = false;
};

Exchange::Exchange(NodeState& aNode,
                   fleet::CatalogPtr aCatalog,
                   const fleet::Route& aRoute,
                   const fleet::Team* aTeam,
                   CallInfo aCall,
                   adapters::http1::RequestHead aHead,
                   RequestBodyPtr aBody,
                   base::TimePoint aArrival,
                   AnswerSink aSink)
  : m_node(aNode)
  , m_catalog(std::move(aCatalog))
  , m_route(aRoute)
  , m_team(aTeam != nullptr ? aTeam->m_id : base::TeamId())
  , m_priority(CallPlanner::PriorityOf(aTeam, aRoute))
  , m_call(std::move(aCall))
  , m_head(std::move(aHead))
  , m_body(std::move(aBody))
  , m_arrival(aArrival)
  , m_deadline(CallPlanner::DeadlineOf(aRoute, m_call, aArrival))
  , m_sink(std::move(aSink)) {}

CallPlanner Exchange::Planner() const {
  return { m_node,
           { *m_catalog,
             m_route,
             m_call,
             m_service,
             m_priority,
             m_arrival,
             m_deadline,
             m_tried,
             m_attemptCount,
             m_possibleRuns > 0,
             m_version } };
}

base::Millis Exchange::TimeLeft() const {
  return std::chrono::duration_cast<base::Millis>(m_deadline - base::BootNow());
}

base::Millis Exchange::CallerTimeLeft() const {
  const auto elapsed = std::chrono::duration_cast<base::Millis>(base::BootNow() - m_arrival);
  return m_call.m_callerTimeout ? *m_call.m_callerTimeout - elapsed : TimeLeft();
}

/// Returns the Retry-After of a call to a mixed service.
double Exchange::PredictedRetrySeconds(double aRoomInMs) {
  return Planner().RetryAfterSeconds(aRoomInMs, base::BootNow(), m_node.Random());
}

/// Refuses a call to a mixed service that no endpoint can answer in time.
void Exchange::RefuseLate(const scheduling::Prospect& aProspect) {
  const double retryAfter = PredictedRetrySeconds(m_node.m_admission.RoomInMs(aProspect));
  m_node.m_metrics.Count("refused_late");
  m_node.m_log.Event("call cannot be served in time",
                     { { "request", m_call.m_id },
                       { "route", m_route.m_name },
                       { "service", m_service.Text() },
                       { "priority", m_priority },
                       { "expected_ms", aProspect.m_expectedMs },
                       { "left_ms", aProspect.m_timeLeftMs },
                       { "calls", aProspect.m_calls },
                       { "waiting", aProspect.m_waitingCalls },
                       { "slots", aProspect.m_slots },
                       { "retry_after_s", retryAfter } });
  RejectAfter(503, "overload", retryAfter);
}

/// Returns the priority of the next attempt at an engine.
int Exchange::EnginePriority() {
  const PlannedPriority priority = Planner().EnginePriority(m_expectedDelayMs, base::BootNow());
  if (priority.m_slackMs) {
    m_slackMs = *priority.m_slackMs;
    m_enginePriority = priority.m_level;
    m_node.m_metrics.Count("engine_priority_" + std::to_string(priority.m_level));
  }
  return priority.m_level;
}

void Exchange::Start() {
  m_service = CallPlanner::SelectService(m_route, m_node.Random());
  m_node.CreditRetryBudget(m_service);
  m_node.m_versions.CountRequest(m_service);
  if (m_call.m_promptTokens) {
    const CallPlanner planner = Planner();
    m_node.AddRequestedWork(m_node.m_scaling.EstimateWorkMs(planner.UncachedTokens(), 0));
    if (planner.MixedClasses() != nullptr) {
      m_node.SplitOf(m_service).RecordCall(planner.CallClass(),
                                           *m_call.m_promptTokens,
                                           planner.UncachedTokens(),
                                           m_node.m_engines.PrefillTokensPerMs(m_service),
                                           base::BootNow());
    }
  }
  m_splitter.Resume(m_call.m_lastEventId);
  m_deadlineTimer = m_node.m_loop.After(std::max(TimeLeft(), base::Millis(0)),
                                        [self = shared_from_this()] { self->OnTimeout(); });
  if (m_route.m_kind == CallKind::Stream && !m_call.m_lastEventId.empty()) {
    FindVersion();
  } else {
    Dispatch();
  }
}

/// Returns the ID of the caller's try that brought the first event of the stream, or will do so.
const std::string& Exchange::StreamId() const {
  return m_call.m_resumedId.empty() || m_call.m_lastEventId.empty() ? m_call.m_id
                                                                    : m_call.m_resumedId;
}

/// Finds the version that began the stream that the caller resumes, and then starts the first
/// attempt.
void Exchange::FindVersion() {
  const auto now = base::BootNow();
  const base::Millis maxWait = std::min(TimeLeft() / kVersionSearchDivisor, kMaxVersionSearch);
  m_versionDeadline = now + maxWait;
  m_node.m_versionFinder.Find(
    { StreamId(), m_service },
    maxWait,
    [weak = weak_from_this()](const std::optional<std::string>& aVersion, VersionSource aSource) {
      if (const auto self = weak.lock()) {
        self->OnVersionFound(aVersion, aSource);
      }
    });
}

void Exchange::OnVersionFound(const std::optional<std::string>& aVersion, VersionSource aSource) {
  if (m_finished) {
    return;
  }
  m_version = aVersion;
  LogResumption(aSource);
  if (!m_version) {
    // An endpoint of another version would append text that does not fit.
    m_node.m_metrics.Count("resumed_version_unknown");
    Reject(503, kVersionUnknownReason, 0);
  } else if (Planner().IsVersionGone()) {
    AwaitEndpointOfVersion();
  } else {
    Dispatch();
  }
}

/// Starts the first attempt as soon as an endpoint of the stream's version is known, or when it is
/// certain that there is none: this node may not have read the registrations of that version yet.
void Exchange::AwaitEndpointOfVersion() {
  m_versionTimer = m_node.m_loop.Every(kVersionCheckInterval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && (!self->Planner().IsVersionGone() || base::BootNow() >= self->m_versionDeadline)) {
      self->EndAwait();
    }
  });
  m_node.m_versionFinder.Confirm(
    std::chrono::duration_cast<base::Millis>(m_versionDeadline - base::BootNow()),
    [weak = weak_from_this()](bool aCurrent) {
      const auto self = weak.lock();
      if (self && aCurrent) {
        self->EndAwait();
      }
    });
}

void Exchange::EndAwait() {
  if (m_versionTimer != nullptr && !m_finished) {
    m_versionTimer.reset();
    Dispatch();
  }
}

/// Logs the version to which a resumed stream is bound, and how current the view was that it was
/// decided by.
void Exchange::LogResumption(VersionSource aSource) const {
  const auto now = base::BootNow();
  const auto msAgo = [&](base::TimePoint aTime) {
    return aTime == base::TimePoint{}
             ? int64_t{ -1 }
             : std::chrono::duration_cast<base::Millis>(now - aTime).count();
  };
  const RegistryView& view = m_node.m_registryView;
  m_node.m_log.Event("stream resumed by caller",
                     { { "request", m_call.m_id },
                       { "resumes", m_call.m_resumedId },
                       { "service", m_service.Text() },
                       { "last_event", m_call.m_lastEventId },
                       { "source", base::NameOf(aSource) },
                       { "version", m_version.value_or("") },
                       { "age_ms", msAgo(m_arrival) },
                       { "versions", m_node.m_versionHistory.CountOf(m_service) },
                       { "era", view.m_position.m_era },
                       { "revision", view.m_position.m_revision },
                       { "confirmed_ms_ago", msAgo(view.m_confirmedAt) },
                       { "tick_ms_ago", msAgo(view.m_lastTick) },
                       { "pause_ms_ago", msAgo(view.m_pauseEnd.value_or(base::TimePoint{})) } });
}

/// Binds the stream to the version of the endpoint that has sent its first event, and records it
/// for a caller that resumes the stream.
void Exchange::BindVersion(const ActiveAttempt& aAttempt) {
  if (!m_version) {
    m_version = aAttempt.m_endpoint.m_version;
  }
  if (!m_route.m_resumable) {
    return;
  }
  if (m_node.m_continuity.IsConfirmed(aAttempt.m_endpoint, aAttempt.m_processSince)) {
    m_node.m_streamOrigins.Record(StreamId(), *m_version);
  } else {
    ConfirmVersion(aAttempt);
  }
}

/// Records the version of the stream as soon as it is certain that the endpoint has it. The call
/// may end before that.
void Exchange::ConfirmVersion(const ActiveAttempt& aAttempt) {
  m_certainty = VersionCertainty::Pending;
  m_node.m_metrics.Count("stream_versions_unconfirmed");
  m_node.m_streamOrigins.Expect(StreamId());
  m_node.m_continuity.Confirm(
    aAttempt.m_endpoint,
    aAttempt.m_processSince,
    kMaxVersionConfirmation,
    [&node = m_node, weak = weak_from_this(), stream = StreamId(), version = *m_version](
      bool aIsSame) {
      const bool isOpen = node.m_streamOrigins.IsExpected(fleet::StreamKeyOf(stream));
      node.m_streamOrigins.Dismiss(stream);
      if (isOpen && aIsSame) {
        node.m_streamOrigins.Record(stream, version);
      }
      if (const auto self = weak.lock()) {
        self->OnVersionConfirmed(aIsSame);
      }
    });
}

void Exchange::OnVersionConfirmed(bool aIsSame) {
  m_certainty = aIsSame ? VersionCertainty::Confirmed : VersionCertainty::Unknown;
  m_confirmationTimer.reset();
  if (std::exchange(m_dispatchWaits, false) && !m_finished) {
    Dispatch();
  }
}

/// Starts the next attempt once the version of the stream is confirmed, or breaks the stream off.
/// The version is recorded for its caller even if it is confirmed after that.
void Exchange::AwaitConfirmation() {
  m_dispatchWaits = true;
  m_confirmationTimer = m_node.m_loop.After(kMaxConfirmationWait, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && std::exchange(self->m_dispatchWaits, false) && !self->m_finished) {
      self->Reject(503, kVersionUnknownReason, 0);
    }
  });
}

void Exchange::Dispatch() {
  if (m_certainty == VersionCertainty::Pending) {
    AwaitConfirmation();
    return;
  }
  if (m_certainty == VersionCertainty::Unknown) {
    Reject(503, kVersionUnknownReason, 0);
    return;
  }
  const auto now = base::BootNow();
  if (TimeLeft() < kMinAttemptTime) {
    OnTimeout();
    return;
  }
  if (const auto refusal = m_node.m_crashGuard.RefusalTime(m_call, now)) {
    RefuseQuarantined(*refusal);
    return;
  }
  if (!m_node.m_pool.HasRoute(now)) {
    RejectIsolated();
    return;
  }
  const CallPlan plan = Planner().Decide(now);
  if (plan.m_endpoint) {
    m_expectedDelayMs = plan.m_expectedDelayMs;
  } else if (const auto answered = m_errorAttempt) {
    Deliver(answered->m_head, answered->m_body);
    return;
  }
  if (plan.m_kind == PlanKind::Late) {
    RefuseLate(*plan.m_prospect);
  } else if (plan.m_refusal) {
    if (plan.m_kind == PlanKind::RejectionLimit) {
      m_node.m_metrics.Count("refused_by_rejection_limit");
    }
    if (plan.m_outage) {
      LogOutage(*plan.m_outage);
    }
    Reject(*plan.m_refusal);
  } else {
    Send(m_node.m_directory.Ready()[*plan.m_endpoint]);
  }
}

/// Refuses a call because the node is cut off from the endpoints and no other node leads
/// connections through.
void Exchange::RejectIsolated() {
  if (const auto answered = m_errorAttempt) {
    Deliver(answered->m_head, answered->m_body);
  } else {
    Reject(FinalStatus(m_possibleRuns > 0, false), "endpoints_unreachable", kIsolatedRetrySeconds);
  }
}

void Exchange::LogOutage(const fleet::ServiceOutage& aOutage) const {
  m_node.m_log.Event("service out",
                     { { "request", m_call.m_id },
                       { "service", m_service.Text() },
                       { "reason", base::NameOf(aOutage.m_reason) },
                       { "leaving", aOutage.m_leaving },
                       { "waiting", aOutage.m_waiting },
                       { "first_end_ms", aOutage.m_firstEnd.count() },
                       { "possible_runs", m_possibleRuns } });
}

void Exchange::RefuseQuarantined(base::Millis aRemaining) {
  if (m_streamBegun) {
    m_sink.m_onStreamBroken();
    Finish(0, "prompt_quarantined");
  } else {
    Reject(Planner().QuarantineRefusal(aRemaining));
  }
}

base::Millis Exchange::AttemptTimeout() const {
  return std::chrono::duration_cast<base::Millis>(m_route.m_latencyTarget * kStallTimeoutFactor);
}

/// Returns the silence after which a stream is resumed elsewhere; 0 if it never is.
base::Millis Exchange::EventTimeout() const {
  return m_route.Repeatable()
           ? std::chrono::duration_cast<base::Millis>(m_route.m_gapTarget * kStallTimeoutFactor)
           : base::Millis(0);
}

void Exchange::Send(const fleet::Endpoint& aEndpoint) {
  const auto now = base::BootNow();
  const bool mustNotRepeat = !m_route.Repeatable();
  // A refusal without an ID is proof only on a connection that no other call has used.
  const bool needsNewConnection =
    mustNotRepeat && m_node.m_pool.AnswersWithoutId(aEndpoint.m_incarnation);
  PooledConnection pooled =
    needsNewConnection
      ? m_node.m_pool.Connect(aEndpoint, now)
      : m_node.m_pool.Acquire(
          aEndpoint, mustNotRepeat ? kMaxIdleFractionUnsafe : kMaxIdleFraction, now);
  auto attempt = std::make_shared<ActiveAttempt>();
  attempt->m_endpoint = aEndpoint;
  attempt->m_connection = std::move(pooled.m_connection);
  attempt->m_reused = pooled.m_reused;
  attempt->m_relay = std::move(pooled.m_relay);
  attempt->m_sentAt = now;
  const CallPlanner planner = Planner();
  const scheduling::CallClasses* classes = planner.MixedClasses();
  attempt->m_queuedTokens = planner.UncachedTokens();
  attempt->m_urgency = classes != nullptr ? classes->Urgency(planner.CallClass()) : 0;
  attempt->m_version = m_node.m_versions.CountSent(aEndpoint, now);
  m_attempt = attempt;
  ++m_attemptCount;
  m_tried.insert(aEndpoint.m_incarnation.m_endpoint);
  m_node.m_rejectionLimit.RecordSent(
    aEndpoint, m_node.OpenCallsAt(aEndpoint.m_incarnation.m_endpoint), now);
  m_node.m_placement.RecordCallStarted(
    aEndpoint.m_incarnation.m_endpoint, attempt->m_queuedTokens, attempt->m_urgency);
  attempt->m_openCalls = m_node.m_placement.TotalLoad(aEndpoint.m_incarnation.m_endpoint).m_calls;
  AttachHandlers(attempt);
  if (m_head.m_method == kHeadMethod) {
    attempt->m_connection->ExpectNoBody();
  }
  if (NeedsConfirmation(*attempt)) {
    WriteWhenConfirmed(attempt);
  } else {
    WriteRequest(attempt);
  }
}

/// Returns whether the endpoint may have another version than the stream that the attempt is to
/// continue, because its process may have been replaced.
bool Exchange::NeedsConfirmation(const ActiveAttempt& aAttempt) const {
  if (!m_version || aAttempt.m_connection->IsEstablished()) {
    return m_version &&
           !m_node.m_continuity.IsConfirmed(aAttempt.m_endpoint, aAttempt.m_processSince);
  }
  const fleet::Incarnation& incarnation = aAttempt.m_endpoint.m_incarnation;
  return m_node.m_continuity.HasEnded(incarnation) ||
         !m_node.m_continuity.IsConfirmed(
           aAttempt.m_endpoint,
           m_node.m_continuity.ProcessSince(incarnation, aAttempt.m_connection, aAttempt.m_relay));
}

/// Sends the request of an attempt once the registration of its endpoint is confirmed.
void Exchange::WriteWhenConfirmed(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  if (!aAttempt->m_connection->IsEstablished()) {
    // OnEstablished calls again.
    return;
  }
  m_node.m_metrics.Count("resumptions_awaiting_registration");
  m_node.m_continuity.Confirm(
    aAttempt->m_endpoint,
    aAttempt->m_processSince,
    std::min(TimeLeft() / kVersionSearchDivisor, kMaxVersionSearch),
    [weak = weak_from_this(), weakAttempt = std::weak_ptr(aAttempt)](bool aIsSame) {
      const auto self = weak.lock();
      const auto attempt = weakAttempt.lock();
      if (!self || !attempt || attempt->m_ended) {
        return;
      }
      if (aIsSame && attempt == self->m_attempt) {
        self->WriteRequest(attempt);
      } else {
        self->Fail(attempt, AttemptFault::NotSent, "version_unconfirmed");
      }
    });
}

void Exchange::WriteRequest(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  aAttempt->m_isWritten = true;
  if (aAttempt->m_connection->IsEstablished()) {
    AwaitBytes(*aAttempt);
  }
  const AttemptInfo attemptInfo{ m_head,
                                 aAttempt->m_endpoint.m_incarnation.m_endpoint,
                                 m_team,
                                 TimeLeft(),
                                 EnginePriority(),
                                 m_call.m_promptTokens.has_value(),
                                 m_splitter.LastEventId() };
  const adapters::http1::RequestHead head = m_node.m_wire.m_encodeAttempt(attemptInfo);
  if (m_body->Size() <= kMaxCopiedBodyBytes && m_body->Blocks().size() <= 1) {
    aAttempt->m_connection->Write(adapters::http1::Serialize(
      head, m_body->Blocks().empty() ? std::string_view() : m_body->Blocks().front()));
    return;
  }
  aAttempt->m_connection->Write(adapters::http1::SerializeHead(head, m_body->Size()));
  for (const std::string& block : m_body->Blocks()) {
    aAttempt->m_connection->WriteShared(m_body, block);
  }
}

void Exchange::AttachHandlers(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  const auto self = shared_from_this();
  ClientConnection::Events events;
  events.m_onHead = [self, aAttempt](ResponseHead&& aHead) {
    self->OnHead(aAttempt, std::move(aHead));
  };
  events.m_onBody = [self, aAttempt](std::string_view aBytes) { self->OnBody(aAttempt, aBytes); };
  events.m_onComplete = [self, aAttempt] { self->OnComplete(aAttempt); };
  events.m_onEnd = [self, aAttempt](EndKind aKind, bool /*aInMessage*/) {
    self->OnConnectionEnd(aAttempt, aKind);
  };
  events.m_onEstablished = [self, aAttempt] { self->OnEstablished(aAttempt); };
  aAttempt->m_connection->SetEvents(std::move(events));
  const std::weak_ptr<ActiveAttempt> weak = aAttempt;
  if (aAttempt->m_relay.empty()) {
    aAttempt->m_watch = m_node.m_reachMonitor.OnSent([self, weak] {
      if (const auto attempt = weak.lock()) {
        self->OnIsolated(attempt);
      }
    });
  }
  if (aAttempt->m_connection->IsEstablished()) {
    OnEstablished(aAttempt);
  }
  if (!aAttempt->m_connection->IsEstablished()) {
    aAttempt->m_connectTimer = m_node.m_loop.After(kConnectTimeout, [self, weak] {
      const auto attempt = weak.lock();
      if (attempt && !attempt->m_connection->IsEstablished()) {
        if (attempt->m_relay.empty()) {
          self->m_node.m_reachMonitor.OnConnectFailed(attempt->m_endpoint.m_incarnation.m_endpoint,
                                                      true);
          // Connections of a node that is cut off hang whether or not the endpoint has been
          // replaced.
          if (!self->m_node.m_reach.MayBeIsolated()) {
            self->m_node.m_continuity.OnEnded(
              attempt->m_endpoint.m_incarnation, attempt->m_connection, EndKind::Reset);
          }
        } else {
          self->m_node.m_pool.AvoidRelay(attempt->m_relay, base::BootNow());
        }
        self->Fail(attempt, AttemptFault::NotSent, "connect_timeout");
      }
    });
  }
  if (m_route.Repeatable()) {
    StartSilenceTimer(aAttempt, AttemptTimeout());
  }
}

void Exchange::OnEstablished(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  const fleet::Incarnation& incarnation = aAttempt->m_endpoint.m_incarnation;
  m_node.m_continuity.OnEstablished(incarnation, aAttempt->m_connection, aAttempt->m_relay);
  aAttempt->m_processSince =
    m_node.m_continuity.ProcessSince(incarnation, aAttempt->m_connection, aAttempt->m_relay);
  if (aAttempt->m_isWritten) {
    AwaitBytes(*aAttempt);
  } else if (!aAttempt->m_reused) {
    WriteWhenConfirmed(aAttempt);
  }
}

void Exchange::AwaitBytes(const ActiveAttempt& aAttempt) {
  if (aAttempt.m_watch != 0) {
    m_node.m_reachMonitor.OnWaiting(aAttempt.m_watch, aAttempt.m_endpoint.m_incarnation.m_endpoint);
  }
}

/// Handles an attempt on a direct connection while the node is cut off from the endpoints.
void Exchange::OnIsolated(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  if (aAttempt->m_ended || m_finished) {
    return;
  }
  if (!aAttempt->m_connection->IsEstablished()) {
    Fail(aAttempt, AttemptFault::NotSent, "isolated");
    return;
  }
  // Established connections may go on working.
  if (aAttempt == m_attempt && m_node.m_reachMonitor.IsSilent() && m_route.Repeatable() &&
      aAttempt->m_isWritten && m_silentAttempt == nullptr &&
      (!aAttempt->m_hasHead || m_streamBegun) && MayContinueElsewhere()) {
    TryElsewhere(aAttempt);
  }
}

void Exchange::OnConnectionEnd(const std::shared_ptr<ActiveAttempt>& aAttempt, EndKind aKind) {
  aAttempt->m_connectionLost = aKind == EndKind::Finished || aKind == EndKind::Reset;
  const bool notSent =
    aKind == EndKind::NotConnected || aKind == EndKind::RelayFailed || !aAttempt->m_isWritten;
  const bool isUnused = !aAttempt->m_reused && !aAttempt->m_hasBytes;
  const bool hasFailed =
    aKind == EndKind::NotConnected || aKind == EndKind::Finished || aKind == EndKind::Reset;
  if (hasFailed && !aAttempt->m_ended) {
    m_node.m_continuity.OnEnded(
      aAttempt->m_endpoint.m_incarnation, aAttempt->m_connection, aKind, aAttempt->m_relay);
  }
  if (aAttempt->m_relay.empty() && isUnused && hasFailed) {
    m_node.m_reachMonitor.OnConnectFailed(aAttempt->m_endpoint.m_incarnation.m_endpoint);
  } else if (aKind == EndKind::RelayLost) {
    m_node.m_pool.AvoidRelay(aAttempt->m_relay, base::BootNow());
  } else if (aKind == EndKind::RelayFailed) {
    m_node.m_pool.AvoidRelay(aAttempt->m_relay, base::BootNow());
    // The endpoint itself was not tried.
    m_tried.erase(aAttempt->m_endpoint.m_incarnation.m_endpoint);
  }
  Fail(aAttempt,
       notSent ? AttemptFault::NotSent : AttemptFault::Lost,
       std::string(base::NameOf(aKind)));
}

/// Returns whether the failure of an attempt may be the endpoint's and not that of the way to it.
bool Exchange::IsWitness(const ActiveAttempt& aAttempt, AttemptFault aFault) const {
  if (aFault == AttemptFault::Failed || aFault == AttemptFault::NotExecuted ||
      aFault == AttemptFault::Unattributed) {
    return true;
  }
  if (!aAttempt.m_relay.empty()) {
    // The relay has stated that it was the endpoint that ended the connection.
    return aFault == AttemptFault::Lost && aAttempt.m_connectionLost;
  }
  const bool wasReady = aAttempt.m_connection->IsEstablished() && !aAttempt.m_isWritten;
  return !wasReady && !m_node.m_reach.IsIsolated();
}

/// Returns whether the connection of an attempt may have been lost by a crash of the endpoint.
/// While endpoints send bytes, the connections to them work, even if new ones fail: several
/// endpoints that crash at once look like a cut.
bool Exchange::MayBeCrash(const ActiveAttempt& aAttempt) const {
  return aAttempt.m_connectionLost &&
         (!aAttempt.m_relay.empty() || !m_node.m_reachMonitor.IsSilent());
}

/// Limits the time to the next sign of the endpoint: an engine may stop sending in the middle of a
/// stream without closing the connection.
void Exchange::StartSilenceTimer(const std::shared_ptr<ActiveAttempt>& aAttempt,
                                 base::Millis aLimit) {
  aAttempt->m_silenceTimer = m_node.m_loop.After(
    aLimit, [self = shared_from_this(), weak = std::weak_ptr<ActiveAttempt>(aAttempt), aLimit] {
      if (const auto attempt = weak.lock()) {
        self->OnSilence(attempt, aLimit);
      }
    });
}

void Exchange::OnSilence(const std::shared_ptr<ActiveAttempt>& aAttempt, base::Millis aLimit) {
  if (aAttempt->m_ended || (aAttempt->m_hasHead && !m_streamBegun)) {
    return;
  }
  if (!aAttempt->m_isWritten) {
    StartSilenceTimer(aAttempt, aLimit);
    return;
  }
  if (m_silentAttempt != nullptr) {
    // The endpoint before this one is given up first.
    StartSilenceTimer(aAttempt, aLimit);
    return;
  }
  if (MayContinueElsewhere()) {
    TryElsewhere(aAttempt);
    return;
  }
  if (!aAttempt->m_silenceLogged) {
    aAttempt->m_silenceLogged = true;
    m_node.m_log.Event("silent endpoint kept",
                       { { "request", m_call.m_id },
                         { "endpoint", aAttempt->m_endpoint.m_incarnation.m_endpoint.Text() },
                         { "silent_ms", aLimit.count() },
                         { "left_ms", TimeLeft().count() },
                         { "possible_runs", m_possibleRuns + 1 },
                         { "max_runs", m_route.m_maxAttempts } });
  }
  StartSilenceTimer(aAttempt, aLimit);
}

/// Returns whether another endpoint could take over from the attempt in progress now.
bool Exchange::MayContinueElsewhere() const {
  const AttemptState state{
    m_route.m_kind,     m_route.Repeatable(),  AttemptFault::Stalled,
    m_possibleRuns + 1, m_route.m_maxAttempts, m_streamBegun && m_splitter.LastEventId().empty()
  };
  const auto now = base::BootNow();
  return !m_callerDisconnected && m_certainty == VersionCertainty::Confirmed && MayRetry(state) &&
         TimeLeft() > kMinAttemptTime && m_node.HasRetry(m_service) &&
         !m_node.m_crashGuard.RefusalTime(m_call, now) && HasEndpoint();
}

/// Returns whether there is an endpoint for the call, and a way to it.
bool Exchange::HasEndpoint() const {
  const auto now = base::BootNow();
  return m_node.m_pool.HasRoute(now) &&
         m_node.m_placement
           .Choose(Planner().MakePlacementRequest(now), m_node.m_directory.Ready(), now)
           .has_value();
}

/// Sends the call to another endpoint and keeps the silent attempt, in case that one refuses.
void Exchange::TryElsewhere(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  m_node.TrySpendRetry(m_service);
  aAttempt->m_silenceTimer.reset();
  m_silentAttempt = aAttempt;
  m_overlapTimer = m_node.m_loop.After(kMaxOverlap, [this, weak = weak_from_this()] {
    const auto exchange = weak.lock();
    if (exchange) {
      GiveUpSilent();
    }
  });
  Dispatch();
}

/// Continues with the silent attempt in place of the one that was to take over from it.
void Exchange::ReturnToSilent(const char* aReason) {
  if (m_attempt != nullptr) {
    m_possibleRuns += m_attempt->m_connection->IsEstablished() && m_attempt->m_isWritten ? 1 : 0;
    Release(m_attempt, false);
  }
  m_overlapTimer.reset();
  m_attempt = std::exchange(m_silentAttempt, nullptr);
  m_node.m_log.Event(
    "silent endpoint resumed",
    { { "request", m_call.m_id },
      { "endpoint", m_attempt->m_endpoint.m_incarnation.m_endpoint.Text() },
      { "reason", aReason },
      { "age_ms",
        std::chrono::duration_cast<base::Millis>(base::BootNow() - m_attempt->m_sentAt).count() },
      { "left_ms", TimeLeft().count() },
      { "possible_runs", m_possibleRuns + 1 } });
  const base::Millis limit = m_streamBegun ? EventTimeout() : AttemptTimeout();
  if (limit.count() > 0) {
    StartSilenceTimer(m_attempt, limit);
  }
}

void Exchange::GiveUpSilent() {
  // Fail resets the member.
  if (const auto silent = m_silentAttempt) {
    Fail(silent, AttemptFault::Stalled, m_streamBegun ? "no_event" : "no_answer");
  }
}

/// Ends the choice between a silent attempt and the one that was to take over from it, now that
/// `aAttempt` answers.
void Exchange::OnAnswerBegun(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  if (m_silentAttempt == nullptr) {
    return;
  }
  if (aAttempt == m_silentAttempt) {
    ReturnToSilent("answered");
  } else {
    GiveUpSilent();
  }
}

void Exchange::OnHead(const std::shared_ptr<ActiveAttempt>& aAttempt, ResponseHead&& aHead) {
  if (aAttempt->m_watch != 0) {
    m_node.m_reachMonitor.OnBytes(aAttempt->m_watch);
  }
  if (!std::exchange(aAttempt->m_hasBytes, true) && !aAttempt->m_reused &&
      aAttempt->m_relay.empty()) {
    m_node.m_reachMonitor.OnConnected(aAttempt->m_endpoint.m_incarnation.m_endpoint);
  }
  aAttempt->m_answerInfo = m_node.m_wire.m_decodeAnswer(aHead);
  const AnswerInfo& info = aAttempt->m_answerInfo;
  m_node.m_signals.OnAnswer(aAttempt->m_endpoint, info, m_call.m_id, aAttempt->m_sentAt);
  const AnswerOrigin origin =
    OriginOf(info.m_id, m_call.m_id, aAttempt->m_reused || aAttempt->m_sawMisdirected);
  aAttempt->m_isMisdirected = origin == AnswerOrigin::OtherCall;
  if (aAttempt->m_isMisdirected) {
    aAttempt->m_sawMisdirected = true;
    return;
  }
  if (info.m_id.empty()) {
    m_node.m_pool.RecordAnswerWithoutId(aAttempt->m_endpoint.m_incarnation);
  }
  if (origin == AnswerOrigin::Unknown) {
    Fail(aAttempt, AttemptFault::Unattributed, std::to_string(aHead.m_status));
    return;
  }
  aAttempt->m_hasHead = true;
  aAttempt->m_head = std::move(aHead);
  const bool success = aAttempt->m_head.m_status / 100 == 2;
  const bool encoded = aAttempt->m_head.m_fields.Find("Content-Encoding").has_value();
  if (success && (!info.m_signed || info.m_id.empty() || encoded)) {
    Fail(aAttempt, AttemptFault::Lost, "unsigned_answer");
    return;
  }
  if (success && info.m_notExecuted) {
    Fail(aAttempt, AttemptFault::Lost, "contradictory_answer");
    return;
  }
  aAttempt->m_isStream = success && m_route.m_kind == CallKind::Stream && info.m_eventStream &&
                         m_head.m_method != kHeadMethod;
  if (m_streamBegun && !aAttempt->m_isStream && !info.m_notExecuted) {
    Fail(aAttempt, AttemptFault::Lost, "not_resumed");
    return;
  }
  if (!info.m_notExecuted && aAttempt->m_head.m_status < 500) {
    OnAnswerBegun(aAttempt);
  }
}

void Exchange::OnBody(const std::shared_ptr<ActiveAttempt>& aAttempt, std::string_view aBytes) {
  if (aAttempt->m_ended) {
    return;
  }
  if (aAttempt->m_watch != 0) {
    m_node.m_reachMonitor.OnBytes(aAttempt->m_watch);
  }
  // A call that must not be repeated runs on after its caller has got another answer.
  if (aAttempt->m_isMisdirected || m_finished) {
    DiscardBody(aAttempt, aBytes.size());
    return;
  }
  if (aAttempt->m_isStream) {
    OnStreamBytes(aAttempt, aBytes);
    return;
  }
  std::string& body = aAttempt->m_body;
  const size_t size = body.size() + aBytes.size();
  if (size > kMaxAnswerBytes) {
    FailOversized(aAttempt, "answer_too_large");
    return;
  }
  if (size > body.capacity()) {
    const size_t capacity = std::max({ size, body.capacity() * 3 / 2, kMinBufferBytes });
    if (!ClaimBuffer(aAttempt, capacity)) {
      return;
    }
    body.reserve(capacity);
  }
  body += aBytes;
}

/// Counts bytes that are not buffered, so that they have an end as well.
void Exchange::DiscardBody(const std::shared_ptr<ActiveAttempt>& aAttempt, size_t aBytes) {
  aAttempt->m_discardedBytes += aBytes;
  if (aAttempt->m_discardedBytes > kMaxAnswerBytes) {
    FailOversized(aAttempt, "answer_too_large");
  }
}

/// Reserves `aBytes` in total for the buffer of an attempt. Returns false if the attempt was failed
/// instead, because the node holds too many bytes and its endpoint has sent the most.
bool Exchange::ClaimBuffer(const std::shared_ptr<ActiveAttempt>& aAttempt, size_t aBytes) {
  if (!aAttempt->m_bufferClaim) {
    aAttempt->m_bufferClaim.emplace(
      m_node.m_buffers.Open({ aAttempt->m_endpoint.m_incarnation.m_endpoint.Text(),
                              m_route.Repeatable(),
                              [weak = weak_from_this(), weakAttempt = std::weak_ptr(aAttempt)] {
                                const auto exchange = weak.lock();
                                const auto attempt = weakAttempt.lock();
                                if (exchange && attempt) {
                                  exchange->OnBufferDropped(attempt);
                                }
                              } }));
  }
  return aAttempt->m_bufferClaim->Resize(aBytes);
}

void Exchange::OnBufferDropped(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  m_node.m_log.Event("answer dropped for its size",
                     { { "request", m_call.m_id },
                       { "endpoint", aAttempt->m_endpoint.m_incarnation.m_endpoint.Text() },
                       { "bytes", aAttempt->m_body.size() },
                       { "buffered", m_node.m_buffers.UsedBytes() } });
  aAttempt->m_body = {};
  if (aAttempt == m_errorAttempt) {
    m_errorAttempt.reset();
  }
  FailOversized(aAttempt, "buffers_full");
}

/// Fails an attempt whose endpoint sends more than it may. Other endpoints are preferred for a
/// while, since such an endpoint may do so again.
void Exchange::FailOversized(const std::shared_ptr<ActiveAttempt>& aAttempt,
                             const std::string& aDetail) {
  m_node.m_placement.Avoid(aAttempt->m_endpoint.m_incarnation.m_endpoint,
                           base::BootNow() + kOversizedAvoidance);
  Fail(aAttempt, AttemptFault::Lost, aDetail);
}

void Exchange::CountUsage(const std::shared_ptr<ActiveAttempt>& aAttempt, base::TimePoint aBegan) {
  if (aAttempt->m_usageCounted) {
    return;
  }
  aAttempt->m_usageCounted = true;
  const auto ago = std::chrono::duration_cast<base::Millis>(base::BootNow() - aBegan);
  m_node.m_usage.CountLocalRequest(m_team, base::WallMillis() - ago.count());
}

void Exchange::OnStreamBytes(const std::shared_ptr<ActiveAttempt>& aAttempt,
                             std::string_view aBytes) {
  const size_t eventsBefore = m_splitter.EventCount();
  const std::string events = m_splitter.Feed(aBytes);
  if (!m_splitter.IsContinuous()) {
    Fail(aAttempt, AttemptFault::Lost, "not_continuous");
    return;
  }
  if (m_splitter.HasOverflowed()) {
    FailOversized(aAttempt, "event_too_large");
    return;
  }
  if (aAttempt->m_bufferClaim || m_splitter.BufferedBytes() > kMinBufferBytes) {
    if (!ClaimBuffer(aAttempt, m_splitter.BufferedBytes())) {
      return;
    }
  }
  if (events.empty()) {
    return;
  }
  OnAnswerBegun(aAttempt);
  CountEvents(aAttempt, m_splitter.EventCount() - eventsBefore);
  if (aAttempt->m_queuedTokens > 0) {
    m_node.m_placement.RecordAnswerStarted(
      aAttempt->m_endpoint.m_incarnation.m_endpoint, aAttempt->m_queuedTokens, aAttempt->m_urgency);
    aAttempt->m_queuedTokens = 0;
  }
  LearnFromEvents(*aAttempt, m_splitter.EventCount() - eventsBefore);
  CountUsage(aAttempt, base::BootNow());
  if (!m_streamBegun) {
    m_streamBegun = true;
    BindVersion(*aAttempt);
    m_firstByteAt = base::BootNow();
    CountLateness(true);
    m_sink.m_onStreamHead(CallerHead(aAttempt->m_head));
  }
  m_sink.m_onEvents(events);
  aAttempt->m_silenceTimer.reset();
  if (!aAttempt->m_ended && EventTimeout().count() > 0) {
    StartSilenceTimer(aAttempt, EventTimeout());
  }
}

void Exchange::CountEvents(const std::shared_ptr<ActiveAttempt>& aAttempt, size_t aCount) {
  const auto now = base::BootNow();
  const size_t before = aAttempt->m_events;
  if (before == 0) {
    aAttempt->m_firstEventAt = now;
    CountVersionAnswer(*aAttempt, m_route.m_name, ComparedTime(*aAttempt, now));
  }
  aAttempt->m_events += aCount;
  if (before < CrashGuard::kFirstEvents && aAttempt->m_events >= CrashGuard::kFirstEvents) {
    m_node.m_crashGuard.OnAnswered(m_call, aAttempt->m_firstEventAt, now);
  }
}

/// Returns the time that an answer took, for the comparison of versions. New endpoints have cached
/// no shared prompt parts yet; the time to read those is not held against their version.
base::TimePoint::duration Exchange::ComparedTime(const ActiveAttempt& aAttempt,
                                                 base::TimePoint aAnsweredAt) const {
  const auto elapsed = aAnsweredAt - aAttempt.m_sentAt;
  if (!aAttempt.m_version.m_isTarget || m_call.m_promptParts.empty()) {
    return elapsed;
  }
  const std::chrono::duration<double, std::milli> reading(
    std::min(m_node.m_engines.WorkMs(m_service, Planner().SharedTokens(), 0), kMaxReadingMs));
  return std::max(elapsed - std::chrono::duration_cast<base::TimePoint::duration>(reading),
                  base::TimePoint::duration(0));
}

/// Counts an answer that took `aDuration` for the version that the attempt was sent to.
void Exchange::CountVersionAnswer(const ActiveAttempt& aAttempt,
                                  const std::string& aRoute,
                                  base::TimePoint::duration aDuration) {
  m_node.m_versions.CountAnswer(aAttempt.m_endpoint.m_service,
                                aRoute,
                                aAttempt.m_version,
                                std::chrono::duration<double, std::milli>(aDuration).count());
}

/// Feeds the model of the endpoint's speed with `aCount` events that have just arrived.
void Exchange::LearnFromEvents(ActiveAttempt& aAttempt, size_t aCount) {
  const auto now = base::BootNow();
  const fleet::Service* service = m_catalog->FindService(m_service);
  if (service != nullptr && service->m_engine && m_call.m_promptTokens) {
    const auto& loads = m_node.m_placement.LocalLoad();
    const auto load = loads.find(aAttempt.m_endpoint.m_incarnation.m_endpoint);
    // A resumed stream has also its output read again. Of several events that arrive at once, some
    // were delayed.
    if (aAttempt.m_lastEvents == 0 && m_attemptCount == 1 && m_call.m_lastEventId.empty()) {
      m_node.m_engines.RecordFirstEvent(
        aAttempt.m_endpoint,
        { aAttempt.m_sentAt,
          now,
          Planner().OwnTokens(),
          aAttempt.m_openCalls,
          load != loads.end() && load->second.m_pendingPromptTokens >= 1 });
    } else if (aAttempt.m_lastEvents == 1 && aCount == 1) {
      const std::chrono::duration<double, std::milli> gap = now - aAttempt.m_lastEventsAt;
      m_node.m_engines.RecordGap(
        aAttempt.m_endpoint,
        gap.count(),
        service->m_engine->m_tokensPerEvent,
        m_node.m_placement.TotalLoad(aAttempt.m_endpoint.m_incarnation.m_endpoint).m_calls,
        now);
    }
  }
  aAttempt.m_lastEvents = aCount;
  aAttempt.m_lastEventsAt = now;
}

void Exchange::OnComplete(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  if (aAttempt->m_ended) {
    return;
  }
  if (aAttempt->m_isMisdirected) {
    // The answer to this call is still to arrive on the same connection.
    aAttempt->m_isMisdirected = false;
    if (aAttempt->m_connection->ShouldKeepAlive()) {
      aAttempt->m_connection->Resume();
    } else {
      Fail(aAttempt, AttemptFault::Lost, "stray_answer");
    }
    return;
  }
  if (aAttempt->m_answerInfo.m_notExecuted) {
    Fail(aAttempt, AttemptFault::NotExecuted, std::to_string(aAttempt->m_head.m_status));
    return;
  }
  OnAnswerComplete(aAttempt);
}

void Exchange::OnAnswerComplete(const std::shared_ptr<ActiveAttempt>& aAttempt) {
  if (aAttempt == m_silentAttempt) {
    ReturnToSilent("answered");
  }
  if (aAttempt->m_isStream) {
    if (m_splitter.HasPartialEvent() || !m_streamBegun) {
      aAttempt->m_connectionLost = true;
      Fail(aAttempt, AttemptFault::Lost, "stream_cut");
      return;
    }
    RecordSuccess(*aAttempt);
    if (aAttempt->m_events > 0 && aAttempt->m_events < CrashGuard::kFirstEvents) {
      m_node.m_crashGuard.OnAnswered(m_call, aAttempt->m_firstEventAt, base::BootNow());
    }
    if (aAttempt->m_events > 1) {
      CountVersionAnswer(*aAttempt,
                         m_route.m_name + kGapSuffix,
                         (base::BootNow() - aAttempt->m_firstEventAt) /
                           static_cast<int64_t>(aAttempt->m_events - 1));
    }
    Release(aAttempt, true);
    m_node.m_streamOrigins.OnComplete(StreamId());
    m_sink.m_onStreamEnd();
    Finish(aAttempt->m_head.m_status, "served");
    return;
  }
  CountUsage(aAttempt, aAttempt->m_sentAt);
  const int status = aAttempt->m_head.m_status;
  if (status >= 500) {
    Fail(aAttempt, AttemptFault::Failed, std::to_string(status));
    return;
  }
  RecordSuccess(*aAttempt);
  m_node.m_crashGuard.OnAnswered(m_call, base::BootNow(), base::BootNow());
  CountVersionAnswer(*aAttempt, m_route.m_name, ComparedTime(*aAttempt, base::BootNow()));
  if (status / 100 == 2 && !m_call.m_promptTokens) {
    const std::chrono::duration<double, std::milli> duration = base::BootNow() - aAttempt->m_sentAt;
    m_node.m_engines.RecordPlainCall(
      aAttempt->m_endpoint, duration.count(), aAttempt->m_openCalls, base::BootNow());
  }
  Release(aAttempt, true);
  // The caller's connection accounts for the body from here on.
  aAttempt->m_bufferClaim.reset();
  Deliver(aAttempt->m_head, aAttempt->m_body);
}

void Exchange::Release(const std::shared_ptr<ActiveAttempt>& aAttempt, bool aReuse) {
  if (aAttempt->m_ended) {
    return;
  }
  aAttempt->m_ended = true;
  aAttempt->m_connectTimer.reset();
  aAttempt->m_silenceTimer.reset();
  m_node.m_reachMonitor.OnEnded(aAttempt->m_watch);
  const fleet::Incarnation& incarnation = aAttempt->m_endpoint.m_incarnation;
  m_node.m_placement.RecordCallEnded(
    incarnation.m_endpoint, aAttempt->m_queuedTokens, aAttempt->m_urgency);
  m_node.m_versions.CountEnded(aAttempt->m_endpoint.m_service, aAttempt->m_version);
  const bool leaving =
    m_node.m_availability.Check(incarnation, base::BootNow()) == fleet::Unavailability::Leaving;
  if (aReuse && aAttempt->m_connection->ShouldKeepAlive() && !aAttempt->m_sawMisdirected &&
      !leaving && aAttempt->m_relay.empty()) {
    m_node.m_pool.Return(
      incarnation, aAttempt->m_connection, aAttempt->m_answerInfo.m_keepAlive, base::BootNow());
  } else {
    aAttempt->m_connection->Close();
  }
  if (m_attempt == aAttempt) {
    m_attempt.reset();
  }
}

/// Takes a failed attempt into account and ends it.
void Exchange::RecordSuccess(const ActiveAttempt& aAttempt) {
  const base::EndpointId& endpoint = aAttempt.m_endpoint.m_incarnation.m_endpoint;
  m_node.m_placement.RecordOutcome(endpoint, true, base::BootNow());
  m_node.m_failures.Record(endpoint, true, base::BootNow());
}

void Exchange::RecordFailure(const std::shared_ptr<ActiveAttempt>& aAttempt, AttemptFault aFault) {
  const fleet::Endpoint endpoint = aAttempt->m_endpoint;
  const auto now = base::BootNow();
  if (aFault != AttemptFault::NotSent && aFault != AttemptFault::NotExecuted) {
    ++m_possibleRuns;
    // An unattributed answer is most likely this call's own refusal.
    if (m_route.m_kind != CallKind::Stream && aFault != AttemptFault::Unattributed) {
      CountUsage(aAttempt, aAttempt->m_sentAt);
    }
  }
  if (aFault == AttemptFault::Lost && aAttempt->m_reused) {
    m_node.m_pool.CloseIdle(endpoint.m_incarnation);
  }
  if (aFault == AttemptFault::Unattributed ||
      (aFault == AttemptFault::NotExecuted && aAttempt->m_head.m_status == 503)) {
    m_node.m_signals.OnRejected(
      endpoint, m_node.OpenCallsAt(endpoint.m_incarnation.m_endpoint).m_own, m_call.m_id);
  }
  const bool isWitness = IsWitness(*aAttempt, aFault);
  if (isWitness) {
    m_node.m_placement.RecordOutcome(endpoint.m_incarnation.m_endpoint, false, now);
  }
  if (isWitness && aFault != AttemptFault::NotExecuted && aFault != AttemptFault::Unattributed) {
    m_node.m_failures.Record(endpoint.m_incarnation.m_endpoint, false, now);
  }
  if (isWitness && aFault != AttemptFault::NotSent && aFault != AttemptFault::NotExecuted) {
    m_node.m_versions.CountFailure(endpoint,
                                   m_route.m_name,
                                   aAttempt->m_version,
                                   aAttempt->m_events > 0,
                                   aFault == AttemptFault::Lost && aAttempt->m_connectionLost,
                                   now);
  }
  if (aFault == AttemptFault::Lost && MayBeCrash(*aAttempt)) {
    m_node.m_crashGuard.OnConnectionLost(
      m_call, endpoint.m_incarnation.m_endpoint, aAttempt->m_events, now);
  }
  Release(aAttempt, aFault == AttemptFault::NotExecuted || aFault == AttemptFault::Failed);
}

void Exchange::LogFailure(const ActiveAttempt& aAttempt,
                          AttemptFault aFault,
                          const std::string& aDetail,
                          bool aWillRetry) const {
  const auto age = std::chrono::duration_cast<base::Millis>(base::BootNow() - aAttempt.m_sentAt);
  m_node.m_log.Event("attempt failed",
                     { { "request", m_call.m_id },
                       { "endpoint", aAttempt.m_endpoint.m_incarnation.m_endpoint.Text() },
                       { "era", aAttempt.m_endpoint.m_position.m_era },
                       { "revision", aAttempt.m_endpoint.m_position.m_revision },
                       { "fault", base::NameOf(aFault) },
                       { "why", aDetail },
                       { "reused", aAttempt.m_reused },
                       { "relay", aAttempt.m_relay },
                       { "age_ms", age.count() },
                       { "last_event", m_splitter.LastEventId() },
                       { "again", aWillRetry } });
  m_node.m_metrics.Count("attempt_" + std::string(base::NameOf(aFault)));
}

void Exchange::Fail(const std::shared_ptr<ActiveAttempt>& aAttempt,
                    AttemptFault aFault,
                    const std::string& aDetail) {
  if (aAttempt->m_ended) {
    return;
  }
  const auto self = shared_from_this();
  RecordFailure(aAttempt, aFault);
  if (aAttempt == m_silentAttempt) {
    // The call goes on with the attempt that takes over.
    m_silentAttempt.reset();
    m_overlapTimer.reset();
    m_splitter.StartRun();
    LogFailure(*aAttempt, aFault, aDetail, true);
    return;
  }
  if (m_silentAttempt != nullptr && aFault == AttemptFault::NotSent &&
      m_node.m_reach.IsIsolated() && HasEndpoint()) {
    // Another node may still lead the call through.
    LogFailure(*aAttempt, aFault, aDetail, true);
    Dispatch();
    return;
  }
  if (m_silentAttempt != nullptr) {
    LogFailure(*aAttempt, aFault, aDetail, false);
    if (aFault == AttemptFault::Failed) {
      m_errorAttempt = aAttempt;
    }
    ReturnToSilent("other_failed");
    return;
  }
  m_splitter.StartRun();
  const AttemptState state{
    m_route.m_kind, m_route.Repeatable(),  aFault,
    m_possibleRuns, m_route.m_maxAttempts, m_streamBegun && m_splitter.LastEventId().empty()
  };
  const bool willRetry = !m_callerDisconnected && !m_finished && MayRetry(state) &&
                         TimeLeft() > kMinAttemptTime &&
                         (aFault == AttemptFault::NotSent || m_node.TrySpendRetry(m_service));
  LogFailure(*aAttempt, aFault, aDetail, willRetry);
  if (m_finished) {
    return;
  }
  if (m_callerDisconnected) {
    Finish(0, "caller_gone");
    return;
  }
  if (aFault == AttemptFault::Failed) {
    m_errorAttempt = aAttempt;
  }
  if (willRetry) {
    Dispatch();
  } else if (const auto answered = m_errorAttempt) {
    Deliver(answered->m_head, answered->m_body);
  } else if (aFault == AttemptFault::NotExecuted && m_possibleRuns == 0 &&
             Planner().MixedClasses() != nullptr) {
    // The call itself needs no room; what is pending at the best endpoint has to be worked off.
    const CallPlanner planner = Planner();
    const double roomInMs = planner.MakeProspect(base::BootNow()).m_expectedMs -
                            m_node.m_engines.WorkMs(m_service, planner.UncachedTokens(), 0);
    RejectAfter(503, std::string(base::NameOf(aFault)), PredictedRetrySeconds(roomInMs));
  } else {
    Reject(FinalStatus(m_possibleRuns > 0, false), std::string(base::NameOf(aFault)), 0.3);
  }
}

void Exchange::OnTimeout() {
  const auto self = shared_from_this();
  if (m_finished) {
    return;
  }
  const bool sent = MayHaveBeenSent();
  if (m_attempt != nullptr && m_attempt->m_connection->IsEstablished() &&
      IsWitness(*m_attempt, AttemptFault::Stalled)) {
    m_node.m_versions.CountFailure(m_attempt->m_endpoint,
                                   m_route.m_name,
                                   m_attempt->m_version,
                                   m_attempt->m_events > 0,
                                   false,
                                   base::BootNow());
  }
  if (m_attempt != nullptr && (m_route.m_kind != CallKind::Unsafe || !sent)) {
    Release(m_attempt, false);
  } else if (m_attempt != nullptr) {
    m_abandonTimer = m_node.m_loop.After(kAbandonDelay, [weak = weak_from_this()] {
      if (const auto exchange = weak.lock()) {
        exchange->AbandonUnansweredAttempt();
      }
    });
  }
  Reject(FinalStatus(m_possibleRuns > 0 || sent, true), kTimeoutReason, 0);
}

/// Ends an attempt that the endpoint has not answered. Otherwise an endpoint that falls silent
/// would count as loaded with it for as long as the node runs, and get no calls after its recovery.
void Exchange::AbandonUnansweredAttempt() {
  const auto attempt = m_attempt;
  if (attempt == nullptr || attempt->m_ended) {
    return;
  }
  m_node.m_log.Event("unanswered attempt abandoned",
                     { { "request", m_call.m_id },
                       { "endpoint", attempt->m_endpoint.m_incarnation.m_endpoint.Text() },
                       { "route", m_route.m_name } });
  m_node.m_metrics.Count("attempts_abandoned");
  if (IsWitness(*attempt, AttemptFault::Stalled)) {
    m_node.m_placement.RecordOutcome(
      attempt->m_endpoint.m_incarnation.m_endpoint, false, base::BootNow());
  }
  Release(attempt, false);
}

/// Returns whether an attempt is in progress that may run: its connection has been established.
bool Exchange::MayHaveBeenSent() const {
  return m_silentAttempt != nullptr || (m_attempt != nullptr && m_attempt->m_isWritten &&
                                        m_attempt->m_connection->IsEstablished());
}

void Exchange::Abort() {
  const auto self = shared_from_this();
  if (m_finished) {
    return;
  }
  const bool sent = MayHaveBeenSent();
  if (m_attempt != nullptr) {
    Release(m_attempt, false);
  }
  if (m_streamBegun) {
    m_sink.m_onStreamBroken();
    Finish(0, "stopping");
    return;
  }
  Reject(FinalStatus(m_possibleRuns > 0 || sent, false), "stopping", kStoppingRetrySeconds);
}

void Exchange::OnCallerDisconnected() {
  const auto self = shared_from_this();
  m_callerDisconnected = true;
  if (m_finished) {
    return;
  }
  if (m_attempt != nullptr && m_route.m_kind != CallKind::Unsafe) {
    Release(m_attempt, false);
  }
  // The deadline still limits an attempt that goes on.
  if (m_attempt == nullptr) {
    m_deadlineTimer.reset();
    Finish(0, "caller_gone");
  }
}

ResponseHead Exchange::CallerHead(const ResponseHead& aHead) const {
  ResponseHead head;
  head.m_status = aHead.m_status;
  head.m_reason = aHead.m_reason;
  for (const auto& field : aHead.m_fields.List()) {
    const bool isHopField =
      std::any_of(m_node.m_wire.m_hopFields.begin(),
                  m_node.m_wire.m_hopFields.end(),
                  [&](const std::string& aName) {
                    return adapters::http1::EqualsIgnoreCase(aName, field.m_name);
                  });
    if (!isHopField && !adapters::http1::IsHopByHop(field.m_name)) {
      head.m_fields.Add(field.m_name, field.m_value);
    }
  }
  return head;
}

void Exchange::Deliver(const ResponseHead& aHead, const std::string& aBody) {
  if (GuaranteesNotRun(aHead.m_status)) {
    // The endpoint did not say that it has not run the call.
    Reject(FinalStatus(true, false), "ambiguous_refusal", 0);
    return;
  }
  if (m_firstByteAt == base::TimePoint{}) {
    m_firstByteAt = base::BootNow();
  }
  Conclude(CallerHead(aHead), aBody, aHead.m_status / 100 == 2 ? "served" : "endpoint_failure");
}

void Exchange::Reject(int aStatus,
                      const std::string& aReason,
                      double aRetryAfterSeconds,
                      base::Millis aMinRetryAfter) {
  std::optional<double> delay;
  if (aStatus == 503 && aRetryAfterSeconds > 0) {
    // Spread over 0.5 to 1.5 times the delay, so that callers do not return at the same time.
    const double maxDelay = Seconds(TimeLeft()) * kMaxRetryAfterFraction;
    delay = std::min(aRetryAfterSeconds * (0.5 + m_node.Random()), std::max(maxDelay, 0.0));
    if (aMinRetryAfter.count() > 0) {
      delay = std::min(Seconds(aMinRetryAfter) + *delay,
                       std::max(Seconds(CallerTimeLeft()) * kMaxRetryAfterFraction, 0.0));
    }
  }
  RejectAfter(aStatus, aReason, delay);
}

void Exchange::Reject(const PlannedRefusal& aRefusal) {
  Reject(
    aRefusal.m_status, aRefusal.m_reason, aRefusal.m_retryAfterSeconds, aRefusal.m_minRetryAfter);
}

void Exchange::RejectAfter(int aStatus,
                           const std::string& aReason,
                           std::optional<double> aRetryAfterSeconds) {
  ResponseHead head;
  head.m_status = aStatus;
  head.m_fields.Add(m_node.m_wire.m_idField, m_call.m_id);
  if (aRetryAfterSeconds) {
    char text[16];
    std::snprintf(text, sizeof(text), "%.2f", *aRetryAfterSeconds);
    head.m_fields.Add("Retry-After", text);
  }
  Conclude(head, {}, aReason);
}

/// Ends the call with a complete answer. Only events may follow the head of a stream, so a stream
/// that has begun is broken off instead.
void Exchange::Conclude(const ResponseHead& aHead,
                        std::string_view aBody,
                        const std::string& aReason) {
  if (m_finished) {
    return;
  }
  if (m_callerDisconnected) {
    Finish(0, "caller_gone");
    return;
  }
  if (m_streamBegun) {
    m_sink.m_onStreamBroken();
    Finish(0, aReason == kTimeoutReason ? "stream_timeout" : "stream_broken");
    return;
  }
  m_sink.m_onAnswer(aHead, aBody);
  Finish(aHead.m_status, aReason);
}

/// Adds the engine work of the output to the requested work. The output is known only at the end of
/// a call; callers state just its maximum.
void Exchange::AddOutputWork() {
  const fleet::Service* service = m_catalog->FindService(m_service);
  if (service != nullptr && service->m_engine) {
    const auto tokens =
      static_cast<double>(m_splitter.EventCount()) * service->m_engine->m_tokensPerEvent;
    m_node.AddRequestedWork(m_node.m_scaling.EstimateWorkMs(0, tokens));
  }
}

/// Counts whether the call met its latency target, for the size of the fleet. Calls that ended for
/// reasons of their own before that say nothing.
void Exchange::CountLateness(bool aHasAnswer) {
  if (!m_call.m_promptTokens || m_route.m_latencyTarget.count() <= 0) {
    return;
  }
  const bool isLate = base::BootNow() - m_arrival > m_route.m_latencyTarget;
  if (aHasAnswer || isLate || m_attemptCount > 0) {
    m_node.CountEngineCall(isLate || !aHasAnswer);
  }
}

void Exchange::Finish(int aStatus, const std::string& aReason) {
  if (m_finished) {
    return;
  }
  m_finished = true;
  if (!m_streamBegun && !m_callerDisconnected) {
    CountLateness(aStatus / 100 == 2);
  }
  m_deadlineTimer.reset();
  m_overlapTimer.reset();
  m_versionTimer.reset();
  m_confirmationTimer.reset();
  if (m_silentAttempt != nullptr) {
    Release(m_silentAttempt, false);
    m_silentAttempt.reset();
  }
  AddOutputWork();
  const auto now = base::BootNow();
  const auto elapsedMs = [&](base::TimePoint aUntil) {
    return std::chrono::duration_cast<base::Millis>(aUntil - m_arrival).count();
  };
  if (m_attemptCount > 0) {
    m_node.m_durations.Record(
      m_route.m_name, std::chrono::duration_cast<base::Millis>(now - m_arrival), now);
  }
  m_node.m_metrics.CountAnswer(aStatus, aReason);
  if (m_firstByteAt != base::TimePoint{}) {
    m_node.m_metrics.ObserveFirstByte(static_cast<double>(elapsedMs(m_firstByteAt)) / 1000);
    m_node.m_metrics.ObserveAnswerTime(static_cast<double>(elapsedMs(now)) / 1000);
  }
  m_node.m_log.Event(
    "call ended",
    { { "request", m_call.m_id },
      { "route", m_route.m_name },
      { "team", m_team.Text() },
      { "service", m_service.Text() },
      { "status", aStatus },
      { "reason", aReason },
      { "tokens", m_call.m_promptTokens.value_or(0) + m_call.m_maxOutputTokens },
      { "sends", m_attemptCount },
      { "endpoint", m_tried.empty() ? "" : m_tried.rbegin()->Text() },
      { "expected_ms", m_expectedDelayMs },
      { "engine_priority", m_enginePriority.value_or(m_priority) },
      { "slack_ms", m_slackMs },
      { "first_ms", m_firstByteAt == base::TimePoint{} ? -1 : elapsedMs(m_firstByteAt) },
      { "total_ms", elapsedMs(now) },
      { "version", m_catalog->Version() },
      { "era", m_node.m_directory.LastPosition().m_era },
      { "endpoints", m_node.m_directory.LastPosition().m_revision } });
  // Deferred because destroying the sink's owner may destroy this call.
  m_node.m_loop.Defer([sink = std::make_shared<AnswerSink>(std::exchange(m_sink, {}))] {});
}

} // namespace papayafield::forwarding
