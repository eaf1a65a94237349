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

/// How a queue orders and bounds what waits.
struct AdmissionSettings {
  /// Most requests waiting in all.
  size_t m_maxQueued = 2048;
  /// Priority classes, 0 being the first to go.
  size_t m_classes = 3;
  /// A request that has waited this long counts as one class higher.
  base::Millis m_ageing{ 10000 };
  /// Tokens that a team of weight 1 gains in each round.
  double m_quantum = 256;
};

/// One waiting request.
struct Waiting {
  base::RequestId m_request;
  base::TeamId m_team;
  /// The team's weight.
  double m_weight = 1;
  /// Priority class, 0 being the first to go.
  size_t m_class = 1;
  /// What serving it costs, in tokens.
  double m_cost = 1;
  /// When it came.
  base::TimePoint m_since;
  /// When it is refused if it still waits.
  base::TimePoint m_deadline;
  /// Most requests of this team that may wait here.
  size_t m_teamLimit = 256;
};

/// Why a request was not taken in.
enum class Refusal { QueueFull, TeamQueueFull, TooSlow };

/// What is told with a refusal.
struct Refused {
  Refusal m_why;
  /// When asking again may help.
  base::Millis m_retryAfter;
};

/// The requests of one deployment that wait for room at one node: strict priority with ageing, and
/// within a class fair shares of tokens by team weight (deficit round robin). Pure; not thread
/// safe.
class AdmissionQueue {
public:
  /// An empty queue.
  explicit AdmissionQueue(AdmissionSettings aSettings);

  /// Takes `aWaiting` in, or says why not. It is refused early when the present pace shows that it
  /// would wait beyond its deadline.
  tl::expected<void, Refused> Offer(Waiting aWaiting, base::TimePoint aNow);
  /// Takes an accepted request back in that lost its endpoint: at the front of its class, never
  /// refused.
  void Return(Waiting aWaiting);
  /// The request to serve next, taken out; nothing when none waits.
  std::optional<Waiting> Next(base::TimePoint aNow);
  /// Takes out one request; false when it is not waiting.
  bool Remove(const base::RequestId& aRequest);
  /// Takes out all whose deadline has passed.
  std::vector<Waiting> Expire(base::TimePoint aNow);

  /// A served request of `aCost` tokens has ended; tells the pace.
  void NoteServed(double aCost, base::TimePoint aNow);

  /// Requests waiting.
  size_t Size() const { return m_size; }

private:
  struct TeamQueue {
    double m_weight = 1;
    double m_deficit = 0;
    std::deque<Waiting> m_waiting;
  };
  struct Class {
    std::map<base::TeamId, TeamQueue> m_teams;
    /// Accepted requests that came back; they go first, oldest first.
    std::deque<Waiting> m_returned;
    /// Whose turn it is.
    std::optional<base::TeamId> m_turn;
  };

  std::optional<Waiting> TakeFrom(Class& aClass);
  void Age(base::TimePoint aNow);
  size_t TeamSize(const base::TeamId& aTeam) const;
  double CostAhead(const Waiting& aWaiting) const;

  AdmissionSettings m_settings;
  std::vector<Class> m_classes;
  size_t m_size = 0;
  /// Tokens served a second, smoothed; 0 while unknown.
  double m_pace = 0;
  double m_servedInWindow = 0;
  base::TimePoint m_windowStart{};
};

} // namespace papayafield::admission

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<admission::Refusal> = std::to_array<EnumName<admission::Refusal>>({
  { admission::Refusal::QueueFull, "the queue is full" },
  { admission::Refusal::TeamQueueFull, "the team has too many requests waiting" },
  { admission::Refusal::TooSlow, "it would wait beyond its time limit" },
});

} // namespace papayafield::base
