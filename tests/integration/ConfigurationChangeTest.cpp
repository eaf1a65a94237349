#include "base/Digest.h"
#include "tests/harness/PiecewiseCaller.h"
#include "tests/harness/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>
#include <mutex>
#include <thread>

/// \file
/// Tests that every request that a node has begun to read gets an answer or a refusal while new
/// versions of the configuration become active.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

/// Time from the first part of a request to the change of the configuration.
constexpr base::Millis kChangeDelay{ 200 };
/// Time from the first part of a request to the rest of it; a change is active well before.
constexpr base::Millis kRestDelay{ 700 };

/// How far a request has come when the configuration changes.
enum class Progress { HeadInPart, BodyInPart, Sent };

std::string MakeHead(const std::string& aTarget, const std::string& aId, size_t aBodyBytes) {
  std::string head = "POST " + aTarget + " HTTP/1.1\r\n";
  for (const auto& field : MakeCallerHeaders("h.example", "key-1", aId, base::Millis(15000))) {
    head += field.m_name + ": " + field.m_value + "\r\n";
  }
  return head + "Content-Length: " + std::to_string(aBodyBytes) + "\r\n\r\n";
}

/// Sends a request on `aCaller`, the rest of it after kRestDelay, and returns the status of the
/// answer.
int SendInPieces(PiecewiseCaller& aCaller, const std::string& aTarget, Progress aProgress) {
  const std::string head = MakeHead(aTarget, base::RandomHex(8), 2);
  const std::string request = head + "{}";
  const size_t cut = aProgress == Progress::HeadInPart   ? head.size() / 2
                     : aProgress == Progress::BodyInPart ? head.size() + 1
                                                         : request.size();
  if (!aCaller.Send(request.substr(0, cut))) {
    return 0;
  }
  if (aProgress != Progress::Sent) {
    std::this_thread::sleep_for(kRestDelay);
  }
  return aCaller.Send(request.substr(cut)) ? aCaller.ReceiveStatus() : 0;
}

/// Callers that run concurrently and the statuses that they received.
class Callers {
public:
  /// Starts `aCount` callers at node `aNode`.
  void Start(const PlatformFleet& aFleet,
             size_t aNode,
             const std::string& aTarget,
             Progress aProgress,
             size_t aCount) {
    for (size_t i = 0; i < aCount; ++i) {
      m_threads.emplace_back([this, address = aFleet.CallerAddress(aNode), aTarget, aProgress] {
        PiecewiseCaller caller(address);
        const int status = SendInPieces(caller, aTarget, aProgress);
        const std::scoped_lock lock(m_mutex);
        ++m_statuses[aProgress][status];
      });
    }
  }
  /// Waits for all callers. Returns the number of callers by progress and status.
  std::map<Progress, std::map<int, size_t>> Join() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
    return std::exchange(m_statuses, {});
  }

private:
  std::vector<std::thread> m_threads;
  std::mutex m_mutex;
  std::map<Progress, std::map<int, size_t>> m_statuses;
};

void ApplyAndWait(PlatformFleet& aFleet, const ConfigurationOptions& aOptions, size_t aNode = 0) {
  aFleet.ApplyConfiguration(aOptions);
  BOOST_REQUIRE(PlatformFleet::WaitUntil(
    [&] { return aFleet.ReadMetric(aNode, "configuration") == aFleet.Version(); }));
}

void SetRunnerModes(const PlatformFleet& aFleet, const std::vector<std::string>& aModes) {
  for (size_t i = 0; i < aModes.size(); ++i) {
    aFleet.PostControl("runner", { { "index", i }, { "mode", aModes[i] } });
  }
}

/// A change of the configuration, and how a node answers requests that it has read completely only
/// after the change.
struct Change {
  ConfigurationOptions m_options;
  int m_laterStatus = 200;
};

std::vector<Change> MakeChanges() {
  ConfigurationOptions dropped;
  dropped.m_hosts = { "other.example" };
  ConfigurationOptions moved;
  moved.m_service = "empty";
  ConfigurationOptions keyRemoved;
  keyRemoved.m_key = "key-2";
  ConfigurationOptions shortened;
  shortened.m_timeout = base::Millis(1200);
  shortened.m_idleTimeout = base::Millis(300);
  shortened.m_headTimeout = base::Millis(1500);
  shortened.m_bodyBytes = 100;
  return { { dropped, 404 }, { moved, 503 }, { keyRemoved, 401 }, { shortened, 200 } };
}

