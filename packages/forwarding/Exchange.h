#pragma once

#include "forwarding/Call.h"
#include "forwarding/CallPlanner.h"
#include "forwarding/EventSplitter.h"
#include "forwarding/NodeState.h"
#include "forwarding/RequestBody.h"
#include "forwarding/RetryDecision.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace papayafield::forwarding {

/// Receives the answer to one call. Exactly one of m_onAnswer, m_onStreamEnd and m_onStreamBroken
/// ends it.
struct AnswerSink {
  /// Called with a complete answer; `aHead` has no framing fields.
  std::function<void(const adapters::http1::ResponseHead& aHead, std::string_view aBody)>
    m_onAnswer;
  /// Called with the head of a streamed answer.
  std::function<void(const adapters::http1::ResponseHead& aHead)> m_onStreamHead;
  /// Called with complete events of a stream.
  std::function<void(std::string_view aEvents)> m_onEvents;
  /// Called when the stream is complete.
  std::function<void()> m_onStreamEnd;
  /// Called when the stream breaks; the caller must be able to see that it is incomplete.
  std::function<void()> m_onStreamBroken;
};

/// One call, from its arrival to its final answer: selects endpoints, sends attempts, checks
/// answers, and retries at other endpoints where that is allowed. Lives as long as its caller
/// waits, or as long as an attempt runs that must not be cancelled. Belongs to the event loop's
/// thread.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  /// Creates the exchange for an admitted call. `aRoute` belongs to `aCatalog`.
  Exchange(NodeState& aNode,
           fleet::CatalogPtr aCatalog,
           const fleet::Route& aRoute,
           const fleet::Team* aTeam,
           CallInfo aCall,
           adapters::http1::RequestHead aHead,
           RequestBodyPtr aBody,
           base::TimePoint aArrival,
           AnswerSink aSink);

  /// Starts the first attempt. Call once.
  void Start();
  /// Called when the caller has disconnected. Cancels the attempt in progress if the kind of call
  /// allows that.
  void OnCallerDisconnected();
  /// Ends the call because the node stops: with an answer if none has begun, otherwise with a break
  /// that the caller can see. Does nothing if the call has ended.
  void Abort();
  /// Returns the name of the call's route.
  const std::string& RouteName() const { return m_route.m_name; }

