#include "quarantine/PromptQuarantine.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::quarantine;
using base::Millis;

namespace {

/// One node and its clock.
struct Node {
  explicit Node(uint64_t aSeed = 1, QuarantineSettings aSettings = {})
    : m_quarantine(aSettings, aSeed) {}

  base::TimePoint Now() const { return m_clock.Now(); }
  void Wait(Millis aTime) { m_clock.Advance(aTime); }
  void Crash(int aEndpoint, int aCall, const std::vector<std::string>& aParts) {
    m_quarantine.RecordCrash(
      { "e" + std::to_string(aEndpoint), "c" + std::to_string(aCall), aParts, Millis(0) }, Now());
  }
  void Answer(const std::vector<std::string>& aParts) {
    m_quarantine.RecordSuccess(aParts, Now(), Now());
  }
  bool Refuses(const std::vector<std::string>& aParts) {
    return m_quarantine.Check(aParts, Now()).has_value();
  }
  /// Waits until all evidence counts and evaluates it.
  std::vector<BanEvent> Settle() {
    Wait(QuarantineSettings().m_protectionTime);
    return m_quarantine.Update(Now());
  }

  base::ManualClock m_clock;
  PromptQuarantine m_quarantine;
};

/// Lets `aCount` endpoints crash on calls of their own with `aParts`.
void CrashOften(Node& aNode, int aCount, const std::vector<std::string>& aParts) {
  for (int i = 0; i < aCount; ++i) {
    aNode.Crash(i, i, aParts);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptQuarantineTest)

BOOST_AUTO_TEST_CASE(PartThatCrashesThreeEndpointsIsBanned) {
  Node node;
  CrashOften(node, 2, { "deadly" });
  BOOST_TEST(node.Settle().empty());
  node.Crash(2, 2, { "deadly" });
  const auto events = node.Settle();
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST((events[0].m_change == BanChange::Banned));
  BOOST_TEST(events[0].m_crashes == 3U);
  BOOST_TEST(events[0].m_endpoints == 3U);
  BOOST_TEST(node.Refuses({ "other", "deadly" }));
  BOOST_TEST(!node.Refuses({ "other" }));
  BOOST_TEST(node.m_quarantine.BannedCount(node.Now()) == 1U);
}

BOOST_AUTO_TEST_CASE(EvidenceOfOneEndpointOrOneCallIsNotEnough) {
  Node node;
  for (int i = 0; i < 6; ++i) {
    node.Crash(0, i, { "same endpoint" });
    node.Crash(i, 100, { "same call" });
    node.Wait(Millis(2000));
  }
  BOOST_TEST(node.Settle().empty());
}

BOOST_AUTO_TEST_CASE(LossesOfOneEndpointAtOneTimeAreOneCrash) {
  Node node;
  for (int call = 0; call < 10; ++call) {
    node.Crash(call % 2, call, { "part" });
  }
  BOOST_TEST(node.Settle().empty());
}

BOOST_AUTO_TEST_CASE(AnswerRefutesEarlierCrashes) {
  Node node;
  CrashOften(node, 5, { "part" });
  node.Wait(Millis(10));
  node.Answer({ "part" });
  BOOST_TEST(node.Settle().empty());
  // An answer that began before the crashes refutes none of them.
  const auto before = node.Now();
  node.Wait(Millis(10));
  for (int i = 10; i < 14; ++i) {
    node.Crash(i, i, { "part" });
  }
  node.m_quarantine.RecordSuccess({ "part" }, before, node.Now());
  BOOST_TEST(node.Settle().size() == 1U);
}

BOOST_AUTO_TEST_CASE(RecentlyAnsweredPartIsNotBanned) {
  Node node;
  node.Answer({ "part" });
  node.Wait(Millis(1));
  CrashOften(node, 5, { "part" });
  node.Wait(Millis(1400));
  BOOST_TEST(node.m_quarantine.Update(node.Now()).empty());
  node.Wait(Millis(200));
  BOOST_TEST(node.m_quarantine.Update(node.Now()).size() == 1U);
}

// Parts that stand beside the deadly one on the same calls, or on calls that the crashed endpoints
// were answering, are not banned with it.
BOOST_AUTO_TEST_CASE(PartsBesideADeadlyOneAreNotBanned) {
  Node node;
  node.Answer({ "system", "subject" });
  node.Wait(Millis(5000));
  for (int i = 0; i < 6; ++i) {
    node.Crash(i, i, { "system", "deadly", "subject" });
    node.Crash(i, 100 + i, { "system", "subject" });
    node.Crash(i, 200 + i, { "bystander" + std::to_string(i % 2), "system" });
  }
  const auto events = node.Settle();
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].m_part == "deadly");
  node.Crash(20, 300, { "deadly", "victim" });
  node.Crash(21, 301, { "deadly", "victim" });
  node.Crash(22, 302, { "deadly", "victim" });
  BOOST_TEST(node.Settle().empty());
}

