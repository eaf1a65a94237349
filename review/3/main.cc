#include "review/common/Fleet.hpp"

/// \file
/// Case 3: one of three runners answers some requests with a head whose status is no status of the
/// protocol: it has the digits of an unset number.

namespace {

using namespace review;

constexpr size_t kNodes = 3;
constexpr int kRequestsPerClient = 60;
/// One answer in this number is spoiled.
constexpr int kSpoiledOne = 20;

/// A runner that spoils the status line of some answers.
class SpoilingRunner : public Runner {
public:
  using Runner::Runner;
  std::atomic<bool> m_trouble{ false };
  std::atomic<int> m_spoiled{ 0 };

private:
  void Answer(Socket& aSocket, const Message& aRequest) override {
    if (!m_trouble || ++m_count % kSpoiledOne != 0) {
      AnswerSoundly(aSocket, aRequest);
      return;
    }
    RecordRun(aRequest);
    ++m_spoiled;
    aSocket.Write("HTTP/1.1 0 \r\nPapayafield-Attempt-Id: " +
                  aRequest.Field("Papayafield-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n");
  }

  std::atomic<int> m_count{ 0 };
};

/// Returns whether the line is `HTTP/1.1`, a space, three digits of which the first is 1 to 9, and
/// a space, as RFC 9112, section 4, demands.
bool IsStatusLine(const std::string& aLine) {
  return aLine.size() > 12 && aLine.starts_with("HTTP/1.1 ") && aLine[9] >= '1' &&
         aLine[9] <= '9' && std::isdigit(aLine[10]) != 0 && std::isdigit(aLine[11]) != 0 &&
         aLine[12] == ' ';
}

} // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const bool hasTrouble = HasTrouble();
  Record record(argv[2]);
  Platform platform("127.0.0.1");
  std::vector<std::shared_ptr<Runner>> runners;
  for (int i = 0; i < 2; ++i) {
    runners.push_back(std::make_shared<Runner>("app-" + std::to_string(i), "app", "127.0.0.1"));
  }
  const auto spoiling = std::make_shared<SpoilingRunner>("app-2", "app", "127.0.0.1");
  runners.push_back(spoiling);
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
  spoiling->m_trouble = hasTrouble;
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> invalid{ 0 };
  std::vector<std::thread> clients;
  for (int client = 0; client < 9; ++client) {
    clients.emplace_back([&, client] {
      SocketPtr socket;
      for (int number = 0; number < kRequestsPerClient; ++number) {
        const size_t node = static_cast<size_t>(client) % kNodes;
        if (socket == nullptr) {
          socket = Connect(nodes.Host(node), nodes.CallerPort());
        }
        if (socket == nullptr) {
          Sleep(100);
          continue;
        }
        const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
        const bool isOrder = number % 2 == 0;
        ++sent;
        socket->Write(isOrder ? RequestText("POST", "/order/x", id, 4000, "{}")
                              : RequestText("GET", "/stock/x", id, 4000, ""));
        const auto answer = socket->Read(Clock::now() + Millis(4500));
        const std::string line = answer ? answer->m_start : "";
        served += answer && answer->m_complete && answer->Status() == 200;
        if (answer && !IsStatusLine(line)) {
          ++invalid;
          record.Line(id + (isOrder ? " order" : " stock") + " at node " + std::to_string(node) +
                      ": the client gets '" + line + "'");
          socket = nullptr;
        } else {
          record.Line(id + (isOrder ? " order" : " stock") + " at node " + std::to_string(node) +
                      ": '" + line + "', run by" + RunnersOf(runners, id));
        }
        if (!answer || SameName(answer->Field("Connection"), "close")) {
          socket = nullptr;
        }
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  for (size_t i = 0; i < kNodes; ++i) {
    nodes.Kill(i);
  }
  record.Line("sent " + std::to_string(sent) + ", served " + std::to_string(served) +
              ", spoiled by the runner " + std::to_string(spoiling->m_spoiled));
  record.Line("MIXED: bytes that are no answer, passed on to clients: " + std::to_string(invalid));
  const bool hasFailed = !hasTrouble && served < sent;
  std::fflush(nullptr);
  _exit(invalid > 0 ? 1 : hasFailed || (hasTrouble && spoiling->m_spoiled == 0) ? 2 : 0);
}
