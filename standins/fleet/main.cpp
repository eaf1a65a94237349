#include "base/Json.h"
#include "standins/common/Arguments.h"
#include "standins/fleet/Runner.h"
#include "standins/fleet/Store.h"

#include <csignal>
#include <nlohmann/json.hpp>

/// \file
/// Simulates the user's platform in one process: its key-value store, the leader's calls (/usage
/// and /scale) and several runners, over the published protocol. Tests inject faults and read a
/// report below /control/.

namespace {

using namespace papayafield;
using namespace papayafield::adapters::http1;
using namespace papayafield::standins;
using nlohmann::json;

constexpr size_t kMaxHeadBytes = 65536;
/// Slots that runners of any capacity register.
constexpr size_t kRegisteredSlots = 64;
/// Prefix of the keys of the runners' entries.
constexpr std::string_view kRunnerPrefix = "servers/";

/// Returns a point in time as milliseconds of the boot-time clock, which all processes share.
double ToBootMillis(base::TimePoint aTime) {
  return std::chrono::duration<double, std::milli>(aTime.time_since_epoch()).count();
}

class FleetStandin {
public:
  FleetStandin(adapters::http::EventLoop& aLoop,
               const base::Address& aListen,
               int aRunners,
               const std::string& aService,
               uint16_t aProxyPort,
               uint16_t aViewPort,
               uint16_t aViewProxyPort)
    : m_loop(aLoop)
    , m_service(aService)
    , m_proxyPort(aProxyPort)
    , m_viewProxyPort(aViewProxyPort)
    , m_store(aLoop)
    , m_listener(aLoop, aListen, kMaxHeadBytes, [this](auto aConnection) {
      AcceptConnection(aConnection, false);
    }) {
    if (aViewPort != 0) {
      m_viewListener = std::make_unique<Listener>(
        aLoop, base::Address{ aListen.m_host, aViewPort }, kMaxHeadBytes, [this](auto aConnection) {
          AcceptConnection(aConnection, true);
        });
    }
    for (int i = 0; i < aRunners; ++i) {
      m_runners.push_back(std::make_unique<Runner>(
        aLoop,
        base::Address{ aListen.m_host, static_cast<uint16_t>(aListen.m_port + 1 + i) },
        "i-" + std::to_string(i),
        m_callLog,
        m_deadlyPart,
        [this, i] { Register(*m_runners[static_cast<size_t>(i)], "ready"); }));
      Register(*m_runners.back(), "ready");
    }
  }

  bool Listening() const {
    bool allListening =
      m_listener.Listening() && (m_viewListener == nullptr || m_viewListener->Listening());
    for (const auto& runner : m_runners) {
      allListening = allListening && runner->Listening();
    }
    return allListening;
  }

private:
  /// Returns the port of the proxy of the runner `aId`, where `aFirst` is that of the first one.
  static uint16_t ProxyPort(uint16_t aFirst, const std::string& aId) {
    return static_cast<uint16_t>(aFirst + std::stoi(aId.substr(2)));
  }

  /// Replaces the addresses of runners in a reply of the store by those of their proxies.
  void ReplaceAddresses(json& aReply) const {
    if (aReply.is_object() && aReply.contains("data") && aReply.contains("key")) {
      const auto key = aReply["key"].get<std::string>();
      json entry = base::ParseJson(DecodeBase64(aReply["data"].get<std::string>()));
      if (key.starts_with(kRunnerPrefix) && entry.is_object() && entry.contains("address")) {
        base::Address address = base::Address::Parse(entry["address"].get<std::string>());
        address.m_port = ProxyPort(m_viewProxyPort, key.substr(kRunnerPrefix.size()));
        entry["address"] = address.ToText();
        aReply["data"] = EncodeBase64(base::DumpJson(entry));
      }
    } else if (aReply.is_structured()) {
      for (json& member : aReply) {
        ReplaceAddresses(member);
      }
    }
  }

