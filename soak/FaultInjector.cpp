#include "soak/FaultInjector.h"

#include "tests/harness/UncontrolledCallers.h"

#include <array>
#include <csignal>
#include <thread>

namespace papayafield::soak {

using nlohmann::json;

namespace {

/// Age of the copy from which the store returns.
constexpr base::Millis kMinCopyAge{ 1000 };
constexpr base::Millis kMaxCopyAge{ 10000 };
/// Time for which the store is down before it returns from a copy.
constexpr base::Millis kMinDowntime{ 200 };
constexpr base::Millis kMaxDowntime{ 2000 };
/// Time from the return of the store until lost writes of the operator and of runners are repeated.
constexpr base::Millis kMaxRewriteDelay{ 3000 };

/// Bytes that a runner sends in place of some responses.
struct RawBytes {
  const char* m_start;
  /// Repeated without end; empty if nothing is.
  const char* m_repeated;
};

/// Bytes that are no responses of HTTP/1.1, and responses without end.
constexpr std::array<RawBytes, 9> kRawBytes = { {
  { "HTTP/1.1 0 \r\n{fields}Content-Length: 0\r\n\r\n", "" },
  { "HTTP/1.1 999 X\r\n{fields}Content-Length: 0\r\n\r\n", "" },
  { "HTTP/3.7 404 X\r\n{fields}Content-Length: 0\r\n\r\n", "" },
  { "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\nhello"
    "HTTP/1.1 404 X\r\n{fields}Content-Length: 0\r\n\r\n",
    "" },
  { "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: "
    "chunked\r\n\r\n",
    "2\r\n.\n\r\n" },
  { "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nContent-Length: "
    "99999999999\r\n\r\n",
    "data: x\n" },
  { "HTTP/1.1 500 X\r\n{fields}\r\n", "x" },
  { "HTTP/1.1 200 OK\r\nX: ", "x" },
  { "", "HTTP/1.1 100\r\n\r\n" },
} };
/// One of this many responses is replaced by responses without end.
constexpr int kOneEndlessIn = 5;
/// Callers that never complete their requests, and how long they send at most. 40 bodies of the
/// maximum size exceed what a node may hold.
constexpr int kUncontrolledCallers = 40;
constexpr base::Millis kMaxSendTime{ 1000 };

/// Callers that send beside the event loop and keep their connections until the destructor.
class UncontrolledCallers {
public:
  UncontrolledCallers(const base::Address& aTo, tests::Load aLoad)
    : m_load(std::move(aLoad))
    , m_thread([this, aTo] {
      tests::Connect(aTo, m_load, kUncontrolledCallers, m_crowd);
      tests::SendAll(m_crowd, kMaxSendTime);
    }) {}
  ~UncontrolledCallers() { m_thread.join(); }
  UncontrolledCallers(const UncontrolledCallers&) = delete;
  UncontrolledCallers& operator=(const UncontrolledCallers&) = delete;
  UncontrolledCallers(UncontrolledCallers&&) = delete;
  UncontrolledCallers& operator=(UncontrolledCallers&&) = delete;

private:
  tests::Load m_load;
  tests::Crowd m_crowd;
  std::thread m_thread;
};

} // namespace

std::string FaultInjector::Advance() {
  m_stepSummary.clear();
  for (size_t i = m_active.size() / 2; i < m_active.size(); ++i) {
    Revert(m_active[i]);
    m_stepSummary += " -" + m_active[i].m_name;
  }
  m_active.resize(m_active.size() / 2);
  const size_t count = 1 + RandomIndex(2);
  for (size_t i = 0; i < count; ++i) {
    InjectRandom();
    m_stepSummary += " +" + m_active.back().m_name;
  }
  return m_stepSummary;
}

void FaultInjector::RevertAll() {
  for (const ActiveFault& active : std::exchange(m_active, {})) {
    Revert(active);
  }
}

void FaultInjector::Revert(const ActiveFault& aFault) {
  aFault.m_revert();
  if (!aFault.m_isPlanned) {
    m_unplannedSpans.push_back({ aFault.m_start, base::BootNow() });
  }
}

void FaultInjector::InjectRandom() {
  switch (RandomIndex(6)) {
    case 0:
      InjectNodeFault();
      break;
    case 1:
      InjectStoreFault();
      break;
    case 2:
      InjectRunnerFault();
      break;
    case 3:
      InjectRestore();
      break;
    case 4:
      InjectUncontrolledCallers();
      break;
    default:
      InjectProxyFault();
      break;
  }
}

void FaultInjector::InjectNodeFault() {
  const size_t node = RandomIndex(m_nodes);
  const std::string name = std::to_string(node);
  tests::Process& process = m_fleet.NodeProcess(node);
  switch (RandomIndex(4)) {
    case 0:
      process.Signal(SIGSTOP);
      m_active.push_back(
        { "pause_node_" + name, [this, node] { m_fleet.NodeProcess(node).Signal(SIGCONT); } });
      break;
    case 1:
      process.Kill();
      m_active.push_back(
        { "kill_node_" + name, [this, node] { m_plannedWork.EnsureRunning(node); } });
      break;
    case 2:
      m_plannedWork.Restart(node);
      m_active.push_back({ "term_node_" + name, [] {}, true });
      break;
    default:
      m_plannedWork.Reload(node);
      m_active.push_back({ "hup_node_" + name, [] {}, true });
      break;
  }
}

void FaultInjector::InjectStoreFault() {
  static constexpr std::array<const char*, 3> kModes = { "silent", "busy", "lose_answers" };
  const size_t choice = RandomIndex(5);
  if (choice < kModes.size()) {
    m_fleet.PostControl("store", { { "mode", kModes[choice] } });
    m_active.push_back({ std::string("store_") + kModes[choice], [this] {
                          m_fleet.PostControl("store", { { "mode", "ok" } });
                        } });
  } else if (choice == 3) {
    m_fleet.PostControl("compact");
    m_active.push_back({ "compact", [] {} });
  } else {
    m_plannedWork.Configure();
    m_active.push_back({ "configure", [] {}, true });
  }
}

void FaultInjector::InjectRestore() {
  m_plannedWork.Configure();
  const base::Millis age = RandomTime(kMinCopyAge, kMaxCopyAge);
  const base::Millis downtime = RandomTime(kMinDowntime, kMaxDowntime);
  m_fleet.RestoreStore(age, downtime, RandomTime(base::Millis(0), kMaxRewriteDelay));
  m_active.push_back({ "restore_" + std::to_string(age.count()), [] {}, true });
}

void FaultInjector::InjectRunnerFault() {
  static constexpr std::array<const char*, 6> kModes = { "hang", "lose_answers", "shed",
                                                         "fail", "cut",          "raw" };
  // The last runner stays healthy, so that calls can always be served.
  const size_t runner = RandomIndex(m_runners - 1);
  const size_t choice = RandomIndex(kModes.size() + 1);
  const json healthy = { { "index", runner }, { "mode", "ok" }, { "state", "ready" } };
  const std::string name = std::to_string(runner);
  if (choice < kModes.size()) {
    const RawBytes& raw = kRawBytes[RandomIndex(kRawBytes.size())];
    const bool isEndless = *raw.m_repeated != '\0';
    m_fleet.PostControl("runner",
                        { { "index", runner },
                          { "mode", kModes[choice] },
                          { "raw", raw.m_start },
                          { "repeated", raw.m_repeated },
                          { "one_in", isEndless ? kOneEndlessIn : 1 } });
    m_active.push_back({ std::string(kModes[choice]) + "_runner_" + name,
                         [this, healthy] { m_fleet.PostControl("runner", healthy); } });
  } else {
    m_fleet.PostControl("runner", { { "index", runner }, { "state", "draining" } });
    m_active.push_back(
      { "drain_runner_" + name, [this, healthy] { m_fleet.PostControl("runner", healthy); } });
  }
}

void FaultInjector::InjectUncontrolledCallers() {
  const size_t node = RandomIndex(m_nodes);
  std::vector<tests::Load> loads = tests::HeadLoads();
  for (tests::Load& load : tests::BodyLoads()) {
    loads.push_back(std::move(load));
  }
  const size_t choice = RandomIndex(loads.size());
  auto callers =
    std::make_shared<UncontrolledCallers>(m_fleet.CallerAddress(node), std::move(loads[choice]));
  m_active.push_back({ "callers_" + std::to_string(choice) + "_node_" + std::to_string(node),
                       [callers]() mutable { callers.reset(); } });
}

void FaultInjector::InjectProxyFault() {
  const size_t proxy = RandomIndex(m_fleet.ProxyCount());
  const std::string name = "_proxy_" + std::to_string(proxy);
  const auto revert = [this, proxy](const json& aFaults) {
    return [this, proxy, aFaults] { m_fleet.SetProxyFaults(proxy, aFaults); };
  };
  switch (RandomIndex(5)) {
    case 0:
      m_fleet.SetProxyFaults(proxy, { { "delay_ms", 200 } });
      m_active.push_back({ "delay" + name, revert({ { "delay_ms", 0 } }) });
      break;
    case 1:
      m_fleet.SetProxyFaults(proxy, { { "refuse", true } });
      m_active.push_back({ "refuse" + name, revert({ { "refuse", false } }) });
      break;
    case 2:
      m_fleet.SetProxyFaults(proxy, { { "lose_answers", true } });
      m_active.push_back(
        { "one_way" + name, revert({ { "lose_answers", false }, { "cut", true } }) });
      break;
    case 3:
      m_fleet.SetProxyFaults(proxy, { { "cut", true } });
      m_active.push_back({ "reset" + name, [] {} });
      break;
    default:
      m_fleet.SetProxyFaults(proxy, { { "silence", true } });
      m_active.push_back({ "silence" + name, [] {} });
      break;
  }
}

} // namespace papayafield::soak
