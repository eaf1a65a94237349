#include "tests/harness/Fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <thread>

/// \file
/// Tests that accepted requests are answered completely despite failures of engines, connections
/// and nodes. The text that callers received is compared with the full answer.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

constexpr uint64_t kTokens = 150;

/// Runs several callers, each with a streamed and a non-streamed request, while a test injects
/// faults.
class CallerGroup {
public:
  /// Starts `aCount` requests of each kind at the nodes of `aFleet`; returns when each stream has
  /// received 3 tokens.
  CallerGroup(Fleet& aFleet, size_t aCount) {
    m_streams.resize(aCount);
    m_answers.resize(aCount);
    for (size_t i = 0; i < aCount; ++i) {
      const base::Address& node = aFleet.NodeAddress(i % aFleet.NodeCount());
      m_threads.emplace_back([this, i, node] {
        m_streams[i] = Generate(node, Prompt(i), kTokens, [this](size_t aTokens) {
          m_begunStreams += aTokens == 3 ? 1 : 0;
          return true;
        });
      });
      m_threads.emplace_back([this, i, node] {
        const nlohmann::json body = { { "model", "condolence" },
                                      { "max_tokens", kTokens },
                                      { "messages",
                                        { { { "role", "user" }, { "content", Prompt(i) } } } } };
        m_answers[i] =
          CallAs(kTeamKey, node, "POST", "/v1/chat/completions", base::DumpJson(body)).m_body;
      });
    }
    Eventually([&] { return m_begunStreams == static_cast<int>(aCount); });
  }
  ~CallerGroup() { Join(); }
  CallerGroup(const CallerGroup&) = delete;
  CallerGroup& operator=(const CallerGroup&) = delete;
  CallerGroup(CallerGroup&&) = delete;
  CallerGroup& operator=(CallerGroup&&) = delete;

  /// Waits for all answers and compares them with the expected text.
  void CheckAnswers() {
    Join();
    for (size_t i = 0; i < m_streams.size(); ++i) {
      const std::string expected = ExpectedText(Prompt(i), kTokens);
      BOOST_TEST(m_streams[i].m_complete, "stream " << i << ": " << m_streams[i].m_body);
      BOOST_TEST((m_streams[i].m_text == expected), "stream " << i << " differs");
      const auto whole = base::ParseJson(m_answers[i]);
      const bool same = whole.is_object() && whole.contains("choices") &&
                        whole["choices"][0]["message"]["content"] == expected;
      BOOST_TEST(same, "whole answer " << i << " differs: " << m_answers[i].substr(0, 200));
    }
  }

private:
  static std::string Prompt(size_t aIndex) {
    return "Write card number " + std::to_string(aIndex) + " for the family.";
  }

  void Join() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  std::vector<std::thread> m_threads;
  std::vector<Stream> m_streams;
  std::vector<std::string> m_answers;
  std::atomic<int> m_begunStreams{ 0 };
};

FleetSettings Settings(int aEngines) {
  FleetSettings settings;
  settings.m_engines = aEngines;
  settings.m_services = 0;
  settings.m_engineOptions = { "--slots", "16", "--token-ms", "20", "--slowdown", "0" };
  return settings;
}

uint64_t RecomputedTokens(Fleet& aFleet) {
  uint64_t tokens = 0;
  for (size_t i = 0; i < aFleet.EngineCount(); ++i) {
    const auto counts = Fleet::EngineCounts(aFleet.Engine(i));
    if (counts.is_object()) {
      tokens += counts["recomputed"].get<uint64_t>();
      BOOST_TEST(counts["wrong_text"] == 0);
    }
  }
  return tokens;
}

bool HasStreams(const ServerProcess& aEngine) {
  const auto counts = Fleet::EngineCounts(aEngine);
  return counts.is_object() && counts["active"].get<int>() > 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamsTest)

// An engine is reclaimed with notice: its streams move with their KV state, without a new prefill.
BOOST_AUTO_TEST_CASE(AnnouncedReclaimMovesStreams) {
  Fleet fleet(Settings(3));
  CallerGroup callers(fleet, 6);
  ServerProcess& engine = HasStreams(fleet.Engine(0)) ? fleet.Engine(0) : fleet.Engine(1);
  // The host disappears at the end of the notice.
  fleet.Reclaim(engine, base::Millis(2000));
  std::this_thread::sleep_for(base::Millis(2000));
  BOOST_TEST(!HasStreams(engine));
  engine.m_process->Kill();
  callers.CheckAnswers();
  BOOST_TEST(RecomputedTokens(fleet) == 0U);
}

