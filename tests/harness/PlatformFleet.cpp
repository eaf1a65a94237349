#include "tests/harness/PlatformFleet.h"

#include "base/Digest.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace papayafield::tests {

using nlohmann::json;

namespace {

/// Offsets of the ports of a node from its first port.
enum PortOffset : uint16_t {
  CallerPort = 0,
  CheckPort = 1,
  DirectoryPort = 2,
  GossipPort = 3,
  RelayPort = 4,
  MetricsPort = 5,
  /// Port of the node's own proxy to the platform.
  PlatformProxyPort = 6
};

/// Offset of the runners' proxy ports from the port of the platform; the ports of the runners lie
/// between them. Also the offset of a proxy's control port from its listening port.
constexpr uint16_t kProxyPortOffset = 64;

/// Number of nodes up to which callers are directed to all of them, as in WorkingSetSettings.
constexpr size_t kMaxNodesAllWorking = 16;
/// Deadline that a test caller sends with its request.
constexpr base::Millis kCallerTimeout{ 15000 };

/// Timeout of Until: far below the time limit of a test program and far above any expected wait.
constexpr base::Millis kWaitTimeout{ 20000 };
constexpr base::Millis kPollInterval{ 10 };

json MakeRoute(const std::string& aHost, const std::string& aPrefix, const std::string& aKind) {
  return { { "name", aHost + aPrefix },
           { "host", aHost },
           { "prefix", aPrefix },
           { "route_type", aKind },
           { "gap_target_ms", aKind == "streaming" ? 600 : 0 },
           { "timeout_ms", aKind == "streaming" ? 20000 : 1500 },
           { "goal_ms", 300 },
           { "priority", 1 },
           { "service", "engines" },
           { "max_attempts", aKind == "non_idempotent" ? 1 : 2 },
           { "public", false },
           { "resumable", aKind == "streaming" } };
}

std::string MakeTemporaryFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "papayafield-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder for the test");
  }
  return path;
}

} // namespace

std::vector<adapters::http::Header> MakeCallerHeaders(const std::string& aHost,
                                                      const std::string& aKey,
                                                      const std::string& aId,
                                                      base::Millis aTimeout) {
  return { { "Host", aHost },
           { "Authorization", "Bearer " + aKey },
           { "Papayafield-Deadline-Ms", std::to_string(aTimeout.count()) },
           { "Papayafield-Attempt-Id", aId } };
}

PlatformFleet::PlatformFleet(size_t aNodes,
                             size_t aRunners,
                             Proxies aProxies,
                             HostLimits aHostLimits,
                             std::string aBounds)
  : m_folder(MakeTemporaryFolder())
  , m_hostLimits(aHostLimits)
  , m_bounds(std::move(aBounds))
  , m_port(FreePort())
  , m_platform{ "127.0.0.1", FreePort() }
  , m_platformFronts(aNodes, m_platform) {
  const auto firstProxyPort = static_cast<uint16_t>(m_platform.m_port + kProxyPortOffset);
  const auto proxyPort = static_cast<uint16_t>(aProxies == Proxies::All ? firstProxyPort : 0);
  std::vector<std::string> options{ "--listen",     m_platform.ToText(),
                                    "--runners",    std::to_string(aRunners),
                                    "--proxy-port", std::to_string(proxyPort) };
  if (aProxies == Proxies::RunnersOfFirstNode) {
    options.insert(options.end(),
                   { "--view-port",
                     std::to_string(firstProxyPort - 1),
                     "--view-proxy-port",
                     std::to_string(firstProxyPort) });
  }
  m_standin = std::make_unique<Process>("standins/standin_fleet", options);
  WaitUntil([&] { return Call(m_platform, "GET", "/control/report").m_status == 200; });
  if (aProxies == Proxies::All) {
    const base::Address front{ "127.0.0.1", static_cast<uint16_t>(proxyPort - 1) };
    StartProxy(front, m_platform);
    m_platformFronts.assign(aNodes, front);
  } else if (aProxies == Proxies::RunnersOfFirstNode) {
    m_platformFronts[0].m_port = static_cast<uint16_t>(firstProxyPort - 1);
  }
  if (aProxies != Proxies::None) {
    for (size_t i = 0; i < aRunners; ++i) {
      StartProxy({ "127.0.0.1", static_cast<uint16_t>(firstProxyPort + i) },
                 { "127.0.0.1", static_cast<uint16_t>(m_platform.m_port + 1 + i) });
    }
  }
  ApplyConfiguration();
  m_nodes.resize(aNodes);
  for (size_t i = 0; i < aNodes; ++i) {
    StartNode(i);
  }
  for (size_t i = 0; i < aNodes; ++i) {
    WaitUntil([&] {
      return IsReady(i) && KnowsAllNodes(i) &&
             ReadMetric(i, "endpoints_ready") == static_cast<double>(aRunners);
    });
  }
}