  void Register(const Runner& aRunner, const std::string& aState) {
    // If proxies are used, each runner is registered with the address of its proxy.
    base::Address address = aRunner.ListenAddress();
    if (m_proxyPort != 0) {
      address.m_port = ProxyPort(m_proxyPort, aRunner.Id());
    }
    const size_t slots =
      aRunner.Capacity().m_slots > 0 ? aRunner.Capacity().m_slots : kRegisteredSlots;
    const json entry = { { "service", m_service },  { "address", address.ToText() },
                         { "zone", "a" },           { "version", aRunner.Version() },
                         { "slots", slots },        { "state", aState },
                         { "cold_left_ms", 0 },     { "sequence", 1 },
                         { "born", aRunner.Born() } };
    m_store.Put(std::string(kRunnerPrefix) + aRunner.Id(), base::DumpJson(entry));
  }

  /// `aIsView`: the connection gets the addresses of the runners' proxies.
  void AcceptConnection(const std::shared_ptr<ServerConnection>& aConnection, bool aIsView) {
    m_connections.insert(aConnection);
    auto head = std::make_shared<RequestHead>();
    auto body = std::make_shared<std::string>();
    const std::weak_ptr<ServerConnection> weak = aConnection;
    ServerConnection::Events events;
    events.m_onHead = [head, body](RequestHead&& aHead) {
      *head = std::move(aHead);
      body->clear();
    };
    events.m_onBody = [body](std::string_view aBytes) { *body += aBytes; };
    events.m_onComplete = [this, weak, head, body, aIsView] {
      if (const auto connection = weak.lock()) {
        Handle(connection, *head, *body, aIsView);
      }
    };
    events.m_onEnd = [this, weak](EndKind /*aKind*/, bool /*aInMessage*/) {
      if (const auto connection = weak.lock()) {
        m_connections.erase(connection);
      }
    };
    aConnection->SetEvents(std::move(events));
  }

  static void Respond(ServerConnection& aConnection,
                      int aStatus,
                      ResponseHead aHead,
                      const json& aBody) {
    const std::string text = base::DumpJson(aBody);
    aHead.m_status = aStatus;
    aHead.m_fields.Add("Content-Type", "application/json");
    aHead.m_fields.Add("Content-Length", std::to_string(text.size()));
    aConnection.Write(Serialize(aHead) + text);
    aConnection.Resume();
  }

  Store::Reply MakeStoreReply(const std::shared_ptr<ServerConnection>& aConnection, bool aIsView) {
    return [this, weak = std::weak_ptr(aConnection), aIsView](int aStatus, const json& aAnswer) {
      const auto connection = weak.lock();
      if (connection == nullptr) {
        return;
      }
      if (aStatus == Store::kCloseConnection) {
        m_connections.erase(connection);
        connection->Close();
        return;
      }
      ResponseHead head;
      head.m_fields.Add("Store-Era", std::to_string(m_store.Era()));
      json answer = aAnswer;
      if (aIsView) {
        ReplaceAddresses(answer);
      }
      Respond(*connection, aStatus, std::move(head), answer);
    };
  }

  void Handle(const std::shared_ptr<ServerConnection>& aConnection,
              const RequestHead& aHead,
              const std::string& aBody,
              bool aIsView) {
    const std::string path = aHead.m_target.substr(0, aHead.m_target.find('?'));
    if (path.starts_with("/-/kv-")) {
      m_store.Handle(aHead, aBody, MakeStoreReply(aConnection, aIsView));
      return;
    }
    const auto reply = [&](int aStatus, const json& aAnswer) {
      Respond(*aConnection, aStatus, {}, aAnswer);
    };
    const json body = base::ParseJson(aBody);
    if (path == "/usage" || path == "/scale") {
      HandleLeaderCall(path, aHead, body, reply);
    } else if (path.starts_with("/control/")) {
      reply(HandleControl(path, body) ? 200 : 400, MakeReport());
    } else {
      reply(404, json::object());
    }
  }

