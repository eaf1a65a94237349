#include "base/Digest.h"
#include "tests/harness/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <set>
#include <thread>

/// \file
/// Tests that a stream goes on only at endpoints of the software version that began it, within one
/// answer and over the tries of its caller.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

constexpr int kStreams = 20;
constexpr size_t kRunners = 4;
/// Time after which the origins of streams have been saved in the store.
constexpr base::Millis kSaveTime{ 2500 };
/// Time after which nodes forget streams whose routes have a timeout of one second.
constexpr base::Millis kShortRetention{ 9000 };

/// Time within which the origin of a stream is saved.
constexpr base::Millis kMaxSaveDelay{ 300 };
/// Delay of a slow link between a node and the store.
constexpr base::Millis kSlowRead{ 1500 };
/// Time after which the direct connections of a node that is cut off have ended.
constexpr base::Millis kCutTime{ 3000 };
/// Time after which all nodes have read what runners have registered.
constexpr base::Millis kReadTime{ 500 };

/// Two runners of the version v1, and two that have not joined yet.
struct OneVersionFixture {
  explicit OneVersionFixture(size_t aNodes,
                             PlatformFleet::Proxies aProxies = PlatformFleet::Proxies::None)
    : m_nodes(aNodes)
    , m_fleet(aNodes, kRunners, aProxies) {
    SetNewRunners("gone");
  }

  /// Sets the state of the runners of the version v2.
  void SetNewRunners(const char* aState) const {
    for (const int runner : { 1, 3 }) {
      m_fleet.PostControl("runner",
                          { { "index", runner }, { "version", "v2" }, { "state", aState } });
    }
    std::this_thread::sleep_for(kReadTime);
  }

  /// Returns the versions that ran calls for the stream that began with the try `aId`.
  std::set<std::string> VersionsOf(const std::vector<std::string>& aIds) const {
    std::set<std::string> versions;
    for (const std::string& id : aIds) {
      for (const auto& run : m_fleet.RecordedRuns(id)) {
        versions.insert(run.at("version").get<std::string>());
      }
    }
    return versions;
  }

  /// Resumes the stream that began with the try `aResumes` at node `aNode`.
  CallerAnswer Resume(size_t aNode, const std::string& aResumes, const std::string& aId) const {
    adapters::http::Headers headers;
    for (const auto& field : MakeCallerHeaders("h.example", "key-1", aId, base::Millis(15000))) {
      headers.Add(field.m_name, field.m_value);
    }
    headers.Add("Last-Event-Id", "1");
    if (!aResumes.empty()) {
      headers.Add("Resumes", aResumes);
    }
    return Call(m_fleet.CallerAddress(aNode), "POST", "/stream/a", "{}", headers);
  }

  /// Begins streams at the node `aNode`, and breaks them off after their first events. One runner
  /// of each version, among them the one that gets the first calls, takes no calls afterwards.
  std::vector<std::string> BeginStreams(size_t aNode) const {
    SetMode({ 0, 3 }, "ok");
    std::vector<std::string> ids = BeginAndBreakOff(aNode);
    SetMode({ 0, 3 }, "shed");
    return ids;
  }

  /// Restarts the process of a runner under its identifier, as one of the version `aVersion`.
  void RestartRunner(int aRunner, const std::string& aVersion) const {
    m_fleet.PostControl("runner", { { "index", aRunner }, { "process", "stopped" } });
    m_fleet.PostControl("runner",
                        { { "index", aRunner },
                          { "version", aVersion },
                          { "process", "running" },
                          { "state", "ready" } });
  }

  std::vector<std::string> BeginAndBreakOff(size_t aNode) const {
    std::vector<std::string> ids;
    for (int i = 0; i < kStreams; ++i) {
      ids.push_back(base::RandomHex(8));
      BOOST_REQUIRE(m_fleet.SendAndDisconnect(aNode, "/stream/a", ids.back()));
    }
    return ids;
  }

  void SetMode(const std::vector<int>& aRunners, const char* aMode) const {
    for (const int runner : aRunners) {
      m_fleet.PostControl("runner", { { "index", runner }, { "mode", aMode } });
    }
  }

