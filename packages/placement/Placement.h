#pragma once

#include "base/Digest.h"
#include "base/Time.h"
#include "engines/EngineModel.h"
#include "fleet/EndpointDirectory.h"
#include "placement/FailureReports.h"
#include "scheduling/PromptMix.h"
#include "scheduling/PromptSplit.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayafield::placement {

/// Work in progress at one endpoint.
struct Load {
  /// Number of open calls.
  double m_calls = 0;
  /// Prompt tokens of calls whose answer has not started yet.
  double m_pendingPromptTokens = 0;
  /// Sum of the urgencies of the open calls (`scheduling::CallClasses::Urgency`), and of the
  /// pending tokens weighted by them. 0 where the service is not mixed.
  double m_urgency = 0;
  double m_urgentPromptTokens = 0;

  /// Adds the work of `aOther`.
  Load& operator+=(const Load& aOther);
};

/// Recent outcomes of calls to one endpoint.
struct Health {
  int m_consecutiveFailures = 0;
  /// Exponentially smoothed failure rate of its calls, 0 to 1.
  double m_failureRate = 0;
  /// The endpoint gets no new calls before this time.
  base::TimePoint m_avoidUntil{};
};

/// The requirements that an endpoint is chosen by.
struct PlacementRequest {
  fleet::ServiceId m_service;
  /// Affinity key: calls with the same key share prompt parts, which an endpoint may have cached.
  /// Empty if nothing is shared.
  std::string m_subject;
  /// Number of prompt tokens to prefill; 0 for plain services.
  double m_promptTokens = 0;
  /// Tokens of the prompt parts that the subject stands for. If it is not known, up to the maximum
  /// affinity delay is accepted.
  std::optional<double> m_sharedTokens;
  /// Preferred availability zone.
  base::ZoneId m_zone;
  /// Endpoints that this call has already been sent to.
  std::set<base::EndpointId> m_tried;
  /// Incarnations that must not get the call, even if there is no other one.
  std::set<fleet::Incarnation> m_unavailable;
  /// Set if calls with different targets or priorities share the engines of the service.
  std::optional<scheduling::CallNeeds> m_mix;
  /// Engines that the call prefers; nullopt if it has no preference.
  std::optional<scheduling::EnginePreference> m_preference;
};

/// Load of all endpoints that a call may be sent to.
struct Outlook {
  /// Shortest expected delay in milliseconds, without the prefill of the call's own prompt.
  double m_shortestDelayMs = 0;
  size_t m_endpoints = 0;
  double m_calls = 0;
  /// Calls above the number of slots of their endpoint.
  double m_waitingCalls = 0;
  double m_slots = 0;
};

/// What the choice among the endpoints of a service is made by, for one of them.
struct CandidateState {
  fleet::Endpoint m_endpoint;
  /// Expected time to the first byte with the penalties, in milliseconds.
  double m_expectedMs = 0;
  Load m_load;
  double m_failureRate = 0;
  /// Whether it gets calls only if all others are avoided too, because of its recent failures.
  bool m_isAvoided = false;
  /// Whether it must not get the call.
  bool m_isExcluded = false;
  /// Position by rendezvous rank, from 1; 0 if the call has no shared prompt parts.
  size_t m_cacheRank = 0;
};

struct PlacementSettings {
  /// Upper bound in milliseconds of the extra delay that is accepted to reuse the cached parts of a
  /// prompt. Below it, the delay is the time to read them again. Longer waits at one endpoint are
  /// hard to predict, since the loads that peers report are up to a second old.
  double m_maxAffinityDelayMs = 120.0;
  /// Whether the choice weighs what long prompts cost more urgent calls, and keeps short prompts
  /// from waiting for a few cached tokens. Off, because days of whole fleets were served worse with
  /// it: more prompts were read again (docs/POLICY.md).
  bool m_weighsPromptMix = false;
  /// Up to this number of nodes that serve callers, all calls go to the endpoint of shortest
  /// expected delay. With more nodes, calls that share no prompt parts are spread by draws: nodes
  /// that know each other's loads a heartbeat late would all choose the same endpoint
  /// (docs/design/herding.md).
  size_t m_maxNodesWithoutDraw = 16;
};

/// Chooses an endpoint for each call by the expected time to its first byte, so that endpoints get
/// work in proportion to their speed. Calls with the same subject go to the same
/// endpoint as long as it is not much busier than the others; all nodes choose the same one by
/// rendezvous hashing, without communication. The load per subject may be uneven. In large fleets,
/// a call without a subject goes to the better one of two endpoints that are drawn for it. Not
/// thread safe.
class Placement {
public:
  /// `aModel` tells the speed of the endpoints; without one, the priors of the model are used.
  /// `aFailures` tells which ones fail; without them, the outcomes of this node alone count. Both
  /// must outlive the object. `aSeed` is the seed of the draws.
  explicit Placement(PlacementSettings aSettings,
                     const engines::EngineModel* aModel = nullptr,
                     const FailureReports* aFailures = nullptr,
                     uint64_t aSeed = base::RandomSeed());

  /// Sets the number of nodes that serve callers, including this one. 1 until it is called.
  void SetNodeCount(size_t aCount) { m_nodeCount = aCount; }