  template<class Reply>
  void HandleLeaderCall(const std::string& aPath,
                        const RequestHead& aHead,
                        const json& aBody,
                        const Reply& aReply) {
    const std::string token(aHead.m_fields.Find("Papayafield-Fencing-Token").value_or("0"));
    const uint64_t fencingToken = std::strtoull(token.c_str(), nullptr, 10);
    uint64_t& highest = m_fencingTokens[aPath];
    if (fencingToken < highest) {
      ++m_staleLeaderCalls;
      aReply(409, json::object());
      return;
    }
    highest = fencingToken;
    m_leaderCalls.push_back({ { "path", aPath }, { "fence", fencingToken }, { "body", aBody } });
    aReply(200, json::object());
  }

  bool HandleControl(const std::string& aPath, const json& aBody) {
    if (aPath == "/control/report") {
      return true;
    }
    if (aPath == "/control/configuration") {
      m_store.Put("op/config", base::DumpJson(aBody));
      return true;
    }
    if (aPath == "/control/put") {
      // `data` is stored as it is, whether or not it is valid base64.
      const std::string key = base::ValueOr<std::string>(aBody, "key", "");
      const std::string data = base::ValueOr<std::string>(aBody, "data", "");
      if (data.empty()) {
        m_store.Put(key, base::ValueOr<std::string>(aBody, "text", ""));
      } else {
        m_store.PutEncoded(key, data);
      }
      return true;
    }
    if (aPath == "/control/remove") {
      m_store.Remove(base::ValueOr<std::string>(aBody, "key", ""));
      return true;
    }
    if (aPath == "/control/compact") {
      m_store.Compact();
      return true;
    }
    if (aPath == "/control/restore" && aBody.is_object()) {
      return m_store.Restore(base::Millis(aBody.value("age_ms", int64_t{ 5000 })),
                             base::Millis(aBody.value("down_ms", int64_t{ 500 })),
                             base::Millis(aBody.value("rewrite_ms", int64_t{ 1000 })));
    }
    if (aPath == "/control/store") {
      const std::string mode = aBody.value("mode", "ok");
      m_store.SetMode(mode == "silent"         ? Store::Mode::Silent
                      : mode == "busy"         ? Store::Mode::Unavailable
                      : mode == "lose_answers" ? Store::Mode::DropResponses
                                               : Store::Mode::Ok);
      return true;
    }
    if (aPath == "/control/deadly_part" && aBody.is_object()) {
      m_deadlyPart = { aBody.value("part", ""),
                       base::Millis(aBody.value("down_ms", int64_t{ 2000 })) };
      return true;
    }
    if (aPath == "/control/runner" && aBody.is_object()) {
      return ControlRunner(aBody);
    }
    return false;
  }

  bool ControlRunner(const json& aBody) {
    const auto index = aBody.value("index", size_t{ 0 });
    if (index >= m_runners.size()) {
      return false;
    }
    Runner& runner = *m_runners[index];
    if (const auto mode = base::ParseEnum<RunnerMode>(aBody.value("mode", "ok"))) {
      runner.SetMode(*mode);
    }
    runner.SetRawResponse({ aBody.value("raw", ""),
                            aBody.value("repeated", ""),
                            aBody.value("target_prefix", "/"),
                            std::max(aBody.value("one_in", 1), 1) });
    runner.SetSignals({ aBody.value("leaving", false),
                        aBody.value("retry_after", std::vector<std::string>()),
                        aBody.value("brittle", "") });
    RunnerCapacity capacity;
    capacity.m_slots = aBody.value("slots", capacity.m_slots);
    capacity.m_queue = aBody.value("queue", capacity.m_queue);
    capacity.m_processingTime =
      base::Millis(aBody.value("work_ms", capacity.m_processingTime.count()));
    if (aBody.contains("max_rejections")) {
      capacity.m_maxRejections = aBody.at("max_rejections").get<size_t>();
    }
    runner.SetCapacity(capacity);
    runner.SetBorn(aBody.value("born", runner.Born()));
    runner.SetVersion(aBody.value("version", runner.Version()));
    if (const std::string process = aBody.value("process", ""); process == "stopped") {
      runner.Stop();
    } else if (process == "running") {
      runner.SetId(aBody.value("id", runner.Id()));
      runner.Start();
    }
    const std::string state = aBody.value("state", "");
    if (state == "gone") {
      m_store.Remove("servers/" + runner.Id());
    } else if (!state.empty()) {
      Register(runner, state);
    }
    return true;
  }

