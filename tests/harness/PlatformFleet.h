#pragma once

#include "tests/harness/Caller.h"
#include "tests/harness/Process.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace papayafield::tests {

/// Returns the header fields that a caller sends on the users' platform.
std::vector<adapters::http::Header> MakeCallerHeaders(const std::string& aHost,
                                                      const std::string& aKey,
                                                      const std::string& aId,
                                                      base::Millis aTimeout);

/// A version of the configuration for tests. Every host in it gets the same routes.
struct ConfigurationOptions {
  std::vector<std::string> m_hosts{ "h.example", "other.example" };
  std::string m_key = "key-1";
  /// Service that the routes lead to; the runners belong to "engines".
  std::string m_service = "engines";
  /// Timeout of all routes, if it differs from the default one of their kind.
  std::optional<base::Millis> m_timeout;
  /// Timeout of the routes of streams, if it differs from that of all routes.
  std::optional<base::Millis> m_streamTimeout;
  /// Limits for callers, if they differ from the default.
  std::optional<base::Millis> m_idleTimeout;
  std::optional<base::Millis> m_headTimeout;
  std::optional<size_t> m_bodyBytes;
  /// Members that replace those of the configuration; null values remove them.
  nlohmann::json m_overrides = nlohmann::json::object();
};

/// Limits of the hosts of nodes, as their settings files state them; 0 leaves a key out.
struct HostLimits {
  int m_memoryMb = 0;
  int m_maxFds = 0;
};

/// Runs nodes in the mode for the users' platform as processes, against a stand-in of that
/// platform. Each node has its own loopback address. Not thread safe.
class PlatformFleet {
public:
  /// Which connections lead through fault proxies.
  enum class Proxies {
    None,
    /// Those to the platform and to each runner.
    All,
    /// Those of node 0 to each runner; the other nodes reach the runners directly.
    RunnersOfFirstNode,
  };

  /// Starts `aNodes` nodes and `aRunners` runners, and waits until all nodes are ready.
  /// `aBounds`: further lines of the section [bounds] of the nodes' settings.
  PlatformFleet(size_t aNodes,
                size_t aRunners,
                Proxies aProxies = Proxies::None,
                HostLimits aHostLimits = {},
                std::string aBounds = {});
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;
  PlatformFleet(PlatformFleet&&) = delete;
  PlatformFleet& operator=(PlatformFleet&&) = delete;

  /// Returns the address of the stand-in of the platform.
  const base::Address& PlatformAddress() const { return m_platform; }
  /// Returns the address of node `aIndex` for callers.
  base::Address CallerAddress(size_t aIndex) const { return { HostOf(aIndex), m_port }; }
  Process& NodeProcess(size_t aIndex) { return *m_nodes[aIndex]; }
  /// Starts or restarts node `aIndex` and waits until it listens.
  void StartNode(size_t aIndex);
  /// Starts or restarts node `aIndex` without waiting.
  void LaunchNode(size_t aIndex);
  /// Posts `aBody` to /control/`aWhat` of the platform and returns its JSON reply.
  nlohmann::json PostControl(const std::string& aWhat, const nlohmann::json& aBody = {}) const;
  /// Injects faults into a proxy. With Proxies::All, 0 is the platform's, and 1 and above are those
  /// of the runners; with Proxies::RunnersOfFirstNode, 0 and above are those of the runners.
  void SetProxyFaults(size_t aProxy, const nlohmann::json& aFaults) const;
  size_t ProxyCount() const { return m_proxies.size(); }
  /// Starts a proxy between node `aIndex` and the platform, restarts the node, and returns the
  /// index of the proxy.
  size_t AddPlatformProxy(size_t aIndex);
  /// Closes the store for `aDowntime` and lets it return as it was `aAge` ago. What the operator
  /// and the runners wrote since is written again `aRewriteDelay` after that. Returns false if a
  /// restore is in progress.
  bool RestoreStore(base::Millis aAge, base::Millis aDowntime, base::Millis aRewriteDelay) const;
  /// Writes the next version of the configuration; `aExtraHost` gets the same routes. Callers may
  /// be idle for `aIdleTimeout`, or for the default time if it is not given.
  void ApplyConfiguration(const std::string& aExtraHost = "other.example",
                          std::optional<base::Millis> aIdleTimeout = std::nullopt);
  /// Writes the next version of the configuration.
  void ApplyConfiguration(const ConfigurationOptions& aOptions);
  /// Returns the version of the configuration that was written last.
  int Version() const { return m_version; }
  /// Sends a call to node `aIndex` with the id `aId`, or a random one if that is empty.
  CallerAnswer Send(size_t aIndex,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aHost = "h.example",
                    const std::string& aKey = "key-1",
                    const std::string& aId = "") const;
  /// Sends a call with the id `aId` to node `aIndex` and closes the connection at the first part of
  /// its answer. Returns false if none was received.
  bool SendAndDisconnect(size_t aIndex, const std::string& aTarget, const std::string& aId) const;
  /// Returns the entry addresses that the directory of node `aIndex` lists.
  std::vector<std::string> EntryAddresses(size_t aIndex) const;
  /// Whether the readiness check of node `aIndex` succeeds.
  bool IsReady(size_t aIndex) const;
  /// Returns the address of the metrics listener of node `aIndex`.
  base::Address MetricsAddress(size_t aIndex) const;
  /// Returns a value from the metrics page of node `aIndex`; -1 if it is missing.
  double ReadMetric(size_t aIndex, const std::string& aName) const;
  /// Returns the executions of the call `aId` that the runners recorded.
  std::vector<nlohmann::json> RecordedRuns(const std::string& aId) const;
  /// Polls until `aCondition` holds; returns false if it does not hold within 20 s.
  static bool WaitUntil(const std::function<bool()>& aCondition);

private:
  /// Whether node `aIndex` has heard from all nodes, and directs callers to all of them or, in a
  /// large fleet, to a part of them.
  bool KnowsAllNodes(size_t aIndex) const;
  static std::string HostOf(size_t aIndex) { return "127.0.0." + std::to_string(10 + aIndex); }
  int ReadinessStatus(size_t aIndex) const;
  std::string WriteSettingsFile(size_t aIndex) const;
  void StartProxy(const base::Address& aListen, const base::Address& aTo);

  std::string m_folder;
  HostLimits m_hostLimits;
  std::string m_bounds;
  uint16_t m_port;
  base::Address m_platform;
  /// Addresses at which the nodes reach the platform; those of proxies, if any.
  std::vector<base::Address> m_platformFronts;
  struct Proxy {
    std::unique_ptr<Process> m_process;
    base::Address m_control;
  };
  std::vector<Proxy> m_proxies;
  std::unique_ptr<Process> m_standin;
  std::vector<std::unique_ptr<Process>> m_nodes;
  int m_version = 0;
};

} // namespace papayafield::tests
