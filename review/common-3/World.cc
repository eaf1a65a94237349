#include "review/common-3/World.hpp"

#include "adapters/http1/Connection.h"
#include "base/Digest.h"
#include "base/Json.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace papayafield::review {

using adapters::http1::ClientConnection;
using adapters::http1::EncodeChunk;
using adapters::http1::EndKind;
using adapters::http1::Listener;
using adapters::http1::QueryParameter;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;
using adapters::http1::Serialize;
using adapters::http1::ServerConnection;
using nlohmann::json;

namespace {

constexpr size_t kMaxHeadBytes = 65536;
constexpr const char* kHost = "h.example";
constexpr const char* kService = "drafts";
constexpr const char* kZones[] = { "zone-a", "zone-b", "zone-c" };
/// Interval after which a start of all nodes is given up.
constexpr base::Millis kMaxStartTime{ 20000 };

/// Offsets of the ports of a node.
enum PortOffset : uint16_t { kFront = 0, kReady = 1, kDirectory = 2, kControl = 3, kInternal = 4 };

std::string Text(const RequestHead& aHead, const char* aName) {
  return std::string(aHead.m_fields.Find(aName).value_or(std::string_view{}));
}

bool IsFree(const std::string& aHost, uint16_t aPort, int aType) {
  const int fd = socket(AF_INET, aType, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  const bool isFree = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return isFree;
}

/// Returns the first of `aCount` consecutive ports that are free at `aHost`.
uint16_t FindPorts(const std::string& aHost, uint16_t aCount, std::mt19937_64& aRandom) {
  constexpr uint16_t kFirst = 12000;
  constexpr uint16_t kRange = 18000;
  while (true) {
    const auto first = static_cast<uint16_t>(kFirst + aRandom() % kRange);
    bool areFree = true;
    for (uint16_t i = 0; i < aCount; ++i) {
      const auto port = static_cast<uint16_t>(first + i);
      areFree = areFree && IsFree(aHost, port, SOCK_STREAM) && IsFree(aHost, port, SOCK_DGRAM);
    }
    if (areFree) {
      return first;
    }
  }
}

std::string MakeFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return path;
}

std::string ProgramPath() {
  const char* path = std::getenv("PAPAYAFIELDD");
  return path == nullptr ? "target/apps/papayafieldd/papayafieldd" : path;
}

} // namespace

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string CaseFolder(int aCount, char** aValues) {
  return aCount > 1 ? aValues[1] : ".";
}

void Record::Write(const std::string& aLine) {
  const std::chrono::duration<double> elapsed = base::BootNow() - m_start;
  char time[24];
  std::snprintf(time, sizeof(time), "%9.3f ", elapsed.count());
  m_file << time << aLine << std::endl;
}

// --- Runner

struct Runner::Caller {
  std::shared_ptr<ServerConnection> m_connection;
  RequestHead m_head;
  adapters::http::EventHandlePtr m_timer;
};

Runner::Runner(adapters::http::EventLoop& aLoop,
               Record& aRecord,
               const RunnerBehaviour& aBehaviour,
               base::Address aAddress,
               std::string aId,
               std::string aVersion,
               std::vector<StartedRun>& aRuns,
               std::function<void(Runner&)> aOnRestart)
  : m_loop(aLoop)
  , m_record(aRecord)
  , m_behaviour(aBehaviour)
  , m_address(std::move(aAddress))
  , m_id(std::move(aId))
  , m_version(std::move(aVersion))
  , m_runs(aRuns)
  , m_onRestart(std::move(aOnRestart)) {}

Runner::~Runner() {
  Crash();
}

void Runner::Start() {
  m_born = base::WallMillis();
  m_listener = std::make_unique<Listener>(
    m_loop, m_address, kMaxHeadBytes, [this](auto aConnection) { Accept(std::move(aConnection)); });
}

void Runner::Crash() {
  m_listener.reset();
  for (const auto& caller : std::exchange(m_callers, {})) {
    caller->m_timer.reset();
    caller->m_connection->Close();
  }
}

std::string Runner::Entry(const std::string& aState) const {
  return base::DumpJson({ { "service", kService },
                          { "address", m_address.ToText() },
                          { "zone", kZones[0] },
                          { "version", m_version },
                          { "slots", 64 },
                          { "state", aState },
                          { "cold_left_ms", 0 },
                          { "sequence", 1 },
                          { "born", m_born } });
}

