#pragma once

#include "tests/harness/Caller.h"
#include "tests/harness/Process.h"

#include <memory>
#include <string>
#include <vector>

namespace papayafield::tests {

/// How many of each process a test wants, and how they are set.
struct FleetSettings {
  int m_nodes = 3;
  int m_engines = 2;
  int m_services = 1;
  /// Options of each engine stand-in.
  std::vector<std::string> m_engineOptions;
  /// Options of each service stand-in.
  std::vector<std::string> m_serviceOptions;
  /// More lines for the settings of each node, as whole TOML tables.
  std::string m_nodeSettings;
  /// A fault proxy stands before each engine.
  bool m_engineProxies = false;
  /// A fault proxy stands before the platform.
  bool m_platformProxy = false;
  /// Options of the platform stand-in.
  std::vector<std::string> m_platformOptions;
  /// How long the teams' requests may wait for room.
  std::string m_maxWait = "30s";
  /// Apply the manifest and wait until it is in force everywhere.
  bool m_apply = true;
};

/// A process behind an address, and the proxy before it, if any.
struct Place {
  /// Name in the host list.
  std::string m_name;
  std::unique_ptr<Process> m_process;
  /// Where the process itself listens.
  base::Address m_address;
  std::unique_ptr<Process> m_proxy;
  /// Where the proxy listens; the process itself when there is none.
  base::Address m_front;
  /// Where the proxy takes its switches.
  base::Address m_control;
  std::string m_zone;
};

/// Nodes, stand-ins and proxies on loopback. Not thread safe.
class Fleet {
public:
  /// Starts everything and waits until the nodes are ready.
  explicit Fleet(FleetSettings aSettings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  Fleet(Fleet&&) = delete;
  Fleet& operator=(Fleet&&) = delete;

  /// Where callers reach node `aIndex`.
  const base::Address& Node(size_t aIndex) const { return m_nodes[aIndex].m_address; }
  /// The process of node `aIndex`.
  Process& NodeProcess(size_t aIndex) { return *m_nodes[aIndex].m_process; }
  /// Starts node `aIndex` again with the same settings.
  void RestartNode(size_t aIndex);
  /// Engine `aIndex`.
  Place& Engine(size_t aIndex) { return m_engines[aIndex]; }
  /// Service `aIndex`.
  Place& Service(size_t aIndex) { return m_services[aIndex]; }
  size_t Nodes() const { return m_nodes.size(); }
  size_t Engines() const { return m_engines.size(); }

  /// Starts one more engine in `aZone`.
  Place& AddEngine(const std::string& aZone);
  /// Says in the host list that an engine leaves in `aNotice`.
  void Reclaim(const Place& aEngine, base::Millis aNotice);
  /// Sets faults of the platform stand-in.
  void PlatformFaults(const nlohmann::json& aFaults);
  /// Sets faults of the proxy before `aPlace`.
  static nlohmann::json ProxyFaults(const Place& aPlace, const nlohmann::json& aFaults);
  /// The platform and its proxy.
  Place& Platform() { return m_platform; }
  /// Status of a node as an operator sees it; null when it does not answer.
  nlohmann::json Status(size_t aNode) const;
  /// Runs papayafieldctl with the operator's key; its exit code.
  int Ctl(const std::vector<std::string>& aArguments) const;
  /// Numbers that an engine stand-in counts.
  static nlohmann::json EngineCounts(const Place& aEngine);
  /// Number of runs of each order, over all services.
  std::map<std::string, int> Runs() const;
  /// Waits until each node shows `aGeneration` or a later one.
  bool InForce(uint64_t aGeneration) const;
  /// Path of the manifest file.
  std::string ManifestFile() const { return m_folder + "/manifest.toml"; }
  /// Folder for files of the test.
  const std::string& Folder() const { return m_folder; }

private:
  void StartPlatform();
  void StartNode(size_t aIndex);
  Place StartPlace(const std::string& aProgram,
                   const std::string& aName,
                   const std::string& aZone,
                   const std::vector<std::string>& aOptions,
                   bool aProxy);
  void List(const Place& aPlace, const std::string& aKind, const std::string& aRuns);
  void WriteManifest() const;

  FleetSettings m_settings;
  std::string m_folder;
  Place m_platform;
  std::vector<Place> m_nodes;
  std::vector<Place> m_engines;
  std::vector<Place> m_services;
};

} // namespace papayafield::tests