// An engine is killed without notice: its streams continue on other engines after a new prefill.
BOOST_AUTO_TEST_CASE(EngineIsKilled) {
  Fleet fleet(Settings(3));
  CallerGroup callers(fleet, 6);
  fleet.Engine(0).m_process->Kill();
  callers.CheckAnswers();
}

// The engine is killed while it exports its KV state: its streams need a new prefill.
BOOST_AUTO_TEST_CASE(EngineIsKilledDuringExport) {
  FleetSettings settings = Settings(3);
  settings.m_engineOptions.insert(settings.m_engineOptions.end(), { "--export-ms", "1500" });
  Fleet fleet(settings);
  CallerGroup callers(fleet, 6);
  ServerProcess& engine = HasStreams(fleet.Engine(0)) ? fleet.Engine(0) : fleet.Engine(1);
  fleet.Reclaim(engine, base::Millis(2000));
  // The engine has no active streams while the export is in progress.
  BOOST_TEST(Eventually([&] { return !HasStreams(engine); }));
  engine.m_process->Kill();
  callers.CheckAnswers();
  BOOST_TEST(RecomputedTokens(fleet) > 0U);
}

// All engines are reclaimed at once, and a replacement arrives late: accepted requests wait and are
// not lost.
BOOST_AUTO_TEST_CASE(ReclaimOfAllEngines) {
  Fleet fleet(Settings(2));
  CallerGroup callers(fleet, 4);
  for (size_t i = 0; i < 2; ++i) {
    fleet.Reclaim(fleet.Engine(i), base::Millis(700));
  }
  std::this_thread::sleep_for(base::Millis(700));
  for (size_t i = 0; i < 2; ++i) {
    fleet.Engine(i).m_process->Kill();
  }
  std::thread replacement([&fleet] {
    std::this_thread::sleep_for(base::Millis(1500));
    fleet.AddEngine("zone-c");
  });
  callers.CheckAnswers();
  replacement.join();
}

// All engines of one availability zone are reclaimed at once, with notice.
BOOST_AUTO_TEST_CASE(ZoneIsReclaimed) {
  Fleet fleet(Settings(6));
  CallerGroup callers(fleet, 9);
  std::vector<size_t> zone;
  for (size_t i = 0; i < fleet.EngineCount(); ++i) {
    if (fleet.Engine(i).m_zone == "zone-a") {
      zone.push_back(i);
      fleet.Reclaim(fleet.Engine(i), base::Millis(1500));
    }
  }
  BOOST_TEST(zone.size() == 2U);
  std::this_thread::sleep_for(base::Millis(1500));
  for (const size_t i : zone) {
    BOOST_TEST(!HasStreams(fleet.Engine(i)));
    fleet.Engine(i).m_process->Kill();
  }
  callers.CheckAnswers();
  BOOST_TEST(RecomputedTokens(fleet) == 0U);
}

// Without a usable engine, new requests are rejected with 503 and the outcome "not run" after their
// maximum wait.
BOOST_AUTO_TEST_CASE(NewRequestsWithoutEnginesAreRejected) {
  FleetSettings settings = Settings(1);
  settings.m_maxWait = "300ms";
  Fleet fleet(settings);
  fleet.Reclaim(fleet.Engine(0), base::Millis(0));
  BOOST_TEST(Eventually([&] { return fleet.NodeStatus(0)["endpoints"][0]["state"] == "leaving"; }));
  const Stream stream = Generate(fleet.NodeAddress(0), "late", 5);
  BOOST_TEST(stream.m_status == 503);
  BOOST_TEST((base::ParseJson(stream.m_body)["outcome"] == "not run"));
  BOOST_TEST(Fleet::EngineCounts(fleet.Engine(0))["started"] == 0);
}

