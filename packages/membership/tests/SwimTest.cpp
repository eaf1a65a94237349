#include "membership/Swim.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace papayafield;
using namespace papayafield::membership;
using tasks::MemberState;

namespace {

constexpr base::Millis kStep{ 20 };

tasks::Member MemberOf(int aIndex, const std::string& aIncarnation = "1") {
  tasks::Member member;
  member.m_node = base::NodeId("n" + std::to_string(aIndex));
  member.m_incarnation = base::IncarnationId(aIncarnation);
  member.m_peerAddress = { "10.0.0.1", static_cast<uint16_t>(aIndex + 1) };
  return member;
}

/// A group of members whose messages are delivered immediately unless a filter drops them.
class Group {
public:
  explicit Group(int aCount) {
    for (int i = 0; i < aCount; ++i) {
      m_swims.emplace_back(SwimSettings{}, MemberOf(i), static_cast<uint64_t>(i) + 1);
      m_swims.back().AddSeeds({ MemberOf(0).m_peerAddress });
    }
    m_paused.assign(m_swims.size(), false);
    Run(base::Millis(10000));
  }

  void Run(base::Millis aDuration) {
    for (base::Millis elapsed{ 0 }; elapsed < aDuration; elapsed += kStep) {
      m_now += kStep;
      for (size_t i = 0; i < m_swims.size(); ++i) {
        if (!m_paused[i]) {
          m_swims[i].Tick(m_now);
        }
      }
      Deliver();
    }
  }

  MemberState StateSeenBy(size_t aObserver, int aMember) const {
    for (const tasks::Member& member : m_swims[aObserver].Members()) {
      if (member.m_node == MemberOf(aMember).m_node) {
        return member.m_state;
      }
    }
    return MemberState::Dead;
  }

  Swim& At(size_t aIndex) { return m_swims[aIndex]; }
  void Pause(size_t aIndex, bool aPaused) { m_paused[aIndex] = aPaused; }
  void Replace(size_t aIndex, const std::string& aIncarnation) {
    m_swims[aIndex] = Swim(SwimSettings{}, MemberOf(static_cast<int>(aIndex), aIncarnation), 99);
    m_swims[aIndex].AddSeeds({ MemberOf(0).m_peerAddress, MemberOf(1).m_peerAddress });
  }
  /// Returns whether a message from the first to the second index is lost.
  std::function<bool(size_t, size_t)> m_isLost = [](size_t, size_t) { return false; };

private:
  void Deliver() {
    bool any = true;
    while (any) {
      any = false;
      for (size_t from = 0; from < m_swims.size(); ++from) {
        for (const SwimSend& send : m_swims[from].TakeSends()) {
          const size_t to = send.m_to.m_port - 1U;
          if (!m_paused[to] && !m_isLost(from, to)) {
            any = true;
            m_swims[to].OnMessage(
              send.m_message, send.m_message.m_sender.m_member.m_peerAddress, m_now);
          }
        }
      }
    }
  }

  std::vector<Swim> m_swims;
  std::vector<bool> m_paused;
  base::TimePoint m_now = base::TimePoint{} + base::Millis(1000000);
};

} // namespace

BOOST_AUTO_TEST_SUITE(SwimTest)

BOOST_AUTO_TEST_CASE(MembersDiscoverOneAnotherThroughOneSeed) {
  Group group(9);
  for (size_t i = 0; i < 9; ++i) {
    BOOST_TEST(group.At(i).Members().size() == 9U);
  }
}

BOOST_AUTO_TEST_CASE(CrashIsDetectedByAll) {
  Group group(9);
  group.Pause(4, true);
  group.Run(base::Millis(15000));
  for (size_t i = 0; i < 9; ++i) {
    if (i != 4) {
      BOOST_TEST((group.StateSeenBy(i, 4) == MemberState::Dead));
    }
  }
}

// A node that was paused for long in the middle of a probe refutes its own death after it resumes,
// and must not suspect members whose acks it missed.
BOOST_AUTO_TEST_CASE(PausedNodeRefutesItsDeathAndSuspectsNobody) {
  for (int offset = 1; offset <= 25; ++offset) {
    Group group(5);
    // The acks to the last probe are lost.
    group.m_isLost = [](size_t, size_t aTo) { return aTo == 4; };
    group.Run(kStep * offset);
    group.Pause(4, true);
    group.m_isLost = [](size_t, size_t) { return false; };
    group.Run(base::Millis(15000));
    group.Pause(4, false);
    for (int step = 0; step < 300; ++step) {
      group.Run(kStep);
      for (int other = 0; other < 5; ++other) {
        BOOST_REQUIRE((group.StateSeenBy(4, other) == MemberState::Alive));
      }
    }
    for (size_t i = 0; i < 5; ++i) {
      BOOST_TEST((group.StateSeenBy(i, 4) == MemberState::Alive));
    }
  }
}

// With a partition between two members only, indirect probes keep either from being suspected.
BOOST_AUTO_TEST_CASE(PartitionBetweenTwoMembersCausesNoSuspicion) {
  Group group(9);
  group.m_isLost = [](size_t aFrom, size_t aTo) {
    return (aFrom == 2 && aTo == 5) || (aFrom == 5 && aTo == 2);
  };
  for (int step = 0; step < 1500; ++step) {
    group.Run(kStep);
    BOOST_REQUIRE((group.StateSeenBy(2, 5) == MemberState::Alive));
    BOOST_REQUIRE((group.StateSeenBy(5, 2) == MemberState::Alive));
  }
}

// A member whose outgoing messages are all lost is declared dead, and is alive again once the
// one-way partition heals.
BOOST_AUTO_TEST_CASE(OneWayPartitionHeals) {
  Group group(9);
  group.m_isLost = [](size_t aFrom, size_t) { return aFrom == 3; };
  group.Run(base::Millis(20000));
  BOOST_TEST((group.StateSeenBy(0, 3) == MemberState::Dead));
  group.m_isLost = [](size_t, size_t) { return false; };
  group.Run(base::Millis(30000));
  BOOST_TEST((group.StateSeenBy(0, 3) == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(RestartAtTheSameAddressReplacesTheOldIncarnation) {
  Group group(5);
  group.Replace(2, "2");
  group.Run(base::Millis(10000));
  for (const tasks::Member& member : group.At(4).Members()) {
    if (member.m_node == MemberOf(2).m_node) {
      BOOST_TEST(member.m_incarnation.Text() == "2");
      BOOST_TEST((member.m_state == MemberState::Alive));
    }
  }
}

// Leaving endpoints, drains and generations reach all members within 500 ms, faster than a full
// round of probes.
BOOST_AUTO_TEST_CASE(UrgentUpdatesReachAllMembersQuickly) {
  Group group(30);
  group.At(7).RecordLeaving(base::EndpointId("gpu-1"));
  group.At(8).Drain();
  group.At(9).SetGeneration(5);
  group.Run(base::Millis(500));
  for (size_t i = 0; i < 30; ++i) {
    BOOST_TEST(group.At(i).Leaving().size() == 1U);
    BOOST_TEST((group.StateSeenBy(i, 8) == MemberState::Draining));
  }
}

BOOST_AUTO_TEST_SUITE_END()
