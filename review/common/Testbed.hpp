#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// \file
/// Shared parts of the review's scripts: blocking HTTP, a stand-in of the platform's store, and the
/// processes under test. Each accepted connection has a thread of its own.

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline void Sleep(int64_t aMs) {
  std::this_thread::sleep_for(Millis(aMs));
}

inline bool SameName(const std::string& aLeft, const std::string& aRight) {
  return strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

/// A request or a response as it was read.
struct Message {
  /// Request line or status line.
  std::string m_start;
  std::vector<std::pair<std::string, std::string>> m_fields;
  std::string m_body;
  /// Whether the message was read to its end.
  bool m_complete = false;

  std::string Field(const std::string& aName) const {
    for (const auto& [name, value] : m_fields) {
      if (SameName(name, aName)) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return m_start.substr(0, m_start.find(' ')); }
  std::string Target() const {
    const size_t from = m_start.find(' ') + 1;
    return m_start.substr(from, m_start.find(' ', from) - from);
  }
  std::string Path() const { return Target().substr(0, Target().find('?')); }
  int Status() const { return m_start.starts_with("HTTP/1.") ? std::atoi(m_start.c_str() + 9) : 0; }
};

/// A blocking TCP connection.
class Socket {
public:
  explicit Socket(int aFd)
    : m_fd(aFd) {
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }
  /// Unblocks a thread that reads or writes.
  void Shutdown() const { shutdown(m_fd, SHUT_RDWR); }
  bool IsOpen() const { return m_fd >= 0; }

  bool Write(std::string_view aBytes) const {
    while (!aBytes.empty()) {
      const ssize_t count = send(m_fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
  }
  /// Waits for bytes. Returns false if none arrive in time.
  bool WaitReadable(int64_t aMs) const {
    if (!m_buffer.empty()) {
      return true;
    }
    pollfd entry{ m_fd, POLLIN, 0 };
    return poll(&entry, 1, static_cast<int>(std::max<int64_t>(aMs, 0))) > 0;
  }
  /// Appends bytes to the buffer. Returns false at the end of the connection or after the time.
  bool Fill(Clock::time_point aUntil) {
    const auto left = std::chrono::duration_cast<Millis>(aUntil - Clock::now()).count();
    pollfd entry{ m_fd, POLLIN, 0 };
    if (poll(&entry, 1, static_cast<int>(std::max<int64_t>(left, 0))) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      m_ended = true;
      m_reset = count < 0;
      return false;
    }
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }
  /// Whether the peer has closed or reset the connection.
  bool Ended() const { return m_ended; }
  bool WasReset() const { return m_reset; }
  std::string& Buffer() { return m_buffer; }

  /// Reads one message. `aOnBody` is called with the bytes of the body as they arrive.
  std::optional<Message> Read(Clock::time_point aUntil,
                              const std::function<void(const std::string&)>& aOnBody = {}) {
    size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    Message message;
    const std::string head = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 4);
    size_t from = head.find("\r\n");
    message.m_start = head.substr(0, from);
    while (from != std::string::npos) {
      const size_t next = head.find("\r\n", from + 2);
      const std::string line =
        head.substr(from + 2, next == std::string::npos ? std::string::npos : next - from - 2);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        message.m_fields.emplace_back(line.substr(0, colon), line.substr(value));
      }
      from = next;
    }
    ReadBody(message, aUntil, aOnBody);
    return message;
  }

private:
  void ReadBody(Message& aMessage,
                Clock::time_point aUntil,
                const std::function<void(const std::string&)>& aOnBody) {
    const auto take = [&](size_t aSize) {
      const std::string part = m_buffer.substr(0, aSize);
      m_buffer.erase(0, aSize);
      aMessage.m_body += part;
      if (aOnBody && !part.empty()) {
        aOnBody(part);
      }
    };
    if (SameName(aMessage.Field("Transfer-Encoding"), "chunked")) {
      for (;;) {
        size_t line = 0;
        while ((line = m_buffer.find("\r\n")) == std::string::npos) {
          if (!Fill(aUntil)) {
            return;
          }
        }
        const size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < line + 2 + size + 2) {
          if (!Fill(aUntil)) {
            return;
          }
        }
        m_buffer.erase(0, line + 2);
        take(size);
        m_buffer.erase(0, 2);
        if (size == 0) {
          aMessage.m_complete = true;
          return;
        }
      }
    }
    const std::string length = aMessage.Field("Content-Length");
    size_t left = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (left > 0) {
      if (m_buffer.empty() && !Fill(aUntil)) {
        return;
      }
      const size_t size = std::min(left, m_buffer.size());
      take(size);
      left -= size;
    }
    aMessage.m_complete = true;
  }

  int m_fd;
  bool m_ended = false;
  bool m_reset = false;
  std::string m_buffer;
};

using SocketPtr = std::shared_ptr<Socket>;

inline sockaddr_in MakeAddress(const std::string& aHost, uint16_t aPort) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

inline SocketPtr Connect(const std::string& aHost, uint16_t aPort) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = MakeAddress(aHost, aPort);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_shared<Socket>(fd);
}

