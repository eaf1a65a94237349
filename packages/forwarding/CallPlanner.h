#pragma once

#include "base/EnumNames.h"
#include "forwarding/NodeState.h"

#include <optional>
#include <set>
#include <string>

namespace papayafield::forwarding {

/// Minimum remaining time for which an attempt is worthwhile.
constexpr base::Millis kMinAttemptTime{ 20 };

/// What a decision on a call depends on, besides the state of the node. All references must outlive
/// the planner.
struct CallFacts {
  const fleet::Catalog& m_catalog;
  const fleet::Route& m_route;
  const CallInfo& m_call;
  fleet::ServiceId m_service;
  /// Priority of the call; 0 is the most urgent.
  int m_priority = 0;
  base::TimePoint m_arrival;
  base::TimePoint m_deadline;
  /// Endpoints that the call has been sent to.
  const std::set<base::EndpointId>& m_tried;
  /// Number of attempts of any outcome.
  int m_attempts = 0;
  /// Whether an endpoint may have run the call.
  bool m_mayHaveRun = false;
  /// The only version that may serve the call, if its stream has begun.
  std::optional<std::string> m_version;
};

/// What is to be done with a call.
enum class PlanKind {
  /// It is sent to an endpoint.
  Endpoint,
  /// Its time is over.
  TimedOut,
  /// Its prompt is quarantined.
  Quarantined,
  /// All endpoints of the service leave or have asked for a pause.
  Outage,
  /// Another call could exceed the rejections that the endpoints of the service tolerate.
  RejectionLimit,
  /// There is no endpoint.
  NoEndpoint,
  /// No endpoint of a mixed service can answer it in time.
  Late,
  /// The queue at the best endpoint exceeds its remaining time.
  Overloaded,
};

/// The answer to a call that is not sent.
struct PlannedRefusal {
  int m_status = 503;
  std::string m_reason;
  /// Mean Retry-After in seconds before it is spread and limited; 0 means none.
  double m_retryAfterSeconds = 0;
  /// Time before which the caller must not return.
  base::Millis m_minRetryAfter{ 0 };
};

/// A decision with its inputs.
struct CallPlan {
  PlanKind m_kind = PlanKind::NoEndpoint;
  /// Index into `EndpointDirectory::Ready`; set whenever an endpoint was chosen, also if the call
  /// is refused afterwards.
  std::optional<size_t> m_endpoint;
  /// Expected queueing delay in milliseconds at that endpoint.
  double m_expectedDelayMs = 0;
  /// Inputs of admission control; set for the first attempt of a call to a mixed service.
  std::optional<scheduling::Prospect> m_prospect;
  std::optional<fleet::ServiceOutage> m_outage;
  /// Set unless the call is sent or its time is over. For `Late`, the Retry-After is the time until
  /// there is room, from which `CallPlanner::RetryAfterSeconds` makes the final one.
  std::optional<PlannedRefusal> m_refusal;
};

/// Priority of an attempt at an engine.
struct PlannedPriority {
  /// 0 is served first.
  int m_level = 0;
  /// Time in milliseconds that the call may still wait; nullopt if calls are not ordered by slack.
  std::optional<double> m_slackMs;
};

/// Decides what happens to a call, without input or output and without changes to the node's state.
/// Belongs to the event loop's thread.
class CallPlanner {
public:
  /// `aNode` must outlive the object.
  CallPlanner(const NodeState& aNode, CallFacts aFacts)
    : m_node(aNode)
    , m_facts(std::move(aFacts)) {}

  /// Returns the service of a call by the weights of the route. `aDraw` is in [0, 1).
  static fleet::ServiceId SelectService(const fleet::Route& aRoute, double aDraw);
  /// Returns the priority of a call: the team's, if it has one, otherwise the route's.
  static int PriorityOf(const fleet::Team* aTeam, const fleet::Route& aRoute);
  /// Returns the deadline of a call that arrived at `aArrival`.
  static base::TimePoint DeadlineOf(const fleet::Route& aRoute,
                                    const CallInfo& aCall,
                                    base::TimePoint aArrival);

  /// Returns the refusal of a call of a team whose bucket is at `aLevel` and admits no call.
  static PlannedRefusal QuotaRefusal(const fleet::Quota& aQuota, double aLevel);

  /// Decides on the next attempt of a call whose time is not over and whose prompt is not
  /// quarantined.
  CallPlan Decide(base::TimePoint aNow) const;
  /// Returns the decision with the checks of time and quarantine that precede `Decide`. Starts no
  /// trial of a quarantined prompt.
  CallPlan Preview(base::TimePoint aNow) const;
  /// Returns the requirements that the endpoint is chosen by.
  placement::PlacementRequest MakePlacementRequest(base::TimePoint aNow) const;
  /// Returns what is expected for a call to a mixed service, endpoints that it was already sent to
  /// included.
  scheduling::Prospect MakeProspect(base::TimePoint aNow) const;
  /// Returns the Retry-After in seconds of a call to a mixed service. `aRandom` is in [0, 1).
  double RetryAfterSeconds(double aRoomInMs, base::TimePoint aNow, double aRandom) const;
  /// Returns the priority at the engine of an attempt with the expected queueing delay
  /// `aExpectedDelayMs`.
  PlannedPriority EnginePriority(double aExpectedDelayMs, base::TimePoint aNow) const;

  /// Returns the refusal of a call with a quarantined prompt.
  PlannedRefusal QuarantineRefusal(base::Millis aRemaining) const;
  /// Returns the time until the deadline; negative after it.
  base::Millis TimeLeft(base::TimePoint aNow) const;
  /// Returns the classes of calls that share the engines with this one; null if the calls of the
  /// service do not differ.
  const scheduling::CallClasses* MixedClasses() const;
  /// Returns the class of the call among those of its service.
  scheduling::CallClass CallClass() const;
  /// Returns the prompt tokens that no endpoint has cached.
  double OwnTokens() const;
  /// Returns the prompt tokens that an endpoint may have cached.
  double SharedTokens() const;
  /// Returns the prompt tokens that an endpoint is expected to process.
  double UncachedTokens() const;

  /// Returns whether the stream has begun at a version that no known endpoint has.
  bool IsVersionGone() const;

private:
  std::set<fleet::Incarnation> WithoutRoom(base::TimePoint aNow) const;
  CallPlan PlanWithoutEndpoint(base::TimePoint aNow) const;

  const NodeState& m_node;
  CallFacts m_facts;
};

} // namespace papayafield::forwarding

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<forwarding::PlanKind> =
  std::to_array<EnumName<forwarding::PlanKind>>({
    { forwarding::PlanKind::Endpoint, "endpoint" },
    { forwarding::PlanKind::TimedOut, "timed_out" },
    { forwarding::PlanKind::Quarantined, "quarantined" },
    { forwarding::PlanKind::Outage, "outage" },
    { forwarding::PlanKind::RejectionLimit, "rejection_limit" },
    { forwarding::PlanKind::NoEndpoint, "no_endpoint" },
    { forwarding::PlanKind::Late, "late" },
    { forwarding::PlanKind::Overloaded, "overloaded" },
  });

} // namespace papayafield::base
