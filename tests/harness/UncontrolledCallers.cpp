#include "tests/harness/UncontrolledCallers.h"

#include "tests/harness/PlatformFleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace papayafield::tests {

namespace {

/// Size of a body whose chunks are single bytes; 60 of them exceed the memory of the tests' host.
constexpr size_t kTinyChunksBodyBytes = 1U << 20U;
constexpr size_t kMaxBodyBytes = 4U << 20U;
constexpr size_t kUnitBytes = 16384;
constexpr base::Millis kCallTimeout{ 15000 };

} // namespace

std::string Repeat(std::string_view aText, size_t aCount) {
  std::string text;
  text.reserve(aText.size() * aCount);
  for (size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

/// Returns a request head up to and without the empty line.
std::string HeadStart(const std::string& aFraming) {
  std::string head = "POST /safe/a HTTP/1.1\r\n";
  for (const auto& field : MakeCallerHeaders("h.example", "key-1", "uncontrolled", kCallTimeout)) {
    head += field.m_name + ": " + field.m_value + "\r\n";
  }
  return head + aFraming;
}

std::vector<Load> HeadLoads() {
  return { { "head of very many short fields", HeadStart(""), Repeat("a:\r\n", 4096), 16U << 20U },
           { "one unterminated field", HeadStart("X: "), std::string(kUnitBytes, 'x'), 16U << 20U },
           { "endless empty lines", "", Repeat("\r\n", 8192), 16U << 20U },
           { "incomplete head of 60 KB", HeadStart("X: "), std::string(61440, 'x'), 61440 } };
}

std::vector<Load> BodyLoads() {
  const std::string chunked = HeadStart("Transfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "4000\r\n" + std::string(kUnitBytes, 'x') + "\r\n";
  const std::string tinyChunks = Repeat("1\r\nx\r\n", 4096);
  return {
    { "bodies with a length",
      HeadStart("Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n"),
      std::string(kUnitBytes, 'x'),
      kMaxBodyBytes - kUnitBytes },
    { "chunks of 16 KiB", chunked, chunk, (kMaxBodyBytes / kUnitBytes - 1) * chunk.size() },
    { "chunks of 1 byte", chunked, tinyChunks, kTinyChunksBodyBytes / 4096 * tinyChunks.size() },
  };
}

SilentCaller::SilentCaller(const base::Address& aTo, const Load& aLoad)
  : m_load(aLoad)
  , m_total(aLoad.m_start.size() + aLoad.m_repeatedBytes)
  , m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aTo.m_port);
  inet_pton(AF_INET, aTo.m_host.c_str(), &address.sin_addr);
  if (connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    m_ended = true;
  }
  fcntl(m_fd, F_SETFL, O_NONBLOCK);
}

SilentCaller::~SilentCaller() {
  close(m_fd);
}

void SilentCaller::SendMore() {
  const std::string_view part = NextPart();
  const ssize_t sent = send(m_fd, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) {
    m_sent += static_cast<size_t>(sent);
  } else if (sent < 0 && errno != EAGAIN) {
    m_ended = true;
  }
}

void SilentCaller::ReadMore() {
  char part[4096];
  const ssize_t bytes = recv(m_fd, part, sizeof(part), MSG_DONTWAIT);
  m_ended = m_ended || bytes == 0 || (bytes < 0 && errno != EAGAIN);
}

std::string_view SilentCaller::NextPart() const {
  const std::string_view start = m_load.m_start;
  const std::string_view repeated = m_load.m_repeated;
  if (m_sent < start.size()) {
    return start.substr(m_sent);
  }
  const std::string_view rest = repeated.substr((m_sent - start.size()) % repeated.size());
  return rest.substr(0, m_total - m_sent);
}

void Connect(const base::Address& aTo, const Load& aLoad, int aCallers, Crowd& aCrowd) {
  for (int i = 0; i < aCallers; ++i) {
    aCrowd.push_back(std::make_unique<SilentCaller>(aTo, aLoad));
  }
}

void SendAll(const Crowd& aCrowd, base::Millis aMaxTime) {
  const auto until = base::BootNow() + aMaxTime;
  while (base::BootNow() < until) {
    std::vector<pollfd> waiting;
    std::vector<SilentCaller*> callers;
    for (const auto& caller : aCrowd) {
      if (caller->IsSending()) {
        waiting.push_back({ caller->Fd(), POLLIN | POLLOUT, 0 });
        callers.push_back(caller.get());
      }
    }
    if (waiting.empty()) {
      return;
    }
    poll(waiting.data(), waiting.size(), 100);
    for (size_t i = 0; i < waiting.size(); ++i) {
      if ((waiting[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        callers[i]->ReadMore();
      }
      if (!callers[i]->HasEnded() && (waiting[i].revents & POLLOUT) != 0) {
        callers[i]->SendMore();
      }
    }
  }
}

} // namespace papayafield::tests
