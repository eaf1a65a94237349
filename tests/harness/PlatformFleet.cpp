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
enum PortOffset : uint16_t { Callers = 0, Checks = 1, Directory = 2, News = 3, Metrics = 4 };

/// Offset of the runners' proxy ports from the port of the platform; the ports of the runners lie
/// between them. Also the offset of a proxy's control port from its listening port.
constexpr uint16_t kProxyPorts = 64;

/// Deadline that a test caller sends with its request.
constexpr base::Millis kCallerPatience{ 15000 };

/// Timeout of Until: far below the time limit of a test program and far above any expected wait.
constexpr base::Millis kPatience{ 20000 };
constexpr base::Millis kPoll{ 10 };

json RouteOf(const std::string& aHost, const std::string& aPrefix, const std::string& aKind) {
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

std::string MakeFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "papayafield-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder for the test");
  }
  return path;
}

} // namespace

std::vector<adapters::http::Header> CallerFields(const std::string& aHost,
                                                 const std::string& aKey,
                                                 const std::string& aId,
                                                 base::Millis aPatience) {
  return { { "Host", aHost },
           { "Authorization", "Bearer " + aKey },
           { "Papayafield-Deadline-Ms", std::to_string(aPatience.count()) },
           { "Papayafield-Attempt-Id", aId } };
}

PlatformFleet::PlatformFleet(size_t aNodes, size_t aRunners, Proxies aProxies)
  : m_folder(MakeFolder())
  , m_port(FreePort())
  , m_platform{ "127.0.0.1", FreePort() }
  , m_platformEntry(m_platform) {
  const auto proxyPort =
    static_cast<uint16_t>(aProxies == Proxies::All ? m_platform.m_port + kProxyPorts : 0);
  const std::vector<std::string> options{ "--listen",     m_platform.ToText(),
                                          "--runners",    std::to_string(aRunners),
                                          "--proxy-port", std::to_string(proxyPort) };
  m_standin = std::make_unique<Process>("standins/standin_fleet", options);
  Until([&] { return Call(m_platform, "GET", "/control/report").m_status == 200; });
  if (aProxies == Proxies::All) {
    m_platformEntry = { "127.0.0.1", static_cast<uint16_t>(proxyPort - 1) };
    StartProxy(m_platformEntry, m_platform);
    for (size_t i = 0; i < aRunners; ++i) {
      StartProxy({ "127.0.0.1", static_cast<uint16_t>(proxyPort + i) },
                 { "127.0.0.1", static_cast<uint16_t>(m_platform.m_port + 1 + i) });
    }
  }
  Configure();
  m_nodes.resize(aNodes);
  for (size_t i = 0; i < aNodes; ++i) {
    Start(i);
  }
  for (size_t i = 0; i < aNodes; ++i) {
    Until([&] {
      return Ready(i) && Entries(i).size() == aNodes &&
             Metric(i, "endpoints_ready") == static_cast<double>(aRunners);
    });
  }
}

