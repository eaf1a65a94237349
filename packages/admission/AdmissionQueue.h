#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace papayafield::admission {

/// Limits and scheduling parameters of a queue.
struct AdmissionSettings {
  /// Maximum number of queued requests over all teams.
  size_t m_maxQueued = 2048;
  /// Number of priority classes; class 0 is served first.
  size_t m_classCount = 3;
  /// A request is moved up by one class each time it has waited this long.
  base::Millis m_ageingInterval{ 10000 };
  /// Tokens that a team of weight 1 gains in each round of deficit round robin.
  double m_quantum = 256;
};

/// One queued request.
struct WaitingRequest {
  base::RequestId m_request;
  base::TeamId m_team;
  /// The team's weight.
  double m_weight = 1;
  /// Priority class; class 0 is served first.
  size_t m_class = 1;
  /// Cost of serving it, in tokens.
  double m_cost = 1;
  /// Arrival time.
  base::TimePoint m_since;
  /// Time at which it is rejected if it is still queued.
  base::TimePoint m_deadline;
  /// Maximum number of queued requests of this team.
  size_t m_teamLimit = 256;
};

/// The reason why a request was rejected.
enum class RejectionReason { QueueFull, TeamQueueFull, WaitTooLong };

/// Describes the rejection of a request.
struct Rejection {
  RejectionReason m_reason;
  /// Time after which a retry may succeed.
  base::Millis m_retryAfter;
};

/// Queues the requests of one deployment that wait for room at one node. Classes have strict
/// priority with ageing; within a class, teams get shares of tokens by weight (deficit round
/// robin). Performs no I/O; the caller passes the current time. Not thread safe.
class AdmissionQueue {
public:
  /// Creates an empty queue.
  explicit AdmissionQueue(AdmissionSettings aSettings);

  /// Adds `aRequest` to the queue or returns why it was rejected. A request is rejected at once if,
  /// at the current throughput, it would wait beyond its deadline.
  tl::expected<void, Rejection> Enqueue(WaitingRequest aRequest, base::TimePoint aNow);
  /// Requeues an accepted request that lost its endpoint. It is placed at the front of its class
  /// and is never rejected.
  void Requeue(WaitingRequest aRequest);
  /// Removes and returns the request to serve next, or returns nullopt if the queue is empty.
  std::optional<WaitingRequest> Dequeue(base::TimePoint aNow);
  /// Removes one request. Returns false if it is not queued.
  bool Remove(const base::RequestId& aRequest);
  /// Removes and returns all requests whose deadline has passed, except requeued ones.
  std::vector<WaitingRequest> RemoveExpired(base::TimePoint aNow);

  /// Records that a request of `aCost` tokens was served; updates the measured throughput.
  void RecordServed(double aCost, base::TimePoint aNow);

  /// Returns the number of queued requests.
  size_t Size() const { return m_size; }

private:
  struct TeamQueue {
    double m_weight = 1;
    double m_deficit = 0;
    std::deque<WaitingRequest> m_requests;
  };
  struct PriorityClass {
    std::map<base::TeamId, TeamQueue> m_teams;
    /// Requeued requests; they are served before all others, oldest first.
    std::deque<WaitingRequest> m_requeued;
    /// The team whose turn it is in deficit round robin.
    std::optional<base::TeamId> m_turn;
  };

  std::optional<WaitingRequest> DequeueFrom(PriorityClass& aPriorityClass);
  void PromoteAged(base::TimePoint aNow);
  size_t TeamRequestCount(const base::TeamId& aTeam) const;
  double CostAhead(const WaitingRequest& aRequest) const;

  AdmissionSettings m_settings;
  std::vector<PriorityClass> m_classes;
  size_t m_size = 0;
  /// Smoothed throughput in tokens per second; 0 if not measured yet.
  double m_throughput = 0;
  double m_servedInWindow = 0;
  base::TimePoint m_windowStart{};
};

} // namespace papayafield::admission

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<admission::RejectionReason> =
  std::to_array<EnumName<admission::RejectionReason>>({
    { admission::RejectionReason::QueueFull, "the queue is full" },
    { admission::RejectionReason::TeamQueueFull, "the team has too many requests waiting" },
    { admission::RejectionReason::WaitTooLong, "it would wait beyond its time limit" },
  });

} // namespace papayafield::base
