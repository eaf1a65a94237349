#include "admission/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace papayafield::admission {

namespace {

/// Minimum duration of one throughput measurement.
constexpr base::Millis kMinThroughputWindow{ 1000 };
/// Weight of the newest measurement in the smoothed throughput.
constexpr double kThroughputWeight = 0.3;
/// Minimum retry delay; also the one sent when the wait is not estimated.
constexpr base::Millis kDefaultRetryAfter{ 1000 };

double Seconds(base::TimePoint::duration aDuration) {
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionSettings aSettings)
  : m_settings(aSettings)
  , m_classes(aSettings.m_classCount) {
  assert(aSettings.m_classCount > 0);
}

tl::expected<void, Rejection> AdmissionQueue::Enqueue(WaitingRequest aRequest,
                                                      base::TimePoint aNow) {
  assert(aRequest.m_class < m_classes.size());
  if (m_size >= m_settings.m_maxQueued) {
    return tl::unexpected(Rejection{ RejectionReason::QueueFull, kDefaultRetryAfter });
  }
  if (TeamRequestCount(aRequest.m_team) >= aRequest.m_teamLimit) {
    return tl::unexpected(Rejection{ RejectionReason::TeamQueueFull, kDefaultRetryAfter });
  }
  // Reject at once a request that would expire in the queue.
  if (m_throughput > 0) {
    const double wait = CostAhead(aRequest) / m_throughput;
    if (wait > Seconds(aRequest.m_deadline - aNow)) {
      const base::Millis excess(std::llround((wait - Seconds(aRequest.m_deadline - aNow)) * 1000));
      return tl::unexpected(
        Rejection{ RejectionReason::WaitTooLong, std::max(excess, kDefaultRetryAfter) });
    }
  }
  TeamQueue& team = m_classes[aRequest.m_class].m_teams[aRequest.m_team];
  team.m_weight = aRequest.m_weight;
  team.m_requests.push_back(std::move(aRequest));
  ++m_size;
  return {};
}

void AdmissionQueue::Requeue(WaitingRequest aRequest) {
  PriorityClass& priorityClass = m_classes[aRequest.m_class];
  const auto position =
    std::upper_bound(priorityClass.m_requeued.begin(),
                     priorityClass.m_requeued.end(),
                     aRequest,
                     [](const WaitingRequest& aLeft, const WaitingRequest& aRight) {
                       return aLeft.m_since < aRight.m_since;
                     });
  priorityClass.m_requeued.insert(position, std::move(aRequest));
  ++m_size;
}

std::optional<WaitingRequest> AdmissionQueue::Dequeue(base::TimePoint aNow) {
  PromoteAged(aNow);
  for (PriorityClass& priorityClass : m_classes) {
    if (auto request = DequeueFrom(priorityClass)) {
      --m_size;
      return request;
    }
  }
  return std::nullopt;
}

std::optional<WaitingRequest> AdmissionQueue::DequeueFrom(PriorityClass& aPriorityClass) {
  if (!aPriorityClass.m_requeued.empty()) {
    WaitingRequest request = std::move(aPriorityClass.m_requeued.front());
    aPriorityClass.m_requeued.pop_front();
    return request;
  }
  // Teams without queued requests lose their turn and their deficit.
  std::erase_if(aPriorityClass.m_teams,
                [](const auto& aTeam) { return aTeam.second.m_requests.empty(); });
  if (aPriorityClass.m_teams.empty()) {
    return std::nullopt;
  }
  // Deficit round robin: a team's turn lasts while its deficit covers the cost of its first
  // request.
  auto turn = aPriorityClass.m_turn ? aPriorityClass.m_teams.find(*aPriorityClass.m_turn)
                                    : aPriorityClass.m_teams.end();
  while (true) {
    if (turn == aPriorityClass.m_teams.end()) {
      turn = aPriorityClass.m_teams.begin();
    }
    TeamQueue& team = turn->second;
    if (aPriorityClass.m_turn != turn->first) {
      team.m_deficit += m_settings.m_quantum * team.m_weight;
      aPriorityClass.m_turn = turn->first;
    }
    if (team.m_deficit >= team.m_requests.front().m_cost) {
      WaitingRequest request = std::move(team.m_requests.front());
      team.m_requests.pop_front();
      team.m_deficit -= request.m_cost;
      return request;
    }
    ++turn;
    if (turn == aPriorityClass.m_teams.end() && aPriorityClass.m_teams.size() == 1) {
      // A single team would reach the cost after some rounds anyway: skip these rounds.
      team.m_deficit = team.m_requests.front().m_cost;
    }
  }
}

void AdmissionQueue::PromoteAged(base::TimePoint aNow) {
  // A request moves up one class at a time; the oldest request of a team is at its front.
  for (size_t index = 1; index < m_classes.size(); ++index) {
    for (auto& [name, team] : m_classes[index].m_teams) {
      while (!team.m_requests.empty() &&
             aNow - team.m_requests.front().m_since >=
               m_settings.m_ageingInterval *
                 static_cast<int>(team.m_requests.front().m_class - index + 1)) {
        TeamQueue& upper = m_classes[index - 1].m_teams[name];
        upper.m_weight = team.m_weight;
        upper.m_requests.push_back(std::move(team.m_requests.front()));
        team.m_requests.pop_front();
      }
    }
  }
}

bool AdmissionQueue::Remove(const base::RequestId& aRequest) {
  const auto matches = [&](const WaitingRequest& aCandidate) {
    return aCandidate.m_request == aRequest;
  };
  size_t removed = 0;
  for (PriorityClass& priorityClass : m_classes) {
    removed += std::erase_if(priorityClass.m_requeued, matches);
    for (auto& [name, team] : priorityClass.m_teams) {
      removed += std::erase_if(team.m_requests, matches);
    }
  }
  m_size -= removed;
  return removed > 0;
}

std::vector<WaitingRequest> AdmissionQueue::RemoveExpired(base::TimePoint aNow) {
  std::vector<WaitingRequest> expired;
  for (PriorityClass& priorityClass : m_classes) {
    // Requeued requests have been accepted before and do not expire.
    for (auto& [name, team] : priorityClass.m_teams) {
      std::erase_if(team.m_requests, [&](const WaitingRequest& aRequest) {
        if (aRequest.m_deadline > aNow) {
          return false;
        }
        expired.push_back(aRequest);
        return true;
      });
    }
  }
  m_size -= expired.size();
  return expired;
}

void AdmissionQueue::RecordServed(double aCost, base::TimePoint aNow) {
  // Without a backlog the throughput reflects the demand, not the capacity.
  if (m_size == 0 || m_windowStart == base::TimePoint{}) {
    m_windowStart = aNow;
    m_servedInWindow = 0;
    return;
  }
  m_servedInWindow += aCost;
  const auto elapsed = aNow - m_windowStart;
  if (elapsed < kMinThroughputWindow) {
    return;
  }
  const double throughput = m_servedInWindow / Seconds(elapsed);
  m_throughput =
    m_throughput == 0 ? throughput : m_throughput + kThroughputWeight * (throughput - m_throughput);
  m_servedInWindow = 0;
  m_windowStart = aNow;
}

size_t AdmissionQueue::TeamRequestCount(const base::TeamId& aTeam) const {
  size_t size = 0;
  for (const PriorityClass& priorityClass : m_classes) {
    const auto team = priorityClass.m_teams.find(aTeam);
    size += team == priorityClass.m_teams.end() ? 0 : team->second.m_requests.size();
  }
  return size;
}

double AdmissionQueue::CostAhead(const WaitingRequest& aRequest) const {
  double costAhead = 0;
  double weightSum = aRequest.m_weight;
  double otherCost = 0;
  double ownCost = 0;
  for (size_t index = 0; index <= aRequest.m_class; ++index) {
    const PriorityClass& priorityClass = m_classes[index];
    for (const WaitingRequest& requeued : priorityClass.m_requeued) {
      costAhead += requeued.m_cost;
    }
    for (const auto& [name, team] : priorityClass.m_teams) {
      double cost = 0;
      for (const WaitingRequest& queued : team.m_requests) {
        cost += queued.m_cost;
      }
      if (index < aRequest.m_class) {
        costAhead += cost;
      } else if (name == aRequest.m_team) {
        ownCost = cost;
      } else {
        otherCost += cost;
        weightSum += team.m_weight;
      }
    }
  }
  // Within its class the team gets its share: other teams are served before it only in proportion
  // to their weights.
  const double shared = ownCost * (weightSum - aRequest.m_weight) / aRequest.m_weight;
  return costAhead + ownCost + std::min(otherCost, shared);
}

} // namespace papayafield::admission
