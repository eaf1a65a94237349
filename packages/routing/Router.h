#pragma once

#include "routing/CacheView.h"
#include "routing/Endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace papayafield::routing {

/// How the router weighs.
struct RouterSettings {
  /// Blocks believed to fit in an engine's prefix cache.
  size_t m_cacheBlocks = 16384;
  /// Most endpoints of one deployment that this node uses; which ones follows from m_node.
  size_t m_subset = 32;
  /// Name of the node, so that each node uses other endpoints.
  std::string m_node;
};

/// What is looked for.
struct RouteQuery {
  /// The deployment or service.
  base::DeploymentId m_runs;
  /// Hashes of the prompt's blocks; empty for services.
  std::vector<uint64_t> m_blocks;
  /// Prompt tokens; 0 for services.
  uint64_t m_promptTokens = 0;
  /// The team's target for the time to the first token.
  base::Millis m_firstToken{ 1800 };
  /// Endpoints that were tried already.
  std::set<base::EndpointId> m_exclude;
  /// Zone to avoid where another will do; empty for none.
  base::ZoneId m_avoidZone;
};

/// What was found.
struct RouteChoice {
  base::EndpointId m_endpoint;
  base::Address m_address;
  /// Estimated time to the first token.
  base::Millis m_firstToken{ 0 };
  /// Prompt tokens that are expected to need prefilling.
  uint64_t m_uncachedTokens = 0;
};

/// Chooses endpoints. Pure: time comes in with each call. Not thread safe.
class Router {
public:
  /// A router that knows no endpoint.
  explicit Router(RouterSettings aSettings);
  ~Router() = default;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  Router(Router&&) = delete;
  Router& operator=(Router&&) = delete;

  /// Takes the endpoints now listed. Ones no longer listed go; a leaving one never comes back to
  /// life.
  void SetEndpoints(const std::vector<EndpointInfo>& aEndpoints);
  /// No new work for `aEndpoint` from now on; also when it is not listed yet.
  /// \return whether this was news.
  bool MarkLeaving(const base::EndpointId& aEndpoint);
  /// An engine's load report has come.
  void ReportLoad(const base::EndpointId& aEndpoint, const EngineLoad& aLoad);
  /// A request was sent to `aEndpoint` at `aNow`.
  void NoteSent(const base::EndpointId& aEndpoint, const RouteQuery& aQuery, base::TimePoint aNow);
  /// A request that was sent to `aEndpoint` has ended there.
  void NoteEnded(const base::EndpointId& aEndpoint);
  /// The engine dropped a cached block.
  void NoteEvicted(const base::EndpointId& aEndpoint, uint64_t aBlock);
  /// Cache events of the engine were missed.
  void NoteGap(const base::EndpointId& aEndpoint);

  /// The best endpoint with room, or nothing.
  std::optional<RouteChoice> Choose(const RouteQuery& aQuery) const;

  /// Whether some live endpoint that runs `aRuns` has room.
  bool AnyRoom(const base::DeploymentId& aRuns) const;

  /// The endpoint of that name, or null.
  const EndpointInfo* Find(const base::EndpointId& aEndpoint) const;
  /// All endpoints listed.
  std::vector<EndpointInfo> Endpoints() const;
  /// The endpoints that this node uses.
  std::vector<EndpointInfo> Used() const;

private:
  /// A request sent since the last load report.
  struct Sent {
    base::TimePoint m_when;
    uint64_t m_tokens;
  };
  struct Known {
    EndpointInfo m_info;
    EngineLoad m_load;
    CacheView m_cache;
    std::vector<Sent> m_sent;
    uint32_t m_outstanding = 0;
  };
  struct Score;

  void ChooseSubsets();
  Known* Get(const base::EndpointId& aEndpoint);
  static Score Rate(const Known& aKnown, const RouteQuery& aQuery);
  static bool HasRoom(const Known& aKnown);

  RouterSettings m_settings;
  std::unordered_map<base::EndpointId, Known> m_known;
  /// Those that this node may use, for each deployment or service.
  std::map<base::DeploymentId, std::vector<Known*>> m_byRuns;
  std::set<base::EndpointId> m_leaving;
};

} // namespace papayafield::routing
