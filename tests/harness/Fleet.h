#pragma once

#include "tests/harness/Caller.h"
#include "tests/harness/Process.h"

#include <memory>
#include <string>
#include <vector>

namespace papayafield::tests {

/// Number of processes of each kind and their options.
struct FleetSettings {
  int m_nodes = 3;
  int m_engines = 2;
  int m_services = 1;
  /// Command line options of each engine stand-in.
  std::vector<std::string> m_engineOptions;
  /// Command line options of each service stand-in.
  std::vector<std::string> m_serviceOptions;
  /// TOML tables that are appended to the settings file of each node.
  std::string m_nodeSettings;
  /// Whether each engine is reached through a fault proxy.
  bool m_engineProxies = false;
  /// Whether nodes reach the platform through a fault proxy.
  bool m_platformProxy = false;
  /// Command line options of the platform stand-in.
  std::vector<std::string> m_platformOptions;
  /// Maximum time that a request of the normal-priority teams may be queued.
  std::string m_maxWait = "30s";
  /// Whether to apply the manifest and wait until it is active on all nodes.
  bool m_applyManifest = true;
};

/// A process, its addresses and its fault proxy, if any.
struct ServerProcess {
  /// Name in the host list or the node settings.
  std::string m_name;
  std::unique_ptr<Process> m_process;
  /// Address that the process itself listens on; for a node, the address for callers.
  base::Address m_address;
  std::unique_ptr<Process> m_proxy;
  /// Address of the proxy, or `m_address` if there is none; for a node, the address for peers.
  base::Address m_front;
  /// Control address of the proxy.
  base::Address m_control;
  std::string m_zone;
};

/// Runs nodes, stand-ins and fault proxies as processes on loopback. Not thread safe.
class Fleet {
public:
  /// Starts all processes and waits until each node knows all members and endpoints.
  explicit Fleet(FleetSettings aSettings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  Fleet(Fleet&&) = delete;
  Fleet& operator=(Fleet&&) = delete;

  /// Returns the address of node `aIndex` for callers.
  const base::Address& NodeAddress(size_t aIndex) const { return m_nodes[aIndex].m_address; }
  Process& NodeProcess(size_t aIndex) { return *m_nodes[aIndex].m_process; }
  /// Kills node `aIndex` and starts it again with the same settings.
  void RestartNode(size_t aIndex);
  ServerProcess& Engine(size_t aIndex) { return m_engines[aIndex]; }
  ServerProcess& Service(size_t aIndex) { return m_services[aIndex]; }
  size_t NodeCount() const { return m_nodes.size(); }
  size_t EngineCount() const { return m_engines.size(); }

  /// Starts another engine in `aZone` and adds it to the host list.
  ServerProcess& AddEngine(const std::string& aZone);
  /// Marks an engine in the host list as leaving after `aNotice`.
  void Reclaim(const ServerProcess& aEngine, base::Millis aNotice);
  /// Injects faults into the platform stand-in.
  void SetPlatformFaults(const nlohmann::json& aFaults);
  /// Injects faults into the proxy of `aServer` and returns its reply.
  static nlohmann::json SetProxyFaults(const ServerProcess& aServer, const nlohmann::json& aFaults);
  /// Returns the platform stand-in and its proxy.
  ServerProcess& Platform() { return m_platform; }
  /// Returns the operator status of a node; null if it does not answer.
  nlohmann::json NodeStatus(size_t aNode) const;
  /// Runs papayafieldctl with the operator's key and returns its exit code.
  int RunCtl(const std::vector<std::string>& aArguments) const;
  /// Returns the counters of an engine stand-in; null if it does not answer.
  static nlohmann::json EngineCounts(const ServerProcess& aEngine);
  /// Returns the number of executions of each order, summed over all services.
  std::map<std::string, int> RunCounts() const;
  /// Waits until each running node has `aGeneration` or a later one active; false on timeout.
  bool WaitUntilActive(uint64_t aGeneration) const;
  /// Returns the path of the manifest file.
  std::string ManifestFile() const { return m_folder + "/manifest.toml"; }
  /// Returns the temporary folder of the test.
  const std::string& Folder() const { return m_folder; }

private:
  void StartPlatform();
  void StartNode(size_t aIndex);
  ServerProcess StartServer(const std::string& aProgram,
                            const std::string& aName,
                            const std::string& aZone,
                            const std::vector<std::string>& aOptions,
                            bool aProxy);
  void AddToHostList(const ServerProcess& aServer,
                     const std::string& aKind,
                     const std::string& aRuns);
  void WriteManifest() const;

  FleetSettings m_settings;
  std::string m_folder;
  ServerProcess m_platform;
  std::vector<ServerProcess> m_nodes;
  std::vector<ServerProcess> m_engines;
  std::vector<ServerProcess> m_services;
};

} // namespace papayafield::tests
