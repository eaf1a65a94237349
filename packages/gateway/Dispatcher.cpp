#include "gateway/Dispatcher.h"

namespace papayafield::gateway {

namespace {

/// Interval at which queue deadlines are checked and parked requests are queued again.
constexpr base::Millis kTickInterval{ 20 };

base::TimePoint Now() {
  return base::SteadyClock().Now();
}

routing::RouterSettings RouterSettingsFor(const base::NodeId& aNode) {
  routing::RouterSettings settings;
  settings.m_node = aNode.Text();
  return settings;
}

} // namespace

Dispatcher::Dispatcher(adapters::http::EventLoop& aLoop,
                       Metrics& aMetrics,
                       const base::NodeId& aNode)
  : m_loop(aLoop)
  , m_metrics(aMetrics)
  , m_router(RouterSettingsFor(aNode))
  , m_retryBudget(requests::RetryBudgetSettings{}) {}

void Dispatcher::Submit(QueuedRequest aRequestToQueue) {
  const base::RequestId request = aRequestToQueue.m_waiting.m_request;
  const base::DeploymentId deployment = aRequestToQueue.m_query.m_deployment;
  const admission::WaitingRequest waiting = aRequestToQueue.m_waiting;
  m_retryBudget.CreditRequest();
  m_queuedRequests[request] = std::move(aRequestToQueue);
  UpdateTimer();
  if (const auto offered = QueueFor(deployment).Enqueue(waiting, Now()); !offered) {
    m_loop.Defer([this, request, rejection = offered.error()] { Reject(request, rejection); });
    return;
  }
  ScheduleDispatch(deployment);
}

void Dispatcher::Resubmit(QueuedRequest aRequestToQueue) {
  const base::DeploymentId deployment = aRequestToQueue.m_query.m_deployment;
  QueueFor(deployment).Requeue(aRequestToQueue.m_waiting);
  m_queuedRequests[aRequestToQueue.m_waiting.m_request] = std::move(aRequestToQueue);
  UpdateTimer();
  ScheduleDispatch(deployment);
}

bool Dispatcher::Withdraw(const base::RequestId& aRequest) {
  const auto found = m_queuedRequests.find(aRequest);
  if (found == m_queuedRequests.end()) {
    return false;
  }
  QueueFor(found->second.m_query.m_deployment).Remove(aRequest);
  std::erase_if(m_parked, [&](const admission::WaitingRequest& aWaiting) {
    return aWaiting.m_request == aRequest;
  });
  m_queuedRequests.erase(found);
  return true;
}

void Dispatcher::OnRequestEnded(const base::EndpointId& aEndpoint,
                                const base::DeploymentId& aDeployment,
                                double aCost) {
  m_router.RecordRequestEnded(aEndpoint);
  if (aCost > 0) {
    QueueFor(aDeployment).RecordServed(aCost, Now());
  }
  ScheduleDispatch(aDeployment);
}

void Dispatcher::DispatchAll() {
  for (auto& [deployment, queue] : m_queues) {
    DispatchFrom(deployment);
  }
}

void Dispatcher::ScheduleDispatch(const base::DeploymentId& aDeployment) {
  m_loop.Defer([this, aDeployment] { DispatchFrom(aDeployment); });
}

void Dispatcher::UpdateTimer() {
  // The timer only runs while requests are queued.
  if (m_queuedRequests.empty()) {
    m_timer.reset();
  } else if (m_timer == nullptr) {
    m_timer = m_loop.Every(kTickInterval, [this] { Tick(); });
  }
}

void Dispatcher::DispatchFrom(const base::DeploymentId& aDeployment) {
  admission::AdmissionQueue& queue = QueueFor(aDeployment);
  while (queue.Size() > 0 && m_router.HasEndpointWithRoom(aDeployment)) {
    const auto waiting = queue.Dequeue(Now());
    const auto found = m_queuedRequests.find(waiting->m_request);
    if (found == m_queuedRequests.end()) {
      continue;
    }
    const auto choice = m_router.Choose(found->second.m_query);
    if (!choice) {
      m_parked.push_back(*waiting);
      continue;
    }
    // The request leaves the queue here, so its queue deadline no longer applies.
    const QueuedRequest dispatched = std::move(found->second);
    m_queuedRequests.erase(found);
    m_router.RecordRequestSent(choice->m_endpoint, dispatched.m_query, Now());
    m_metrics.Observe(DurationMetric::QueueWait,
                      std::chrono::duration<double>(Now() - waiting->m_since).count());
    dispatched.m_onDispatched(*choice);
  }
}

void Dispatcher::Tick() {
  // Parked requests are queued again and may use endpoints that they have already tried.
  for (admission::WaitingRequest& waiting : std::exchange(m_parked, {})) {
    if (const auto found = m_queuedRequests.find(waiting.m_request);
        found != m_queuedRequests.end()) {
      found->second.m_query.m_exclude.clear();
      QueueFor(found->second.m_query.m_deployment).Requeue(std::move(waiting));
    }
  }
  DispatchAll();
  for (auto& [deployment, queue] : m_queues) {
    for (const admission::WaitingRequest& expired : queue.RemoveExpired(Now())) {
      Reject(expired.m_request, { admission::RejectionReason::WaitTooLong, base::Millis(1000) });
    }
  }
  UpdateTimer();
}

void Dispatcher::Reject(const base::RequestId& aRequest, admission::Rejection aRejection) {
  const auto found = m_queuedRequests.find(aRequest);
  if (found == m_queuedRequests.end()) {
    return;
  }
  const auto onRejected = std::move(found->second.m_onRejected);
  m_queuedRequests.erase(found);
  onRejected(aRejection);
}

admission::AdmissionQueue& Dispatcher::QueueFor(const base::DeploymentId& aDeployment) {
  return m_queues.try_emplace(aDeployment, admission::AdmissionSettings{}).first->second;
}

} // namespace papayafield::gateway