PlatformFleet::~PlatformFleet() {
  m_nodes.clear();
  m_proxies.clear();
  m_standin.reset();
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

std::string PlatformFleet::SettingsFile(size_t aIndex) const {
  const std::string host = HostOf(aIndex);
  const auto port = [&](PortOffset aOffset) { return std::to_string(m_port + aOffset); };
  std::string path = m_folder + "/" + host + ".toml";
  std::ofstream file(path);
  file << "node_name = \"node-" << aIndex << "\"\nip = \"" << host << "\"\nzone = \"a\"\n"
       << "internal_ports = [" << port(News) << ", " << port(News) << "]\n"
       << "seeds = [\"" << HostOf(0) << ":1\"]\n[listen]\nfront = \"" << host << ":"
       << port(PortOffset::Callers) << "\"\nready = \"" << host << ":" << port(Checks)
       << "\"\ndirectory = \"" << host << ":" << port(Directory)
       << "\"\n[bounds]\ngrace_s = 8\nlease_ms = 1500\nretry_ratio = 0.2\nretry_slack = 100\n"
       << "usage_window_s = 1\nusage_late_s = 10\n[platform]\naddress = \""
       << m_platformEntry.ToText() << "\"\n[cloud]\naddress = \"" << m_platformEntry.ToText()
       << "\"\nduties = [\"metering\"]\n";
  return path;
}

void PlatformFleet::StartProxy(const base::Address& aListen, const base::Address& aTo) {
  const base::Address control{ "127.0.0.1", static_cast<uint16_t>(aListen.m_port + kProxyPorts) };
  const std::vector<std::string> options{ "--listen",   aListen.ToText(), "--to",
                                          aTo.ToText(), "--control",      control.ToText() };
  m_proxies.push_back({ std::make_unique<Process>("standins/standin_proxy", options), control });
  Until([&] { return Call(control, "POST", "/", "{}").m_status == 200; });
}

void PlatformFleet::ProxyFaults(size_t aProxy, const json& aFaults) const {
  Call(m_proxies.at(aProxy).m_control, "POST", "/", base::DumpJson(aFaults));
}

void PlatformFleet::Start(size_t aIndex) {
  m_nodes[aIndex] =
    std::make_unique<Process>("apps/papayafieldd/papayafieldd",
                              std::vector<std::string>{ "--platform",
                                                        "--config",
                                                        SettingsFile(aIndex),
                                                        "--metrics-port",
                                                        std::to_string(m_port + Metrics) });
  Until([&] { return Readiness(aIndex) != 0; });
}

json PlatformFleet::Control(const std::string& aWhat, const json& aBody) const {
  return base::ParseJson(
    Call(m_platform, "POST", "/control/" + aWhat, base::DumpJson(aBody)).m_body);
}

void PlatformFleet::Configure(const std::string& aExtraHost) {
  json routes = json::array();
  for (const std::string& host : { std::string("h.example"), aExtraHost }) {
    routes.push_back(RouteOf(host, "/stream/", "streaming"));
    routes.push_back(RouteOf(host, "/safe/", "idempotent"));
    routes.push_back(RouteOf(host, "/once/", "non_idempotent"));
  }
  Control("configuration",
          { { "version", ++m_version },
            { "routes", routes },
            { "services", { { { "name", "engines" }, { "max_conns", 300 } } } },
            { "tenants", { { { "name", "team-1" }, { "api_keys", { "key-1" } } } } } });
}

CallerAnswer PlatformFleet::Send(size_t aIndex,
                                 const std::string& aMethod,
                                 const std::string& aTarget,
                                 const std::string& aHost,
                                 const std::string& aKey,
                                 const std::string& aId) const {
  const std::string id = aId.empty() ? base::RandomHex(8) : aId;
  adapters::http::Headers headers;
  for (const auto& field : CallerFields(aHost, aKey, id, kCallerPatience)) {
    headers.Add(field.m_name, field.m_value);
  }
  return Call(Callers(aIndex), aMethod, aTarget, aMethod == "POST" ? "{}" : "", headers);
}

std::vector<std::string> PlatformFleet::Entries(size_t aIndex) const {
  const base::Address directory{ HostOf(aIndex), static_cast<uint16_t>(m_port + Directory) };
  const json answer = base::ParseJson(Call(directory, "GET", "/-/resolve?name=h.example").m_body);
  return answer.is_object() ? answer.at("addresses").get<std::vector<std::string>>()
                            : std::vector<std::string>();
}

int PlatformFleet::Readiness(size_t aIndex) const {
  const base::Address checks{ HostOf(aIndex), static_cast<uint16_t>(m_port + Checks) };
  return Call(checks, "GET", "/-/readyz").m_status;
}

bool PlatformFleet::Ready(size_t aIndex) const {
  return Readiness(aIndex) == 200;
}

double PlatformFleet::Metric(size_t aIndex, const std::string& aName) const {
  const base::Address metrics{ HostOf(aIndex), static_cast<uint16_t>(m_port + Metrics) };
  const std::string page = Call(metrics, "GET", "/metrics").m_body;
  const std::string label = "papayafield_values{value=\"" + aName + "\"} ";
  const size_t at = page.find(label);
  return at == std::string::npos ? -1 : std::atof(page.c_str() + at + label.size());
}

bool PlatformFleet::SendAndLeave(size_t aIndex,
                                 const std::string& aTarget,
                                 const std::string& aId) const {
  adapters::http::HttpRequest request;
  request.m_method = "POST";
  request.m_to = Callers(aIndex);
  request.m_target = aTarget;
  request.m_body = "{}";
  for (const auto& field : CallerFields("h.example", "key-1", aId, kCallerPatience)) {
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

std::vector<json> PlatformFleet::RunsOf(const std::string& aId) const {
  std::vector<json> runs;
  const json report = Control("report");
  for (const json& run : report.at("runs")) {
    if (run.at("call") == aId) {
      runs.push_back(run);
    }
  }
  return runs;
}

bool PlatformFleet::Until(const std::function<bool()>& aDone) {
  const auto until = base::BootNow() + kPatience;
  while (!aDone()) {
    if (base::BootNow() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

} // namespace papayafield::tests