bool PlatformFleet::KnowsAllNodes(size_t aIndex) const {
  const size_t entries = EntryAddresses(aIndex).size();
  if (m_nodes.size() <= kMaxNodesAllWorking) {
    return entries == m_nodes.size();
  }
  return entries > 0 && ReadMetric(aIndex, "nodes_alive") == static_cast<double>(m_nodes.size());
}

PlatformFleet::~PlatformFleet() {
  m_nodes.clear();
  m_proxies.clear();
  m_standin.reset();
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

std::string PlatformFleet::WriteSettingsFile(size_t aIndex) const {
  const std::string host = HostOf(aIndex);
  const auto port = [&](PortOffset aOffset) { return std::to_string(m_port + aOffset); };
  std::string path = m_folder + "/" + host + ".toml";
  std::ofstream file(path);
  file << "node_name = \"node-" << aIndex << "\"\nip = \"" << host << "\"\nzone = \"a\"\n"
       << "internal_ports = [" << port(GossipPort) << ", " << port(RelayPort) << "]\n"
       << "seeds = [\"" << HostOf(0) << ":1\"]\n[listen]\nfront = \"" << host << ":"
       << port(PortOffset::CallerPort) << "\"\nready = \"" << host << ":" << port(CheckPort)
       << "\"\ndirectory = \"" << host << ":" << port(DirectoryPort)
       << "\"\n[bounds]\ngrace_s = 8\nlease_ms = 1500\nretry_ratio = 0.2\nretry_slack = 100\n"
       << "usage_window_s = 1\nusage_late_s = 10\n"
       << m_bounds << "[platform]\naddress = \"" << m_platformFronts[aIndex].ToText()
       << "\"\n[cloud]\naddress = \"" << m_platformFronts[aIndex].ToText()
       << "\"\nduties = [\"metering\"]\n";
  if (m_hostLimits.m_memoryMb > 0 || m_hostLimits.m_maxFds > 0) {
    file << "[limits]\n";
  }
  if (m_hostLimits.m_memoryMb > 0) {
    file << "memory_mb = " << m_hostLimits.m_memoryMb << "\n";
  }
  if (m_hostLimits.m_maxFds > 0) {
    file << "max_fds = " << m_hostLimits.m_maxFds << "\n";
  }
  return path;
}

void PlatformFleet::StartProxy(const base::Address& aListen, const base::Address& aTo) {
  const base::Address control{ aListen.m_host,
                               static_cast<uint16_t>(aListen.m_port + kProxyPortOffset) };
  const std::vector<std::string> options{ "--listen",   aListen.ToText(), "--to",
                                          aTo.ToText(), "--control",      control.ToText() };
  m_proxies.push_back({ std::make_unique<Process>("standins/standin_proxy", options), control });
  if (!WaitUntil([&] { return Call(control, "POST", "/", "{}").m_status == 200; })) {
    throw std::runtime_error("the proxy at " + aListen.ToText() + " did not start");
  }
}

size_t PlatformFleet::AddPlatformProxy(size_t aIndex) {
  const base::Address front{ HostOf(aIndex), static_cast<uint16_t>(m_port + PlatformProxyPort) };
  StartProxy(front, m_platformFronts[aIndex]);
  m_platformFronts[aIndex] = front;
  NodeProcess(aIndex).Kill();
  StartNode(aIndex);
  return m_proxies.size() - 1;
}

bool PlatformFleet::RestoreStore(base::Millis aAge,
                                 base::Millis aDowntime,
                                 base::Millis aRewriteDelay) const {
  const json body = { { "age_ms", aAge.count() },
                      { "down_ms", aDowntime.count() },
                      { "rewrite_ms", aRewriteDelay.count() } };
  return Call(m_platform, "POST", "/control/restore", base::DumpJson(body)).m_status == 200;
}

void PlatformFleet::SetProxyFaults(size_t aProxy, const json& aFaults) const {
  Call(m_proxies.at(aProxy).m_control, "POST", "/", base::DumpJson(aFaults));
}

void PlatformFleet::LaunchNode(size_t aIndex) {
  m_nodes[aIndex] =
    std::make_unique<Process>("apps/papayafieldd/papayafieldd",
                              std::vector<std::string>{ "--platform",
                                                        "--config",
                                                        WriteSettingsFile(aIndex),
                                                        "--metrics-port",
                                                        std::to_string(m_port + MetricsPort) });
}

void PlatformFleet::StartNode(size_t aIndex) {
  LaunchNode(aIndex);
  WaitUntil([&] { return ReadinessStatus(aIndex) != 0; });
}

json PlatformFleet::PostControl(const std::string& aWhat, const json& aBody) const {
  return base::ParseJson(
    Call(m_platform, "POST", "/control/" + aWhat, base::DumpJson(aBody)).m_body);
}

void PlatformFleet::ApplyConfiguration(const std::string& aExtraHost,
                                       std::optional<base::Millis> aIdleTimeout) {
  ConfigurationOptions options;
  options.m_hosts = { "h.example", aExtraHost };
  options.m_idleTimeout = aIdleTimeout;
  ApplyConfiguration(options);
}

void PlatformFleet::ApplyConfiguration(const ConfigurationOptions& aOptions) {
  json routes = json::array();
  for (const std::string& host : aOptions.m_hosts) {
    routes.push_back(MakeRoute(host, "/stream/", "streaming"));
    routes.push_back(MakeRoute(host, "/stream/ungapped/", "streaming"));
    routes.back()["gap_target_ms"] = 0;
    routes.push_back(MakeRoute(host, "/safe/", "idempotent"));
    routes.push_back(MakeRoute(host, "/once/", "non_idempotent"));
  }
  for (json& route : routes) {
    route["service"] = aOptions.m_service;
    if (aOptions.m_timeout) {
      route["timeout_ms"] = aOptions.m_timeout->count();
    }
    if (aOptions.m_streamTimeout && route.at("route_type") == "streaming") {
      route["timeout_ms"] = aOptions.m_streamTimeout->count();
    }
  }
  json limits = json::object();
  if (aOptions.m_idleTimeout) {
    limits["idle_timeout_ms"] = aOptions.m_idleTimeout->count();
  }
  if (aOptions.m_headTimeout) {
    limits["header_timeout_ms"] = aOptions.m_headTimeout->count();
  }
  if (aOptions.m_bodyBytes) {
    limits["max_body_bytes"] = *aOptions.m_bodyBytes;
  }
  json configuration = { { "version", ++m_version },
                         { "routes", routes },
                         { "services",
                           { { { "name", "engines" }, { "max_conns", 300 } },
                             { { "name", "empty" }, { "max_conns", 300 } } } },
                         { "tenants",
                           { { { "name", "team-1" }, { "api_keys", { aOptions.m_key } } } } },
                         { "limits", limits } };
  configuration.merge_patch(aOptions.m_overrides);
  PostControl("configuration", configuration);
}

CallerAnswer PlatformFleet::Send(size_t aIndex,
                                 const std::string& aMethod,
                                 const std::string& aTarget,
                                 const std::string& aHost,
                                 const std::string& aKey,
                                 const std::string& aId) const {
  const std::string id = aId.empty() ? base::RandomHex(8) : aId;
  adapters::http::Headers headers;
  for (const auto& field : MakeCallerHeaders(aHost, aKey, id, kCallerTimeout)) {
    headers.Add(field.m_name, field.m_value);
  }
  return Call(CallerAddress(aIndex), aMethod, aTarget, aMethod == "POST" ? "{}" : "", headers);
}

std::vector<std::string> PlatformFleet::EntryAddresses(size_t aIndex) const {
  const base::Address directory{ HostOf(aIndex), static_cast<uint16_t>(m_port + DirectoryPort) };
  const json answer = base::ParseJson(Call(directory, "GET", "/-/resolve?name=h.example").m_body);
  return answer.is_object() ? answer.at("addresses").get<std::vector<std::string>>()
                            : std::vector<std::string>();
}

int PlatformFleet::ReadinessStatus(size_t aIndex) const {
  const base::Address checks{ HostOf(aIndex), static_cast<uint16_t>(m_port + CheckPort) };
  return Call(checks, "GET", "/-/readyz").m_status;
}

bool PlatformFleet::IsReady(size_t aIndex) const {
  return ReadinessStatus(aIndex) == 200;
}

base::Address PlatformFleet::MetricsAddress(size_t aIndex) const {
  return { HostOf(aIndex), static_cast<uint16_t>(m_port + MetricsPort) };
}

double PlatformFleet::ReadMetric(size_t aIndex, const std::string& aName) const {
  const std::string page = Call(MetricsAddress(aIndex), "GET", "/metrics").m_body;
  const std::string label = "papayafield_values{value=\"" + aName + "\"} ";
  const size_t at = page.find(label);
  return at == std::string::npos ? -1 : std::atof(page.c_str() + at + label.size());
}

bool PlatformFleet::SendAndDisconnect(size_t aIndex,
                                      const std::string& aTarget,
                                      const std::string& aId) const {
  adapters::http::HttpRequest request;
  request.m_method = "POST";
  request.m_to = CallerAddress(aIndex);
  request.m_target = aTarget;
  request.m_body = "{}";
  for (const auto& field : MakeCallerHeaders("h.example", "key-1", aId, kCallerTimeout)) {
    request.m_headers.Add(field.m_name, field.m_value);
  }
  bool began = false;
  const auto answer =
    adapters::http::StreamBlocking(std::move(request), [&](std::string_view /*aPart*/) {
      began = true;
      return false;
    });
  return answer && began;
}

std::vector<json> PlatformFleet::RecordedRuns(const std::string& aId) const {
  std::vector<json> runs;
  const json report = PostControl("report");
  for (const json& run : report.at("runs")) {
    if (run.at("call") == aId) {
      runs.push_back(run);
    }
  }
  return runs;
}

bool PlatformFleet::WaitUntil(const std::function<bool()>& aCondition) {
  const auto until = base::BootNow() + kWaitTimeout;
  while (!aCondition()) {
    if (base::BootNow() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace papayafield::tests