  /// Returns the index into `aEndpoints` of the best choice, or nullopt if none may be used. The
  /// result stays the same until a call, an outcome or a load of peers is recorded.
  std::optional<size_t> Choose(const PlacementRequest& aRequest,
                               const std::vector<fleet::Endpoint>& aEndpoints,
                               base::TimePoint aNow) const;
  /// Returns the expected delay in milliseconds before the first byte of a new call's answer,
  /// including a penalty for recent failures of the endpoint.
  double ExpectedDelayMs(const fleet::Endpoint& aEndpoint, bool aIsEngine) const;
  /// Returns the load of the endpoints that a call to a mixed service may be sent to. Penalties for
  /// failures and the cost to other calls do not count. Requires `aRequest.m_mix`.
  Outlook OutlookFor(const PlacementRequest& aRequest,
                     const std::vector<fleet::Endpoint>& aEndpoints,
                     base::TimePoint aNow) const;
  /// Returns the state of each endpoint of the service, in the order of `aEndpoints`.
  std::vector<CandidateState> Describe(const PlacementRequest& aRequest,
                                       const std::vector<fleet::Endpoint>& aEndpoints,
                                       base::TimePoint aNow) const;
  /// Returns the expected delay in milliseconds without the penalty for failures.
  double ExpectedLoadDelayMs(const fleet::Endpoint& aEndpoint, bool aIsEngine) const;

  /// Records that a call was sent.
  /// \param aUrgency urgency of the call, the same until it ends; 0 where the service is not mixed.
  void RecordCallStarted(const base::EndpointId& aEndpoint,
                         double aPromptTokens,
                         double aUrgency = 0);
  /// Records that the first byte of a call's answer arrived, so its prompt has been prefilled.
  void RecordAnswerStarted(const base::EndpointId& aEndpoint,
                           double aPromptTokens,
                           double aUrgency = 0);
  /// Records that a call has ended.
  /// \param aPromptTokens the call's prompt tokens that `RecordAnswerStarted` has not subtracted
  /// yet.
  void RecordCallEnded(const base::EndpointId& aEndpoint,
                       double aPromptTokens,
                       double aUrgency = 0);
  /// Updates the endpoint's health with the outcome of a call.
  void RecordOutcome(const base::EndpointId& aEndpoint, bool aSucceeded, base::TimePoint aNow);
  /// Stops sending new calls to an endpoint until `aUntil`.
  void Avoid(const base::EndpointId& aEndpoint, base::TimePoint aUntil);
  /// Forgets all outcomes, and which endpoints get no new calls because of them.
  void ForgetOutcomes() { m_health.clear(); }

  /// Returns the load of an endpoint, over all nodes.
  Load TotalLoad(const base::EndpointId& aEndpoint) const;
  /// Returns the load caused by this node, by endpoint.
  const std::map<base::EndpointId, Load>& LocalLoad() const { return m_localLoad; }
  /// Replaces the load reported by the peer `aPeer`; an empty map removes the peer.
  void SetPeerLoad(const std::string& aPeer, std::map<base::EndpointId, Load> aLoad);
  /// Removes the state of endpoints that are not in `aKnown`. The load of an endpoint is kept while
  /// calls to it are open.
  void RetainEndpoints(const std::map<base::EndpointId, fleet::Endpoint>& aKnown);

private:
  /// Returns what `MixedDelayMs` adds for a call to `aEndpoint`, whose registered number of slots
  /// replaces that of the service.
  double MixedDelayAt(scheduling::CallNeeds aNeeds, const fleet::Endpoint& aEndpoint) const;
  bool Matches(const PlacementRequest& aRequest, const fleet::Endpoint& aEndpoint) const;
  bool IsAvoided(const base::EndpointId& aEndpoint, base::TimePoint aNow) const;
  std::vector<size_t> WithoutFailing(std::vector<size_t> aAvailable,
                                     const std::vector<fleet::Endpoint>& aEndpoints,
                                     base::TimePoint aNow) const;
  std::vector<size_t> Candidates(const PlacementRequest& aRequest,
                                 const std::vector<fleet::Endpoint>& aEndpoints,
                                 base::TimePoint aNow) const;

  const engines::EngineModel& Model() const { return m_model != nullptr ? *m_model : m_priors; }
  /// Draws two of `aCandidates`, fast ones more often, and returns the index of the one of shorter
  /// expected delay. `aDelays` are the expected delays with all penalties, in the order of
  /// `aCandidates`, which is not empty.
  size_t DrawCandidate(const PlacementRequest& aRequest,
                       const std::vector<fleet::Endpoint>& aEndpoints,
                       const std::vector<size_t>& aCandidates,
                       const std::vector<double>& aDelays) const;
  double FailurePenaltyMs(const base::EndpointId& aEndpoint) const;
  double PreferencePenaltyMs(const PlacementRequest& aRequest,
                             const fleet::Endpoint& aEndpoint) const;
  double ExpectedStartMs(const PlacementRequest& aRequest, const fleet::Endpoint& aEndpoint) const;
  double ChoiceDelayMs(const PlacementRequest& aRequest, const fleet::Endpoint& aEndpoint) const;
  double AffinityDelayMs(const PlacementRequest& aRequest,
                         const fleet::Endpoint& aAlternative) const;

  PlacementSettings m_settings;
  scheduling::PromptMixSettings m_mixSettings;
  const engines::EngineModel* m_model = nullptr;
  const FailureReports* m_failures = nullptr;
  engines::EngineModel m_priors{ engines::EngineModelSettings{} };
  size_t m_nodeCount = 1;
  std::mt19937_64 m_random;
  /// Random numbers in [0, 1) for the next call, replaced when a call is sent. Choose thus changes
  /// nothing, and a caller may ask for the choice before the call is sent.
  std::array<double, 2> m_draws;
  std::map<base::EndpointId, Load> m_localLoad;
  std::map<std::string, std::map<base::EndpointId, Load>> m_peerLoads;
  std::map<base::EndpointId, Load> m_totalPeerLoad;
  std::map<base::EndpointId, Health> m_health;
};

} // namespace papayafield::placement
