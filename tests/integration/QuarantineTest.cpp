#include "tests/harness/PlatformFleet.h"

#include "base/Digest.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

/// \file
/// Tests that a prompt part on which runners crash is kept from them, and that calls that share
/// everything else with such calls are served.

using namespace papayafield;
using namespace papayafield::tests;
using nlohmann::json;

namespace {

constexpr size_t kNodes = 3;
constexpr size_t kRunners = 5;
constexpr size_t kSubjects = 4;
constexpr base::Millis kCallerTimeout{ 5000 };
/// Time from the fifth crash after which at most kMaxLateCalls calls with the part reach runners.
constexpr int64_t kReactionTimeMs = 3000;
constexpr int kMaxLateCalls = 3;
/// Number of crashes from which the reaction time counts.
constexpr size_t kCountedCrashes = 5;

/// Calls all nodes in turn from several threads until it is stopped.
class Callers {
public:
  /// `aParts` returns the shared prompt parts of the n-th call, with a comma after each.
  Callers(const PlatformFleet& aFleet,
          size_t aThreads,
          base::Millis aPause,
          std::function<std::string(size_t)> aParts)
    : m_fleet(aFleet)
    , m_pause(aPause)
    , m_parts(std::move(aParts)) {
    for (size_t i = 0; i < aThreads; ++i) {
      m_threads.emplace_back([this] { Run(); });
    }
  }
  ~Callers() { Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  Callers(Callers&&) = delete;
  Callers& operator=(Callers&&) = delete;

  void Stop() {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }
  /// Returns the statuses of the calls that began after `aSinceMs`, in Unix milliseconds.
  std::vector<int> StatusesSince(int64_t aSinceMs) {
    const std::lock_guard lock(m_mutex);
    std::vector<int> statuses;
    for (const auto& [at, status] : m_answers) {
      if (at >= aSinceMs) {
        statuses.push_back(status);
      }
    }
    return statuses;
  }

private:
  void Run() {
    while (!m_stop) {
      const size_t number = m_next++;
      const int64_t at = base::WallMillis();
      const int status = Send(number);
      {
        const std::lock_guard lock(m_mutex);
        m_answers.emplace_back(at, status);
      }
      std::this_thread::sleep_for(m_pause);
    }
  }

  int Send(size_t aNumber) const {
    const std::string id = base::RandomHex(8);
    adapters::http::Headers headers;
    for (const auto& field : MakeCallerHeaders("h.example", "key-1", id, kCallerTimeout)) {
      headers.Add(field.m_name, field.m_value);
    }
    headers.Add("Papayafield-Model", "m");
    headers.Add("Papayafield-Token-Usage", "900,60");
    headers.Add("Papayafield-Prefix-Hash", m_parts(aNumber) + id + ":100");
    return Call(m_fleet.CallerAddress(aNumber % kNodes), "POST", "/stream/a", "{}", headers)
      .m_status;
  }

  const PlatformFleet& m_fleet;
  const base::Millis m_pause;
  const std::function<std::string(size_t)> m_parts;
  std::vector<std::thread> m_threads;
  std::atomic<bool> m_stop{ false };
  std::atomic<size_t> m_next{ 0 };
  std::mutex m_mutex;
  std::vector<std::pair<int64_t, int>> m_answers;
};

std::string Subject(size_t aNumber) {
  return "subject" + std::to_string(aNumber % kSubjects) + ":300,";
}

std::string SoundParts(size_t aNumber) {
  return "system:500," + Subject(aNumber);
}

std::string DeadlyParts(size_t aNumber) {
  return "system:500,deadly:50," + Subject(aNumber);
}

int CountServed(const std::vector<int>& aStatuses) {
  return static_cast<int>(std::count(aStatuses.begin(), aStatuses.end(), 200));
}

bool AllNodesBan(const PlatformFleet& aFleet) {
  for (size_t node = 0; node < kNodes; ++node) {
    if (aFleet.ReadMetric(node, "quarantine_banned_parts") != 1) {
      return false;
    }
  }
  return true;
}

/// Runs sound and deadly calls at all nodes and checks how many deadly ones reach runners.
void CheckDeadlyPartIsKept(PlatformFleet& aFleet, base::Millis aPause) {
  Callers sound(aFleet, 6, base::Millis(30), SoundParts);
  std::this_thread::sleep_for(base::Millis(1000));
  Callers deadly(aFleet, 3, aPause, DeadlyParts);
  BOOST_REQUIRE(PlatformFleet::WaitUntil([&] {
    return aFleet.PostControl("report").at("crashes").size() >= kCountedCrashes ||
           AllNodesBan(aFleet);
  }));
  // The bound counts from the fifth crash, or from the last one if the ban came before.
  const json crashes = aFleet.PostControl("report").at("crashes");
  BOOST_REQUIRE(!crashes.empty());
  const json& reference = crashes.at(std::min(crashes.size(), kCountedCrashes) - 1);
  const int64_t from = reference.at("at").get<int64_t>() + kReactionTimeMs;
  std::this_thread::sleep_for(base::Millis(kReactionTimeMs + 8000));
  deadly.Stop();
  sound.Stop();
  int late = 0;
  const json report = aFleet.PostControl("report");
  for (const json& call : report.at("deadly_calls")) {
    late += call.at("at").get<int64_t>() > from ? 1 : 0;
  }
  const std::vector<int> statuses = sound.StatusesSince(from);
  BOOST_TEST_MESSAGE(report.at("crashes").size()
                     << " crashes, " << late << " late calls, " << CountServed(statuses) << " of "
                     << statuses.size() << " sound calls served, "
                     << deadly.StatusesSince(from).size() << " deadly calls offered");
  BOOST_TEST(late <= kMaxLateCalls);
  // All runners are back by then.
  BOOST_TEST(statuses.size() > 100U);
  BOOST_TEST(CountServed(statuses) * 100 >= static_cast<int>(statuses.size()) * 99);
  // A call that was refused has not run, so its caller may repeat it.
  for (const int status : deadly.StatusesSince(from)) {
    BOOST_TEST(status == 503);
  }
  for (size_t node = 0; node < kNodes; ++node) {
    BOOST_TEST(aFleet.ReadMetric(node, "quarantine_banned_parts") == 1);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineTest)

BOOST_AUTO_TEST_CASE(PartThatCrashesRunnersIsKeptFromThem) {
  PlatformFleet fleet(kNodes, kRunners);
  fleet.PostControl("deadly_part", { { "part", "deadly" }, { "down_ms", 1500 } });
  CheckDeadlyPartIsKept(fleet, base::Millis(500));
}

// Calls with the part were served for a while before runners began to crash on it.
BOOST_AUTO_TEST_CASE(PartThatWasSoundBeforeIsKeptFromRunners) {
  PlatformFleet fleet(kNodes, kRunners);
  {
    const Callers calls(fleet, 3, base::Millis(50), DeadlyParts);
    std::this_thread::sleep_for(base::Millis(1500));
  }
  fleet.PostControl("deadly_part", { { "part", "deadly" }, { "down_ms", 1500 } });
  CheckDeadlyPartIsKept(fleet, base::Millis(500));
}

// A node that starts while the ban is in force learns it from its peers.
BOOST_AUTO_TEST_CASE(RestartedNodeRefusesABannedPart) {
  PlatformFleet fleet(kNodes, kRunners);
  fleet.PostControl("deadly_part", { { "part", "deadly" }, { "down_ms", 1500 } });
  CheckDeadlyPartIsKept(fleet, base::Millis(300));
  fleet.NodeProcess(1).Kill();
  fleet.StartNode(1);
  BOOST_TEST(
    PlatformFleet::WaitUntil([&] { return fleet.ReadMetric(1, "quarantine_banned_parts") == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
