#pragma once

#include "forwarding/CallPlanner.h"

#include <set>
#include <string>

/// \file
/// A node without connections for tests of the decisions on calls.

namespace papayafield::forwarding::tests {

inline const fleet::ServiceId kEngines("engines");
inline const fleet::ServiceId kPlain("plain");

inline fleet::Route MakeRoute(const std::string& aName,
                              const fleet::ServiceId& aService,
                              int aPriority,
                              base::Millis aTarget) {
  fleet::Route route;
  route.m_name = aName;
  route.m_host = "h.example";
  route.m_prefix = "/" + aName + "/";
  route.m_timeout = base::Millis(4000);
  route.m_latencyTarget = aTarget;
  route.m_priority = aPriority;
  route.m_backends = { { aService, 1 } };
  return route;
}

/// Routes with different targets to one engine service, and one to a plain service.
inline fleet::CatalogPtr MakeCatalog() {
  fleet::Catalog::Contents contents;
  contents.m_version = 1;
  fleet::Team team;
  team.m_id = base::TeamId("team-1");
  team.m_keys = { "secret-key" };
  team.m_quota = { 10, 20, false, 0 };
  contents.m_teams = { team };
  contents.m_routes = { MakeRoute("short", kEngines, 0, base::Millis(500)),
                        MakeRoute("long", kEngines, 2, base::Millis(2000)),
                        MakeRoute("plain", kPlain, 1, base::Millis(100)) };
  fleet::Service engines;
  engines.m_id = kEngines;
  engines.m_engine = fleet::EngineCapacity{ 16, 0, 1 };
  fleet::Service plain;
  plain.m_id = kPlain;
  contents.m_services = { engines, plain };
  return std::make_shared<const fleet::Catalog>(std::move(contents));
}

/// A node without peers or connections, and one call to it.
struct PlannerFixture {
  PlannerFixture() { m_node.ApplyCatalog(m_catalog); }

  void AddEndpoint(const std::string& aId,
                   const fleet::ServiceId& aService,
                   const std::string& aVersion = "") {
    fleet::Endpoint endpoint;
    endpoint.m_incarnation = IncarnationOf(aId);
    endpoint.m_service = aService;
    endpoint.m_version = aVersion;
    const store::Position position{ 0, ++m_revision };
    endpoint.m_position = position;
    m_node.m_directory.Put({ base::EndpointId(aId), position, endpoint });
  }
  static fleet::Incarnation IncarnationOf(const std::string& aId) {
    return { base::EndpointId(aId), 1 };
  }
  /// Sets the load of an endpoint as if this node had sent the calls.
  void AddLoad(const std::string& aId, int aCalls, double aTokens) {
    for (int call = 0; call < aCalls; ++call) {
      m_node.m_placement.RecordCallStarted(base::EndpointId(aId), aTokens);
    }
  }
  void MakeModelCall() {
    m_call.m_promptTokens = 1000;
    m_call.m_promptParts = { { "system", 600 }, { "own", 400 } };
  }
  CallPlanner Planner(const std::string& aRoute) const {
    const fleet::Route* route = m_catalog->FindRoute("h.example", "/" + aRoute + "/x");
    return { m_node,
             { *m_catalog,
               *route,
               m_call,
               route->m_backends.front().m_service,
               route->m_priority,
               m_now,
               m_now + m_timeLeft,
               m_tried,
               m_attempts,
               m_mayHaveRun,
               m_version } };
  }
  CallPlan Preview(const std::string& aRoute) const { return Planner(aRoute).Preview(m_now); }
  std::string ChosenEndpoint(const CallPlan& aPlan) const {
    return aPlan.m_endpoint
             ? m_node.m_directory.Ready()[*aPlan.m_endpoint].m_incarnation.m_endpoint.Text()
             : "";
  }

  adapters::http::EventLoop m_loop;
  NodeState m_node{ m_loop,
                    {},
                    {},
                    {},
                    {},
                    base::Millis(0),
                    1000,
                    {},
                    true,
                    [] {},
                    [] { return std::vector<base::Address>(); } };
  const fleet::CatalogPtr m_catalog = MakeCatalog();
  uint64_t m_revision = 0;
  CallInfo m_call;
  std::set<base::EndpointId> m_tried;
  int m_attempts = 0;
  bool m_mayHaveRun = false;
  std::optional<std::string> m_version;
  base::Millis m_timeLeft{ 4000 };
  const base::TimePoint m_now = base::BootNow();
};

} // namespace papayafield::forwarding::tests