BOOST_AUTO_TEST_CASE(AnswerLiftsABanAtAllNodes) {
  Node node;
  Node peer(2);
  CrashOften(node, 3, { "part" });
  node.Settle();
  peer.m_clock = node.m_clock;
  peer.m_quarantine.Merge(node.m_quarantine.MakeReport(node.Now()), peer.Now());
  BOOST_TEST(peer.Refuses({ "part" }));
  node.Wait(Millis(100));
  peer.Wait(Millis(100));
  node.Answer({ "part" });
  BOOST_TEST(!node.Refuses({ "part" }));
  peer.m_quarantine.Merge(node.m_quarantine.MakeReport(node.Now()), peer.Now());
  BOOST_TEST(!peer.Refuses({ "part" }));
}

BOOST_AUTO_TEST_CASE(BanEndsWithSingleTrialsAndReturnsAfterOneCrash) {
  const QuarantineSettings settings;
  Node node(0);
  CrashOften(node, 3, { "part" });
  node.Settle();
  node.Wait(settings.m_ban - Millis(1));
  BOOST_TEST(node.Refuses({ "part" }));
  node.Wait(Millis(1));
  BOOST_TEST(!node.Refuses({ "part" }));
  BOOST_TEST(node.Refuses({ "part" }));
  node.Crash(9, 9, { "part" });
  const auto events = node.Settle();
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST((events[0].m_change == BanChange::Ended));
  BOOST_TEST((events[1].m_change == BanChange::Banned));
  BOOST_TEST(events[1].m_level == 2);
  BOOST_TEST(events[1].m_remaining.count() == 2 * settings.m_ban.count());
  // Without calls, everything is forgotten.
  node.Wait(settings.m_ban * 2 + settings.m_probation);
  node.m_quarantine.Update(node.Now());
  BOOST_TEST(!node.Refuses({ "part" }));
  BOOST_TEST(!node.Refuses({ "part" }));
}

