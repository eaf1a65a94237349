#include "admission/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace papayafield::admission {

namespace {

/// Minimum duration of one throughput measurement.
constexpr base::Millis kPaceWindow{ 1000 };
/// Weight of the newest measurement in the smoothed throughput.
constexpr double kPaceWeight = 0.3;
/// Minimum retry delay; also the one sent when the wait is not estimated.
constexpr base::Millis kDefaultRetryAfter{ 1000 };

double Seconds(base::TimePoint::duration aSpan) {
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionSettings aSettings)
  : m_settings(aSettings)
  , m_classes(aSettings.m_classCount) {
  assert(aSettings.m_classCount > 0);
}

tl::expected<void, Rejection> AdmissionQueue::Enqueue(WaitingRequest aWaiting, base::TimePoint aNow) {
  assert(aWaiting.m_class < m_classes.size());
  if (m_size >= m_settings.m_maxQueued) {
    return tl::unexpected(Rejection{ RejectionReason::QueueFull, kDefaultRetryAfter });
  }
  if (TeamSize(aWaiting.m_team) >= aWaiting.m_teamLimit) {
    return tl::unexpected(Rejection{ RejectionReason::TeamQueueFull, kDefaultRetryAfter });
  }
  // Reject at once a request that would expire in the queue.
  if (m_pace > 0) {
    const double wait = CostAhead(aWaiting) / m_pace;
    if (wait > Seconds(aWaiting.m_deadline - aNow)) {
      const base::Millis excess(std::llround((wait - Seconds(aWaiting.m_deadline - aNow)) * 1000));
      return tl::unexpected(Rejection{ RejectionReason::WaitTooLong, std::max(excess, kDefaultRetryAfter) });
    }
  }
  TeamQueue& team = m_classes[aWaiting.m_class].m_teams[aWaiting.m_team];
  team.m_weight = aWaiting.m_weight;
  team.m_waiting.push_back(std::move(aWaiting));
  ++m_size;
  return {};
}

void AdmissionQueue::Requeue(WaitingRequest aWaiting) {
  Class& group = m_classes[aWaiting.m_class];
  const auto place = std::upper_bound(
    group.m_returned.begin(),
    group.m_returned.end(),
    aWaiting,
    [](const WaitingRequest& aLeft, const WaitingRequest& aRight) { return aLeft.m_since < aRight.m_since; });
  group.m_returned.insert(place, std::move(aWaiting));
  ++m_size;
}

std::optional<WaitingRequest> AdmissionQueue::Dequeue(base::TimePoint aNow) {
  Age(aNow);
  for (Class& group : m_classes) {
    if (auto taken = TakeFrom(group)) {
      --m_size;
      return taken;
    }
  }
  return std::nullopt;
}

std::optional<WaitingRequest> AdmissionQueue::TakeFrom(Class& aClass) {
  if (!aClass.m_returned.empty()) {
    WaitingRequest taken = std::move(aClass.m_returned.front());
    aClass.m_returned.pop_front();
    return taken;
  }
  // Teams without queued requests lose their turn and their deficit.
  std::erase_if(aClass.m_teams, [](const auto& aTeam) { return aTeam.second.m_waiting.empty(); });
  if (aClass.m_teams.empty()) {
    return std::nullopt;
  }
  // Deficit round robin: a team's turn lasts while its deficit covers the cost of its first
  // request.
  auto turn = aClass.m_turn ? aClass.m_teams.find(*aClass.m_turn) : aClass.m_teams.end();
  while (true) {
    if (turn == aClass.m_teams.end()) {
      turn = aClass.m_teams.begin();
    }
    TeamQueue& team = turn->second;
    if (aClass.m_turn != turn->first) {
      team.m_deficit += m_settings.m_quantum * team.m_weight;
      aClass.m_turn = turn->first;
    }
    if (team.m_deficit >= team.m_waiting.front().m_cost) {
      WaitingRequest taken = std::move(team.m_waiting.front());
      team.m_waiting.pop_front();
      team.m_deficit -= taken.m_cost;
      return taken;
    }
    ++turn;
    if (turn == aClass.m_teams.end() && aClass.m_teams.size() == 1) {
      // A single team would reach the cost after some rounds anyway: skip these rounds.
      team.m_deficit = team.m_waiting.front().m_cost;
    }
  }
}

void AdmissionQueue::Age(base::TimePoint aNow) {
  // A request moves up one class at a time; the oldest request of a team is at its front.
  for (size_t index = 1; index < m_classes.size(); ++index) {
    for (auto& [name, team] : m_classes[index].m_teams) {
      while (!team.m_waiting.empty() &&
             aNow - team.m_waiting.front().m_since >=
               m_settings.m_ageing * static_cast<int>(team.m_waiting.front().m_class - index + 1)) {
        TeamQueue& upper = m_classes[index - 1].m_teams[name];
        upper.m_weight = team.m_weight;
        upper.m_waiting.push_back(std::move(team.m_waiting.front()));
        team.m_waiting.pop_front();
      }
    }
  }
}

bool AdmissionQueue::Remove(const base::RequestId& aRequest) {
  const auto matches = [&](const WaitingRequest& aWaiting) { return aWaiting.m_request == aRequest; };
  size_t removed = 0;
  for (Class& group : m_classes) {
    removed += std::erase_if(group.m_returned, matches);
    for (auto& [name, team] : group.m_teams) {
      removed += std::erase_if(team.m_waiting, matches);
    }
  }
  m_size -= removed;
  return removed > 0;
}

std::vector<WaitingRequest> AdmissionQueue::RemoveExpired(base::TimePoint aNow) {
  std::vector<WaitingRequest> expired;
  for (Class& group : m_classes) {
    // Requeued requests have been accepted before and do not expire.
    for (auto& [name, team] : group.m_teams) {
      std::erase_if(team.m_waiting, [&](const WaitingRequest& aWaiting) {
        if (aWaiting.m_deadline > aNow) {
          return false;
        }
        expired.push_back(aWaiting);
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
  const auto span = aNow - m_windowStart;
  if (span < kPaceWindow) {
    return;
  }
  const double pace = m_servedInWindow / Seconds(span);
  m_pace = m_pace == 0 ? pace : m_pace + kPaceWeight * (pace - m_pace);
  m_servedInWindow = 0;
  m_windowStart = aNow;
}

size_t AdmissionQueue::TeamSize(const base::TeamId& aTeam) const {
  size_t size = 0;
  for (const Class& group : m_classes) {
    const auto team = group.m_teams.find(aTeam);
    size += team == group.m_teams.end() ? 0 : team->second.m_waiting.size();
  }
  return size;
}

double AdmissionQueue::CostAhead(const WaitingRequest& aWaiting) const {
  double ahead = 0;
  double weights = aWaiting.m_weight;
  double others = 0;
  double own = 0;
  for (size_t index = 0; index <= aWaiting.m_class; ++index) {
    const Class& group = m_classes[index];
    for (const WaitingRequest& returned : group.m_returned) {
      ahead += returned.m_cost;
    }
    for (const auto& [name, team] : group.m_teams) {
      double cost = 0;
      for (const WaitingRequest& waiting : team.m_waiting) {
        cost += waiting.m_cost;
      }
      if (index < aWaiting.m_class) {
        ahead += cost;
      } else if (name == aWaiting.m_team) {
        own = cost;
      } else {
        others += cost;
        weights += team.m_weight;
      }
    }
  }
  // Within its class the team gets its share: other teams are served before it only in proportion
  // to their weights.
  const double shared = own * (weights - aWaiting.m_weight) / aWaiting.m_weight;
  return ahead + own + std::min(others, shared);
}

} // namespace papayafield::admission
