#include "tests/harness/Fleet.h"

#include "base/Digest.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace papayafield::tests {

namespace {

constexpr char kLoopback[] = "127.0.0.1";

std::string ZoneOf(int aIndex) {
  constexpr int kZones = 3;
  return std::string("zone-") + static_cast<char>('a' + aIndex % kZones);
}

bool RespondsOk(const base::Address& aAddress, const std::string& aTarget) {
  return Call(aAddress, "GET", aTarget).m_status == 200;
}

} // namespace

Fleet::Fleet(FleetSettings aSettings)
  : m_settings(std::move(aSettings)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "papayafield-XXXXXX").string();
  m_folder = mkdtemp(pattern.data());
  setenv("PAPAYAFIELD_KEY", kOperatorKey, 1);
  WriteManifest();
  StartPlatform();
  for (int i = 0; i < m_settings.m_engines; ++i) {
    AddEngine(ZoneOf(i));
  }
  for (int i = 0; i < m_settings.m_services; ++i) {
    m_services.push_back(StartServer("standins/standin_service",
                                     "cpu-" + std::to_string(i),
                                     ZoneOf(i),
                                     m_settings.m_serviceOptions,
                                     false));
    AddToHostList(m_services.back(), "service", "orders");
  }
  for (int i = 0; i < m_settings.m_nodes; ++i) {
    ServerProcess server;
    server.m_name = "n" + std::to_string(i);
    server.m_address = { kLoopback, FreePort() };
    server.m_front = { kLoopback, FreePort() };
    server.m_zone = ZoneOf(i);
    m_nodes.push_back(std::move(server));
    StartNode(static_cast<size_t>(i));
  }
  const bool joined = Eventually([&] {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      const nlohmann::json status = NodeStatus(i);
      if (!status.is_object() || status["members"].size() != m_nodes.size() ||
          status["endpoints"].size() != m_engines.size() + m_services.size()) {
        return false;
      }
    }
    return true;
  });
  if (!joined) {
    throw std::runtime_error("the nodes did not discover all members and endpoints in time");
  }
  if (m_settings.m_applyManifest &&
      (RunCtl({ "apply", ManifestFile(), "--node", NodeAddress(0).ToText() }) != 0 ||
       !WaitUntilActive(1))) {
    throw std::runtime_error("the manifest was not applied on all nodes");
  }
}

Fleet::~Fleet() {
  m_nodes.clear();
  std::filesystem::remove_all(m_folder);
}

void Fleet::WriteManifest() const {
  std::ofstream file(ManifestFile());
  file << "[[team]]\nname = \"florists\"\nweight = 1\nmax_wait = \"" << m_settings.m_maxWait
       << "\"\nkey_digests = [\"" << base::Sha256Hex(kTeamKey) << "\"]\n"
       << "[[team]]\nname = \"drivers\"\nweight = 1\npriority = \"urgent\"\nkey_digests = [\""
       << base::Sha256Hex(kOtherTeamKey) << "\"]\n"
       << "[[team]]\nname = \"parishes\"\nweight = 1\nmax_wait = \"" << m_settings.m_maxWait
       << "\"\nkey_digests = [\"" << base::Sha256Hex(kThirdTeamKey) << "\"]\n"
       << "[[deployment]]\nname = \"condolence\"\nmodel = \"card-7b\"\nversion = \"1\"\n"
       << "max_output_tokens = 5000\n"
       << "[[service]]\nname = \"orders\"\n"
       << "[[service.call]]\nmethod = \"GET\"\npath = \"/stock\"\nrepeatable = true\n"
       << "[[service.call]]\nmethod = \"POST\"\npath = \"/quotes\"\nrepeatable = true\n"
       << "timeout = \"3s\"\n"
       << "[[service.call]]\nmethod = \"POST\"\npath = \"/orders\"\ntimeout = \"2s\"\n";
}

void Fleet::StartPlatform() {
  m_platform = StartServer("standins/standin_platform",
                           "platform",
                           "",
                           m_settings.m_platformOptions,
                           m_settings.m_platformProxy);
}

ServerProcess Fleet::StartServer(const std::string& aProgram,
                                 const std::string& aName,
                                 const std::string& aZone,
                                 const std::vector<std::string>& aOptions,
                                 bool aProxy) {
  ServerProcess server;
  server.m_name = aName;
  server.m_zone = aZone;
  server.m_address = { kLoopback, FreePort() };
  server.m_front = server.m_address;
  std::vector<std::string> arguments{ "--listen", server.m_address.ToText() };
  arguments.insert(arguments.end(), aOptions.begin(), aOptions.end());
  server.m_process = std::make_unique<Process>(aProgram, arguments);
  if (aProxy) {
    server.m_front = { kLoopback, FreePort() };
    server.m_control = { kLoopback, FreePort() };
    const std::vector<std::string> options{ "--listen",  server.m_front.ToText(),
                                            "--to",      server.m_address.ToText(),
                                            "--control", server.m_control.ToText() };
    server.m_proxy = std::make_unique<Process>("standins/standin_proxy", options);
    Eventually([&] { return RespondsOk(server.m_control, "/"); });
  }
  Eventually([&] { return Call(server.m_address, "GET", "/control/counts").m_status != 0; });
  return server;
}

