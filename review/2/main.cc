#include "review/common/Fleet.hpp"

/// \file
/// Case 2: the operator takes the key of the only tenant away by a version whose list of tenants is
/// empty. A client goes on with that key, and others use keys that no configuration ever held, or
/// none.

namespace {

using namespace review;

constexpr size_t kNodes = 3;
/// Bound of the platform for a new version, and a second beyond it.
constexpr int64_t kInForceMs = 2000 + 1000;

struct Caller {
  const char* m_name;
  /// Empty if the request has no key.
  std::string m_key;
};

} // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const bool hasTrouble = HasTrouble();
  Record record(argv[2]);
  Platform platform("127.0.0.1");
  std::vector<std::shared_ptr<Runner>> runners;
  for (int i = 0; i < 3; ++i) {
    runners.push_back(std::make_shared<Runner>("app-" + std::to_string(i), "app", "127.0.0.1"));
  }
  platform.Put("op/config", SmallConfiguration(1).dump());
  Registrar registrar(platform, runners);
  Nodes nodes(kNodes, argv[1], platform.Address(), record);
  for (size_t i = 0; i < kNodes; ++i) {
    nodes.Start(i);
  }
  if (!nodes.WaitReady(kHost)) {
    record.Line("the nodes did not become ready");
    return 2;
  }
  const std::vector<Caller> callers = { { "holder", kKey },
                                        { "stranger", "a-key-of-nobody" },
                                        { "keyless", "" } };
  std::map<std::string, std::vector<std::string>> ran;
  int failures = 0;
  const auto sendAll = [&](const std::string& aWhen, bool aHolderIsAllowed) {
    for (size_t node = 0; node < kNodes; ++node) {
      for (const Caller& caller : callers) {
        const std::string id = aWhen + "-" + caller.m_name + "-" + std::to_string(node);
        const SocketPtr socket = Connect(nodes.Host(node), nodes.CallerPort());
        if (socket == nullptr) {
          record.Line("no connection to node " + std::to_string(node));
          ++failures;
          continue;
        }
        socket->Write(
          "POST /order/x HTTP/1.1\r\nHost: " + kHost + "\r\nPapayafield-Attempt-Id: " + id +
          "\r\nPapayafield-Deadline-Ms: 4000\r\n" +
          (caller.m_key.empty() ? "" : "Authorization: Bearer " + caller.m_key + "\r\n") +
          "Content-Length: 2\r\n\r\n{}");
        const auto answer = socket->Read(Clock::now() + Millis(4000));
        std::string runner;
        for (const auto& candidate : runners) {
          if (candidate->HasRun(id)) {
            runner = candidate->Id();
          }
        }
        const bool isAllowed = aHolderIsAllowed && caller.m_key == kKey;
        record.Line(id + ": status " + std::to_string(answer ? answer->Status() : 0) + ", " +
                    (runner.empty() ? "not run" : "run by " + runner) + ", " +
                    (isAllowed ? "allowed" : "not allowed"));
        if (!isAllowed && !runner.empty()) {
          ran[caller.m_name].push_back(id);
        }
        failures += isAllowed && runner.empty() ? 1 : 0;
      }
    }
  };

  sendAll("version1", true);
  if (hasTrouble) {
    json configuration = SmallConfiguration(2);
    configuration["tenants"] = json::array();
    platform.Put("op/config", configuration.dump());
    record.Line("version 2, with an empty list of tenants, is acknowledged");
  }
  Sleep(kInForceMs);
  sendAll(hasTrouble ? "version2" : "later", !hasTrouble);
  for (size_t i = 0; i < kNodes; ++i) {
    nodes.Kill(i);
  }
  record.Line("ROUTE: requests run whose key no configuration ever held: " +
              std::to_string(ran["stranger"].size() + ran["keyless"].size()));
  record.Line("CONFIG: requests run with a dropped key: " + std::to_string(ran["holder"].size()));
  const bool broken = !ran["stranger"].empty() || !ran["keyless"].empty() || !ran["holder"].empty();
  std::fflush(nullptr);
  _exit(failures > 0 ? 2 : broken ? 1 : 0);
}
