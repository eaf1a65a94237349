#include "tests/harness/HostMemory.h"
#include "tests/harness/PlatformFleet.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <thread>

/// \file
/// Tests that callers that send heads or bodies without completing a request cost neither the
/// memory and descriptors of a node nor the answers of other callers. For runs by hand, the number
/// of callers and the memory of the host are taken from the environment: UNCONTROLLED_CALLERS and
/// UNCONTROLLED_HOST_MB.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

/// Number of callers of each kind of load. The loads of the tests need more than kHostMb on a node
/// without limits.
constexpr int kCallers = 60;
/// Memory of the host, in MiB. Smaller than any real one, so that a small crowd exceeds it.
constexpr int kHostMb = 48;
/// Size of a body whose chunks are single bytes; 60 of them exceed the host's memory.
constexpr size_t kTinyChunksBodyBytes = 1U << 20U;
constexpr size_t kMaxBodyBytes = 4U << 20U;
constexpr size_t kUnitBytes = 16384;
/// Maximum time for sending a load. Sending stops then; nothing depends on how much was sent.
constexpr base::Millis kMaxSendTime{ 60000 };
/// Descriptors of a node beside those of its callers' connections.
constexpr size_t kOwnDescriptors = 100;
constexpr base::Millis kCallTimeout{ 15000 };
/// Longer than any test, so that no limit on time relieves the node.
constexpr base::Millis kIdleTimeout{ 600000 };
/// The node has read all that was sent once its memory has not grown for this time.
constexpr base::Millis kSettlingTime{ 1000 };

