#pragma once

#include "review/common/Testbed.hpp"

namespace review {

/// Host name of all routes, and the key of the only tenant.
inline const std::string kHost = "site.example";
inline const std::string kKey = "key-of-team-1";

/// A configuration like that of a small site: streams that may be resumed, streams that may not,
/// lookups, and orders that must not run twice.
inline json SmallConfiguration(int aVersion) {
  const auto route =
    [](const char* aName, const char* aType, int aTimeout, int aGoal, int aAttempts) {
      return json{ { "name", aName },
                   { "host", kHost },
                   { "prefix", std::string("/") + aName + "/" },
                   { "route_type", aType },
                   { "timeout_ms", aTimeout },
                   { "goal_ms", aGoal },
                   { "priority", 1 },
                   { "service", std::string(aType) == "streaming" ? "engines" : "app" },
                   { "max_attempts", aAttempts },
                   { "public", false },
                   { "sticky", false },
                   { "resumable", std::string(aType) == "streaming" && aAttempts > 1 },
                   { "gap_target_ms", std::string(aType) == "streaming" ? 600 : 0 } };
    };
  return { { "version", aVersion },
           { "routes",
             { route("summary", "streaming", 4000, 800, 2),
               route("card", "streaming", 2000, 1200, 1),
               route("note", "streaming", 7000, 2000, 2),
               route("order", "non_idempotent", 2500, 300, 1),
               route("stock", "idempotent", 2500, 300, 2) } },
           { "services",
             { { { "name", "engines" }, { "health_path", "/healthz" }, { "max_conns", 370 } },
               { { "name", "app" }, { "health_path", "/healthz" }, { "max_conns", 110 } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } },
           { "tenants",
             { { { "name", "team-1" },
                 { "api_keys", { kKey } },
                 { "priority", 1 },
                 { "rate_per_s", 0 },
                 { "burst", 0 } } } } };
}

/// A runner. Answers orders and lookups after 60 ms, and streams with 10 events; a subclass changes
/// how. Thread safe.
class Runner {
public:
  Runner(std::string aId, std::string aService, const std::string& aHost)
    : m_id(std::move(aId))
    , m_service(std::move(aService))
    , m_server(aHost, 0, [this](const SocketPtr& aSocket) { Serve(aSocket); }) {}
  virtual ~Runner() = default;

  const std::string& Id() const { return m_id; }
  const std::string& Service() const { return m_service; }
  std::string Address() const { return m_server.Address(); }
  /// Returns how often each attempt ran.
  std::map<std::string, int> Runs() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }
  bool HasRun(const std::string& aAttempt) {
    const std::lock_guard lock(m_mutex);
    return m_runs.contains(aAttempt);
  }

protected:
  virtual void Answer(Socket& aSocket, const Message& aRequest) {
    AnswerSoundly(aSocket, aRequest);
  }
  void RecordRun(const Message& aRequest) {
    const std::lock_guard lock(m_mutex);
    ++m_runs[aRequest.Field("Papayafield-Attempt-Id")];
  }
  std::vector<std::pair<std::string, std::string>> SignedFields(const Message& aRequest) const {
    return { { "Papayafield-Attempt-Id", aRequest.Field("Papayafield-Attempt-Id") },
             { "Papayafield-Response-Signature", "signed-by-" + m_id } };
  }
  void AnswerSoundly(Socket& aSocket, const Message& aRequest) {
    RecordRun(aRequest);
    if (m_service != "engines") {
      Sleep(60);
      aSocket.Write(Response(
        200, SignedFields(aRequest), "answer to " + aRequest.Field("Papayafield-Attempt-Id")));
      return;
    }
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    for (const auto& [name, value] : SignedFields(aRequest)) {
      head += name + ": " + value + "\r\n";
    }
    Sleep(20);
    if (!aSocket.Write(head + "Transfer-Encoding: chunked\r\n\r\n")) {
      return;
    }
    for (int i = std::atoi(aRequest.Field("Last-Event-Id").c_str()) + 1; i <= 10; ++i) {
      const std::string number = std::to_string(i);
      if (!aSocket.Write(Chunk("id: " + number + "\ndata: piece " + number + "\n\n"))) {
        return;
      }
      Sleep(20);
    }
    aSocket.Write("0\r\n\r\n");
  }

private:
  void Serve(const SocketPtr& aSocket) {
    while (const auto request = aSocket->Read(Clock::now() + std::chrono::hours(1))) {
      const std::string target = request->Field("Papayafield-Target-Instance");
      if (!request->m_complete) {
        return;
      }
      if (!target.empty() && target != m_id) {
        aSocket->Write(
          Response(421,
                   { { "Papayafield-Attempt-Id", request->Field("Papayafield-Attempt-Id") },
                     { "Papayafield-Instance-Id", m_id } },
                   ""));
        continue;
      }
      Answer(*aSocket, *request);
    }
  }

  std::string m_id;
  std::string m_service;
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;
  Server m_server;
};

/// Returns the ids of the runners that ran an attempt, for the record.
inline std::string RunnersOf(const std::vector<std::shared_ptr<Runner>>& aRunners,
                             const std::string& aAttempt) {
  std::string ids;
  for (const auto& runner : aRunners) {
    if (runner->HasRun(aAttempt)) {
      ids += " " + runner->Id();
    }
  }
  return ids.empty() ? " none" : ids;
}

/// Keeps the entries of runners in the store up to date.
class Registrar {
public:
  Registrar(Platform& aPlatform, std::vector<std::shared_ptr<Runner>> aRunners)
    : m_platform(aPlatform)
    , m_runners(std::move(aRunners)) {
    std::thread([this] {
      for (int64_t sequence = 1;; ++sequence) {
        for (size_t i = 0; i < m_runners.size(); ++i) {
          m_platform.Put("servers/" + m_runners[i]->Id(),
                         RegistrationText(m_runners[i]->Service(),
                                          m_runners[i]->Address(),
                                          std::string("z-") + static_cast<char>('a' + i % 3),
                                          m_runners[i]->Service() == "engines" ? 64 : 6,
                                          sequence));
        }
        Sleep(1200);
      }
    }).detach();
  }

private:
  Platform& m_platform;
  std::vector<std::shared_ptr<Runner>> m_runners;
};

inline std::string RequestText(const std::string& aMethod,
                               const std::string& aTarget,
                               const std::string& aAttempt,
                               int aDeadlineMs,
                               const std::string& aBody,
                               const std::string& aExtraFields = {}) {
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nPapayafield-Attempt-Id: " + aAttempt +
         "\r\nPapayafield-Deadline-Ms: " + std::to_string(aDeadlineMs) +
         "\r\nAuthorization: Bearer " + kKey + "\r\n" + aExtraFields +
         (aMethod == "GET" ? "" : "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         "\r\n" + aBody;
}

} // namespace review