void Runner::Accept(std::shared_ptr<ServerConnection> aConnection) {
  auto caller = std::make_shared<Caller>();
  caller->m_connection = std::move(aConnection);
  m_callers.insert(caller);
  const std::weak_ptr<Caller> weak = caller;
  ServerConnection::Events events;
  events.m_onHead = [weak](RequestHead&& aHead) {
    if (const auto locked = weak.lock()) {
      locked->m_head = std::move(aHead);
    }
  };
  events.m_onComplete = [this, weak] {
    if (const auto locked = weak.lock()) {
      locked->m_timer = m_loop.After(m_behaviour.m_firstEventDelay, [this, weak] {
        if (const auto active = weak.lock()) {
          Answer(active);
        }
      });
    }
  };
  // Like most runners, it drops a request whose connection has been closed.
  events.m_onEnd = [this, weak](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (const auto locked = weak.lock()) {
      locked->m_timer.reset();
      m_callers.erase(locked);
    }
  };
  caller->m_connection->SetEvents(std::move(events));
}

void Runner::Answer(const std::shared_ptr<Caller>& aCaller) {
  const std::string id = Text(aCaller->m_head, "Papayafield-Attempt-Id");
  ResponseHead head;
  head.m_fields.Add("Papayafield-Attempt-Id", id);
  head.m_fields.Add("Papayafield-Instance-Id", m_id);
  if (m_isLeaving) {
    head.m_fields.Add("Server-Leaving", "1");
  }
  if (Text(aCaller->m_head, "Papayafield-Target-Instance") != m_id) {
    head.m_status = 421;
    head.m_fields.Add("Papayafield-Not-Executed", "1");
    head.m_fields.Add("Content-Length", "0");
    aCaller->m_connection->Write(Serialize(head));
    aCaller->m_connection->Resume();
    return;
  }
  const std::string parts = Text(aCaller->m_head, "Papayafield-Prefix-Hash");
  const std::string last = Text(aCaller->m_head, "Last-Event-Id");
  m_runs.push_back({ id, m_id, m_version, parts, base::BootNow() });
  m_record.Write("runner " + m_id + " (" + m_version + ") runs " + id + " after event " +
                 (last.empty() ? "-" : last));
  if (!m_behaviour.m_deadlyPart.empty() &&
      ("," + parts).find("," + m_behaviour.m_deadlyPart + ":") != std::string::npos) {
    m_record.Write("runner " + m_id + " crashes on " + id);
    m_restartTimer = m_loop.After(m_behaviour.m_downtime, [this] {
      Start();
      m_record.Write("runner " + m_id + " is back");
      m_onRestart(*this);
    });
    Crash();
    return;
  }
  head.m_status = 200;
  head.m_fields.Add("Papayafield-Response-Signature", "signed-by-" + m_id);
  head.m_fields.Add("Content-Type", "text/event-stream");
  head.m_fields.Add("Transfer-Encoding", "chunked");
  aCaller->m_connection->Write(Serialize(head));
  SendEvent(aCaller, std::atoi(last.c_str()) + 1);
}

void Runner::SendEvent(const std::shared_ptr<Caller>& aCaller, int aNumber) {
  const std::string& target = aCaller->m_head.m_target;
  if (aNumber > std::atoi(QueryParameter(target, "events").c_str())) {
    aCaller->m_timer.reset();
    aCaller->m_connection->Write("0\r\n\r\n");
    aCaller->m_connection->Resume();
    return;
  }
  aCaller->m_connection->Write(EncodeChunk("id: " + std::to_string(aNumber) + "\ndata: piece " +
                                           std::to_string(aNumber) + " by " + m_version + "\n\n"));
  const base::Millis pace(std::atoi(QueryParameter(target, "every_ms").c_str()));
  aCaller->m_timer = m_loop.After(pace, [this, weak = std::weak_ptr<Caller>(aCaller), aNumber] {
    if (const auto caller = weak.lock()) {
      SendEvent(caller, aNumber + 1);
    }
  });
}

// --- Node

