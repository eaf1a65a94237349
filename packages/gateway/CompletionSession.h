#pragma once

#include "gateway/CompletionRequest.h"
#include "gateway/GatewayContext.h"
#include "gateway/ResponseWriter.h"
#include "requests/AnswerToken.h"
#include "requests/StreamSplicer.h"

#include <memory>
#include <optional>

namespace papayafield::gateway {

/// Handles one completion request from admission to the last token. Retries, resumes and moves the
/// stream between engines as needed. Must only be used on the gateway thread.
class CompletionSession : public std::enable_shared_from_this<CompletionSession> {
public:
  /// Prepares the request. `aOnFinished` is called exactly once, when the request has ended for any
  /// reason.
  CompletionSession(GatewayContext& aContext,
                    adapters::http::ExchangePtr aExchange,
                    base::RequestId aId,
                    const manifest::Team& aTeam,
                    CompletionRequest aCompletion,
                    std::function<void(const base::RequestId&)> aOnFinished);

  /// Queues the request and generates the answer from the first token.
  void Begin();
  /// Resumes the stream after `aPosition`, which the caller supplied.
  void BeginAfter(const requests::AnswerPosition& aPosition);
  /// Moves the stream to another engine if it is served by `aEndpoint`, which is leaving.
  void OnEndpointLeaving(const base::EndpointId& aEndpoint);
  /// Ends the request at this node and refers the caller to the node at `aNext` for the rest of the
  /// answer. Used if this node stops before the answer is complete.
  void HandOver(const base::Address& aNext);

  /// Returns the request id.
  const base::RequestId& Id() const { return m_id; }
  /// Returns the time at which the request arrived.
  base::TimePoint ArrivalTime() const { return m_arrivalTime; }

private:
  /// State of the current attempt.
  struct Attempt {
    uint64_t m_number = 0;
    base::EndpointId m_endpoint;
    base::Address m_address;
    base::ZoneId m_zone;
    std::string m_streamName;
    EngineAdapter::Handle m_transfer;
    bool m_open = false;
    /// Number of resumes since the last received token.
    int m_resumes = 0;
  };

  void Enqueue();
  QueuedRequest MakeQueuedRequest();
  void Requeue(requests::Outcome aOutcome);
  void OnDispatched(const routing::RouteChoice& aChoice);
  void OnRejected(const admission::Rejection& aRejection);
  void StartAttempt();
  void ResumeAttempt();
  adapters::engine::StreamEvents MakeStreamCallbacks();
  void OnTokens(const std::vector<adapters::engine::StreamToken>& aTokens);
  void RecordTokenMetrics(uint64_t aTokens);
  void OnEnd();
  void OnFault(requests::Fault aFault);
  void CloseAttempt(double aServedTokenCost);
  void TryMove();
  void Move(const routing::RouteChoice& aTarget);
  bool EndsBefore(int64_t aDepartureMs) const;
  void OnCallerDisconnected();
  void OnSuperseded();
  void Fail(const Problem& aProblem);
  void Finish();
  double TokenCost() const;
  routing::RouteQuery MakeRouteQuery() const;

  GatewayContext& m_context;
  base::RequestId m_id;
  ResponseWriter m_response;
  manifest::Team m_team;
  CompletionRequest m_completion;
  std::function<void(const base::RequestId&)> m_onFinished;
  base::TimePoint m_arrivalTime;
  base::TimePoint m_lastToken{};
  std::set<base::EndpointId> m_triedEndpoints;
  Attempt m_attempt;
  requests::StreamSplicer m_splicer;
  /// Answer text received so far.
  std::string m_text;
  /// Offset of the first token that is sent to the caller.
  uint64_t m_firstCallerOffset = 0;
  /// Prefix of the event ids of the current attempt: the signed answer token.
  std::string m_eventIdPrefix;
  std::string m_kvState;
  bool m_finished = false;
  bool m_moving = false;
  adapters::http::EventHandlePtr m_moveTimer;
  adapters::http::EventHandlePtr m_retryTimer;
  adapters::http::EventHandlePtr m_graceTimer;
};

} // namespace papayafield::gateway