/// Accepts connections and serves each on a thread of its own.
class Server {
public:
  using Handler = std::function<void(const SocketPtr&)>;

  /// Uses a free port if `aPort` is 0.
  Server(std::string aHost, uint16_t aPort, Handler aHandler)
    : m_host(std::move(aHost))
    , m_handler(std::move(aHandler)) {
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = MakeAddress(m_host, aPort);
    if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(m_fd, 1024) != 0) {
      std::fprintf(stderr, "cannot listen on %s:%u\n", m_host.c_str(), aPort);
      std::exit(2);
    }
    socklen_t length = sizeof(address);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    std::thread([this] { Run(); }).detach();
  }
  uint16_t Port() const { return m_port; }
  const std::string& Host() const { return m_host; }
  std::string Address() const { return m_host + ":" + std::to_string(m_port); }

private:
  void Run() const {
    for (;;) {
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([handler = m_handler, fd] { handler(std::make_shared<Socket>(fd)); }).detach();
    }
  }

  std::string m_host;
  Handler m_handler;
  int m_fd = -1;
  uint16_t m_port = 0;
};

inline std::string Response(int aStatus,
                            const std::vector<std::pair<std::string, std::string>>& aFields,
                            const std::string& aBody) {
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string Chunk(const std::string& aBytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

inline std::string EncodeBase64(const std::string& aBytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8U | (i + k < aBytes.size() ? static_cast<uint8_t>(aBytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += i + k > aBytes.size() ? '=' : kDigits[group >> (18 - 6 * k) & 63U];
    }
  }
  return text;
}

inline std::string Query(const std::string& aTarget, const std::string& aName) {
  const size_t at = aTarget.find(aName + "=", aTarget.find('?'));
  if (aTarget.find('?') == std::string::npos || at == std::string::npos) {
    return {};
  }
  const size_t from = at + aName.size() + 1;
  const std::string text = aTarget.substr(from, aTarget.find('&', from) - from);
  std::string value;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%') {
      value += static_cast<char>(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      value += text[i];
    }
  }
  return value;
}

/// The platform's store, and its calls /usage and /scale. Thread safe.
class Platform {
public:
  /// A call of a leader that the platform accepted.
  struct DutyCall {
    std::string m_path;
    std::string m_holder;
    uint64_t m_token = 0;
    json m_body;
  };

  explicit Platform(const std::string& aHost)
    : m_server(aHost, 0, [this](const SocketPtr& aSocket) { Serve(aSocket); }) {
    std::thread([this] { ExpireLeases(); }).detach();
  }
  std::string Address() const { return m_server.Address(); }

  /// Writes as the operator or as a runner.
  void Put(const std::string& aKey, const std::string& aData) {
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    WriteItem(aKey, EncodeBase64(aData), 0);
    m_changed.notify_all();
  }
  void Remove(const std::string& aKey) {
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    EraseItem(aKey);
    m_changed.notify_all();
  }
  std::vector<DutyCall> Duties() {
    const std::lock_guard lock(m_mutex);
    return m_duties;
  }

private:
  struct Item {
    std::string m_data;
    uint64_t m_revision = 0;
    uint64_t m_created = 0;
    uint64_t m_lease = 0;
  };
  struct Lease {
    int64_t m_ttlMs = 0;
    Clock::time_point m_end;
  };

  static json ItemJson(const std::string& aKey, const Item& aItem) {
    return { { "key", aKey },
             { "data", aItem.m_data },
             { "revision", aItem.m_revision },
             { "created", aItem.m_created },
             { "lease_id", aItem.m_lease } };
  }
  void WriteItem(const std::string& aKey, const std::string& aBase64, uint64_t aLease) {
    Item& item = m_items[aKey];
    item.m_data = aBase64;
    item.m_revision = m_revision;
    item.m_created = item.m_created == 0 ? m_revision : item.m_created;
    item.m_lease = aLease;
    m_history.push_back(ItemJson(aKey, item));
  }
  void EraseItem(const std::string& aKey) {
    if (m_items.erase(aKey) > 0) {
      m_history.push_back({ { "key", aKey }, { "revision", m_revision }, { "removed", true } });
    }
  }
  void EndLease(uint64_t aLease) {
    ++m_revision;
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.m_lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      EraseItem(key);
    }
    m_leases.erase(aLease);
    m_changed.notify_all();
  }
  void ExpireLeases() {
    for (;;) {
      Sleep(20);
      const std::lock_guard lock(m_mutex);
      std::vector<uint64_t> ended;
      for (const auto& [id, lease] : m_leases) {
        if (lease.m_end <= Clock::now()) {
          ended.push_back(id);
        }
      }
      for (const uint64_t id : ended) {
        EndLease(id);
      }
    }
  }

  void Serve(const SocketPtr& aSocket) {
    while (const auto request = aSocket->Read(Clock::now() + std::chrono::hours(1))) {
      int status = 200;
      const json body = json::parse(request->m_body, nullptr, false);
      const json answer = Handle(*request, body, status);
      if (!aSocket->Write(
            Response(status, { { "Content-Type", "application/json" } }, answer.dump()))) {
        return;
      }
    }
  }

  json Handle(const Message& aRequest, const json& aBody, int& aStatus) {
    const std::string path = aRequest.Path();
    const std::string target = aRequest.Target();
    std::unique_lock lock(m_mutex);
    if (path == "/-/kv-range") {
      const std::string prefix = Query(target, "prefix");
      const std::string after = Query(target, "after");
      json entries = json::array();
      for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix) && key > after) {
          entries.push_back(ItemJson(key, item));
        }
      }
      return { { "entries", entries }, { "truncated", false }, { "at", m_revision } };
    }
    if (path == "/-/kv-watch") {
      return Watch(target, lock);
    }
    if (path == "/-/kv-txn" && aBody.is_object()) {
      return Transact(aBody, aStatus);
    }
    if (path == "/-/kv-lease" && aBody.is_object()) {
      const int64_t ttl = aBody.value("ttl_ms", int64_t{ 1000 });
      m_leases[++m_lastLease] = { ttl, Clock::now() + Millis(ttl) };
      return { { "lease_id", m_lastLease }, { "ttl_ms", ttl } };
    }
    if (path.starts_with("/-/kv-keep/") || path.starts_with("/-/kv-lease-end/")) {
      const uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
      const auto lease = m_leases.find(id);
      if (lease == m_leases.end()) {
        aStatus = 404;
        return json::object();
      }
      if (path.starts_with("/-/kv-lease-end/")) {
        EndLease(id);
        return json::object();
      }
      lease->second.m_end = Clock::now() + Millis(lease->second.m_ttlMs);
      return { { "ttl_ms", lease->second.m_ttlMs } };
    }
    if (path == "/usage" || path == "/scale") {
      const uint64_t token =
        std::strtoull(aRequest.Field("Papayafield-Fencing-Token").c_str(), nullptr, 10);
      std::string subject = path;
      if (path == "/scale" && aBody.is_object()) {
        subject += aBody.value("service", "") + "/" + aBody.value("zone", "");
      }
      if (token < m_tokens[subject]) {
        aStatus = 409;
        return json::object();
      }
      m_tokens[subject] = token;
      m_duties.push_back({ path, aRequest.Field("Papayafield-Lease-Holder"), token, aBody });
      return json::object();
    }
    aStatus = 404;
    return json::object();
  }

  json Watch(const std::string& aTarget, std::unique_lock<std::mutex>& aLock) {
    const std::string prefix = Query(aTarget, "prefix");
    const uint64_t after = std::strtoull(Query(aTarget, "after").c_str(), nullptr, 10);
    const auto until =
      Clock::now() + Millis(std::strtoll(Query(aTarget, "wait_ms").c_str(), nullptr, 10));
    json events = json::array();
    for (;;) {
      for (const json& event : m_history) {
        if (event["revision"].get<uint64_t>() > after &&
            event["key"].get<std::string>().starts_with(prefix)) {
          events.push_back(event);
        }
      }
      if (!events.empty() || m_changed.wait_until(aLock, until) == std::cv_status::timeout) {
        return { { "events", events }, { "at", m_revision } };
      }
    }
  }

  json Transact(const json& aBody, int& aStatus) {
    for (const json& row : aBody.at("expected_rev")) {
      const auto item = m_items.find(row.at("key").get<std::string>());
      if ((item == m_items.end() ? 0 : item->second.m_revision) !=
          row.at("revision").get<uint64_t>()) {
        aStatus = 412;
        return { { "entries", json::array() } };
      }
    }
    for (const json& row : aBody.at("write")) {
      const auto lease = row.value("lease_id", uint64_t{ 0 });
      if (lease != 0 && !m_leases.contains(lease)) {
        aStatus = 404;
        return json::object();
      }
    }
    ++m_revision;
    for (const json& row : aBody.at("write")) {
      WriteItem(row.at("key"), row.at("data"), row.value("lease_id", uint64_t{ 0 }));
    }
    for (const json& key : aBody.value("remove", json::array())) {
      EraseItem(key);
    }
    m_changed.notify_all();
    return { { "revision", m_revision } };
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  uint64_t m_revision = 1;
  std::map<std::string, Item> m_items;
  std::vector<json> m_history;
  std::map<uint64_t, Lease> m_leases;
  uint64_t m_lastLease = 0;
  std::map<std::string, uint64_t> m_tokens;
  std::vector<DutyCall> m_duties;
  Server m_server;
};

