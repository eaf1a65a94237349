// Small callers for the scripts of this review. They use plain sockets on loopback addresses and
// write what they saw to standard output, one line for each call.
//
//   callers get ADDRESS PATH                  one GET; prints the status, or how the connection
//   ended callers post ADDRESS PATH FILE            one POST of the file, for the stand-in's
//   control calls callers hold ADDRESS COUNT HEAD           opens COUNT connections, sends HEAD
//   (\r\n escaped) on each
//                                             without completing the request, and keeps them open
//   callers burst ADDRESS COUNT PATH SECONDS  opens COUNT connections, sends one request on each
//   and
//                                             waits up to SECONDS for the answers
//   callers pauses FILE RUNNER SECONDS        lists the requests in the stand-in's report FILE that
//   reached
//                                             RUNNER from half a second after it had answered with
//                                             a Retry-After until SECONDS after that; exits with 1
//                                             if there are more than two

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

/// Time limit of a single call, in seconds; that of clients that ask for addresses.
constexpr int kCallSeconds = 1;

int Connect(const std::string& aAddress) {
  const size_t colon = aAddress.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &to.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int aFd, const std::string& aText) {
  for (size_t sent = 0; sent < aText.size();) {
    const ssize_t count = send(aFd, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

std::string Unescape(const std::string& aText) {
  std::string text;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '\\' && i + 1 < aText.size()) {
      ++i;
      text += aText[i] == 'r' ? '\r' : aText[i] == 'n' ? '\n' : aText[i];
    } else {
      text += aText[i];
    }
  }
  return text;
}

/// Sends one request and prints its outcome. Returns 0 if there was a complete head of an answer.
int SendOne(const std::string& aAddress, const std::string& aRequest, bool aPrintBody) {
  const int fd = Connect(aAddress);
  if (fd < 0) {
    std::puts("not connected");
    return 1;
  }
  const timeval limit{ kCallSeconds, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string answer;
  std::string end;
  if (!SendAll(fd, aRequest)) {
    end = "reset";
  }
  char part[65536];
  while (end.empty()) {
    const ssize_t count = recv(fd, part, sizeof(part), 0);
    if (count > 0) {
      answer.append(part, static_cast<size_t>(count));
    } else {
      end = count == 0 ? "closed" : errno == EAGAIN ? "no answer in time" : "reset";
    }
  }
  close(fd);
  const size_t head = answer.find("\r\n\r\n");
  if (head == std::string::npos) {
    std::printf("%s without an answer\n", end.c_str());
    return 1;
  }
  std::printf(
    "%s %s\n", answer.substr(9, 3).c_str(), aPrintBody ? answer.substr(head + 4).c_str() : "");
  return 0;
}

int Get(char** aArguments) {
  return SendOne(aArguments[2],
                 std::string("GET ") + aArguments[3] + " HTTP/1.1\r\nHost: " + aArguments[2] +
                   "\r\nConnection: close\r\n\r\n",
                 true);
}

int Post(char** aArguments) {
  std::ifstream file(aArguments[4]);
  const std::string body{ std::istreambuf_iterator<char>(file), {} };
  return SendOne(aArguments[2],
                 std::string("POST ") + aArguments[3] + " HTTP/1.1\r\nHost: " + aArguments[2] +
                   "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body,
                 false);
}

int Hold(char** aArguments) {
  const std::string head = Unescape(aArguments[4]);
  std::vector<int> open;
  for (int i = 0; i < std::atoi(aArguments[3]); ++i) {
    const int fd = Connect(aArguments[2]);
    if (fd >= 0 && SendAll(fd, head)) {
      open.push_back(fd);
    }
  }
  std::printf("holding %zu connections\n", open.size());
  std::fflush(stdout);
  while (true) {
    pause();
  }
}

/// Returns the numbers `at_ms` of the entries of RUNNER in the list `aName` of a report.
std::vector<double> TimesOf(const std::string& aReport,
                            const std::string& aName,
                            const std::string& aRunner) {
  std::vector<double> times;
  const size_t start = aReport.find("\"" + aName + "\":[");
  const size_t end = aReport.find(']', start);
  size_t at = start;
  while (start != std::string::npos && (at = aReport.find("\"at_ms\":", at)) < end) {
    const double time = std::atof(aReport.c_str() + at + 8);
    at = aReport.find('}', at);
    const size_t entry = aReport.rfind('{', at);
    if (aReport.substr(entry, at - entry).find("\"runner\":\"" + aRunner + "\"") !=
        std::string::npos) {
      times.push_back(time);
    }
  }
  return times;
}

int Pauses(char** aArguments) {
  std::ifstream file(aArguments[2]);
  const std::string report{ std::istreambuf_iterator<char>(file), {} };
  const std::vector<double> arrivals = TimesOf(report, "arrivals", aArguments[3]);
  // The list of a signal's Retry-After fields ends the search for the signals after the first one.
  const std::vector<double> signals = TimesOf(report, "signals", aArguments[3]);
  if (signals.empty()) {
    std::puts("the runner asked for no pause");
    return 2;
  }
  const double from = signals.front() + 500;
  const double to = signals.front() + std::atof(aArguments[4]) * 1000;
  int count = 0;
  for (const double arrival : arrivals) {
    if (arrival > from && arrival < to) {
      if (++count > 5) {
        continue;
      }
      std::printf("a request reached %s %.1f s after its Retry-After\n",
                  aArguments[3],
                  (arrival - signals.front()) / 1000);
    }
  }
  std::printf("%d requests in all reached it in that time, 2 are allowed\n", count);
  return count > 2 ? 1 : 0;
}

int Burst(char** aArguments) {
  struct Call {
    int m_fd = -1;
    std::string m_answer;
    bool m_done = false;
  };
  const std::string address = aArguments[2];
  std::vector<Call> calls(static_cast<size_t>(std::atoi(aArguments[3])));
  for (Call& call : calls) {
    call.m_fd = Connect(address);
  }
  for (size_t i = 0; i < calls.size(); ++i) {
    SendAll(calls[i].m_fd,
            std::string("GET ") + aArguments[4] +
              " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
              "Papayafield-Attempt-Id: call-" +
              std::to_string(i) + "\r\nPapayafield-Deadline-Ms: 5000\r\n\r\n");
    fcntl(calls[i].m_fd, F_SETFL, O_NONBLOCK);
  }
  const auto until = Clock::now() + std::chrono::seconds(std::atoi(aArguments[5]));
  size_t left = calls.size();
  while (left > 0 && Clock::now() < until) {
    std::vector<pollfd> waiting;
    std::vector<Call*> waitingCalls;
    for (Call& call : calls) {
      if (!call.m_done) {
        waiting.push_back({ call.m_fd, POLLIN, 0 });
        waitingCalls.push_back(&call);
      }
    }
    poll(waiting.data(), waiting.size(), 100);
    for (size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].revents == 0) {
        continue;
      }
      Call& call = *waitingCalls[i];
      char part[4096];
      const ssize_t count = recv(call.m_fd, part, sizeof(part), 0);
      if (count > 0) {
        call.m_answer.append(part, static_cast<size_t>(count));
      }
      if (count <= 0 || call.m_answer.find("\r\n\r\n") != std::string::npos) {
        call.m_done = true;
        --left;
      }
    }
  }
  std::map<std::string, int> outcomes;
  for (size_t i = 0; i < calls.size(); ++i) {
    const Call& call = calls[i];
    const std::string outcome = call.m_answer.size() > 12 ? call.m_answer.substr(9, 3)
                                : call.m_done             ? "closed"
                                                          : "no answer";
    std::printf("sent call-%zu, answered %s\n", i, outcome.c_str());
    ++outcomes[outcome];
    close(call.m_fd);
  }
  for (const auto& [outcome, count] : outcomes) {
    std::printf("outcome %s: %d calls\n", outcome.c_str(), count);
  }
  return 0;
}

} // namespace

int main(int aCount, char** aArguments) {
  const std::string verb = aCount > 1 ? aArguments[1] : "";
  if (verb == "get" && aCount == 4) {
    return Get(aArguments);
  }
  if (verb == "post" && aCount == 5) {
    return Post(aArguments);
  }
  if (verb == "hold" && aCount == 5) {
    return Hold(aArguments);
  }
  if (verb == "burst" && aCount == 6) {
    return Burst(aArguments);
  }
  if (verb == "pauses" && aCount == 5) {
    return Pauses(aArguments);
  }
  std::fputs("usage: callers get|post|hold|burst ...\n", stderr);
  return 2;
}
