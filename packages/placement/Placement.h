#pragma once

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayafield::placement {

/// Work at one endpoint that has not ended.
struct Load {
  /// Calls under way.
  double m_calls = 0;
  /// Prompt tokens of calls that have not answered yet.
  double m_waitingTokens = 0;
};

/// How an endpoint has answered lately.
struct Health {
  int m_consecutiveFailures = 0;
  /// Smoothed part of its calls that failed, 0 to 1.
  double m_failurePart = 0;
  /// No new work until then.
  base::TimePoint m_avoidUntil{};
};

/// What is asked for.
struct Need {
  fleet::ServiceId m_service;
  /// What makes calls alike, so that they find each other's prompts in an endpoint's memory; empty
  /// where there is nothing to share.
  std::string m_subject;
  /// Prompt tokens to read; 0 for plain services.
  double m_promptTokens = 0;
  base::ZoneId m_zone;
  /// Endpoints that this call has already been sent to.
  std::set<base::EndpointId> m_tried;
};

/// How load is weighed.
struct PlacementSettings {
  /// Prompt tokens that an engine reads in a millisecond (from the engines' data sheet).
  double m_prefillTokensPerMs = 56.9;
  /// Delay that one call under way adds for a new one, in milliseconds (data sheet: a step grows by
  /// 0.1 ms a request, and a prompt is read between some ten steps).
  double m_callMs = 2.0;
  /// Delay that one call under way adds at a plain service, in milliseconds: calls take some 60 ms
  /// and run six together.
  double m_plainCallMs = 10.0;
  /// Delay that is taken for the sake of the prompt's shared parts, in milliseconds: about what it
  /// takes to read them again.
  double m_affinityMs = 120.0;
};

/// Chooses endpoints. Answers the load of many subjects of uneven weight: calls about one subject
/// go to one endpoint while it is not much busier than the others, and all nodes agree on which
/// without exchange, by rendezvous hash. Not thread safe.
class Placement {
public:
  explicit Placement(PlacementSettings aSettings)
    : m_settings(aSettings) {}

  /// Index into `aEndpoints` of the best choice, or nothing when none may be used.
  std::optional<size_t> Choose(const Need& aNeed,
                               const std::vector<fleet::Endpoint>& aEndpoints,
                               base::TimePoint aNow) const;
  /// Expected delay before a new call's first byte at an endpoint, in milliseconds. What its
  /// failures count for is added.
  double DelayAt(const base::EndpointId& aEndpoint, bool aEngine) const;
  /// The same by its load alone.
  double LoadDelayAt(const base::EndpointId& aEndpoint, bool aEngine) const;

  /// A call was sent.
  void Begin(const base::EndpointId& aEndpoint, double aPromptTokens);
  /// The first byte of its answer came; its prompt has been read.
  void Answering(const base::EndpointId& aEndpoint, double aPromptTokens);
  /// The call is over. `aPromptTokens`: what Answering has not taken off yet.
  void End(const base::EndpointId& aEndpoint, double aPromptTokens);
  /// Notes how a call ended.
  void NoteOutcome(const base::EndpointId& aEndpoint, bool aGood, base::TimePoint aNow);
  /// Gives an endpoint no new work until `aUntil`.
  void Avoid(const base::EndpointId& aEndpoint, base::TimePoint aUntil);

  /// This node's own load, by endpoint.
  const std::map<base::EndpointId, Load>& Own() const { return m_own; }
  /// Another node's load; an empty map when it has gone.
  void HearPeer(const std::string& aPeer, std::map<base::EndpointId, Load> aLoad);
  /// Forgets endpoints that are not in `aKnown`.
  void Keep(const std::map<base::EndpointId, fleet::Endpoint>& aKnown);

private:
  bool Fits(const Need& aNeed, const fleet::Endpoint& aEndpoint) const;
  bool Avoided(const base::EndpointId& aEndpoint, base::TimePoint aNow) const;
  std::vector<size_t> Candidates(const Need& aNeed,
                                 const std::vector<fleet::Endpoint>& aEndpoints,
                                 base::TimePoint aNow) const;

  PlacementSettings m_settings;
  std::map<base::EndpointId, Load> m_own;
  std::map<std::string, std::map<base::EndpointId, Load>> m_peers;
  std::map<base::EndpointId, Load> m_peerSum;
  std::map<base::EndpointId, Health> m_health;
};

} // namespace papayafield::placement