/// A configuration with `aHosts` hosts of several routes each.
ConfigurationOptions MakeLargeConfiguration(size_t aHosts) {
  ConfigurationOptions options;
  for (size_t i = 0; i < aHosts; ++i) {
    options.m_hosts.push_back("host-" + std::to_string(i) + ".example");
  }
  return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationChangeTest)

// A call that has been accepted is answered as the version that accepted it allows, wherever a
// change of the configuration meets it; a request that is still being read, as the new one does.
BOOST_AUTO_TEST_CASE(EachRequestBesideAChangeIsAnswered) {
  for (const Change& change : MakeChanges()) {
    PlatformFleet fleet(1, 2);
    Callers callers;
    const auto changeBeside = [&](const std::string& aTarget,
                                  const std::vector<std::string>& aModes) {
      SetRunnerModes(fleet, aModes);
      callers.Start(fleet, 0, aTarget, Progress::Sent, 6);
      for (const Progress progress : { Progress::HeadInPart, Progress::BodyInPart }) {
        callers.Start(fleet, 0, "/once/a", progress, 4);
      }
      std::this_thread::sleep_for(kChangeDelay);
      ApplyAndWait(fleet, change.m_options);
      auto statuses = callers.Join();
      BOOST_TEST(statuses[Progress::Sent][200] == 6U);
      BOOST_TEST(statuses[Progress::HeadInPart][change.m_laterStatus] == 4U);
      BOOST_TEST(statuses[Progress::BodyInPart][change.m_laterStatus] == 4U);
      SetRunnerModes(fleet, { "ok", "ok" });
      ApplyAndWait(fleet, {});
    };
    // Between two attempts, while the answer is awaited, and within a stream.
    changeBeside("/safe/a", { "hang", "ok" });
    changeBeside("/stream/a", { "slow", "slow" });
    changeBeside("/stream/a", { "stall", "ok" });
  }
}

// Requests whose bodies arrive slowly are answered while large configurations become active.
BOOST_AUTO_TEST_CASE(SlowBodiesBesideLargeConfigurationsAreAnswered) {
  constexpr size_t kCallers = 48;
  constexpr size_t kPieces = 24;
  constexpr size_t kPieceBytes = 500;
  PlatformFleet fleet(2, 2);
  std::vector<std::thread> threads;
  std::mutex mutex;
  std::map<int, size_t> statuses;
  threads.reserve(kCallers);
  for (size_t i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      PiecewiseCaller caller(fleet.CallerAddress(i % 2));
      for (int request = 0; request < 2; ++request) {
        bool sent = caller.Send(MakeHead(
          i % 3 == 0 ? "/stream/a" : "/once/a", base::RandomHex(8), kPieces * kPieceBytes));
        for (size_t piece = 0; piece < kPieces && sent; ++piece) {
          std::this_thread::sleep_for(base::Millis(40));
          sent = caller.Send(std::string(kPieceBytes, 'x'));
        }
        const int status = sent ? caller.ReceiveStatus() : 0;
        const std::scoped_lock lock(mutex);
        ++statuses[status];
      }
    });
  }
  for (int i = 0; i < 12; ++i) {
    fleet.ApplyConfiguration(MakeLargeConfiguration(150));
    fleet.NodeProcess(static_cast<size_t>(i) % 2).Signal(SIGHUP);
    std::this_thread::sleep_for(base::Millis(150));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(statuses[200] == 2 * kCallers);
}

// A planned stop beside changes of the configuration cuts no request either.
BOOST_AUTO_TEST_CASE(EachRequestBesideAChangeAndAStopIsAnswered) {
  for (const Change& change : MakeChanges()) {
    PlatformFleet fleet(2, 2);
    SetRunnerModes(fleet, { "slow", "slow" });
    // The node takes streams while it stops only if it knows how long they take.
    Callers callers;
    callers.Start(fleet, 0, "/stream/a", Progress::Sent, 6);
    for (const Progress progress : { Progress::HeadInPart, Progress::BodyInPart }) {
      callers.Start(fleet, 0, "/once/a", progress, 4);
    }
    std::this_thread::sleep_for(kChangeDelay);
    fleet.NodeProcess(0).Signal(SIGHUP);
    fleet.NodeProcess(0).Signal(SIGTERM);
    fleet.ApplyConfiguration(MakeLargeConfiguration(100));
    fleet.ApplyConfiguration(change.m_options);
    auto statuses = callers.Join();
    BOOST_TEST(statuses[Progress::Sent][200] == 6U);
    BOOST_TEST(statuses[Progress::HeadInPart][0] == 0U);
    BOOST_TEST(statuses[Progress::BodyInPart][0] == 0U);
    BOOST_TEST(fleet.NodeProcess(0).WaitForExit() == 0);
  }
}

