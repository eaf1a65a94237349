#include "base/Json.h"
#include "tests/harness/PlatformFleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>
#include <thread>

/// \file
/// Tests roll-outs at an operator's order with real nodes. The only time that is checked is the
/// deadline of the order.

using namespace papayafield;
using namespace papayafield::tests;
using nlohmann::json;

namespace {

constexpr size_t kNodes = 3;
/// Runners of the old version; as many of the new one follow.
constexpr size_t kOldRunners = 3;
constexpr base::Millis kDuration{ 12000 };
constexpr base::Millis kCallInterval{ 25 };
constexpr size_t kCallersPerNode = 2;
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;
/// Value of the gauge rollout_phase_SERVICE of a roll-out that was reverted.
constexpr double kRevertedPhase = 3;

/// Sends calls to all nodes until it is destroyed, and counts them.
class Traffic {
public:
  explicit Traffic(const PlatformFleet& aFleet) {
    for (size_t i = 0; i < kNodes * kCallersPerNode; ++i) {
      m_threads.emplace_back([this, &aFleet, node = i % kNodes] {
        while (!m_stop) {
          const auto answer = aFleet.Send(node, "POST", "/safe/a");
          ++m_sent;
          m_answered += answer.m_status == 200 ? 1 : 0;
          std::this_thread::sleep_for(kCallInterval);
        }
      });
    }
  }
  ~Traffic() {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;
  Traffic(Traffic&&) = delete;
  Traffic& operator=(Traffic&&) = delete;

  int Sent() const { return m_sent; }
  int Answered() const { return m_answered; }

private:
  std::atomic<bool> m_stop{ false };
  std::atomic<int> m_sent{ 0 };
  std::atomic<int> m_answered{ 0 };
  std::vector<std::thread> m_threads;
};

/// A fleet with runners of two versions, of which the new ones are registered with the order.
class RolloutFleet {
public:
  RolloutFleet()
    : m_fleet(kNodes,
              2 * kOldRunners,
              PlatformFleet::Proxies::None,
              {},
              "exposure_share = 0.1\nexposure_slack = 50\nrollback_ms = 5000\n") {
    for (size_t i = kOldRunners; i < 2 * kOldRunners; ++i) {
      m_fleet.PostControl("runner", { { "index", i }, { "state", "gone" }, { "version", "v2" } });
    }
    BOOST_REQUIRE(PlatformFleet::WaitUntil([&] {
      for (size_t node = 0; node < kNodes; ++node) {
        if (m_fleet.ReadMetric(node, "endpoints_ready") != kOldRunners) {
          return false;
        }
      }
      return LeaderNode().has_value();
    }));
  }

  const PlatformFleet& Fleet() const { return m_fleet; }
  PlatformFleet& Fleet() { return m_fleet; }

  /// Writes the order, and starts the new runners in the mode `aMode`.
  void Order(const std::string& aMode) {
    m_deadline = base::BootNow() + kDuration;
    const json order = { { "service", "engines" },
                         { "target", "v2" },
                         { "duration_s", kDuration.count() / 1000 } };
    m_fleet.PostControl("put", { { "key", "op/rollout/engines" }, { "text", order.dump() } });
    for (size_t i = kOldRunners; i < 2 * kOldRunners; ++i) {
      m_fleet.PostControl("runner", { { "index", i }, { "state", "ready" }, { "mode", aMode } });
    }
  }
  /// Returns the state that operators see; empty if there is none.
  std::string State() const {
    const json report = m_fleet.PostControl("report");
    const json status =
      base::ParseJson(report.at("status").value("status/rollout/engines", std::string()));
    return base::ValueOr<std::string>(status, "state", "");
  }
  /// Returns the state once it is final, or at the deadline.
  std::string StateAtDeadline() const {
    std::string state;
    do {
      state = State();
      std::this_thread::sleep_for(base::Millis(50));
    } while (state != "completed" && state != "reverted" && base::BootNow() < m_deadline);
    return state;
  }
  /// Returns the number of calls that reached runners of the new version.
  size_t NewVersionCalls() const {
    size_t calls = 0;
    const json report = m_fleet.PostControl("report");
    for (const json& arrival : report.at("arrivals")) {
      const int index = std::stoi(arrival.at("runner").get<std::string>().substr(2));
      calls += static_cast<size_t>(index) >= kOldRunners ? 1 : 0;
    }
    return calls;
  }
  std::optional<size_t> LeaderNode() const {
    for (size_t node = 0; node < kNodes; ++node) {
      if (m_fleet.ReadMetric(node, "holds_duties") == 1) {
        return node;
      }
    }
    return std::nullopt;
  }

private:
  PlatformFleet m_fleet;
  base::TimePoint m_deadline{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutTest)

// A good version is completed by the deadline, and then gets all calls.
BOOST_AUTO_TEST_CASE(GoodVersionIsCompleted) {
  RolloutFleet fleet;
  const Traffic traffic(fleet.Fleet());
  fleet.Order("ok");
  BOOST_REQUIRE(fleet.StateAtDeadline() == "completed");
  for (size_t i = 0; i < kOldRunners; ++i) {
    fleet.Fleet().PostControl("runner", { { "index", i }, { "state", "gone" } });
  }
  const size_t before = fleet.NewVersionCalls();
  const int answered = traffic.Answered();
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return traffic.Answered() >= answered + 100; }));
  BOOST_TEST(fleet.NewVersionCalls() >= before + 50);
}

// A version whose answers are failures is reverted within the bound on its exposure, and gets no
// call after that. Its callers get the answers of the old version.
BOOST_AUTO_TEST_CASE(BadVersionIsReverted) {
  RolloutFleet fleet;
  const Traffic traffic(fleet.Fleet());
  const int before = traffic.Sent();
  fleet.Order("fail");
  BOOST_REQUIRE(fleet.StateAtDeadline() == "reverted");
  BOOST_REQUIRE(PlatformFleet::WaitUntil([&] {
    for (size_t node = 0; node < kNodes; ++node) {
      if (fleet.Fleet().ReadMetric(node, "rollout_phase_engines") != kRevertedPhase) {
        return false;
      }
    }
    return true;
  }));
  // Calls on their way when the nodes learned of it have arrived.
  const int reverted = traffic.Sent();
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return traffic.Sent() >= reverted + 20; }));
  const size_t calls = fleet.NewVersionCalls();
  const int sent = traffic.Sent();
  BOOST_TEST(static_cast<double>(calls) <= kExposureShare * (sent - before) + kExposureSlack);
  BOOST_TEST(calls > 0U);
  BOOST_TEST(PlatformFleet::WaitUntil([&] { return traffic.Sent() >= sent + 200; }));
  BOOST_TEST(fleet.NewVersionCalls() == calls);
  BOOST_TEST(fleet.State() == "reverted");
}

// A roll-out whose leader is lost halfway is completed by the next one.
BOOST_AUTO_TEST_CASE(LostLeaderIsReplaced) {
  RolloutFleet fleet;
  const Traffic traffic(fleet.Fleet());
  fleet.Order("ok");
  BOOST_REQUIRE(PlatformFleet::WaitUntil([&] { return fleet.NewVersionCalls() > 5; }));
  const auto leader = fleet.LeaderNode();
  BOOST_REQUIRE(leader.has_value());
  fleet.Fleet().NodeProcess(*leader).Kill();
  BOOST_TEST(fleet.StateAtDeadline() == "completed");
}

BOOST_AUTO_TEST_SUITE_END()
