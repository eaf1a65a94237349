#include "tests/harness/UncontrolledCallers.h"
#include "tests/harness/HostMemory.h"
#include "tests/harness/PlatformFleet.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>

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
constexpr size_t kMaxBodyBytes = 4U << 20U;
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
  Connect(host.m_fleet.CallerAddress(0), aLoad, CallerCount(), crowd);
  SendAll(crowd, kMaxSendTime);
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
    Connect(host.m_fleet.CallerAddress(0), load, CallerCount(), crowd);
    SendAll(crowd, kMaxSendTime);
    CheckNode(host.m_fleet, host.m_memory, crowd, load.m_name);
  }
  for (const Load& load : loads) {
    Connect(host.m_fleet.CallerAddress(0),
            load,
            std::max(CallerCount() / static_cast<int>(loads.size()), 1),
            crowd);
  }
  SendAll(crowd, kMaxSendTime);
  CheckNode(host.m_fleet, host.m_memory, crowd, "mixed");
}

// The parser skips empty lines before a request without a limit of their own.
BOOST_AUTO_TEST_CASE(EmptyLinesEndAConnection) {
  constexpr size_t kLines = 64;
  SmallHost host;
  const std::string lines = Repeat("\r\n", kLines);
  const Load load{ "empty lines", "", lines, lines.size() };
  Crowd crowd;
  Connect(host.m_fleet.CallerAddress(0), load, CallerCount(), crowd);
  SendAll(crowd, kMaxSendTime);
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
    Connect(fleet.CallerAddress(0), load, std::max(CallerCount(), kMaxFds), crowd);
    SendAll(crowd, kMaxSendTime);
    std::this_thread::sleep_for(base::Millis(200));
    const size_t descriptors = CountDescriptors(fleet.NodeProcess(0).Pid());
    BOOST_TEST_MESSAGE(load.m_name << ": " << descriptors << " descriptors");
    BOOST_TEST(descriptors <= static_cast<size_t>(kMaxFds));
    crowd.clear();
    BOOST_TEST(
      PlatformFleet::WaitUntil([&] { return fleet.Send(0, "POST", "/safe/a").m_status == 200; }));
  }
}

// Each call that waits for its endpoint holds a second connection, which no limit counted.
BOOST_AUTO_TEST_CASE(OpenCallsLeaveTheDescriptorsOfAHost) {
  constexpr int kMaxFds = 700;
  constexpr size_t kRunners = 2;
  PlatformFleet fleet(1, kRunners, PlatformFleet::Proxies::None, { 0, kMaxFds });
  ConfigurationOptions options;
  options.m_timeout = kCallTimeout;
  fleet.ApplyConfiguration(options);
  BOOST_REQUIRE(PlatformFleet::WaitUntil(
    [&] { return fleet.ReadMetric(0, "configuration") == fleet.Version(); }));
  const auto setRunners = [&](const char* aMode) {
    for (size_t i = 0; i < kRunners; ++i) {
      fleet.PostControl("runner", { { "index", i }, { "mode", aMode } });
    }
  };
  setRunners("hang");
  const Load calls{ "calls without an answer", HeadStart("Content-Length: 0\r\n\r\n"), "", 0 };
  Crowd crowd;
  Connect(fleet.CallerAddress(0), calls, std::max(CallerCount(), kMaxFds), crowd);
  SendAll(crowd, kMaxSendTime);
  size_t descriptors = 0;
  constexpr int kReadings = 20;
  for (int i = 0; i < kReadings; ++i) {
    descriptors = std::max(descriptors, CountDescriptors(fleet.NodeProcess(0).Pid()));
    std::this_thread::sleep_for(base::Millis(100));
  }
  BOOST_TEST_MESSAGE(calls.m_name << ": " << descriptors << " descriptors");
  BOOST_TEST(descriptors <= static_cast<size_t>(kMaxFds));
  BOOST_TEST(fleet.NodeProcess(0).IsRunning());
  setRunners("ok");
  crowd.clear();
  BOOST_TEST(
    PlatformFleet::WaitUntil([&] { return fleet.Send(0, "POST", "/safe/a").m_status == 200; }));
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