// A refusal reaches a caller that is still sending: before, the rest of the body reached a closed
// socket, and the connection was reset.
BOOST_AUTO_TEST_CASE(RefusalReachesACallerThatIsStillSending) {
  constexpr size_t kPieces = 30;
  const std::string piece(20000, 'x');
  PlatformFleet fleet(1, 1);
  ConfigurationOptions options;
  options.m_bodyBytes = 1000;
  ApplyAndWait(fleet, options);
  PiecewiseCaller caller(fleet.CallerAddress(0));
  bool sent = caller.Send(MakeHead("/once/a", "large", kPieces * piece.size()));
  for (size_t i = 0; i < kPieces; ++i) {
    sent = sent && caller.Send(piece);
    std::this_thread::sleep_for(base::Millis(20));
  }
  BOOST_TEST(sent);
  BOOST_TEST(caller.ReceiveStatus() == 413);
  BOOST_TEST(fleet.RecordedRuns("large").empty());
}

// Callers reuse connections by the idle limit that they know: a lowered one cut connections that
// were in use, together with the requests on their way.
BOOST_AUTO_TEST_CASE(LoweredIdleLimitSparesConnectionsInUse) {
  PlatformFleet fleet(1, 1);
  ConfigurationOptions options;
  options.m_idleTimeout = base::Millis(3000);
  ApplyAndWait(fleet, options);
  PiecewiseCaller caller(fleet.CallerAddress(0));
  BOOST_TEST(SendInPieces(caller, "/once/a", Progress::Sent) == 200);
  options.m_idleTimeout = base::Millis(600);
  ApplyAndWait(fleet, options);
  BOOST_TEST(SendInPieces(caller, "/once/a", Progress::Sent) == 200);
  std::this_thread::sleep_for(base::Millis(1500));
  BOOST_TEST(SendInPieces(caller, "/once/a", Progress::Sent) == 200);
}

// The idle limit of a connection ended requests whose head arrived in pieces.
BOOST_AUTO_TEST_CASE(HeadInPiecesIsNotCutByTheIdleLimit) {
  PlatformFleet fleet(1, 1);
  ConfigurationOptions options;
  options.m_idleTimeout = base::Millis(1200);
  ApplyAndWait(fleet, options);
  PiecewiseCaller caller(fleet.CallerAddress(0));
  std::this_thread::sleep_for(base::Millis(800));
  BOOST_TEST(SendInPieces(caller, "/once/a", Progress::HeadInPart) == 200);
}

// A head that does not arrive in time is refused, and does not hold its connection.
BOOST_AUTO_TEST_CASE(StalledHeadIsRefused) {
  PlatformFleet fleet(1, 1);
  ConfigurationOptions options;
  options.m_headTimeout = base::Millis(600);
  ApplyAndWait(fleet, options);
  PiecewiseCaller caller(fleet.CallerAddress(0));
  const auto start = base::BootNow();
  BOOST_TEST(caller.Send("POST /once/a HTTP/1.1\r\nHost: h.exa"));
  BOOST_TEST(caller.ReceiveStatus() == 408);
  BOOST_TEST((base::BootNow() - start < base::Millis(3000)));
}

// A drain ended in the middle of a head that was arriving, without a refusal.
BOOST_AUTO_TEST_CASE(HeadInPartIsAnsweredByAStoppingNode) {
  PlatformFleet fleet(2, 1);
  PiecewiseCaller caller(fleet.CallerAddress(0));
  fleet.NodeProcess(0).Signal(SIGTERM);
  std::this_thread::sleep_for(base::Millis(3000));
  const std::string request = MakeHead("/once/a", "stopping", 2) + "{}";
  BOOST_TEST(caller.Send(request.substr(0, 30)));
  std::this_thread::sleep_for(base::Millis(1500));
  BOOST_TEST(caller.Send(request.substr(30)));
  BOOST_TEST(caller.ReceiveStatus() == 503);
  BOOST_TEST(fleet.RecordedRuns("stopping").empty());
  BOOST_TEST(fleet.NodeProcess(0).WaitForExit() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