/// One line per event, with the milliseconds since the start. Thread safe.
class Record {
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath) {}
  void Line(const std::string& aText) {
    const std::lock_guard lock(m_mutex);
    const auto ms = std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
    char time[32];
    std::snprintf(time, sizeof(time), "%6lld ms ", static_cast<long long>(ms));
    m_file << time << aText << std::endl;
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  Clock::time_point m_start = Clock::now();
};

/// Returns a free TCP port that is also free for UDP on the hosts of the nodes.
inline uint16_t FreePort(const std::string& aHost) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = MakeAddress(aHost, 0);
  bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  socklen_t length = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return ntohs(address.sin_port);
}

/// Nodes of the deploy file, each at a loopback address of its own.
class Nodes {
public:
  Nodes(size_t aCount, std::string aRoot, std::string aStore, Record& aRecord)
    : m_root(std::move(aRoot))
    , m_store(std::move(aStore))
    , m_record(aRecord)
    , m_pids(aCount, -1) {
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_folder = mkdtemp(folder.data());
    m_subnet = "127." + std::to_string(20 + getpid() % 200) + "." +
               std::to_string(getpid() / 200 % 250) + ".";
    m_callerPort = FreePort("127.0.0.1");
    for (uint16_t* port : { &m_readyPort, &m_directoryPort, &m_controlPort, &m_peerPort }) {
      *port = FreePort("127.0.0.1");
    }
    for (size_t i = 0; i < aCount; ++i) {
      WriteSettings(i);
    }
  }
  ~Nodes() {
    for (size_t i = 0; i < m_pids.size(); ++i) {
      Kill(i);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
  }
  std::string Host(size_t aIndex) const { return m_subnet + std::to_string(10 + aIndex); }
  uint16_t CallerPort() const { return m_callerPort; }
  size_t Count() const { return m_pids.size(); }

  void Start(size_t aIndex) {
    // The command of deploy/system.toml.
    const std::string program = m_root + "/target/apps/papayafieldd/papayafieldd";
    std::vector<std::string> arguments{ program, "--platform", "--metrics-port", "9464" };
    std::vector<char*> argv;
    for (std::string& argument : arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    std::string config = "PAPAYAFIELD_CONFIG=" + SettingsFile(aIndex);
    std::string path = std::string("PATH=") + (getenv("PATH") != nullptr ? getenv("PATH") : "");
    char* environment[] = { config.data(), path.data(), nullptr };
    const std::string log = m_folder + "/node-" + std::to_string(aIndex) + ".log";
    const std::lock_guard lock(m_mutex);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      // The node ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (getppid() == parent && fd >= 0 && dup2(fd, STDOUT_FILENO) >= 0) {
        execve(program.c_str(), argv.data(), environment);
      }
      _exit(2);
    }
    if (pid < 0) {
      std::fprintf(stderr, "cannot start %s\n", program.c_str());
      std::exit(2);
    }
    m_pids[aIndex] = pid;
  }
  pid_t Pid(size_t aIndex) {
    const std::lock_guard lock(m_mutex);
    return m_pids[aIndex];
  }
  void Signal(size_t aIndex, int aSignal) {
    const pid_t pid = Pid(aIndex);
    if (pid > 0) {
      kill(pid, aSignal);
    }
  }
  void Kill(size_t aIndex) {
    Signal(aIndex, SIGCONT);
    Signal(aIndex, SIGKILL);
    const pid_t pid = Pid(aIndex);
    if (pid > 0) {
      waitpid(pid, nullptr, 0);
      const std::lock_guard lock(m_mutex);
      m_pids[aIndex] = -1;
    }
  }
  /// Returns how the process ended, if it has ended by itself.
  std::optional<int> Ended(size_t aIndex) {
    const pid_t pid = Pid(aIndex);
    int status = 0;
    if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) {
      return std::nullopt;
    }
    const std::lock_guard lock(m_mutex);
    m_pids[aIndex] = -1;
    return status;
  }
  /// Returns the resident memory in bytes.
  size_t Memory(size_t aIndex) {
    std::ifstream file("/proc/" + std::to_string(Pid(aIndex)) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
  }
  bool IsReady(size_t aIndex) const {
    return Get(aIndex, m_readyPort, "/-/readyz").Status() == 200;
  }
  std::vector<std::string> Resolve(size_t aIndex, const std::string& aHost) const {
    const Message answer =
      Get(aIndex, m_directoryPort, "/-/resolve?name=" + aHost + "&region=r&zone=z-a");
    const json body = json::parse(answer.m_body, nullptr, false);
    return answer.Status() == 200 && body.is_object()
             ? body.value("addresses", std::vector<std::string>())
             : std::vector<std::string>();
  }
  /// Waits until all nodes are ready and know of each other.
  bool WaitReady(const std::string& aHost, int64_t aMs = 15000) {
    const auto until = Clock::now() + Millis(aMs);
    for (size_t i = 0; i < Count(); ++i) {
      while (!IsReady(i) || Resolve(i, aHost).size() != Count()) {
        if (Clock::now() > until) {
          return false;
        }
        Sleep(50);
      }
    }
    return true;
  }
  std::string Log(size_t aIndex) const {
    std::ifstream file(m_folder + "/node-" + std::to_string(aIndex) + ".log");
    return { std::istreambuf_iterator<char>(file), {} };
  }

private:
  std::string SettingsFile(size_t aIndex) const {
    return m_folder + "/node-" + std::to_string(aIndex) + ".toml";
  }
  Message Get(size_t aIndex, uint16_t aPort, const std::string& aTarget) const {
    const SocketPtr socket = Connect(Host(aIndex), aPort);
    if (socket == nullptr || !socket->Write("GET " + aTarget + " HTTP/1.1\r\nHost: " +
                                            Host(aIndex) + "\r\nConnection: close\r\n\r\n")) {
      return {};
    }
    return socket->Read(Clock::now() + std::chrono::seconds(1)).value_or(Message());
  }
  /// Writes the settings that docs of the platform show, for a site of one zone per three nodes.
  void WriteSettings(size_t aIndex) const {
    const std::string host = Host(aIndex);
    const char zone = static_cast<char>('a' + aIndex % 3);
    const auto at = [&](uint16_t aPort) {
      return "\"" + host + ":" + std::to_string(aPort) + "\"";
    };
    std::ofstream file(SettingsFile(aIndex));
    file << "node_name = \"edge-" << aIndex << "\"\nrole = \"node\"\nmachine_class = \"edge\"\n"
         << "serves = [\"edge\",\"registry\",\"control_plane\"]\nip = \"" << host
         << "\"\nzone = \"z-" << zone << "\"\nregion = \"r\"\ninternal_ports = [" << m_peerPort
         << ", " << m_peerPort << "]\nseeds = [\"" << Host(0) << ":" << m_controlPort
         << "\"]\nbootstrap = true\nheartbeat_ms = 1200\n[zones]\nz-a = \"r\"\nz-b = \"r\"\n"
         << "z-c = \"r\"\n[listen]\nfront = " << at(m_callerPort) << "\nready = " << at(m_readyPort)
         << "\ndirectory = " << at(m_directoryPort) << "\ncontrol = " << at(m_controlPort)
         << "\n[limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n"
         << "link_mbps = 1000.0\ndisk_mb = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
         << "contact_ms = 3000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
         << "config_ms = 2000\npartition_ms = 5000\nfail_closed = false\nrevoke_ms = 5000\n"
         << "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\nquota_window_s = 8\n"
         << "quota_overrun = 0.1\nquota_slack = 110000\nfencing = true\nlease_ms = 3000\n"
         << "usage_window_s = 5\nusage_error = 0.05\nusage_late_s = 10\nrecover_s = 12\n"
         << "ttl_max_s = 5\n[platform]\naddress = \"" << m_store
         << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
         << "value_bytes = 1048576\nttl_min_ms = 1000\n[cloud]\naddress = \"" << m_store
         << "\"\nduties = [\"metering\"]\nduties_per_s = 50.0\n";
  }

  std::string m_root;
  std::string m_store;
  Record& m_record;
  std::mutex m_mutex;
  std::vector<pid_t> m_pids;
  std::string m_folder;
  std::string m_subnet;
  uint16_t m_callerPort = 0;
  uint16_t m_readyPort = 0;
  uint16_t m_directoryPort = 0;
  uint16_t m_controlPort = 0;
  uint16_t m_peerPort = 0;
};

/// Publishes a runner in the store.
inline std::string RegistrationText(const std::string& aService,
                                    const std::string& aAddress,
                                    const std::string& aZone,
                                    int aSlots,
                                    int64_t aSequence,
                                    const std::string& aState = "ready") {
  return json{
    { "service", aService }, { "address", aAddress },   { "zone", aZone },
    { "version", "v1" },     { "slots", aSlots },       { "state", aState },
    { "cold_left_ms", 0 },   { "sequence", aSequence }, { "born", 1700000000000 }
  }.dump();
}

inline bool HasTrouble() {
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