private:
  struct ActiveAttempt;
  /// What is known of the version that began the stream.
  enum class VersionCertainty {
    Confirmed,
    /// The registration of its endpoint is being confirmed.
    Pending,
    Unknown,
  };

  const std::string& StreamId() const;
  void FindVersion();
  void OnVersionFound(const std::optional<std::string>& aVersion, VersionSource aSource);
  void LogResumption(VersionSource aSource) const;
  void AwaitEndpointOfVersion();
  void EndAwait();
  void BindVersion(const ActiveAttempt& aAttempt);
  void ConfirmVersion(const ActiveAttempt& aAttempt);
  void OnVersionConfirmed(bool aIsSame);
  void AwaitConfirmation();
  void Dispatch();
  void Send(const fleet::Endpoint& aEndpoint);
  void WriteRequest(const std::shared_ptr<ActiveAttempt>& aAttempt);
  bool NeedsConfirmation(const ActiveAttempt& aAttempt) const;
  void AwaitBytes(const ActiveAttempt& aAttempt);
  void WriteWhenConfirmed(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void OnEstablished(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void OnIsolated(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void OnConnectionEnd(const std::shared_ptr<ActiveAttempt>& aAttempt,
                       adapters::http1::EndKind aKind);
  bool IsWitness(const ActiveAttempt& aAttempt, AttemptFault aFault) const;
  bool MayBeCrash(const ActiveAttempt& aAttempt) const;
  void AttachHandlers(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void OnHead(const std::shared_ptr<ActiveAttempt>& aAttempt,
              adapters::http1::ResponseHead&& aHead);
  base::TimePoint::duration ComparedTime(const ActiveAttempt& aAttempt,
                                         base::TimePoint aAnsweredAt) const;
  void CountVersionAnswer(const ActiveAttempt& aAttempt,
                          const std::string& aRoute,
                          base::TimePoint::duration aDuration);
  void OnBody(const std::shared_ptr<ActiveAttempt>& aAttempt, std::string_view aBytes);
  void OnStreamBytes(const std::shared_ptr<ActiveAttempt>& aAttempt, std::string_view aBytes);
  void DiscardBody(const std::shared_ptr<ActiveAttempt>& aAttempt, size_t aBytes);
  bool ClaimBuffer(const std::shared_ptr<ActiveAttempt>& aAttempt, size_t aBytes);
  void OnBufferDropped(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void FailOversized(const std::shared_ptr<ActiveAttempt>& aAttempt, const std::string& aDetail);
  void StartSilenceTimer(const std::shared_ptr<ActiveAttempt>& aAttempt, base::Millis aLimit);
  void OnSilence(const std::shared_ptr<ActiveAttempt>& aAttempt, base::Millis aLimit);
  bool MayContinueElsewhere() const;
  bool HasEndpoint() const;
  base::Millis EventTimeout() const;
  void LearnFromEvents(ActiveAttempt& aAttempt, size_t aCount);
  void CountEvents(const std::shared_ptr<ActiveAttempt>& aAttempt, size_t aCount);
  void OnComplete(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void OnAnswerComplete(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void Fail(const std::shared_ptr<ActiveAttempt>& aAttempt,
            AttemptFault aFault,
            const std::string& aDetail);
  void RecordSuccess(const ActiveAttempt& aAttempt);
  void RecordFailure(const std::shared_ptr<ActiveAttempt>& aAttempt, AttemptFault aFault);
  void LogFailure(const ActiveAttempt& aAttempt,
                  AttemptFault aFault,
                  const std::string& aDetail,
                  bool aWillRetry) const;
  void TryElsewhere(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void ReturnToSilent(const char* aReason);
  void GiveUpSilent();
  void OnAnswerBegun(const std::shared_ptr<ActiveAttempt>& aAttempt);
  void Release(const std::shared_ptr<ActiveAttempt>& aAttempt, bool aReuse);
  void CountUsage(const std::shared_ptr<ActiveAttempt>& aAttempt, base::TimePoint aBegan);
  void AddOutputWork();
  void CountLateness(bool aHasAnswer);
  void RefuseQuarantined(base::Millis aRemaining);
  void OnTimeout();
  void AbandonUnansweredAttempt();
  bool MayHaveBeenSent() const;
  void Reject(int aStatus,
              const std::string& aReason,
              double aRetryAfterSeconds,
              base::Millis aMinRetryAfter = base::Millis(0));
  void Reject(const PlannedRefusal& aRefusal);
  void RejectAfter(int aStatus,
                   const std::string& aReason,
                   std::optional<double> aRetryAfterSeconds);
  double PredictedRetrySeconds(double aRoomInMs);
  void RefuseLate(const scheduling::Prospect& aProspect);
  int EnginePriority();
  void RejectIsolated();
  void LogOutage(const fleet::ServiceOutage& aOutage) const;
  void Deliver(const adapters::http1::ResponseHead& aHead, const std::string& aBody);
  void Conclude(const adapters::http1::ResponseHead& aHead,
                std::string_view aBody,
                const std::string& aReason);
  void Finish(int aStatus, const std::string& aReason);
  adapters::http1::ResponseHead CallerHead(const adapters::http1::ResponseHead& aHead) const;
  CallPlanner Planner() const;
  base::Millis TimeLeft() const;
  base::Millis CallerTimeLeft() const;
  base::Millis AttemptTimeout() const;

  NodeState& m_node;
  const fleet::CatalogPtr m_catalog;
  const fleet::Route& m_route;
  const base::TeamId m_team;
  const int m_priority;
  const CallInfo m_call;
  const adapters::http1::RequestHead m_head;
  const RequestBodyPtr m_body;
  const base::TimePoint m_arrival;
  const base::TimePoint m_deadline;
  AnswerSink m_sink;

  fleet::ServiceId m_service;
  /// Version of the endpoint that began the stream; the others cannot continue it.
  std::optional<std::string> m_version;
  /// Whether the endpoint that began the stream has this version, and whether the next attempt
  /// waits until that is known.
  VersionCertainty m_certainty = VersionCertainty::Confirmed;
  bool m_dispatchWaits = false;
  /// Limits that wait.
  adapters::http::EventHandlePtr m_confirmationTimer;
  /// Until then a resumed stream waits for its version and for an endpoint of it.
  base::TimePoint m_versionDeadline{};
  adapters::http::EventHandlePtr m_versionTimer;
  std::set<base::EndpointId> m_tried;
  std::shared_ptr<ActiveAttempt> m_attempt;
  /// Attempt that fell silent, kept while `m_attempt` may still be refused.
  std::shared_ptr<ActiveAttempt> m_silentAttempt;
  adapters::http::EventHandlePtr m_overlapTimer;
  adapters::http::EventHandlePtr m_deadlineTimer;
  /// Limits the wait for an attempt that must not be cancelled, after the deadline.
  adapters::http::EventHandlePtr m_abandonTimer;
  EventSplitter m_splitter;
  /// Expected delay to the first byte at the most recently selected endpoint, in milliseconds.
  double m_expectedDelayMs = 0;
  /// Priority at the engine and slack of the most recent attempt, for the log; nullopt if the calls
  /// of the service do not differ.
  std::optional<int> m_enginePriority;
  double m_slackMs = 0;
  /// Number of attempts of any outcome, for the log.
  int m_attemptCount = 0;
  /// Number of endpoints that may have run the call.
  int m_possibleRuns = 0;
  bool m_streamBegun = false;
  bool m_callerDisconnected = false;
  bool m_finished = false;
  base::TimePoint m_firstByteAt{};
  /// Attempt that an endpoint answered with an error, kept while another endpoint is tried.
  std::shared_ptr<ActiveAttempt> m_errorAttempt;
};

} // namespace papayafield::forwarding