  /// Resumes the streams at node `aNode` and returns how many went on. None may go on at another
  /// version; those that do not must be refused as not run.
  int ResumeAll(size_t aNode, const std::vector<std::string>& aIds) const {
    int resumed = 0;
    for (const std::string& id : aIds) {
      const std::string retry = base::RandomHex(8);
      const CallerAnswer answer = Resume(aNode, id, retry);
      BOOST_TEST(VersionsOf({ id, retry }).size() == 1, id);
      if (answer.m_status == 200) {
        ++resumed;
      } else {
        BOOST_TEST(answer.m_status == 503);
        BOOST_TEST(m_fleet.RecordedRuns(retry).empty());
      }
    }
    return resumed;
  }

  /// Kills all nodes at once and starts them again.
  void RestartAll() {
    for (size_t node = 0; node < m_nodes; ++node) {
      m_fleet.NodeProcess(node).Kill();
    }
    for (size_t node = 0; node < m_nodes; ++node) {
      m_fleet.LaunchNode(node);
    }
    for (size_t node = 0; node < m_nodes; ++node) {
      BOOST_REQUIRE(PlatformFleet::WaitUntil([&] { return m_fleet.IsReady(node); }));
    }
  }

  const size_t m_nodes;
  PlatformFleet m_fleet;
};

/// Two runners of each of two versions.
struct TwoVersionsFixture : OneVersionFixture {
  explicit TwoVersionsFixture(size_t aNodes = 2,
                              PlatformFleet::Proxies aProxies = PlatformFleet::Proxies::None)
    : OneVersionFixture(aNodes, aProxies) {
    SetNewRunners("ready");
  }
};

/// Three nodes, and one version until the test lets the other one join.
struct JoiningVersionFixture : OneVersionFixture {
  JoiningVersionFixture()
    : OneVersionFixture(3) {}
};

/// Four runners of one version, until the test restarts two of them. The link of node 1 to the
/// store can be slowed down.
struct RestartedRunnersFixture : TwoVersionsFixture {
  RestartedRunnersFixture()
    : m_proxy(m_fleet.AddPlatformProxy(1)) {
    for (const int runner : { 1, 3 }) {
      m_fleet.PostControl("runner",
                          { { "index", runner }, { "version", "v1" }, { "state", "ready" } });
    }
    BOOST_REQUIRE(PlatformFleet::WaitUntil([&] { return m_fleet.IsReady(1); }));
    std::this_thread::sleep_for(kReadTime);
  }

  /// Lets node 1 open connections to both runners 1 and 3; the others take no calls.
  void ConnectNode() const {
    SetMode({ 0, 2 }, "shed");
    std::vector<std::future<CallerAnswer>> answers;
    answers.reserve(kStreams);
    for (int i = 0; i < kStreams; ++i) {
      answers.push_back(
        std::async(std::launch::async, [this] { return m_fleet.Send(1, "POST", "/stream/a"); }));
    }
    for (auto& answer : answers) {
      BOOST_TEST(answer.get().m_status == 200);
    }
  }

  /// Restarts runners 1 and 3. Node 1 reads of it after kSlowRead at the earliest.
  void RestartBeforeItIsRead(const std::string& aVersion) const {
    m_fleet.SetProxyFaults(m_proxy, { { "delay_ms", kSlowRead.count() } });
    for (const int runner : { 1, 3 }) {
      RestartRunner(runner, aVersion);
    }
  }

  const size_t m_proxy;
};

/// Four runners of one version, until the test restarts two of them. Node 0 is cut off from all of
/// them, and its link to the store can be slowed down.
struct IsolatedNodeFixture : TwoVersionsFixture {
  IsolatedNodeFixture()
    : TwoVersionsFixture(3, PlatformFleet::Proxies::RunnersOfFirstNode)
    , m_proxy(m_fleet.AddPlatformProxy(0)) {
    for (const int runner : { 1, 3 }) {
      m_fleet.PostControl("runner",
                          { { "index", runner }, { "version", "v1" }, { "state", "ready" } });
    }
    BOOST_REQUIRE(PlatformFleet::WaitUntil([&] { return m_fleet.IsReady(0); }));
    std::this_thread::sleep_for(kReadTime);
  }

  /// Cuts node 0 off until it sends calls to runners 1 and 3 through other nodes; the others take
  /// none.
  void CutOff() const {
    for (size_t runner = 0; runner < kRunners; ++runner) {
      m_fleet.SetProxyFaults(runner, { { "hang", true }, { "silence", true } });
    }
    SetMode({ 0, 2 }, "shed");
    std::this_thread::sleep_for(kCutTime);
    for (int i = 0; i < 4; ++i) {
      m_fleet.Send(0, "POST", "/stream/a");
    }
    BOOST_TEST(m_fleet.Send(0, "POST", "/stream/a").m_status == 200);
  }