ServerProcess& Fleet::AddEngine(const std::string& aZone) {
  m_engines.push_back(StartServer("standins/standin_engine",
                                  "gpu-" + std::to_string(m_engines.size()),
                                  aZone,
                                  m_settings.m_engineOptions,
                                  m_settings.m_engineProxies));
  AddToHostList(m_engines.back(), "engine", "condolence");
  return m_engines.back();
}

void Fleet::AddToHostList(const ServerProcess& aServer,
                          const std::string& aKind,
                          const std::string& aRuns) {
  const nlohmann::json host = { { "name", aServer.m_name }, { "address", aServer.m_front.ToText() },
                                { "zone", aServer.m_zone }, { "class", "reclaimable" },
                                { "cents_per_hour", 100 },  { "kind", aKind },
                                { "runs", aRuns },          { "state", "live" } };
  Call(m_platform.m_address, "POST", "/control/hosts", base::DumpJson(host));
}

void Fleet::Reclaim(const ServerProcess& aEngine, base::Millis aNotice) {
  const nlohmann::json patch = { { "name", aEngine.m_name },
                                 { "state", "leaving" },
                                 { "leaves_at_ms", base::WallMillis() + aNotice.count() } };
  Call(m_platform.m_address, "POST", "/control/hosts", base::DumpJson(patch));
}

void Fleet::StartNode(size_t aIndex) {
  ServerProcess& server = m_nodes[aIndex];
  const std::string path = m_folder + "/" + server.m_name + ".toml";
  std::ofstream file(path);
  file << "[node]\nname = \"" << server.m_name << "\"\nregion = \"uruguay\"\nzone = \""
       << server.m_zone << "\"\ncallers = \"" << server.m_address.ToText()
       << "\"\ndiscovery_lifetime = \"1s\"\n"
       << "[fleet]\npeers = \"" << server.m_front.ToText()
       << "\"\nkeys = [\"a fleet key for the tests\"]\noperator_key_digests = [\""
       << base::Sha256Hex(kOperatorKey) << "\"]\nprobe_period = \"200ms\"\n"
       << "[platform]\nkey_value = \"" << m_platform.m_front.ToText() << "\"\ncloud = \""
       << m_platform.m_front.ToText() << "\"\nhost_list_period = \"200ms\"\n"
       << "backstop_period = \"1s\"\ncall_timeout = \"500ms\"\n"
       << "[log]\nlevel = \"" << (getenv("PAPAYAFIELD_TEST_LOG") ? "info" : "error") << "\"\n"
       << m_settings.m_nodeSettings;
  file.close();
  server.m_process = std::make_unique<Process>("apps/papayafieldd/papayafieldd",
                                               std::vector<std::string>{ "--config", path });
}

void Fleet::RestartNode(size_t aIndex) {
  m_nodes[aIndex].m_process->Kill();
  StartNode(aIndex);
}

void Fleet::SetPlatformFaults(const nlohmann::json& aFaults) {
  Call(m_platform.m_address, "POST", "/control/faults", base::DumpJson(aFaults));
}

nlohmann::json Fleet::SetProxyFaults(const ServerProcess& aServer, const nlohmann::json& aFaults) {
  return base::ParseJson(Call(aServer.m_control, "POST", "/", base::DumpJson(aFaults)).m_body);
}

nlohmann::json Fleet::NodeStatus(size_t aNode) const {
  return base::ParseJson(
    CallAs(kOperatorKey, NodeAddress(aNode), "GET", "/operator/status").m_body);
}

int Fleet::RunCtl(const std::vector<std::string>& aArguments) const {
  return Process("apps/papayafieldctl/papayafieldctl", aArguments).WaitForExit();
}

nlohmann::json Fleet::EngineCounts(const ServerProcess& aEngine) {
  return base::ParseJson(Call(aEngine.m_address, "GET", "/control/counts").m_body);
}

std::map<std::string, int> Fleet::RunCounts() const {
  std::map<std::string, int> runs;
  for (const ServerProcess& service : m_services) {
    const auto counted = base::ParseJson(Call(service.m_address, "GET", "/control/runs").m_body);
    for (const auto& [order, count] : counted.items()) {
      runs[order] += count.get<int>();
    }
  }
  return runs;
}

bool Fleet::WaitUntilActive(uint64_t aGeneration) const {
  return Eventually([&] {
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      if (m_nodes[i].m_process->IsRunning() &&
          base::ValueOr(NodeStatus(i), "generation", uint64_t{ 0 }) < aGeneration) {
        return false;
      }
    }
    return true;
  });
}

} // namespace papayafield::tests