// A node is killed between two requests: the other nodes serve its callers, and the discovery
// answers list only those nodes.
BOOST_AUTO_TEST_CASE(CallersAreServedByTheOtherNodes) {
  Fleet fleet(Settings(2));
  BOOST_TEST(Generate(fleet.NodeAddress(0), "first", 5).m_complete);
  fleet.NodeProcess(0).Kill();
  for (size_t i = 1; i < fleet.NodeCount(); ++i) {
    BOOST_TEST(Generate(fleet.NodeAddress(i), "second", 5).m_complete);
    BOOST_TEST(Eventually([&] {
      const auto answer = base::ParseJson(Call(fleet.NodeAddress(i), "GET", "/v1/entries").m_body);
      return answer["entries"].size() == 2;
    }));
  }
}

// All engines refuse connections for a while under many callers: the retries stay within the retry
// budget, and after the recovery each accepted request gets its complete answer.
BOOST_AUTO_TEST_CASE(OutageCausesNoRetryStorm) {
  FleetSettings settings = Settings(2);
  settings.m_nodes = 1;
  settings.m_engineProxies = true;
  Fleet fleet(settings);
  const auto readCounter = [&](const std::string& aName) {
    const std::string page = Call(fleet.NodeAddress(0), "GET", "/metrics").m_body;
    const size_t at = page.find("\n" + aName + " ");
    return at == std::string::npos ? 0.0 : std::stod(page.substr(at + aName.size() + 2));
  };
  for (size_t i = 0; i < 2; ++i) {
    Fleet::SetProxyFaults(fleet.Engine(i), { { "refuse", true } });
  }
  constexpr int kCallers = 60;
  const auto start = std::chrono::steady_clock::now();
  std::atomic<int> whole{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const std::string prompt = "storm " + std::to_string(i);
      const Stream stream = Generate(fleet.NodeAddress(0), prompt, 10);
      whole += stream.m_complete && stream.m_text == ExpectedText(prompt, 10) ? 1 : 0;
    });
  }
  std::this_thread::sleep_for(base::Millis(3000));
  const double retries = readCounter("papayafield_retries_total");
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  // Retry budget: an initial balance of 50, one per ten new requests, and one per second.
  BOOST_TEST(retries <= 50 + 0.1 * kCallers + elapsed.count());
  for (size_t i = 0; i < 2; ++i) {
    Fleet::SetProxyFaults(fleet.Engine(i), { { "refuse", false } });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(whole == kCallers);
}

// Connections to engines are closed, or become silent for good while new ones work.
BOOST_AUTO_TEST_CASE(ClosedAndSilentConnections) {
  FleetSettings settings = Settings(2);
  settings.m_engineProxies = true;
  settings.m_nodeSettings = "[endpoints]\nstream_idle = \"1s\"\n";
  Fleet fleet(settings);
  {
    CallerGroup callers(fleet, 4);
    Fleet::SetProxyFaults(fleet.Engine(0), { { "cut", true } });
    Fleet::SetProxyFaults(fleet.Engine(1), { { "cut", true } });
    callers.CheckAnswers();
  }
  {
    CallerGroup callers(fleet, 4);
    Fleet::SetProxyFaults(fleet.Engine(0), { { "silence", true } });
    Fleet::SetProxyFaults(fleet.Engine(1), { { "silence", true } });
    callers.CheckAnswers();
  }
  // The engines kept the streams, so no tokens were recomputed.
  BOOST_TEST(RecomputedTokens(fleet) == 0U);
}

// The node is killed during a stream: the caller resumes it at another node after its last token.
BOOST_AUTO_TEST_CASE(CallerResumesAtAnotherNode) {
  Fleet fleet(Settings(2));
  const std::string prompt = "A long summary.";
  Stream stream = Generate(fleet.NodeAddress(0), prompt, kTokens, [&](size_t aTokens) {
    if (aTokens == 20) {
      fleet.NodeProcess(0).Kill();
    }
    return true;
  });
  BOOST_TEST(!stream.m_complete);
  stream = Generate(fleet.NodeAddress(1), prompt, kTokens, {}, &stream);
  BOOST_TEST(stream.m_complete, stream.m_body);
  BOOST_TEST((stream.m_text == ExpectedText(prompt, kTokens)));
  BOOST_TEST(RecomputedTokens(fleet) == 0U);
  // Another team cannot resume the stream.
  const Stream foreign =
    Generate(fleet.NodeAddress(1), prompt, kTokens, {}, &stream, kOtherTeamKey);
  BOOST_TEST(foreign.m_status == 400);
}