  const size_t m_proxy;
};

/// A fleet in which few nodes watch the store.
struct LargeFleetFixture : TwoVersionsFixture {
  LargeFleetFixture()
    : TwoVersionsFixture(18) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamVersionsTest, TwoVersionsFixture)

// A stream whose runner broke off was continued by any other runner.
BOOST_AUTO_TEST_CASE(AnswerGoesOnOnlyAtTheVersionThatBeganIt) {
  for (const int runner : { 0, 3 }) {
    m_fleet.PostControl("runner", { { "index", runner }, { "mode", "cut" } });
  }
  int continued = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = base::RandomHex(8);
    m_fleet.Send(0, "POST", "/stream/a", "h.example", "key-1", id);
    BOOST_TEST(VersionsOf({ id }).size() == 1);
    continued += m_fleet.RecordedRuns(id).size() > 1 ? 1 : 0;
  }
  BOOST_TEST(continued > 0);
}

BOOST_AUTO_TEST_CASE(AnswerIsBrokenOffWithoutAnotherRunnerOfItsVersion) {
  m_fleet.PostControl("runner", { { "index", 2 }, { "state", "gone" } });
  m_fleet.PostControl("runner", { { "index", 0 }, { "mode", "cut" } });
  std::this_thread::sleep_for(base::Millis(500));
  int broken = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = base::RandomHex(8);
    const CallerAnswer answer = m_fleet.Send(0, "POST", "/stream/a", "h.example", "key-1", id);
    BOOST_TEST(VersionsOf({ id }).size() == 1);
    broken += answer.m_status == 0 ? 1 : 0;
  }
  BOOST_TEST(broken > 0);
}

// A caller that resumed a stream at another node got the rest from any version.
BOOST_AUTO_TEST_CASE(ResumedStreamGoesOnAtItsVersionAtAnyNode) {
  BOOST_TEST(ResumeAll(1, BeginStreams(0)) == kStreams);
}

BOOST_AUTO_TEST_CASE(StreamThatIsResumedTwiceKeepsItsVersion) {
  const std::vector<std::string> ids = BeginStreams(0);
  BOOST_TEST(ResumeAll(1, ids) == kStreams);
  BOOST_TEST(ResumeAll(0, ids) == kStreams);
}

BOOST_AUTO_TEST_CASE(StreamOfALostNodeGoesOnAtItsVersion) {
  const std::vector<std::string> ids = BeginStreams(0);
  std::this_thread::sleep_for(kSaveTime);
  m_fleet.NodeProcess(0).Kill();
  BOOST_TEST(ResumeAll(1, ids) * 2 >= kStreams);
}

// All nodes were killed, and streams were joined from two versions after their restart.
BOOST_AUTO_TEST_CASE(RestartOfAllNodesJoinsNoStreamFromTwoVersions) {
  const std::vector<std::string> ids = BeginStreams(0);
  std::this_thread::sleep_for(kSaveTime);
  const std::vector<std::string> lateIds = BeginStreams(0);
  RestartAll();
  BOOST_TEST(ResumeAll(1, ids) * 2 >= kStreams);
  ResumeAll(1, lateIds);
}

// Streams were saved once a second, and those of the last second were refused after the restart.
BOOST_AUTO_TEST_CASE(RestartOfAllNodesKeepsTheStreamsOfTheLastSecond) {
  constexpr int kRounds = 3;
  int resumed = 0;
  for (int round = 0; round < kRounds; ++round) {
    BeginStreams(0);
    std::this_thread::sleep_for(kMaxSaveDelay);
    const std::vector<std::string> ids = BeginStreams(0);
    std::this_thread::sleep_for(kMaxSaveDelay);
    RestartAll();
    resumed += ResumeAll(1, ids);
  }
  BOOST_TEST(resumed * 2 >= kRounds * kStreams);
}

// The servers of the old version had just left when all nodes were killed.
BOOST_AUTO_TEST_CASE(RestartOfAllNodesRemembersTheVersionThatHasLeft) {
  const std::vector<std::string> ids = BeginStreams(0);
  for (const int runner : { 0, 2 }) {
    m_fleet.PostControl("runner", { { "index", runner }, { "state", "gone" } });
  }
  std::this_thread::sleep_for(kSaveTime);
  for (const size_t node : { 0, 1 }) {
    m_fleet.NodeProcess(node).Kill();
    m_fleet.StartNode(node);
  }
  BOOST_REQUIRE(PlatformFleet::WaitUntil([&] { return m_fleet.IsReady(0) && m_fleet.IsReady(1); }));
  ResumeAll(1, ids);
  // The beginning of this stream is not known.
  BOOST_TEST(Resume(1, "unknown", base::RandomHex(8)).m_status == 503);
}

