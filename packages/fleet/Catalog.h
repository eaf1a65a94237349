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
/// The configuration that operators apply: routes, services, teams and limits.

namespace papayafield::fleet {

/// Identifies a service, that is, a group of endpoints.
using ServiceId = base::TextId<struct ServiceTag>;
/// Identifies one incarnation of an endpoint by its identifier and start time.
struct Incarnation {
  base::EndpointId m_endpoint;
  /// Start time in Unix milliseconds; 0 if the endpoint does not report it.
  int64_t m_startMs = 0;

  /// Orders by endpoint, then by start time.
  auto operator<=>(const Incarnation&) const = default;
};

/// Execution semantics of the calls of a route.
enum class CallKind {
  /// May run more than once.
  Idempotent,
  /// May run at most once.
  Unsafe,
  /// Responds with server-sent events; runs at most once unless the route is resumable.
  Stream,
};

/// A service to which a route may forward calls.
struct Backend {
  ServiceId m_service;
  /// Share of the traffic, relative to the sum of the weights of the route.
  double m_weight = 1;
};

/// Routing rule for calls with one host name and path prefix.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Path prefix; begins and ends with a slash.
  std::string m_prefix;
  CallKind m_kind = CallKind::Unsafe;
  /// Maximum time until the final response of a call.
  base::Millis m_timeout{ 0 };
  /// Target time to the response, or to its first byte.
  base::Millis m_latencyTarget{ 0 };
  /// Target maximum gap between two events of a stream; 0 if the route does not stream.
  base::Millis m_gapTarget{ 0 };
  /// Priority of the calls; 0 is the most urgent.
  int m_priority = 0;
  std::vector<Backend> m_backends;
  /// Maximum number of endpoints to which one call is sent.
  int m_maxAttempts = 1;
  /// Whether calls need no API key.
  bool m_public = false;
  /// Whether a stream may resume on another endpoint after the last event it delivered.
  bool m_resumable = false;

  /// Returns whether a call that may already have run may be sent again.
  bool Repeatable() const {
    return m_kind == CallKind::Idempotent || (m_kind == CallKind::Stream && m_resumable);
  }
};

/// Batch size and prompt cache of the endpoints of a model service.
struct EngineCapacity {
  /// Requests that one endpoint runs concurrently.
  int m_slots = 0;
  /// Capacity of one endpoint's KV cache in tokens.
  int64_t m_kvCacheTokens = 0;
  /// Output tokens per event of a stream.
  int m_tokensPerEvent = 1;
};

/// Autoscaling bounds and prices of a service. The bounds apply to each availability zone.
struct ScalingBounds {
  int m_minEndpoints = 0;
  int m_maxEndpoints = 0;
  /// Time from ordering an endpoint to its first response.
  base::Millis m_boot{ 0 };
  /// Price of a reclaimable endpoint as a fraction of the full price.
  double m_reclaimablePrice = 1;
  std::map<base::ZoneId, double> m_zonePrices;
};

/// A group of interchangeable endpoints.
struct Service {
  ServiceId m_id;
  /// Maximum connections to one endpoint, summed over all nodes.
  int m_maxConnections = 0;
  /// Set only for model engines.
  std::optional<EngineCapacity> m_engine;
  std::optional<ScalingBounds> m_scaling;
};

/// Rate limit of a team, summed over all nodes.
struct Quota {
  /// Units per second; 0 means no limit.
  double m_ratePerSecond = 0;
  /// Burst size: units that may be used at once after an idle period.
  double m_burst = 0;
  /// Whether the unit is a token; otherwise it is a request.
  bool m_countsTokens = false;
  /// Tokens charged for a request that does not state its size.
  double m_defaultTokens = 0;

  bool operator==(const Quota&) const = default;
};

/// A team of clients with its own keys, priority and quota.
struct Team {
  base::TeamId m_id;
  std::vector<std::string> m_keys;
  /// Overrides the priority of the route.
  std::optional<int> m_priority;
  Quota m_quota;
};

/// Limits on requests from clients.
struct CallerLimits {
  size_t m_headBytes = 16384;
  size_t m_bodyBytes = 4194304;
  base::Millis m_headTimeout{ 3000 };
  base::Millis m_idleTimeout{ 15000 };
};

/// One version of the configuration. Immutable and thread safe.
class Catalog {
public:
  /// Contents of a catalog.
  struct Contents {
    int64_t m_version = 0;
    std::vector<Route> m_routes;
    std::vector<Service> m_services;
    /// Whether calls to routes that are not public need a key. If no team has one, all of these
    /// calls are rejected.
    bool m_needsKeys = true;
    std::vector<Team> m_teams;
    CallerLimits m_limits;
  };

  /// Builds a catalog with the contents `aContents`.
  explicit Catalog(Contents aContents);

  /// Returns the version, which is greater for later configurations.
  int64_t Version() const { return m_contents.m_version; }
  /// Returns the route of `aHost` with the longest prefix of `aPath`, or null if there is none.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  /// Returns the team that owns `aKey`, or null if no team does.
  const Team* FindTeam(const std::string& aKey) const;
  /// Returns the service, or null if there is none.
  const Service* FindService(const ServiceId& aService) const;
  /// Returns whether calls to routes that are not public need an API key.
  bool NeedsKeys() const { return m_contents.m_needsKeys; }
  const std::vector<Team>& Teams() const { return m_contents.m_teams; }
  const std::vector<Route>& Routes() const { return m_contents.m_routes; }
  const std::vector<Service>& Services() const { return m_contents.m_services; }
  const CallerLimits& Limits() const { return m_contents.m_limits; }

private:
  Contents m_contents;
  std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost;
  std::unordered_map<std::string, const Team*> m_teamsByKey;
};

/// Shared ownership of one version of the configuration.
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
