#include "tests/harness/PlatformFleet.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <thread>

using namespace papayafield;
using namespace papayafield::tests;
using nlohmann::json;

namespace {

constexpr int kRunners = 4;
constexpr size_t kSlots = 4;
constexpr int kWorkMs = 100;
/// Time from the first statement until runners let fewer calls wait.
constexpr int kStatementMs = 2000;
constexpr int kBrittleMs = 12000;
/// Time after which a caller that was refused sends its next call.
constexpr base::Millis kRetryDelay{ 20 };

/// Callers of all nodes that send one call after another until they are destroyed.
class Callers {
public:
  Callers(const PlatformFleet& aFleet, size_t aNodes, size_t aCount) {
    for (size_t caller = 0; caller < aCount; ++caller) {
      m_threads.emplace_back([this, &aFleet, node = caller % aNodes] {
        while (!m_stopped) {
          const CallerAnswer answer = aFleet.Send(node, "GET", "/safe/a");
          if (answer.m_status == 200) {
            ++m_served;
            continue;
          }
          ++m_refused;
          m_hasShownTolerance =
            m_hasShownTolerance || answer.m_headers.Find("Server-Brittle").has_value();
          std::this_thread::sleep_for(kRetryDelay);
        }
      });
    }
  }
  ~Callers() {
    m_stopped = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  Callers(Callers&&) = delete;
  Callers& operator=(Callers&&) = delete;

  size_t Served() const { return m_served; }
  size_t Refused() const { return m_refused; }
  bool HasShownTolerance() const { return m_hasShownTolerance; }

private:
  std::atomic<bool> m_stopped = false;
  std::atomic<size_t> m_served = 0;
  std::atomic<size_t> m_refused = 0;
  std::atomic<bool> m_hasShownTolerance = false;
  std::vector<std::thread> m_threads;
};

void Sleep(int aMillis) {
  std::this_thread::sleep_for(base::Millis(aMillis));
}

/// Sets the capacity of all runners.
void SetRunners(const PlatformFleet& aFleet, size_t aQueue, const std::string& aTolerance) {
  for (int runner = 0; runner < kRunners; ++runner) {
    json body = { { "index", runner }, { "state", "ready" },   { "slots", kSlots },
                  { "queue", aQueue }, { "work_ms", kWorkMs }, { "brittle", aTolerance } };
    if (!aTolerance.empty()) {
      body["max_rejections"] = std::stoul(aTolerance);
    }
    aFleet.PostControl("runner", body);
  }
}

/// Returns the most rejections of one runner in any second.
size_t MaxRejectionsPerSecond(const json& aReport) {
  std::map<std::string, std::vector<double>> times;
  for (const json& rejection : aReport.at("rejections")) {
    times[rejection.at("runner")].push_back(rejection.at("at_ms"));
  }
  size_t most = 0;
  for (const auto& [runner, list] : times) {
    for (size_t first = 0; first < list.size(); ++first) {
      const auto end = std::lower_bound(list.begin(), list.end(), list[first] + 1000);
      most = std::max(most, static_cast<size_t>(end - list.begin()) - first);
    }
  }
  return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ToleratedRejectionsTest)

// Endpoints that tolerate few rejections per second let fewer calls wait while callers of several
// nodes send more calls than there is room for.
BOOST_AUTO_TEST_CASE(EndpointsThatTolerateFewRejectionsFail) {
  struct Row {
    size_t m_nodes;
    const char* m_tolerance;
  };
  for (const Row& row : { Row{ 2, "6" }, Row{ 3, "10" }, Row{ 3, "3" } }) {
    BOOST_TEST_CONTEXT(row.m_nodes << " nodes, tolerance " << row.m_tolerance) {
      const PlatformFleet fleet(row.m_nodes, kRunners);
      SetRunners(fleet, 2 * kSlots, "");
      const Callers callers(fleet, row.m_nodes, 40);
      Sleep(1000);
      SetRunners(fleet, 2 * kSlots, row.m_tolerance);
      Sleep(kStatementMs);
      SetRunners(fleet, 1, row.m_tolerance);
      const size_t earlier = fleet.PostControl("report").at("rejections").size();
      const size_t served = callers.Served();
      Sleep(kBrittleMs);
      const size_t servedWhileBrittle = callers.Served() - served;
      json report = fleet.PostControl("report");
      json& rejections = report.at("rejections");
      rejections.erase(rejections.begin(),
                       rejections.begin() + static_cast<std::ptrdiff_t>(earlier));
      BOOST_TEST_MESSAGE(row.m_nodes << " nodes, tolerance " << row.m_tolerance << ": "
                                     << report.at("crashes").size() << " crashes, "
                                     << MaxRejectionsPerSecond(report)
                                     << " rejections in a second at most, " << rejections.size()
                                     << " in total, served " << servedWhileBrittle << ", refused "
                                     << callers.Refused());
      BOOST_TEST(static_cast<double>(report.at("crashes").size()) <= 2 + 0.1 * kRunners);
      // Half of what the runners can serve in that time.
      BOOST_TEST(servedWhileBrittle * 2 > kRunners * kSlots * kBrittleMs / kWorkMs);
      BOOST_TEST(!callers.HasShownTolerance());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