// Nodes forgot versions and origins of streams that had begun with a longer timeout.
BOOST_AUTO_TEST_CASE(ShorterTimeoutForgetsNoVersionOfAnOpenStream) {
  const std::vector<std::string> ids = BeginStreams(0);
  for (const int runner : { 0, 2 }) {
    m_fleet.PostControl("runner", { { "index", runner }, { "state", "gone" } });
  }
  ConfigurationOptions options;
  options.m_timeout = base::Millis(1000);
  m_fleet.ApplyConfiguration(options);
  std::this_thread::sleep_for(kShortRetention);
  ResumeAll(1, ids);
  // A runner of the version that most of them began at is back.
  m_fleet.PostControl("runner", { { "index", 2 }, { "state", "ready" } });
  std::this_thread::sleep_for(kReadTime);
  BOOST_TEST(ResumeAll(1, ids) * 2 >= kStreams);
}

BOOST_AUTO_TEST_CASE(StreamOfUnknownOriginIsRefusedWhileTwoVersionsServe) {
  const std::string id = base::RandomHex(8);
  BOOST_TEST(Resume(0, "unknown", id).m_status == 503);
  BOOST_TEST(Resume(0, "", id).m_status == 503);
  BOOST_TEST(m_fleet.RecordedRuns(id).empty());
}

