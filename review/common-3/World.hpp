#pragma once

#include "adapters/http/EventLoop.h"
#include "adapters/http1/Listener.h"
#include "standins/fleet/Store.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// The surroundings of a small deployment for the scripts of this review: the platform, runners,
/// clients and the processes of the nodes. All stand-ins run on one event loop.

namespace papayafield::review {

/// Writes the record of a run, with the time since its start.
class Record {
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath) {}

  void Write(const std::string& aLine);

private:
  std::ofstream m_file;
  const base::TimePoint m_start = base::BootNow();
};

/// What a runner began to run.
struct StartedRun {
  std::string m_attempt;
  std::string m_runner;
  std::string m_version;
  /// Prompt parts as the runner received them.
  std::string m_parts;
  base::TimePoint m_at;
};

/// What the runners of a world do beside running requests.
struct RunnerBehaviour {
  /// Each runner that begins to write an answer on this part crashes; empty if there is none.
  std::string m_deadlyPart;
  /// Time after such a crash until the runner is back.
  base::Millis m_downtime{ 2500 };
  /// Time from the arrival of a request to its first event.
  base::Millis m_firstEventDelay{ 40 };
};

/// A runner: answers with event streams whose length and pace the query of the target states
/// (`events`, `every_ms`).
class Runner {
public:
  Runner(adapters::http::EventLoop& aLoop,
         Record& aRecord,
         const RunnerBehaviour& aBehaviour,
         base::Address aAddress,
         std::string aId,
         std::string aVersion,
         std::vector<StartedRun>& aRuns,
         std::function<void(Runner&)> aOnRestart);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;
  Runner(Runner&&) = delete;
  Runner& operator=(Runner&&) = delete;

  void Start();
  /// Ends the process of the runner: all its connections are closed.
  void Crash();
  bool IsUp() const { return m_listener != nullptr; }
  /// States in all further answers that the runner leaves.
  void Leave() { m_isLeaving = true; }
  const std::string& Id() const { return m_id; }
  const std::string& Version() const { return m_version; }
  std::string Entry(const std::string& aState) const;

private:
  struct Caller;

  void Accept(std::shared_ptr<adapters::http1::ServerConnection> aConnection);
  void Answer(const std::shared_ptr<Caller>& aCaller);
  void SendEvent(const std::shared_ptr<Caller>& aCaller, int aNumber);

  adapters::http::EventLoop& m_loop;
  Record& m_record;
  const RunnerBehaviour& m_behaviour;
  const base::Address m_address;
  const std::string m_id;
  const std::string m_version;
  std::vector<StartedRun>& m_runs;
  std::function<void(Runner&)> m_onRestart;
  int64_t m_born = 0;
  bool m_isLeaving = false;
  std::unique_ptr<adapters::http1::Listener> m_listener;
  std::set<std::shared_ptr<Caller>> m_callers;
  adapters::http::EventHandlePtr m_restartTimer;
};

/// A process of the system, started with the command of the deploy file.
class Node {
public:
  Node(std::string aProgram, std::string aSettingsPath, std::string aLogPath, std::string aHost);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  Node(Node&&) = delete;
  Node& operator=(Node&&) = delete;

  void Start();
  void Signal(int aSignal) const;
  /// Whether the process has not ended.
  bool IsRunning();
  int Pid() const { return m_pid; }
  const std::string& Host() const { return m_host; }

private:
  const std::string m_program;
  const std::string m_settingsPath;
  const std::string m_logPath;
  const std::string m_host;
  int m_pid = -1;
};

/// A response to one of the small requests of a world; the status is 0 without one.
using OnStatus = std::function<void(int aStatus, const std::string& aBody)>;

class World;

/// The clients of one zone: they ask the nodes, the nearest one first, where to connect, and keep
/// the answer.
class Directory {
public:
  /// The answer is kept for `aKeepFactor` times the time that it states.
  Directory(World& aWorld, size_t aZone, int aKeepFactor);

  /// Returns the addresses that the clients of the zone use now, and asks anew if they are old.
  const std::vector<std::string>& Addresses();
  /// Number of questions that no node answered.
  int Failures() const { return m_failures; }

private:
  void Ask(size_t aTry);

  World& m_world;
  const size_t m_zone;
  const int m_keepFactor;
  std::vector<std::string> m_addresses;
  base::TimePoint m_validUntil{};
  bool m_isAsking = false;
  int m_failures = 0;
};

/// One try of a client.
struct Try {
  std::string m_id;
  std::string m_node;
  base::TimePoint m_sentAt;
  std::string m_lastEvent;
  int m_status = 0;
  int m_events = 0;
  /// Whether two runners of the version that began the stream were serving when it was sent.
  bool m_hadTwoRunners = false;
};

/// A stream of a client over its tries.
struct StreamResult {
  std::vector<Try> m_tries;
  /// Software versions of the runners whose events the client got.
  std::set<std::string> m_versions;
  std::string m_firstVersion;
  bool m_isComplete = false;
  bool m_isEnded = false;
};