Node::Node(std::string aProgram, std::string aSettingsPath, std::string aLogPath, std::string aHost)
  : m_program(std::move(aProgram))
  , m_settingsPath(std::move(aSettingsPath))
  , m_logPath(std::move(aLogPath))
  , m_host(std::move(aHost)) {}

Node::~Node() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void Node::Start() {
  const std::string settings = "PAPAYAFIELD_CONFIG=" + m_settingsPath;
  std::vector<std::string> words{ m_program, "--platform", "--metrics-port", "9464" };
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const char* path = std::getenv("PATH");
  std::string pathVariable = std::string("PATH=") + (path == nullptr ? "" : path);
  std::string settingsVariable = settings;
  char* environment[] = { pathVariable.data(), settingsVariable.data(), nullptr };
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments.data(), environment) !=
      0) {
    m_pid = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

void Node::Signal(int aSignal) const {
  if (m_pid > 0) {
    kill(m_pid, aSignal);
  }
}

bool Node::IsRunning() {
  int status = 0;
  if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_pid = -1;
  }
  return m_pid > 0;
}

// --- Directory

Directory::Directory(World& aWorld, size_t aZone, int aKeepFactor)
  : m_world(aWorld)
  , m_zone(aZone)
  , m_keepFactor(aKeepFactor) {}

const std::vector<std::string>& Directory::Addresses() {
  if (!m_isAsking && base::BootNow() >= m_validUntil) {
    m_isAsking = true;
    Ask(0);
  }
  return m_addresses;
}

void Directory::Ask(size_t aTry) {
  constexpr size_t kTries = 3;
  if (aTry == std::min(kTries, m_world.NodeCount())) {
    // Clients keep what they have for longer if they get nothing new.
    ++m_failures;
    m_isAsking = false;
    return;
  }
  const size_t node = (m_zone + aTry) % m_world.NodeCount();
  m_world.Get(m_world.DirectoryOf(node),
              std::string("/-/resolve?name=") + kHost + "&region=region&zone=" + kZones[m_zone % 3],
              base::Millis(1000),
              [this, aTry](int aStatus, const std::string& aBody) {
                const json body = base::ParseJson(aBody);
                if (aStatus != 200 || !body.is_object() || !body.contains("addresses")) {
                  Ask(aTry + 1);
                  return;
                }
                m_addresses = body["addresses"].get<std::vector<std::string>>();
                const std::chrono::duration<double> kept(
                  std::min(base::ValueOr<double>(body, "ttl_s", 0), 5.0) * m_keepFactor);
                m_validUntil =
                  base::BootNow() + std::chrono::duration_cast<base::TimePoint::duration>(kept);
                m_isAsking = false;
              });
}

// --- StreamClient

StreamClient::StreamClient(World& aWorld,
                           Directory& aDirectory,
                           std::string aTarget,
                           std::string aParts)
  : m_world(aWorld)
  , m_directory(aDirectory)
  , m_target(std::move(aTarget))
  , m_parts(std::move(aParts)) {}

void StreamClient::Start() {
  m_deadline = base::BootNow() + kDeadline;
  Send();
}