BOOST_AUTO_TEST_CASE(StreamOfUnknownOriginGoesOnWhileOneVersionServes) {
  const PlatformFleet fleet(1, 2);
  adapters::http::Headers headers;
  for (const auto& field :
       MakeCallerHeaders("h.example", "key-1", base::RandomHex(8), base::Millis(5000))) {
    headers.Add(field.m_name, field.m_value);
  }
  headers.Add("Last-Event-Id", "3");
  headers.Add("Resumes", "unknown");
  BOOST_TEST(Call(fleet.CallerAddress(0), "POST", "/stream/a", "{}", headers).m_status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(JoiningVersionTest, JoiningVersionFixture)

// A node that had not run for a while took the only version that it had seen for the only one.
BOOST_AUTO_TEST_CASE(NodeThatWakesJoinsNoStreamsFromTwoVersions) {
  const size_t proxy = m_fleet.AddPlatformProxy(1);
  BOOST_REQUIRE(PlatformFleet::WaitUntil([&] { return m_fleet.IsReady(1); }));
  m_fleet.NodeProcess(1).Signal(SIGSTOP);
  m_fleet.SetProxyFaults(proxy, { { "refuse", true }, { "cut", true } });
  SetNewRunners("ready");
  SetMode({ 0, 2 }, "shed");
  const std::vector<std::string> ids = BeginAndBreakOff(0);
  SetMode({ 0, 2 }, "ok");
  std::vector<std::string> retries;
  std::vector<std::future<CallerAnswer>> answers;
  for (const std::string& id : ids) {
    retries.push_back(base::RandomHex(8));
    answers.push_back(std::async(std::launch::async,
                                 [&, retry = retries.back(), id] { return Resume(1, id, retry); }));
  }
  std::this_thread::sleep_for(kReadTime);
  m_fleet.NodeProcess(1).Signal(SIGCONT);
  int resumed = 0;
  for (size_t i = 0; i < ids.size(); ++i) {
    resumed += answers[i].get().m_status == 200 ? 1 : 0;
    BOOST_TEST(VersionsOf({ ids[i], retries[i] }).size() == 1, ids[i]);
  }
  BOOST_TEST(resumed * 2 >= kStreams);
}

// Only the node that had begun a stream knew its version while one version served.
BOOST_AUTO_TEST_CASE(StreamsOfAStoppedNodeGoOnWhileAVersionJoins) {
  const std::vector<std::string> ids = BeginStreams(0);
  std::this_thread::sleep_for(kReadTime);
  m_fleet.NodeProcess(0).Signal(SIGSTOP);
  SetNewRunners("ready");
  BOOST_TEST(ResumeAll(1, ids) * 2 >= kStreams);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RestartedRunnersTest, RestartedRunnersFixture)

// A runner that was restarted under its identifier was taken for the version that it had registered
// before.
BOOST_AUTO_TEST_CASE(ResumedStreamsAvoidARunnerWhoseNewRegistrationIsNotRead) {
  const std::vector<std::string> ids = BeginAndBreakOff(0);
  ConnectNode();
  RestartBeforeItIsRead("v2");
  std::vector<std::string> retries;
  std::vector<std::future<CallerAnswer>> answers;
  for (const std::string& id : ids) {
    retries.push_back(base::RandomHex(8));
    answers.push_back(std::async(std::launch::async,
                                 [&, retry = retries.back(), id] { return Resume(1, id, retry); }));
  }
  for (size_t i = 0; i < ids.size(); ++i) {
    answers[i].wait();
    BOOST_TEST(VersionsOf({ ids[i], retries[i] }).size() == 1, ids[i]);
  }
}

// Streams that began at such a runner were recorded as those of the version before.
BOOST_AUTO_TEST_CASE(StreamsOfARunnerWhoseNewRegistrationIsNotReadAreNotRecorded) {
  ConnectNode();
  RestartBeforeItIsRead("v2");
  const std::vector<std::string> ids = BeginAndBreakOff(1);
  m_fleet.SetProxyFaults(m_proxy, { { "delay_ms", 0 } });
  std::this_thread::sleep_for(kSlowRead * 2 + kReadTime);
  SetMode({ 0, 2 }, "ok");
  SetMode({ 1, 3 }, "shed");
  ResumeAll(0, ids);
}

// The restarted runner has the same version, and its new registration is read.
BOOST_AUTO_TEST_CASE(StreamsOfRestartedRunnersGoOn) {
  const std::vector<std::string> ids = BeginAndBreakOff(0);
  ConnectNode();
  for (const int runner : { 1, 3 }) {
    RestartRunner(runner, "v1");
  }
  BOOST_TEST(ResumeAll(1, ids) == kStreams);
  BOOST_TEST(ResumeAll(0, BeginAndBreakOff(1)) == kStreams);
}

// The connections of a node to the runners ended, but the runners go on.
BOOST_AUTO_TEST_CASE(StreamsGoOnAtRunnersThatEndedTheirConnections) {
  const std::vector<std::string> ids = BeginAndBreakOff(0);
  ConnectNode();
  for (const int runner : { 1, 3 }) {
    m_fleet.PostControl("runner", { { "index", runner }, { "process", "stopped" } });
    m_fleet.PostControl("runner",
                        { { "index", runner }, { "process", "running" }, { "mode", "ok" } });
  }
  BOOST_TEST(ResumeAll(1, ids) == kStreams);
  BOOST_TEST(ResumeAll(0, BeginAndBreakOff(1)) == kStreams);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IsolatedNodeTest, IsolatedNodeFixture)

// No connection through a relay is open when the runners restart. They were taken for those before.
BOOST_AUTO_TEST_CASE(ResumedStreamsThroughRelaysAvoidARestartedRunner) {
  const std::vector<std::string> ids = BeginAndBreakOff(1);
  CutOff();
  m_fleet.SetProxyFaults(m_proxy, { { "delay_ms", kSlowRead.count() } });
  for (const int runner : { 1, 3 }) {
    RestartRunner(runner, "v2");
  }
  std::vector<std::string> retries;
  std::vector<std::future<CallerAnswer>> answers;
  for (const std::string& id : ids) {
    retries.push_back(base::RandomHex(8));
    answers.push_back(std::async(std::launch::async,
                                 [&, retry = retries.back(), id] { return Resume(0, id, retry); }));
  }
  for (size_t i = 0; i < ids.size(); ++i) {
    answers[i].wait();
    BOOST_TEST(VersionsOf({ ids[i], retries[i] }).size() == 1, ids[i]);
  }
}

BOOST_AUTO_TEST_CASE(ResumedStreamsGoOnThroughRelays) {
  const std::vector<std::string> ids = BeginAndBreakOff(1);
  CutOff();
  BOOST_TEST(ResumeAll(0, ids) == kStreams);
  BOOST_TEST(ResumeAll(1, BeginAndBreakOff(0)) == kStreams);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StreamVersionsOfLargeFleetsTest, LargeFleetFixture)

// The node that saves the streams did not do so unless it watched the store.
BOOST_AUTO_TEST_CASE(RestartOfAllNodesKeepsMostStreams) {
  const std::vector<std::string> ids = BeginStreams(0);
  std::this_thread::sleep_for(kSaveTime);
  RestartAll();
  BOOST_TEST(ResumeAll(1, ids) * 2 >= kStreams);
}

BOOST_AUTO_TEST_SUITE_END()
