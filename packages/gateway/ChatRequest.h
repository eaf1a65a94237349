#pragma once

#include "gateway/AnswerWriter.h"
#include "gateway/Completion.h"
#include "gateway/GatewayContext.h"
#include "requests/AnswerToken.h"
#include "requests/StreamSplicer.h"

#include <memory>
#include <optional>

namespace papayafield::gateway {

/// One completion request, from admission to the last token, over as many engines as it takes.
/// Belongs to the gateway's thread.
class ChatRequest : public std::enable_shared_from_this<ChatRequest> {
public:
  /// Prepares the request; `aOnOver` is called once when it has ended, however it ended.
  ChatRequest(GatewayContext& aContext,
              adapters::http::ExchangePtr aExchange,
              base::RequestId aId,
              const manifest::Team& aTeam,
              Completion aCompletion,
              std::function<void(const base::RequestId&)> aOnOver);

  /// Starts from the first token: queues, then generates.
  void Begin();
  /// Goes on after `aPosition`, which the caller presented.
  void BeginAfter(const requests::AnswerPosition& aPosition);
  /// The engine `aEndpoint` is leaving; a stream there is moved in time.
  void EndpointLeaving(const base::EndpointId& aEndpoint);
  /// This node stops before the answer can end: it tells the caller to ask the node at `aNext` for
  /// the rest.
  void HandOver(const base::Address& aNext);

  /// Name of the request.
  const base::RequestId& Id() const { return m_id; }
  /// When it came.
  base::TimePoint Since() const { return m_since; }

private:
  /// The present attempt.
  struct Attempt {
    uint64_t m_number = 0;
    base::EndpointId m_endpoint;
    base::Address m_address;
    base::ZoneId m_zone;
    std::string m_stream;
    EngineAdapter::Handle m_transfer;
    bool m_open = false;
    /// Resumes tried since the last token.
    int m_resumes = 0;
  };

  void Queue();
  DispatchTicket MakeTicket();
  void Requeue(requests::Outcome aOutcome);
  void OnTurn(const routing::RouteChoice& aChoice);
  void OnRefused(const admission::Refused& aRefused);
  void StartAttempt();
  void ResumeAttempt();
  adapters::engine::StreamEvents MakeEvents();
  void OnTokens(const std::vector<adapters::engine::StreamToken>& aTokens);
  void Measure(uint64_t aTokens);
  void OnEnd();
  void OnFault(requests::Fault aFault);
  void LeaveAttempt(double aServedCost);
  void TryMove();
  void Move(const routing::RouteChoice& aTarget);
  bool EndsBefore(int64_t aLeavesAtMs) const;
  void OnCallerGone();
  void OnSuperseded();
  void Fail(const Problem& aProblem);
  void Over();
  double Cost() const;
  routing::RouteQuery Query() const;

  GatewayContext& m_context;
  base::RequestId m_id;
  AnswerWriter m_caller;
  manifest::Team m_team;
  Completion m_completion;
  std::function<void(const base::RequestId&)> m_onOver;
  base::TimePoint m_since;
  base::TimePoint m_lastToken{};
  std::set<base::EndpointId> m_tried;
  Attempt m_attempt;
  requests::StreamSplicer m_splicer;
  /// The answer so far.
  std::string m_text;
  /// First offset that the caller wants.
  uint64_t m_callerFrom = 0;
  /// Start of the event ids of the present attempt.
  std::string m_eventPrefix;
  std::string m_kvState;
  bool m_over = false;
  bool m_moving = false;
  adapters::http::EventHandlePtr m_moveTimer;
  adapters::http::EventHandlePtr m_retryTimer;
  adapters::http::EventHandlePtr m_graceTimer;
};

} // namespace papayafield::gateway