int FromEnvironment(const char* aName, int aDefault) {
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

int CallerCount() {
  return FromEnvironment("UNCONTROLLED_CALLERS", kCallers);
}

int HostMb() {
  return FromEnvironment("UNCONTROLLED_HOST_MB", kHostMb);
}

/// What each caller of a load sends before it falls silent and keeps its connection open.
struct Load {
  const char* m_name;
  std::string m_start;
  /// Sent until `m_repeatedBytes` bytes were sent after the start.
  std::string m_repeated;
  size_t m_repeatedBytes = 0;
};

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

/// The connection of one caller of a load. Never blocks; not thread safe.
class SilentCaller {
public:
  SilentCaller(const base::Address& aTo, const Load& aLoad)
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
  ~SilentCaller() { close(m_fd); }
  SilentCaller(const SilentCaller&) = delete;
  SilentCaller& operator=(const SilentCaller&) = delete;
  SilentCaller(SilentCaller&&) = delete;
  SilentCaller& operator=(SilentCaller&&) = delete;

  int Fd() const { return m_fd; }
  /// Whether the node has ended the connection.
  bool HasEnded() const { return m_ended; }
  /// Whether more is to be sent.
  bool IsSending() const { return !m_ended && m_sent < m_total; }
  /// Sends the next part, as far as the connection takes it.
  void SendMore() {
    const std::string_view part = NextPart();
    const ssize_t sent = send(m_fd, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      m_sent += static_cast<size_t>(sent);
    } else if (sent < 0 && errno != EAGAIN) {
      m_ended = true;
    }
  }
  /// Takes note of the end of the connection; what the node sends is discarded.
  void ReadMore() {
    char part[4096];
    const ssize_t bytes = recv(m_fd, part, sizeof(part), MSG_DONTWAIT);
    m_ended = m_ended || bytes == 0 || (bytes < 0 && errno != EAGAIN);
  }

private:
  std::string_view NextPart() const {
    const std::string_view start = m_load.m_start;
    const std::string_view repeated = m_load.m_repeated;
    if (m_sent < start.size()) {
      return start.substr(m_sent);
    }
    const std::string_view rest = repeated.substr((m_sent - start.size()) % repeated.size());
    return rest.substr(0, m_total - m_sent);
  }

  const Load& m_load;
  size_t m_total;
  size_t m_sent = 0;
  int m_fd = -1;
  bool m_ended = false;
};

using Crowd = std::vector<std::unique_ptr<SilentCaller>>;

void Connect(const PlatformFleet& aFleet, const Load& aLoad, int aCallers, Crowd& aCrowd) {
  for (int i = 0; i < aCallers; ++i) {
    aCrowd.push_back(std::make_unique<SilentCaller>(aFleet.CallerAddress(0), aLoad));
  }
}

/// Sends what all callers have to send, or until the node has ended the connections.
void SendAll(const Crowd& aCrowd, base::Millis aMaxTime = kMaxSendTime) {
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

/// Waits until the node has read what is left in the buffers of the kernel.
void WaitUntilRead(const HostMemory& aMemory) {
  const auto until = base::BootNow() + kMaxSendTime;
  size_t peak = 0;
  while (aMemory.PeakBytes() != peak && base::BootNow() < until) {
    peak = aMemory.PeakBytes();
    std::this_thread::sleep_for(kSettlingTime);
  }
}

size_t CountDescriptors(int aPid) {
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(aPid) + "/fd");
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

/// Checks that the node lives within its host and serves an ordinary caller, while the callers of
/// the crowd still hold their connections and after they have left.
void CheckNode(PlatformFleet& aFleet, const HostMemory& aMemory, Crowd& aCrowd, const char* aName) {
  WaitUntilRead(aMemory);
  for (const auto& caller : aCrowd) {
    caller->ReadMore();
  }
  const size_t ended = static_cast<size_t>(std::count_if(
    aCrowd.begin(), aCrowd.end(), [](const auto& aCaller) { return aCaller->HasEnded(); }));
  const bool isRunning = aFleet.NodeProcess(0).IsRunning();
  const size_t descriptors = isRunning ? CountDescriptors(aFleet.NodeProcess(0).Pid()) : 0;
  BOOST_TEST_MESSAGE(aName << ": " << aCrowd.size() << " callers, " << ended << " ended, peak "
                           << (aMemory.PeakBytes() >> 20U) << " MiB, " << descriptors
                           << " descriptors");
  BOOST_TEST_CONTEXT(aName) {
    BOOST_REQUIRE_MESSAGE(!aMemory.HasKilled(), "the node exceeded the memory of its host");
    BOOST_REQUIRE(isRunning);
    BOOST_TEST(descriptors <= aCrowd.size() + kOwnDescriptors);
    BOOST_TEST(aFleet.Send(0, "POST", "/safe/a").m_status == 200);
    aCrowd.clear();
    BOOST_TEST(aFleet.Send(0, "POST", "/safe/a").m_status == 200);
  }
}

/// A node on a small host. No call ends for its time, however slow the machine is.
struct SmallHost {
  SmallHost() {
    ConfigurationOptions options;
    options.m_timeout = kCallTimeout;
    options.m_idleTimeout = kIdleTimeout;
    m_fleet.ApplyConfiguration(options);
    BOOST_REQUIRE(PlatformFleet::WaitUntil(
      [this] { return m_fleet.ReadMetric(0, "configuration") == m_fleet.Version(); }));
  }

  PlatformFleet m_fleet{ 1, 2, PlatformFleet::Proxies::None, { HostMb(), 0 } };
  HostMemory m_memory{ m_fleet.NodeProcess(0).Pid(), static_cast<size_t>(HostMb()) << 20U };
};

void CheckLoad(const Load& aLoad) {
  SmallHost host;
  Crowd crowd;
  Connect(host.m_fleet, aLoad, CallerCount(), crowd);
  SendAll(crowd);
  CheckNode(host.m_fleet, host.m_memory, crowd, aLoad.m_name);
}

/// Returns the status of the answer to a complete request with a body of the maximum size, sent in
/// chunks of `aChunkBytes`, or with a length if that is 0.
int SendLargestBody(const PlatformFleet& aFleet, size_t aChunkBytes) {
  RawCaller caller(aFleet.CallerAddress(0));
  if (aChunkBytes == 0) {
    caller.Send(HeadStart("Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n"));
    caller.Send(std::string(kMaxBodyBytes, 'x'));
    return caller.Receive(kCallTimeout).m_status;
  }
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", aChunkBytes);
  std::string body =
    Repeat(size + std::string(aChunkBytes, 'x') + "\r\n", kMaxBodyBytes / aChunkBytes);
  if (const size_t rest = kMaxBodyBytes % aChunkBytes; rest > 0) {
    std::snprintf(size, sizeof(size), "%zx\r\n", rest);
    body += size + std::string(rest, 'x') + "\r\n";
  }
  caller.Send(HeadStart("Transfer-Encoding: chunked\r\n\r\n"));
  caller.Send(body + "0\r\n\r\n");
  return caller.Receive(kCallTimeout).m_status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UncontrolledCallersTest)

// Each incomplete head took 1.2 MB, since each of its fields was held as two strings.
BOOST_AUTO_TEST_CASE(HeadsLeaveTheMemoryOfAHost) {
  for (const Load& load : HeadLoads()) {
    CheckLoad(load);
  }
}

// A node held all incomplete bodies, whatever their sum.
BOOST_AUTO_TEST_CASE(IncompleteBodiesLeaveTheMemoryOfAHost) {
  for (const Load& load : BodyLoads()) {
    CheckLoad(load);
  }
}

// What one load leaves behind must not add to the next one.
BOOST_AUTO_TEST_CASE(LoadsInSuccessionAndMixedLeaveTheMemoryOfAHost) {
  SmallHost host;
  std::vector<Load> loads = HeadLoads();
  for (const Load& load : BodyLoads()) {
    loads.push_back(load);
  }
  Crowd crowd;
  for (const Load& load : loads) {
    Connect(host.m_fleet, load, CallerCount(), crowd);
    SendAll(crowd);
    CheckNode(host.m_fleet, host.m_memory, crowd, load.m_name);
  }
  for (const Load& load : loads) {
    Connect(host.m_fleet, load, std::max(CallerCount() / static_cast<int>(loads.size()), 1), crowd);
  }
  SendAll(crowd);
  CheckNode(host.m_fleet, host.m_memory, crowd, "mixed");
}

// The parser skips empty lines before a request without a limit of their own.
BOOST_AUTO_TEST_CASE(EmptyLinesEndAConnection) {
  constexpr size_t kLines = 64;
  SmallHost host;
  const std::string lines = Repeat("\r\n", kLines);
  const Load load{ "empty lines", "", lines, lines.size() };
  Crowd crowd;
  Connect(host.m_fleet, load, CallerCount(), crowd);
  SendAll(crowd);
  BOOST_TEST(PlatformFleet::WaitUntil([&] {
    return std::all_of(crowd.begin(), crowd.end(), [](const auto& aCaller) {
      aCaller->ReadMore();
      return aCaller->HasEnded();
    });
  }));
  CheckNode(host.m_fleet, host.m_memory, crowd, load.m_name);
}

// Every connection was accepted, so that none was left for endpoints, nodes and files.
BOOST_AUTO_TEST_CASE(ConnectionsLeaveTheDescriptorsOfAHost) {
  constexpr int kMaxFds = 300;
  PlatformFleet fleet(1, 2, PlatformFleet::Proxies::None, { 0, kMaxFds });
  const Load idle{ "idle connections", "", "", 0 };
  const Load heads{ "connections with an incomplete head", HeadStart("X: "), "", 0 };
  for (const Load& load : { idle, heads }) {
    Crowd crowd;
    Connect(fleet, load, std::max(CallerCount(), kMaxFds), crowd);
    SendAll(crowd);
    std::this_thread::sleep_for(base::Millis(200));
    const size_t descriptors = CountDescriptors(fleet.NodeProcess(0).Pid());
    BOOST_TEST_MESSAGE(load.m_name << ": " << descriptors << " descriptors");
    BOOST_TEST(descriptors <= static_cast<size_t>(kMaxFds));
    crowd.clear();
    BOOST_TEST(
      PlatformFleet::WaitUntil([&] { return fleet.Send(0, "POST", "/safe/a").m_status == 200; }));
  }
}

// The limits must not cost the largest request that is allowed.
BOOST_AUTO_TEST_CASE(LargestBodiesAreServed) {
  SmallHost host;
  for (const size_t chunkBytes : { 0, 1, 7, 64, 65536 }) {
    BOOST_TEST_CONTEXT("chunks of " << chunkBytes) {
      BOOST_TEST(SendLargestBody(host.m_fleet, chunkBytes) == 200);
    }
  }
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(SendLargestBody(host.m_fleet, i % 2 == 0 ? 0 : 64) == 200);
  }
  BOOST_TEST_MESSAGE("largest bodies: peak " << (host.m_memory.PeakBytes() >> 20U) << " MiB");
  BOOST_TEST(!host.m_memory.HasKilled(), "the node exceeded the memory of its host");
}

BOOST_AUTO_TEST_SUITE_END()
