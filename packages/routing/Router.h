#pragma once

#include "routing/CacheView.h"
#include "routing/Endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace papayafield::routing {

/// Settings of the router.
struct RouterSettings {
  /// Assumed capacity of an engine's prefix cache, in blocks.
  size_t m_cacheBlocks = 16384;
  /// Maximum number of endpoints of one deployment that this node uses. m_node determines which.
  size_t m_maxEndpointsPerDeployment = 32;
  /// Name of this node; rendezvous hashing with it spreads the endpoints over the nodes.
  std::string m_node;
};

/// The requirements that an endpoint is chosen by.
struct RouteQuery {
  /// The deployment or service to run.
  base::DeploymentId m_deployment;
  /// Hashes of the prompt's blocks; empty for services.
  std::vector<uint64_t> m_blocks;
  /// Number of prompt tokens; 0 for services.
  uint64_t m_promptTokens = 0;
  /// The team's target for the time to the first token.
  base::Millis m_firstTokenTarget{ 1800 };
  /// Endpoints that must not be chosen, since they were tried already.
  std::set<base::EndpointId> m_exclude;
  /// Zone to avoid if an endpoint in another zone is available; empty for none.
  base::ZoneId m_avoidZone;
};

/// The chosen endpoint and the estimates that it was chosen by.
struct RouteChoice {
  base::EndpointId m_endpoint;
  base::Address m_address;
  /// Estimated time to the first token.
  base::Millis m_firstTokenEstimate{ 0 };
  /// Estimated number of prompt tokens that are not cached and need prefilling.
  uint64_t m_uncachedTokens = 0;
};

/// Chooses an endpoint for each request by zone, estimated time to the first token, price,
/// prefix cache and load. Performs no I/O; the caller passes the current time. Not thread safe.
class Router {
public:
  /// Creates a router without endpoints.
  explicit Router(RouterSettings aSettings);
  ~Router() = default;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  Router(Router&&) = delete;
  Router& operator=(Router&&) = delete;

  /// Replaces the list of endpoints. Endpoints that are not in `aEndpoints` are removed; one that
  /// is leaving never becomes live again.
  void SetEndpoints(const std::vector<EndpointInfo>& aEndpoints);
  /// Stops sending new requests to `aEndpoint`, which need not be listed yet.
  /// \return whether it was not marked before.
  bool MarkLeaving(const base::EndpointId& aEndpoint);
  /// Applies an engine's load report; one that is older than the last is ignored.
  void ReportLoad(const base::EndpointId& aEndpoint, const EngineLoad& aLoad);
  /// Records that a request was sent to `aEndpoint` at `aNow`.
  void RecordRequestSent(const base::EndpointId& aEndpoint,
                         const RouteQuery& aQuery,
                         base::TimePoint aNow);
  /// Records that a request sent to `aEndpoint` has ended.
  void RecordRequestEnded(const base::EndpointId& aEndpoint);
  /// Records that the engine evicted a cached block.
  void RecordCacheEviction(const base::EndpointId& aEndpoint, uint64_t aBlock);
  /// Records that cache events of the engine were missed.
  void RecordCacheEventGap(const base::EndpointId& aEndpoint);

  /// Returns the best endpoint that has room, or nullopt if there is none.
  std::optional<RouteChoice> Choose(const RouteQuery& aQuery) const;

  /// Returns whether any live endpoint of the deployment or service `aDeployment` has room.
  bool HasEndpointWithRoom(const base::DeploymentId& aDeployment) const;

  /// Returns the endpoint named `aEndpoint`, or nullptr if it is not listed.
  const EndpointInfo* Find(const base::EndpointId& aEndpoint) const;
  /// Returns all listed endpoints.
  std::vector<EndpointInfo> Endpoints() const;
  /// Returns the endpoints that this node uses.
  std::vector<EndpointInfo> UsedEndpoints() const;

private:
  /// A request sent since the last load report.
  struct SentRequest {
    base::TimePoint m_sentAt;
    uint64_t m_tokens;
  };
  struct EndpointEntry {
    EndpointInfo m_info;
    EngineLoad m_load;
    CacheView m_cache;
    std::vector<SentRequest> m_sent;
    uint32_t m_outstanding = 0;
  };
  struct Score;

  void SelectSubsets();
  EndpointEntry* FindEntry(const base::EndpointId& aEndpoint);
  static Score ComputeScore(const EndpointEntry& aEntry, const RouteQuery& aQuery);
  static bool HasRoom(const EndpointEntry& aEntry);

  RouterSettings m_settings;
  std::unordered_map<base::EndpointId, EndpointEntry> m_endpoints;
  /// Live endpoints that this node uses, by deployment or service.
  std::map<base::DeploymentId, std::vector<EndpointEntry*>> m_usedByDeployment;
  std::set<base::EndpointId> m_leaving;
};

} // namespace papayafield::routing