// The node and the engine are killed while a stream moves: the text that the caller sends with its
// request is enough to resume at another node.
BOOST_AUTO_TEST_CASE(NodeIsKilledDuringAMove) {
  FleetSettings settings = Settings(2);
  settings.m_engineOptions.insert(settings.m_engineOptions.end(), { "--export-ms", "1500" });
  Fleet fleet(settings);
  const std::string prompt = "A long plan.";
  std::thread faultThread([&] {
    Eventually([&] { return HasStreams(fleet.Engine(0)) || HasStreams(fleet.Engine(1)); });
    ServerProcess& engine = HasStreams(fleet.Engine(0)) ? fleet.Engine(0) : fleet.Engine(1);
    fleet.Reclaim(engine, base::Millis(2000));
    Eventually([&] { return !HasStreams(engine); });
    fleet.NodeProcess(0).Kill();
    engine.m_process->Kill();
  });
  Stream stream = Generate(fleet.NodeAddress(0), prompt, kTokens);
  faultThread.join();
  BOOST_TEST(!stream.m_complete);
  stream = Generate(fleet.NodeAddress(2), prompt, kTokens, {}, &stream);
  BOOST_TEST(stream.m_complete, stream.m_body);
  BOOST_TEST((stream.m_text == ExpectedText(prompt, kTokens)));
}

// A caller disconnects and resumes at another node: the engine has kept its stream.
BOOST_AUTO_TEST_CASE(CallerDisconnectsAndResumesAtAnotherNode) {
  Fleet fleet(Settings(1));
  Stream stream =
    Generate(fleet.NodeAddress(0), "x", 200, [](size_t aTokens) { return aTokens < 5; });
  stream = Generate(fleet.NodeAddress(1), "x", 200, {}, &stream);
  BOOST_TEST(stream.m_complete, stream.m_body);
  BOOST_TEST((stream.m_text == ExpectedText("x", 200)));
  BOOST_TEST(RecomputedTokens(fleet) == 0U);
}

// The connection between caller and node becomes silent for good: the caller resumes at another
// node, and the first node does not take the stream back.
BOOST_AUTO_TEST_CASE(CallerConnectionBecomesSilent) {
  Fleet fleet(Settings(1));
  const base::Address front{ "127.0.0.1", FreePort() };
  const base::Address control{ "127.0.0.1", FreePort() };
  const std::vector<std::string> options{ "--listen",  front.ToText(),
                                          "--to",      fleet.NodeAddress(0).ToText(),
                                          "--control", control.ToText() };
  Process proxy("standins/standin_proxy", options);
  BOOST_TEST(Eventually([&] { return Call(control, "GET", "/").m_status == 200; }));
  Stream stream = Generate(front, "y", 200, [&](size_t aTokens) {
    if (aTokens == 5) {
      // The caller abandons the silent connection; the node does not see it close.
      Call(control, "POST", "/", "{\"silence\":true}");
    }
    return aTokens < 5;
  });
  stream = Generate(fleet.NodeAddress(1), "y", 200, {}, &stream);
  BOOST_TEST(stream.m_complete, stream.m_body);
  BOOST_TEST((stream.m_text == ExpectedText("y", 200)));
  BOOST_TEST(RecomputedTokens(fleet) == 0U);
}

// When the caller of a non-streamed answer disconnects, its request is cancelled at the engine.
BOOST_AUTO_TEST_CASE(DisconnectCancelsNonStreamedAnswer) {
  Fleet fleet(Settings(1));
  adapters::http::HttpRequest request;
  request.m_to = fleet.NodeAddress(1);
  request.m_method = "POST";
  request.m_target = "/v1/chat/completions";
  request.m_headers.Add("Authorization", std::string("Bearer ") + kTeamKey);
  request.m_body = "{\"model\":\"condolence\",\"max_tokens\":4000,"
                   "\"messages\":[{\"role\":\"user\",\"content\":\"z\"}]}";
  request.m_totalTimeout = base::Millis(300);
  adapters::http::FetchBlocking(request);
  BOOST_TEST(Eventually([&] { return !HasStreams(fleet.Engine(0)); }));
  BOOST_TEST(Fleet::EngineCounts(fleet.Engine(0))["cancelled"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