BOOST_AUTO_TEST_CASE(NodesDoNotProlongTheirBansInCircles) {
  const QuarantineSettings settings;
  Node nodes[3]{ Node(19999), Node(19999), Node(19999) };
  CrashOften(nodes[0], 3, { "part" });
  nodes[0].Settle();
  nodes[1].m_clock = nodes[0].m_clock;
  nodes[2].m_clock = nodes[0].m_clock;
  const Millis step(250);
  for (Millis time(0); time < settings.m_ban + Millis(2000); time += step) {
    for (Node& to : nodes) {
      for (const Node& from : nodes) {
        const Report report = from.m_quarantine.MakeReport(from.Now() - Millis(50));
        to.m_quarantine.Merge(report, to.Now());
      }
    }
    for (Node& node : nodes) {
      node.Wait(step);
      node.m_quarantine.Update(node.Now());
    }
  }
  for (const Node& node : nodes) {
    BOOST_TEST(node.m_quarantine.BannedCount(node.Now()) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(EvidenceIsCountedOnceWhoeverPassesItOn) {
  Node node;
  Node peer(2);
  CrashOften(node, 2, { "part" });
  for (int i = 0; i < 10; ++i) {
    const bool isNew =
      peer.m_quarantine.Merge(node.m_quarantine.MakeReport(node.Now()), peer.Now());
    BOOST_TEST(isNew == (i == 0));
    BOOST_TEST(!node.m_quarantine.Merge(peer.m_quarantine.MakeReport(peer.Now()), node.Now()));
  }
  BOOST_TEST(peer.m_quarantine.CrashCount() == 2U);
}

// Callers choose the parts: what they can make a node remember is bounded, and no suspect replaces
// a ban.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  const QuarantineSettings settings;
  Node node;
  CrashOften(node, 3, { "deadly" });
  node.Settle();
  for (int i = 0; i < 5000; ++i) {
    const std::string name = std::to_string(i);
    node.Answer({ "answered" + name });
    node.Crash(i, 1000 + i, { "a" + name, "b" + name, "c" + std::to_string(i / 4) });
    if (i % 200 == 0) {
      node.m_quarantine.Update(node.Now());
    }
  }
  BOOST_TEST(node.m_quarantine.CrashCount() <= settings.m_maxCrashes);
  node.Settle();
  BOOST_TEST(node.m_quarantine.BannedCount(node.Now()) <= settings.m_maxBans);
  BOOST_TEST(node.Refuses({ "deadly" }));
  const Report report = node.m_quarantine.MakeReport(node.Now());
  BOOST_TEST(report.m_crashes.size() <= settings.m_maxReportedCrashes);
  BOOST_TEST(report.m_bans.size() <= settings.m_maxReportedBans);
  BOOST_TEST(report.m_successes.size() <= settings.m_maxReportedSuccesses);
}

BOOST_AUTO_TEST_CASE(OneCallAccusesFewParts) {
  const QuarantineSettings settings;
  Node node;
  std::vector<std::string> parts;
  for (int i = 0; i < 100; ++i) {
    parts.push_back("p" + std::to_string(i));
    if (i != 50) {
      node.Answer({ parts.back() });
    }
  }
  node.Wait(Millis(1));
  const auto crash = node.m_quarantine.RecordCrash({ "e", "c", parts, Millis(0) }, node.Now());
  BOOST_REQUIRE(crash.has_value());
  BOOST_TEST(crash->m_parts.size() == settings.m_maxAccused);
  // The part that was never answered is the first suspect.
  BOOST_TEST(crash->m_parts.front() == "p50");
}

BOOST_AUTO_TEST_CASE(KeysAreShortAndPlain) {
  BOOST_TEST(PromptQuarantine::KeyOf("5c1e07a2") == "5c1e07a2");
  for (const std::string& odd : { std::string(33, 'a'), std::string("a b\n"), std::string() }) {
    const std::string key = PromptQuarantine::KeyOf(odd);
    BOOST_TEST(key.size() == 40U);
    BOOST_TEST(key.find_first_of(" \n") == std::string::npos);
  }
  BOOST_TEST(PromptQuarantine::KeyOf(std::string(40, 'a')) !=
             PromptQuarantine::KeyOf(std::string(41, 'a')));
}

BOOST_AUTO_TEST_CASE(PartAnsweredTheLongestAgoIsForgottenFirst) {
  SuccessMemory memory(2);
  const base::TimePoint now{ std::chrono::hours(1) };
  memory.Record("a", now, true);
  memory.Record("b", now, false);
  memory.Record("a", now - Millis(5), false);
  memory.Record("c", now, false);
  BOOST_TEST(memory.Count() == 2U);
  BOOST_TEST((memory.Find("b") == nullptr));
  BOOST_REQUIRE((memory.Find("a") != nullptr));
  BOOST_TEST((memory.Find("a")->m_latest == now));
  BOOST_TEST((memory.Find("a")->m_own == now));
  BOOST_TEST(!memory.Find("c")->m_own.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
