#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// The operators' configuration as the product sees it: routes, services, teams and limits.

namespace papayafield::fleet {

/// Names a service of endpoints.
using ServiceId = base::TextId<struct ServiceTag>;
/// Names one life of an endpoint: its identifier and the moment of its start.
struct Incarnation {
  base::EndpointId m_endpoint;
  /// Unix milliseconds of its start; 0 when it does not say.
  int64_t m_born = 0;

  /// Ordered by endpoint, then start.
  auto operator<=>(const Incarnation&) const = default;
};

/// What may be repeated.
enum class CallKind {
  /// May run more than once.
  Idempotent,
  /// May run at most once.
  Unsafe,
  /// Answers with server-sent events; runs at most once unless the route is resumable.
  Stream,
};

/// One service that a route may go to.
struct Backend {
  ServiceId m_service;
  /// Its part of the traffic, against the sum over the route.
  double m_weight = 1;
};

/// Where calls of one host and path prefix go.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_prefix;
  CallKind m_kind = CallKind::Unsafe;
  /// Longest time that a call may be kept waiting for its final answer.
  base::Millis m_timeout{ 0 };
  /// Time to the (first byte of the) answer that operators aim for.
  base::Millis m_goal{ 0 };
  /// Longest pause between two events that operators aim for; 0 when it does not stream.
  base::Millis m_gapGoal{ 0 };
  /// 0 is the most urgent.
  int m_priority = 0;
  std::vector<Backend> m_backends;
  /// Endpoints that one call may be sent to.
  int m_maxAttempts = 1;
  /// Whether calls need no key.
  bool m_public = false;
  /// Whether a stream may go on at another endpoint after its last event.
  bool m_resumable = false;

  /// Whether a call that may have run may be sent again.
  bool Repeatable() const {
    return m_kind == CallKind::Idempotent || (m_kind == CallKind::Stream && m_resumable);
  }
};

/// How the endpoints of a service batch and remember prompts.
struct EngineShape {
  /// Requests that one endpoint runs together.
  int m_slots = 0;
  /// Tokens that one endpoint's memory holds.
  int64_t m_memoryTokens = 0;
  /// Output tokens that one event of a stream holds.
  int m_tokensPerEvent = 1;
};

/// Between which bounds a service may be scaled, and what it costs. Bounds hold for each zone.
struct ScalingBounds {
  int m_least = 0;
  int m_most = 0;
  /// Time from an order to the first answer.
  base::Millis m_boot{ 0 };
  /// Price of a reclaimable endpoint as a part of the full price.
  double m_reclaimablePrice = 1;
  std::map<base::ZoneId, double> m_zonePrices;
};

/// A group of endpoints that answer alike.
struct Service {
  ServiceId m_id;
  /// Connections that one endpoint accepts from all nodes together.
  int m_maxConnections = 0;
  /// Set for model engines.
  std::optional<EngineShape> m_engine;
  std::optional<ScalingBounds> m_scaling;
};

/// How much a team may ask for, over all nodes.
struct Quota {
  /// Units a second; 0 stands for no bound.
  double m_ratePerSecond = 0;
  /// Units that may be used at once after a pause.
  double m_burst = 0;
  /// Whether a unit is a token; otherwise it is a request.
  bool m_countsTokens = false;
  /// Tokens that a request without a stated size counts for.
  double m_defaultTokens = 0;

  /// Compares all members.
  bool operator==(const Quota&) const = default;
};

/// A customer.
struct Team {
  base::TeamId m_id;
  std::vector<std::string> m_keys;
  /// Goes before the route's priority.
  std::optional<int> m_priority;
  Quota m_quota;
};

/// Bounds on what callers may send.
struct CallerLimits {
  size_t m_headBytes = 16384;
  size_t m_bodyBytes = 4194304;
  base::Millis m_headTimeout{ 3000 };
  base::Millis m_idleTimeout{ 15000 };
};

/// One version of the configuration; never changed once made. Thread safe.
class Catalog {
public:
  /// What a catalogue is made from.
  struct Parts {
    int64_t m_version = 0;
    std::vector<Route> m_routes;
    std::vector<Service> m_services;
    std::vector<Team> m_teams;
    CallerLimits m_limits;
  };

  /// A catalogue of `aParts`.
  explicit Catalog(Parts aParts);

  /// Greater for later configurations.
  int64_t Version() const { return m_parts.m_version; }
  /// The route of the longest prefix of `aHost` that begins `aPath`; null when there is none.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  /// The team that holds `aKey`; null when no team does.
  const Team* FindTeam(const std::string& aKey) const;
  /// The service; null when there is none.
  const Service* FindService(const ServiceId& aService) const;
  /// Whether calls need a key unless their route is public.
  bool NeedsKeys() const { return !m_parts.m_teams.empty(); }
  const std::vector<Team>& Teams() const { return m_parts.m_teams; }
  const std::vector<Route>& Routes() const { return m_parts.m_routes; }
  const std::vector<Service>& Services() const { return m_parts.m_services; }
  const CallerLimits& Limits() const { return m_parts.m_limits; }

private:
  Parts m_parts;
  std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost;
  std::unordered_map<std::string, const Team*> m_teamsByKey;
};

/// Shared by all that use one version.
using CatalogPtr = std::shared_ptr<const Catalog>;

} // namespace papayafield::fleet

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<fleet::CallKind> = std::to_array<EnumName<fleet::CallKind>>({
  { fleet::CallKind::Idempotent, "idempotent" },
  { fleet::CallKind::Unsafe, "unsafe" },
  { fleet::CallKind::Stream, "stream" },
});

} // namespace papayafield::base
