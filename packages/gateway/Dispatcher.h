#pragma once

#include "adapters/http/EventLoop.h"
#include "admission/AdmissionQueue.h"
#include "gateway/Metrics.h"
#include "requests/RetryBudget.h"
#include "routing/Router.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace papayafield::gateway {

/// A request that waits for an endpoint.
struct DispatchTicket {
  /// Its place in the queue.
  admission::Waiting m_waiting;
  /// What it needs.
  routing::RouteQuery m_query;
  /// It is its turn; the endpoint counts it as sent.
  std::function<void(routing::RouteChoice)> m_onTurn;
  /// It was taken out of the queue, and will not get a turn.
  std::function<void(admission::Refused)> m_onRefused;
};

/// Brings waiting requests and endpoints together: one admission queue for each deployment, one
/// router and one retry budget for the node. Belongs to the gateway's thread.
class Dispatcher {
public:
  /// Works on `aLoop` at the node `aNode`.
  Dispatcher(adapters::http::EventLoop& aLoop, Metrics& aMetrics, const base::NodeId& aNode);

  /// Takes a new request in. It gets a turn or a refusal, never before Submit has returned.
  void Submit(DispatchTicket aTicket);
  /// Takes back an accepted request that lost its endpoint: it keeps its place and is never
  /// refused.
  void Resubmit(DispatchTicket aTicket);
  /// Takes a request out; false when it is not waiting.
  bool Withdraw(const base::RequestId& aRequest);

  /// A request sent to `aEndpoint` has ended; `aCost` is its cost if it was served, else 0.
  void Ended(const base::EndpointId& aEndpoint, const base::DeploymentId& aRuns, double aCost);

  /// Gives turns to whoever can have one.
  void PumpAll();

  /// The router.
  routing::Router& Router() { return m_router; }
  /// The retry budget.
  requests::RetryBudget& Retries() { return m_retries; }
  /// Requests waiting.
  size_t Waiting() const { return m_tickets.size(); }

private:
  void Pump(const base::DeploymentId& aRuns);
  void PumpSoon(const base::DeploymentId& aRuns);
  void ArmTimer();
  void Tick();
  void Refuse(const base::RequestId& aRequest, admission::Refused aRefused);
  admission::AdmissionQueue& QueueOf(const base::DeploymentId& aRuns);

  adapters::http::EventLoop& m_loop;
  Metrics& m_metrics;
  routing::Router m_router;
  requests::RetryBudget m_retries;
  std::map<base::DeploymentId, admission::AdmissionQueue> m_queues;
  std::unordered_map<base::RequestId, DispatchTicket> m_tickets;
  /// Requests whose every endpoint with room was tried already.
  std::vector<admission::Waiting> m_parked;
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::gateway
