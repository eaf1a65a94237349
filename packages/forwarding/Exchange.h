#pragma once

#include "forwarding/Call.h"
#include "forwarding/EventCutter.h"
#include "forwarding/NodeState.h"
#include "forwarding/RetryDecision.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace papayafield::forwarding {

/// Where the answer to one call goes. Exactly one of m_whole, m_end and m_abort ends it.
struct AnswerSink {
  /// A whole answer; `aHead` has no framing fields.
  std::function<void(const adapters::http1::ResponseHead& aHead, std::string_view aBody)> m_whole;
  /// The head of a stream.
  std::function<void(const adapters::http1::ResponseHead& aHead)> m_begin;
  /// Whole events of a stream.
  std::function<void(std::string_view aEvents)> m_piece;
  /// The stream is complete.
  std::function<void()> m_end;
  /// The stream is broken; the caller has to see that it is not complete.
  std::function<void()> m_abort;
};

/// One call of a caller, from its arrival to its final answer: chooses endpoints, sends attempts,
/// checks answers, and goes on elsewhere where that is allowed. Lives as long as its caller waits,
/// or as an attempt that must not be cut off runs. Belongs to the thread of the loop.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  /// A call that was let in. `aRoute` belongs to `aCatalog`.
  Exchange(NodeState& aNode,
           fleet::CatalogPtr aCatalog,
           const fleet::Route& aRoute,
           const fleet::Team* aTeam,
           CallInfo aCall,
           adapters::http1::RequestHead aHead,
           std::string aBody,
           base::TimePoint aArrival,
           AnswerSink aSink);

  /// Begins. Call once.
  void Start();
  /// The caller has left: work that may be cut off is.
  void CallerGone();

private:
  struct Running;

  void Dispatch();
  void Send(const fleet::Endpoint& aEndpoint);
  void Arm(const std::shared_ptr<Running>& aRun);
  void OnHead(const std::shared_ptr<Running>& aRun, adapters::http1::ResponseHead&& aHead);
  void OnBody(const std::shared_ptr<Running>& aRun, std::string_view aBytes);
  void OnStreamBytes(const std::shared_ptr<Running>& aRun, std::string_view aBytes);
  void WatchPause(const std::shared_ptr<Running>& aRun);
  void OnComplete(const std::shared_ptr<Running>& aRun);
  void OnAnswerComplete(const std::shared_ptr<Running>& aRun);
  void Fail(const std::shared_ptr<Running>& aRun, AttemptFault aFault, const std::string& aWhy);
  void Release(const std::shared_ptr<Running>& aRun, bool aReuse);
  void CountRun(const std::shared_ptr<Running>& aRun, base::TimePoint aBegan);
  void NoteOutput();
  void TimeUp();
  void Refuse(int aStatus, const std::string& aReason, double aRetryAfterSeconds);
  void Deliver(const adapters::http1::ResponseHead& aHead, const std::string& aBody);
  void Finish(int aStatus, const std::string& aReason);
  adapters::http1::ResponseHead CallerHead(const adapters::http1::ResponseHead& aHead) const;
  placement::PlacementRequest MakeNeed(const fleet::ServiceId& aService) const;
  fleet::ServiceId PickService();
  base::Millis TimeLeft() const;
  base::Millis AttemptLimit() const;
  double UncachedTokens() const;

  NodeState& m_node;
  const fleet::CatalogPtr m_catalog;
  const fleet::Route& m_route;
  const base::TeamId m_team;
  const int m_priority;
  const CallInfo m_call;
  const adapters::http1::RequestHead m_head;
  const std::string m_body;
  const base::TimePoint m_arrival;
  base::TimePoint m_limit;
  AnswerSink m_sink;

  fleet::ServiceId m_service;
  std::set<base::EndpointId> m_tried;
  std::shared_ptr<Running> m_run;
  adapters::http::WatchPtr m_limitTimer;
  EventCutter m_cutter;
  /// Delay to the first byte that was expected at the endpoint chosen last, in milliseconds.
  double m_expectedMs = 0;
  /// Sends of any kind, for the log.
  int m_sends = 0;
  /// Endpoints that may have run the call.
  int m_runs = 0;
  bool m_begun = false;
  bool m_callerGone = false;
  bool m_finished = false;
  base::TimePoint m_firstByte{};
  /// A failure that an endpoint gave, kept while another one is tried.
  std::optional<std::pair<adapters::http1::ResponseHead, std::string>> m_failure;
};

} // namespace papayafield::forwarding