void StreamClient::Send() {
  std::vector<std::string> addresses;
  for (const std::string& address : m_directory.Addresses()) {
    if (!m_failedNodes.contains(address)) {
      addresses.push_back(address);
    }
  }
  const auto left = std::chrono::duration_cast<base::Millis>(m_deadline - base::BootNow());
  if (addresses.empty() || left <= base::Millis(0)) {
    m_result.m_isEnded = true;
    return;
  }
  Try attempt;
  attempt.m_id = base::RandomHex(8);
  attempt.m_node = addresses[m_world.Random()() % addresses.size()];
  attempt.m_sentAt = base::BootNow();
  attempt.m_lastEvent = m_lastEvent;
  attempt.m_hadTwoRunners = m_world.ServingRunners(m_result.m_firstVersion) >= 2;
  RequestHead head;
  head.m_method = "POST";
  head.m_target = m_target;
  head.m_fields.Add("Host", kHost);
  head.m_fields.Add("Authorization", "Bearer key-1");
  head.m_fields.Add("Papayafield-Attempt-Id", attempt.m_id);
  head.m_fields.Add("Papayafield-Deadline-Ms", std::to_string(left.count()));
  head.m_fields.Add("Papayafield-Model", "m");
  head.m_fields.Add("Papayafield-Token-Usage", "600,300");
  head.m_fields.Add("Papayafield-Prefix-Hash", m_parts + attempt.m_id + ":100");
  if (!m_lastEvent.empty()) {
    head.m_fields.Add("Last-Event-Id", m_lastEvent);
    const auto first = std::find_if(m_result.m_tries.begin(),
                                    m_result.m_tries.end(),
                                    [](const Try& aTry) { return aTry.m_events > 0; });
    head.m_fields.Add("Resumes", first->m_id);
  }
  m_world.Log().Write("client sends " + attempt.m_id + " to " + attempt.m_node +
                      (m_lastEvent.empty() ? std::string() : " after event " + m_lastEvent));
  m_result.m_tries.push_back(attempt);
  m_buffer.clear();
  m_connection = ClientConnection::ConnectTo(
    m_world.Loop(), base::Address::Parse(attempt.m_node), base::Millis(15000));
  const std::weak_ptr<StreamClient> weak = weak_from_this();
  ClientConnection::Events events;
  events.m_onHead = [weak](ResponseHead&& aHead) {
    if (const auto self = weak.lock()) {
      self->m_result.m_tries.back().m_status = aHead.m_status;
      self->m_retryAfter =
        std::atof(std::string(aHead.m_fields.Find("Retry-After").value_or("0")).c_str());
    }
  };
  events.m_onBody = [weak](std::string_view aBytes) {
    if (const auto self = weak.lock()) {
      self->OnEvents(aBytes);
    }
  };
  events.m_onComplete = [weak] {
    if (const auto self = weak.lock()) {
      self->OnTryEnded(self->m_result.m_tries.back().m_status == 200);
    }
  };
  events.m_onEnd = [weak](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (const auto self = weak.lock()) {
      self->OnTryEnded(false);
    }
  };
  m_connection->SetEvents(std::move(events));
  m_connection->Write(Serialize(head, "{}"));
  ArmGapTimer();
}

void StreamClient::ArmGapTimer() {
  const auto left = std::chrono::duration_cast<base::Millis>(m_deadline - base::BootNow());
  const base::Millis limit = std::clamp(left, base::Millis(1), kMaxGap);
  m_gapTimer = m_world.Loop().After(limit, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnTryEnded(false);
    }
  });
}

void StreamClient::OnEvents(std::string_view aBytes) {
  if (m_result.m_tries.back().m_status != 200) {
    return;
  }
  m_buffer += aBytes;
  for (size_t end = 0; (end = m_buffer.find("\n\n")) != std::string::npos;) {
    const std::string event = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    const size_t by = event.find(" by ");
    m_lastEvent = event.substr(4, event.find('\n') - 4);
    const std::string version = event.substr(by + 4);
    m_result.m_versions.insert(version);
    if (m_result.m_firstVersion.empty()) {
      m_result.m_firstVersion = version;
    }
    ++m_result.m_tries.back().m_events;
  }
  ArmGapTimer();
}

void StreamClient::OnTryEnded(bool aIsComplete) {
  const auto self = shared_from_this();
  m_gapTimer.reset();
  const auto connection = std::exchange(m_connection, nullptr);
  if (connection == nullptr) {
    return;
  }
  connection->Close();
  const Try& attempt = m_result.m_tries.back();
  m_world.Log().Write("client gets " + std::to_string(attempt.m_status) + " for " + attempt.m_id +
                      ", " + std::to_string(attempt.m_events) + " events, " +
                      (aIsComplete ? "complete" : "incomplete"));
  const auto left = std::chrono::duration_cast<base::Millis>(m_deadline - base::BootNow());
  if (aIsComplete || static_cast<int>(m_result.m_tries.size()) > kRetries ||
      left <= base::Millis(0)) {
    m_result.m_isComplete = aIsComplete;
    m_result.m_isEnded = true;
    return;
  }
  if (attempt.m_status != 503) {
    m_failedNodes.insert(attempt.m_node);
  }
  const std::chrono::duration<double> third = left / 3;
  const base::Millis delay(
    static_cast<int64_t>(1000 * std::clamp(m_retryAfter, 0.02, third.count())));
  m_retryTimer = m_world.Loop().After(delay, [weak = weak_from_this()] {
    if (const auto client = weak.lock()) {
      client->Send();
    }
  });
}