/// A client that asks for one stream, and takes it up again once if it breaks off or falls silent.
class StreamClient : public std::enable_shared_from_this<StreamClient> {
public:
  /// Retries of a client, and its deadline.
  static constexpr int kRetries = 1;
  static constexpr base::Millis kDeadline{ 15000 };
  /// Silence after which a client abandons a stream: eight times the pause of 600 ms, which is also
  /// four times the objective.
  static constexpr base::Millis kMaxGap{ 4800 };

  StreamClient(World& aWorld, Directory& aDirectory, std::string aTarget, std::string aParts);

  void Start();
  const StreamResult& Result() const { return m_result; }

private:
  void Send();
  void OnEvents(std::string_view aBytes);
  void OnTryEnded(bool aIsComplete);
  void ArmGapTimer();

  World& m_world;
  Directory& m_directory;
  const std::string m_target;
  const std::string m_parts;
  StreamResult m_result;
  std::set<std::string> m_failedNodes;
  base::TimePoint m_deadline{};
  std::string m_lastEvent;
  std::string m_buffer;
  double m_retryAfter = 0;
  std::shared_ptr<adapters::http1::ClientConnection> m_connection;
  adapters::http::EventHandlePtr m_gapTimer;
  adapters::http::EventHandlePtr m_retryTimer;
};

/// Settings of a world.
struct WorldSettings {
  size_t m_nodes = 3;
  /// Lines that the settings of the nodes have under `[limits]`.
  std::string m_limits = "memory_mb = 260\nmax_fds = 4100\n";
  RunnerBehaviour m_behaviour;
};

/// A small deployment on loopback addresses. Keeps its files in a temporary folder.
class World {
public:
  World(std::string aCaseFolder, const WorldSettings& aSettings);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  World(World&&) = delete;
  World& operator=(World&&) = delete;

  adapters::http::EventLoop& Loop() { return m_loop; }
  Record& Log() { return m_record; }
  standins::Store& Store() { return m_store; }
  size_t NodeCount() const { return m_nodes.size(); }
  Node& NodeAt(size_t aIndex) { return *m_nodes[aIndex]; }
  base::Address FrontOf(size_t aIndex) const;
  base::Address DirectoryOf(size_t aIndex) const;
  base::Address ReadinessOf(size_t aIndex) const;
  const std::vector<StartedRun>& Runs() const { return m_runs; }
  std::mt19937_64& Random() { return m_random; }

  /// Starts a runner and registers it as ready.
  Runner& AddRunner(const std::string& aId, const std::string& aVersion);
  void Register(const Runner& aRunner, const std::string& aState);
  void Unregister(const Runner& aRunner);
  /// Number of runners of a version that are up and registered as ready.
  int ServingRunners(const std::string& aVersion) const;

  /// Writes a configuration whose route has the time-out `aTimeout`.
  void Configure(int aVersion, base::Millis aTimeout);
  /// Starts a client with a stream.
  std::shared_ptr<StreamClient> StartStream(Directory& aDirectory,
                                            const std::string& aTarget,
                                            const std::string& aParts = {});
  /// Sends a GET request on a new connection.
  void Get(const base::Address& aTo,
           const std::string& aTarget,
           base::Millis aTimeout,
           OnStatus aOnStatus);

  /// Calls `aAction` at `aAt` after the start of Run.
  void At(base::Millis aAt, std::function<void()> aAction);
  /// Starts the nodes, waits until all are ready, runs the actions, and returns after `aLength`.
  /// Returns false if the nodes did not become ready.
  bool Run(base::Millis aLength);

private:
  void WriteSettings(size_t aIndex, const WorldSettings& aSettings) const;
  void AcceptPlatformCall(const std::shared_ptr<adapters::http1::ServerConnection>& aConnection);
  void PollReadiness(size_t aIndex);

  const std::string m_program;
  std::string m_folder;
  uint16_t m_port;
  int m_net;
  adapters::http::EventLoop m_loop;
  Record m_record;
  RunnerBehaviour m_behaviour;
  standins::Store m_store;
  base::Address m_platformAddress;
  std::unique_ptr<adapters::http1::Listener> m_platform;
  std::set<std::shared_ptr<adapters::http1::ServerConnection>> m_platformConnections;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::map<std::string, std::string> m_states;
  std::vector<StartedRun> m_runs;
  std::set<size_t> m_readyNodes;
  std::vector<adapters::http::EventHandlePtr> m_timers;
  std::vector<std::pair<base::Millis, std::function<void()>>> m_actions;
  std::vector<std::shared_ptr<StreamClient>> m_clients;
  std::mt19937_64 m_random{ std::random_device{}() };
};

/// Whether the run shall include the disruption (`TROUBLE` in the environment is not 0).
bool HasTrouble();
/// Returns the folder of the case: the first argument.
std::string CaseFolder(int aCount, char** aValues);

} // namespace papayafield::review
