#include "gateway/Dispatcher.h"

namespace papayafield::gateway {

namespace {

/// How often time limits are checked and parked requests get another chance.
constexpr base::Millis kTick{ 20 };

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
  , m_retries(requests::RetryBudgetSettings{}) {}

void Dispatcher::Submit(DispatchTicket aTicket) {
  const base::RequestId request = aTicket.m_waiting.m_request;
  const base::DeploymentId runs = aTicket.m_query.m_runs;
  const admission::Waiting waiting = aTicket.m_waiting;
  m_retries.CreditRequest();
  m_tickets[request] = std::move(aTicket);
  ArmTimer();
  if (const auto taken = QueueOf(runs).Offer(waiting, Now()); !taken) {
    m_loop.Defer([this, request, refused = taken.error()] { Refuse(request, refused); });
    return;
  }
  PumpSoon(runs);
}

void Dispatcher::Resubmit(DispatchTicket aTicket) {
  const base::DeploymentId runs = aTicket.m_query.m_runs;
  QueueOf(runs).Return(aTicket.m_waiting);
  m_tickets[aTicket.m_waiting.m_request] = std::move(aTicket);
  ArmTimer();
  PumpSoon(runs);
}

bool Dispatcher::Withdraw(const base::RequestId& aRequest) {
  const auto found = m_tickets.find(aRequest);
  if (found == m_tickets.end()) {
    return false;
  }
  QueueOf(found->second.m_query.m_runs).Remove(aRequest);
  std::erase_if(m_parked,
                [&](const admission::Waiting& aWaiting) { return aWaiting.m_request == aRequest; });
  m_tickets.erase(found);
  return true;
}

void Dispatcher::Ended(const base::EndpointId& aEndpoint,
                       const base::DeploymentId& aRuns,
                       double aCost) {
  m_router.NoteEnded(aEndpoint);
  if (aCost > 0) {
    QueueOf(aRuns).NoteServed(aCost, Now());
  }
  PumpSoon(aRuns);
}

void Dispatcher::PumpAll() {
  for (auto& [runs, queue] : m_queues) {
    Pump(runs);
  }
}

void Dispatcher::PumpSoon(const base::DeploymentId& aRuns) {
  m_loop.Defer([this, aRuns] { Pump(aRuns); });
}

void Dispatcher::ArmTimer() {
  // Time limits only matter while something waits.
  if (m_tickets.empty()) {
    m_timer.reset();
  } else if (m_timer == nullptr) {
    m_timer = m_loop.Every(kTick, [this] { Tick(); });
  }
}

void Dispatcher::Pump(const base::DeploymentId& aRuns) {
  admission::AdmissionQueue& queue = QueueOf(aRuns);
  while (queue.Size() > 0 && m_router.AnyRoom(aRuns)) {
    const auto waiting = queue.Next(Now());
    const auto found = m_tickets.find(waiting->m_request);
    if (found == m_tickets.end()) {
      continue;
    }
    const auto choice = m_router.Choose(found->second.m_query);
    if (!choice) {
      m_parked.push_back(*waiting);
      continue;
    }
    // From here on the request is no longer waiting: no time-out of the queue can reach it.
    const DispatchTicket ticket = std::move(found->second);
    m_tickets.erase(found);
    m_router.NoteSent(choice->m_endpoint, ticket.m_query, Now());
    m_metrics.Observe(Span::QueueWait,
                      std::chrono::duration<double>(Now() - waiting->m_since).count());
    ticket.m_onTurn(*choice);
  }
}

void Dispatcher::Tick() {
  // Parked requests may try all endpoints again.
  for (admission::Waiting& waiting : std::exchange(m_parked, {})) {
    if (const auto found = m_tickets.find(waiting.m_request); found != m_tickets.end()) {
      found->second.m_query.m_exclude.clear();
      QueueOf(found->second.m_query.m_runs).Return(std::move(waiting));
    }
  }
  PumpAll();
  for (auto& [runs, queue] : m_queues) {
    for (const admission::Waiting& expired : queue.Expire(Now())) {
      Refuse(expired.m_request, { admission::Refusal::TooSlow, base::Millis(1000) });
    }
  }
  ArmTimer();
}

void Dispatcher::Refuse(const base::RequestId& aRequest, admission::Refused aRefused) {
  const auto found = m_tickets.find(aRequest);
  if (found == m_tickets.end()) {
    return;
  }
  const auto onRefused = std::move(found->second.m_onRefused);
  m_tickets.erase(found);
  onRefused(aRefused);
}

admission::AdmissionQueue& Dispatcher::QueueOf(const base::DeploymentId& aRuns) {
  return m_queues.try_emplace(aRuns, admission::AdmissionSettings{}).first->second;
}

} // namespace papayafield::gateway