// --- World

World::World(std::string aCaseFolder, const WorldSettings& aSettings)
  : m_program(ProgramPath())
  , m_folder(MakeFolder())
  , m_port(0)
  , m_net(20 + getpid() % 200)
  , m_record(aCaseFolder + "/record.txt")
  , m_behaviour(aSettings.m_behaviour)
  , m_store(m_loop) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string platform = "127.0." + std::to_string(m_net) + ".1";
  constexpr uint16_t kPortCount = 64;
  m_port = FindPorts(platform, kPortCount, m_random);
  m_platformAddress = { platform, m_port };
  m_platform =
    std::make_unique<Listener>(m_loop, m_platformAddress, kMaxHeadBytes, [this](auto aConnection) {
      AcceptPlatformCall(aConnection);
    });
  for (size_t i = 0; i < aSettings.m_nodes; ++i) {
    const std::string name = "node-" + std::to_string(i);
    WriteSettings(i, aSettings);
    m_nodes.push_back(std::make_unique<Node>(m_program,
                                             m_folder + "/" + name + ".toml",
                                             m_folder + "/" + name + ".log",
                                             FrontOf(i).m_host));
  }
  Configure(3, base::Millis(15000));
}

World::~World() {
  m_timers.clear();
  m_clients.clear();
  m_nodes.clear();
  m_runners.clear();
  if (const char* keep = std::getenv("KEEP_LOGS"); keep != nullptr) {
    std::filesystem::copy(m_folder, keep, std::filesystem::copy_options::recursive);
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

base::Address World::FrontOf(size_t aIndex) const {
  return { "127.0." + std::to_string(m_net) + "." + std::to_string(10 + aIndex),
           static_cast<uint16_t>(m_port + kFront) };
}

base::Address World::DirectoryOf(size_t aIndex) const {
  return { FrontOf(aIndex).m_host, static_cast<uint16_t>(m_port + kDirectory) };
}

base::Address World::ReadinessOf(size_t aIndex) const {
  return { FrontOf(aIndex).m_host, static_cast<uint16_t>(m_port + kReady) };
}

void World::WriteSettings(size_t aIndex, const WorldSettings& aSettings) const {
  const std::string host = FrontOf(aIndex).m_host;
  const auto port = [&](uint16_t aOffset) { return std::to_string(m_port + aOffset); };
  std::ofstream file(m_folder + "/node-" + std::to_string(aIndex) + ".toml");
  file << "node_name = \"node-" << aIndex << "\"\nrole = \"node\"\nmachine_class = \"edge\"\n"
       << "serves = [\"edge\",\"control_plane\",\"registry\"]\nip = \"" << host << "\"\nzone = \""
       << kZones[aIndex % 3] << "\"\nregion = \"region\"\ninternal_ports = [" << port(kInternal)
       << "," << port(kInternal + 15) << "]\nseeds = [";
  for (size_t i = 0; i < std::min<size_t>(aSettings.m_nodes, 3); ++i) {
    file << (i == 0 ? "" : ",") << "\"" << FrontOf(i).m_host << ":" << port(kControl) << "\"";
  }
  file << "]\nbootstrap = true\n[listen]\nfront = \"" << FrontOf(aIndex).ToText()
       << "\"\nready = \"" << ReadinessOf(aIndex).ToText() << "\"\ncontrol = \"" << host << ":"
       << port(kControl) << "\"\ndirectory = \"" << DirectoryOf(aIndex).ToText() << "\"\n[limits]\n"
       << aSettings.m_limits
       << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n"
          "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n"
          "rollback_slack_ms = 250\npartition_ms = 5000\nfail_closed = false\nrevoke_ms = 5000\n"
          "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\nquota_window_s = 8\n"
          "quota_overrun = 0.1\nquota_slack = 110000\nfencing = true\nlease_ms = 3000\n"
          "thaw_ms = 300\nusage_window_s = 5\nusage_error = 0.05\nusage_late_s = 10\n"
          "recover_s = 12\nmax_delivery_ms = 120\nretry_after_s = 8.1\nttl_max_s = 5\n"
       << "[platform]\naddress = \"" << m_platformAddress.ToText()
       << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
          "value_bytes = 1048576\nttl_min_ms = 1000\n[cloud]\naddress = \""
       << m_platformAddress.ToText() << "\"\nduties = [\"metering\"]\nduties_per_s = 50.0\n";
}

void World::Configure(int aVersion, base::Millis aTimeout) {
  const json route = { { "name", "notes" },
                       { "host", kHost },
                       { "prefix", "/notes/" },
                       { "route_type", "streaming" },
                       { "timeout_ms", aTimeout.count() },
                       { "goal_ms", 1200 },
                       { "gap_target_ms", 600 },
                       { "priority", 2 },
                       { "service", kService },
                       { "max_attempts", 2 },
                       { "sticky", true },
                       { "resumable", true } };
  m_store.Put(
    "op/config",
    base::DumpJson({ { "version", aVersion },
                     { "routes", json::array({ route }) },
                     { "services", { { { "name", kService }, { "max_conns", 370 } } } },
                     { "tenants", { { { "name", "tenant-1" }, { "api_keys", { "key-1" } } } } },
                     { "limits",
                       { { "max_header_bytes", 16384 },
                         { "max_body_bytes", 4194304 },
                         { "header_timeout_ms", 3000 },
                         { "idle_timeout_ms", 15000 } } } }));
}

void World::AcceptPlatformCall(const std::shared_ptr<ServerConnection>& aConnection) {
  m_platformConnections.insert(aConnection);
  auto head = std::make_shared<RequestHead>();
  auto body = std::make_shared<std::string>();
  const std::weak_ptr<ServerConnection> weak = aConnection;
  ServerConnection::Events events;
  events.m_onHead = [head, body](RequestHead&& aHead) {
    *head = std::move(aHead);
    body->clear();
  };
  events.m_onBody = [body](std::string_view aBytes) { *body += aBytes; };
  events.m_onComplete = [this, weak, head, body] {
    const auto respond = [this, weak](int aStatus, const json& aBody) {
      const auto connection = weak.lock();
      if (connection == nullptr) {
        return;
      }
      if (aStatus == standins::Store::kCloseConnection) {
        m_platformConnections.erase(connection);
        connection->Close();
        return;
      }
      const std::string text = base::DumpJson(aBody);
      ResponseHead response;
      response.m_status = aStatus;
      response.m_fields.Add("Content-Type", "application/json");
      response.m_fields.Add("Store-Era", "1");
      response.m_fields.Add("Content-Length", std::to_string(text.size()));
      connection->Write(Serialize(response) + text);
      connection->Resume();
    };
    if (head->m_target.starts_with("/-/kv-")) {
      // The store takes 4 ms an answer.
      const RequestHead call = *head;
      const std::string text = *body;
      auto timer = std::make_shared<adapters::http::EventHandlePtr>();
      *timer = m_loop.After(base::Millis(4), [this, call, text, respond, timer] {
        m_store.Handle(call, text, respond);
        m_loop.Defer([timer] { timer->reset(); });
      });
    } else {
      respond(200, json::object());
    }
  };
  events.m_onEnd = [this, weak](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (const auto connection = weak.lock()) {
      m_platformConnections.erase(connection);
    }
  };
  aConnection->SetEvents(std::move(events));
}

Runner& World::AddRunner(const std::string& aId, const std::string& aVersion) {
  constexpr uint16_t kFirstRunnerPort = 24;
  const auto offset = static_cast<uint16_t>(kFirstRunnerPort + m_runners.size());
  m_runners.push_back(std::make_unique<Runner>(
    m_loop,
    m_record,
    m_behaviour,
    base::Address{ m_platformAddress.m_host, static_cast<uint16_t>(m_port + offset) },
    aId,
    aVersion,
    m_runs,
    [this](Runner& aRunner) { Register(aRunner, "ready"); }));
  m_runners.back()->Start();
  Register(*m_runners.back(), "ready");
  return *m_runners.back();
}

void World::Register(const Runner& aRunner, const std::string& aState) {
  m_record.Write("entry of " + aRunner.Id() + " (" + aRunner.Version() + "): " + aState);
  m_states[aRunner.Id()] = aState;
  m_store.Put("servers/" + aRunner.Id(), aRunner.Entry(aState));
}

void World::Unregister(const Runner& aRunner) {
  m_record.Write("entry of " + aRunner.Id() + " removed");
  m_states.erase(aRunner.Id());
  m_store.Remove("servers/" + aRunner.Id());
}

int World::ServingRunners(const std::string& aVersion) const {
  return static_cast<int>(
    std::count_if(m_runners.begin(), m_runners.end(), [&](const auto& aRunner) {
      const auto state = m_states.find(aRunner->Id());
      return aRunner->IsUp() && aRunner->Version() == aVersion && state != m_states.end() &&
             state->second == "ready";
    }));
}

std::shared_ptr<StreamClient> World::StartStream(Directory& aDirectory,
                                                 const std::string& aTarget,
                                                 const std::string& aParts) {
  m_clients.push_back(std::make_shared<StreamClient>(*this, aDirectory, aTarget, aParts));
  m_clients.back()->Start();
  return m_clients.back();
}

void World::Get(const base::Address& aTo,
                const std::string& aTarget,
                base::Millis aTimeout,
                OnStatus aOnStatus) {
  struct Call {
    std::shared_ptr<ClientConnection> m_connection;
    adapters::http::EventHandlePtr m_timer;
    int m_status = 0;
    std::string m_body;
    OnStatus m_onStatus;
    bool m_isDone = false;
  };
  auto call = std::make_shared<Call>();
  call->m_onStatus = std::move(aOnStatus);
  // The connection holds the call until its end.
  const auto finish = [call](bool aIsComplete) {
    if (std::exchange(call->m_isDone, true)) {
      return;
    }
    const auto connection = call->m_connection;
    call->m_timer.reset();
    call->m_onStatus(aIsComplete ? call->m_status : 0, call->m_body);
    connection->Close();
  };
  call->m_connection = ClientConnection::ConnectTo(m_loop, aTo, base::Millis(15000));
  ClientConnection::Events events;
  events.m_onHead = [call](ResponseHead&& aHead) { call->m_status = aHead.m_status; };
  events.m_onBody = [call](std::string_view aBytes) { call->m_body += aBytes; };
  events.m_onComplete = [finish] { finish(true); };
  events.m_onEnd = [finish](EndKind /*aKind*/, bool /*aInMessage*/) { finish(false); };
  call->m_connection->SetEvents(std::move(events));
  RequestHead head;
  head.m_method = "GET";
  head.m_target = aTarget;
  head.m_fields.Add("Host", aTo.ToText());
  head.m_fields.Add("Connection", "close");
  call->m_connection->Write(Serialize(head, ""));
  call->m_timer = m_loop.After(aTimeout, [finish] { finish(false); });
}

void World::At(base::Millis aAt, std::function<void()> aAction) {
  m_actions.emplace_back(aAt, std::move(aAction));
}

void World::PollReadiness(size_t aIndex) {
  Get(ReadinessOf(aIndex),
      "/-/readyz",
      base::Millis(500),
      [this, aIndex](int aStatus, const std::string& /*aBody*/) {
        if (aStatus == 200) {
          m_readyNodes.insert(aIndex);
        } else {
          m_timers.push_back(
            m_loop.After(base::Millis(50), [this, aIndex] { PollReadiness(aIndex); }));
        }
      });
}

bool World::Run(base::Millis aLength) {
  for (size_t i = 0; i < m_nodes.size(); ++i) {
    m_nodes[i]->Start();
    PollReadiness(i);
  }
  const auto giveUp = base::BootNow() + kMaxStartTime;
  bool areReady = false;
  auto poll = m_loop.Every(base::Millis(50), [&] {
    areReady = m_readyNodes.size() == m_nodes.size();
    if (areReady || base::BootNow() > giveUp) {
      m_loop.Stop();
    }
  });
  m_loop.Run();
  poll.reset();
  if (!areReady) {
    return false;
  }
  m_record.Write("all nodes are ready");
  // The nodes hear of one another, and quotas and leadership settle.
  constexpr base::Millis kSettleTime{ 3000 };
  for (auto& [at, action] : m_actions) {
    m_timers.push_back(m_loop.After(kSettleTime + at, action));
  }
  m_timers.push_back(m_loop.After(kSettleTime + aLength, [this] { m_loop.Stop(); }));
  m_loop.Run();
  return true;
}

} // namespace papayafield::review
