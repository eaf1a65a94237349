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

/// A request that waits for an endpoint, with its callbacks.
struct QueuedRequest {
  /// The entry in the admission queue.
  admission::WaitingRequest m_waiting;
  /// The routing requirements.
  routing::RouteQuery m_query;
  /// Called when an endpoint was chosen. The router already counts the request as sent to it.
  std::function<void(routing::RouteChoice)> m_onDispatched;
  /// Called when the request was rejected or timed out. It is no longer queued.
  std::function<void(admission::Rejection)> m_onRejected;
};

/// Assigns queued requests to endpoints. Owns one admission queue per deployment, and one router
/// and one retry budget for the node. Must only be used on the gateway thread.
class Dispatcher {
public:
  /// Runs on `aLoop` at the node `aNode`. `aLoop` and `aMetrics` must outlive this object.
  Dispatcher(adapters::http::EventLoop& aLoop, Metrics& aMetrics, const base::NodeId& aNode);

  /// Queues a new request. One of its callbacks is called later, never before Submit returns.
  void Submit(QueuedRequest aRequestToQueue);
  /// Queues an accepted request again that lost its endpoint. It goes to the front of its priority
  /// class, and is neither rejected nor timed out.
  void Resubmit(QueuedRequest aRequestToQueue);
  /// Removes a request from the queue. Returns false if it is not queued.
  bool Withdraw(const base::RequestId& aRequest);

  /// Called when a request sent to `aEndpoint` has ended. `aCost` is its cost in tokens if it was
  /// served, else 0.
  void OnRequestEnded(const base::EndpointId& aEndpoint,
                      const base::DeploymentId& aDeployment,
                      double aCost);

  /// Dispatches queued requests of all deployments that have free capacity.
  void DispatchAll();

  /// Returns the router.
  routing::Router& Router() { return m_router; }
  /// Returns the retry budget.
  requests::RetryBudget& RetryBudget() { return m_retryBudget; }
  /// Returns the number of queued requests, parked ones included.
  size_t QueuedCount() const { return m_queuedRequests.size(); }

private:
  void DispatchFrom(const base::DeploymentId& aDeployment);
  void ScheduleDispatch(const base::DeploymentId& aDeployment);
  void UpdateTimer();
  void Tick();
  void Reject(const base::RequestId& aRequest, admission::Rejection aRejection);
  admission::AdmissionQueue& QueueFor(const base::DeploymentId& aDeployment);

  adapters::http::EventLoop& m_loop;
  Metrics& m_metrics;
  routing::Router m_router;
  requests::RetryBudget m_retryBudget;
  std::map<base::DeploymentId, admission::AdmissionQueue> m_queues;
  std::unordered_map<base::RequestId, QueuedRequest> m_queuedRequests;
  /// Requests for which every endpoint with free capacity has already been tried.
  std::vector<admission::WaitingRequest> m_parked;
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::gateway