  json MakeReport() const {
    json runs = json::array();
    for (const ExecutedCall& run : m_callLog.m_executedCalls) {
      runs.push_back({ { "call", run.m_attemptId },
                       { "runner", run.m_runner },
                       { "team", run.m_team },
                       { "priority", run.m_priority },
                       { "last_event", run.m_lastEventId },
                       { "reused", run.m_isReusedConnection },
                       { "version", run.m_version } });
    }
    const auto listArrivals = [](const std::vector<Arrival>& aArrivals) {
      json list = json::array();
      for (const Arrival& arrival : aArrivals) {
        list.push_back({ { "call", arrival.m_attemptId },
                         { "runner", arrival.m_runner },
                         { "born", arrival.m_born },
                         { "at_ms", ToBootMillis(arrival.m_time) } });
      }
      return list;
    };
    json signals = json::array();
    for (const SignalledAnswer& answer : m_callLog.m_signalledAnswers) {
      signals.push_back({ { "runner", answer.m_runner },
                          { "born", answer.m_born },
                          { "status", answer.m_status },
                          { "leaving", answer.m_signals.m_leaving },
                          { "retry_after", answer.m_signals.m_retryAfter },
                          { "at_ms", ToBootMillis(answer.m_time) } });
    }
    const auto listEvents = [](const std::vector<DeadlyEvent>& aEvents) {
      json list = json::array();
      for (const DeadlyEvent& event : aEvents) {
        list.push_back(
          { { "runner", event.m_runner }, { "call", event.m_attemptId }, { "at", event.m_atMs } });
      }
      return list;
    };
    return { { "runs", runs },
             { "arrivals", listArrivals(m_callLog.m_arrivals) },
             { "rejections", listArrivals(m_callLog.m_rejections) },
             { "signals", signals },
             { "deadly_calls", listEvents(m_callLog.m_deadlyCalls) },
             { "crashes", listEvents(m_callLog.m_crashes) },
             { "cut_off", m_callLog.m_interruptedCalls },
             { "duties", m_leaderCalls },
             { "stale_duties", m_staleLeaderCalls },
             { "status", m_store.Texts("status/") },
             { "store_calls", m_store.CallCount() } };
  }

  adapters::http::EventLoop& m_loop;
  std::string m_service;
  uint16_t m_proxyPort;
  uint16_t m_viewProxyPort;
  Store m_store;
  CallLog m_callLog;
  DeadlyPart m_deadlyPart;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::map<std::string, uint64_t> m_fencingTokens;
  json m_leaderCalls = json::array();
  /// Leader calls with a smaller fencing token than an earlier one.
  int m_staleLeaderCalls = 0;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
  Listener m_listener;
  /// Listener of the store for nodes that reach the runners through proxies; null if there is none.
  std::unique_ptr<Listener> m_viewListener;
};

} // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc,
                            argv,
                            { { "listen", "127.0.0.1:9000" },
                              { "runners", "3" },
                              { "service", "engines" },
                              { "proxy-port", "0" },
                              { "view-port", "0" },
                              { "view-proxy-port", "0" } });
  std::signal(SIGPIPE, SIG_IGN);
  adapters::http::EventLoop loop;
  FleetStandin standin(loop,
                       arguments.Address("listen"),
                       static_cast<int>(arguments.Number("runners")),
                       arguments.Text("service"),
                       static_cast<uint16_t>(arguments.Number("proxy-port")),
                       static_cast<uint16_t>(arguments.Number("view-port")),
                       static_cast<uint16_t>(arguments.Number("view-proxy-port")));
  if (!standin.Listening()) {
    std::fprintf(stderr, "cannot listen on %s\n", arguments.Text("listen").c_str());
    return 1;
  }
  const auto onTerm = loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
