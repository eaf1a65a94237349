#pragma once

#include "tests/harness/Caller.h"
#include "tests/harness/Process.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace papayafield::tests {

/// The fields that a caller sends on the users' platform.
std::vector<adapters::http::Header> CallerFields(const std::string& aHost,
                                                 const std::string& aKey,
                                                 const std::string& aId,
                                                 base::Millis aPatience);

/// Nodes on the users' platform, as real processes before a stand-in of that platform. Each node
/// has an address of its own on loopback. Not thread safe.
class PlatformFleet {
public:
  /// Whether a proxy stands before the platform and before each runner.
  enum class Proxies { None, All };

  /// Starts `aNodes` nodes and `aRunners` runners, and waits until all nodes are ready.
  PlatformFleet(size_t aNodes, size_t aRunners, Proxies aProxies = Proxies::None);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;
  PlatformFleet(PlatformFleet&&) = delete;
  PlatformFleet& operator=(PlatformFleet&&) = delete;

  /// Where callers reach node `aIndex`.
  base::Address Callers(size_t aIndex) const { return { HostOf(aIndex), m_port }; }
  /// The process of node `aIndex`.
  Process& Node(size_t aIndex) { return *m_nodes[aIndex]; }
  /// Starts node `aIndex` (again) and waits until it listens.
  void Start(size_t aIndex);
  /// Calls /control/`aWhat` of the platform; gives its report.
  nlohmann::json Control(const std::string& aWhat, const nlohmann::json& aBody = {}) const;
  /// Sets faults of a proxy: 0 stands before the platform, 1 and up before the runners.
  void ProxyFaults(size_t aProxy, const nlohmann::json& aFaults) const;
  /// How many proxies there are.
  size_t ProxyCount() const { return m_proxies.size(); }
  /// Writes the configuration with one more version; `aExtraHost` gets the same routes.
  void Configure(const std::string& aExtraHost = "other.example");
  /// Sends a call to node `aIndex` with a fresh id, or with `aId`.
  CallerAnswer Send(size_t aIndex,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aHost = "h.example",
                    const std::string& aKey = "key-1",
                    const std::string& aId = "") const;
  /// Sends a call as `aId` to node `aIndex` and hangs up at the first part of its answer. False
  /// when none came.
  bool SendAndLeave(size_t aIndex, const std::string& aTarget, const std::string& aId) const;
  /// The addresses that node `aIndex` tells callers.
  std::vector<std::string> Entries(size_t aIndex) const;
  /// Whether node `aIndex` says that it takes callers.
  bool Ready(size_t aIndex) const;
  /// A value of node `aIndex`'s metrics page; -1 when it is not there.
  double Metric(size_t aIndex, const std::string& aName) const;
  /// Runs of the call `aId` as the runners count them.
  std::vector<nlohmann::json> RunsOf(const std::string& aId) const;
  /// Waits until `aDone` holds; false after a long while.
  static bool Until(const std::function<bool()>& aDone);

private:
  static std::string HostOf(size_t aIndex) { return "127.0.0." + std::to_string(10 + aIndex); }
  int Readiness(size_t aIndex) const;
  std::string SettingsFile(size_t aIndex) const;
  void StartProxy(const base::Address& aListen, const base::Address& aTo);

  std::string m_folder;
  uint16_t m_port;
  base::Address m_platform;
  /// Where nodes reach the platform.
  base::Address m_platformEntry;
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
