#include "ControlBench.h"

#include "Usage.h"
#include "adapters/peer/DatagramSocket.h"
#include "adapters/peer/WireCodec.h"
#include "tests/harness/Process.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <memory>

namespace papayafield::bench {

namespace {

const std::vector<std::string> kKeys{ "a fleet key for measuring" };
constexpr base::Millis kTickInterval{ 50 };
/// Interval of the table exchanges of a member, as in a node.
constexpr base::Millis kExchangePeriod{ 10000 };
/// Bytes of a digest request with its answer, and of one record of a table.
constexpr uint64_t kSummaryBytes = 300;
constexpr uint64_t kRecordBytes = 130;
constexpr base::Millis kSettleTime{ 4000 };
/// Maximum wait until the gossip about the joins has ended.
constexpr base::Millis kMaxQuietWait{ 300000 };
constexpr base::Millis kMeasureTime{ 6000 };

/// A member that consists of the protocol and its socket, without a thread of its own.
struct LightMember {
  LightMember(const tasks::Member& aSelf, uint64_t aSeed)
    : m_swim(membership::SwimSettings{}, aSelf, aSeed)
    , m_socket(aSelf.m_peerAddress)
    , m_address(aSelf.m_peerAddress) {}

  membership::Swim m_swim;
  adapters::peer::DatagramSocket m_socket;
  base::Address m_address;
};

/// Runs many light members on one thread.
class LightFleet {
public:
  explicit LightFleet(int aCount)
    : m_epoll(epoll_create1(0)) {
    std::vector<base::Address> seeds;
    for (int i = 0; i < aCount; ++i) {
      tasks::Member self;
      self.m_node = base::NodeId("node-" + std::to_string(i));
      self.m_incarnation = base::IncarnationId("0123456789ab01234567");
      self.m_zone = base::ZoneId("zone-a");
      self.m_callerAddress = { "127.0.0.1", 8000 };
      self.m_peerAddress = { "127.0.0.1", tests::FreePort() };
      m_members.push_back(std::make_unique<LightMember>(self, static_cast<uint64_t>(i) + 1));
      if (i < 3) {
        seeds.push_back(self.m_peerAddress);
      }
      epoll_event event{ EPOLLIN, { .u32 = static_cast<uint32_t>(i) } };
      epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_members.back()->m_socket.Fd(), &event);
    }
    for (const auto& member : m_members) {
      member->m_swim.AddSeeds(seeds);
    }
  }
  ~LightFleet() { close(m_epoll); }
  LightFleet(const LightFleet&) = delete;
  LightFleet& operator=(const LightFleet&) = delete;
  LightFleet(LightFleet&&) = delete;
  LightFleet& operator=(LightFleet&&) = delete;

  /// Runs the members for `aDuration`, or until `aDone` holds.
  template<class Done>
  void Run(base::Millis aDuration, Done aDone) {
    const auto until = base::SteadyClock().Now() + aDuration;
    while (base::SteadyClock().Now() < until && !aDone()) {
      Step();
    }
  }

  /// Whether no message has carried member records for `kSettleTime`.
  bool IsQuiet() const { return base::SteadyClock().Now() - m_lastRecordsSent > kSettleTime; }

  std::vector<std::unique_ptr<LightMember>>& Members() { return m_members; }

  uint64_t Bytes() const {
    uint64_t bytes = 2 * m_exchangedBytes;
    for (const auto& member : m_members) {
      bytes += member->m_socket.Bytes();
    }
    return bytes;
  }

private:
  /// Simulates the exchange that nodes make over connections: each member requests the digest of a
  /// random peer, and both exchange their tables if the digests differ.
  void Exchange() {
    const base::TimePoint now = base::SteadyClock().Now();
    for (size_t i = 0; i < m_members.size(); ++i) {
      LightMember& member = *m_members[i];
      const auto peer = member.m_swim.RandomPeer();
      if (!peer) {
        continue;
      }
      const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const auto& aOther) {
        return aOther->m_address == peer->m_peerAddress;
      });
      if (found == m_members.end()) {
        continue;
      }
      LightMember& other = **found;
      m_exchangedBytes += kSummaryBytes;
      if (other.m_swim.Digest() != member.m_swim.Digest()) {
        m_exchangedBytes += 2 * kRecordBytes * m_members.size();
        other.m_swim.Merge(member.m_swim.Records(), member.m_swim.Leaving(), now);
        member.m_swim.Merge(other.m_swim.Records(), other.m_swim.Leaving(), now);
      }
    }
  }

  void Step() {
    if (base::SteadyClock().Now() >= m_nextExchange) {
      m_nextExchange = base::SteadyClock().Now() + kExchangePeriod;
      Exchange();
    }
    epoll_event events[64];
    const int count = epoll_wait(m_epoll, events, std::size(events), 1);
    std::string bytes;
    for (int i = 0; i < count; ++i) {
      LightMember& member = *m_members[events[i].data.u32];
      while (member.m_socket.Receive(bytes)) {
        if (const auto message = adapters::peer::DecodeDatagram(bytes, kKeys)) {
          member.m_swim.OnMessage(message->m_message,
                                  message->m_message.m_sender.m_member.m_peerAddress,
                                  base::SteadyClock().Now());
        }
      }
      member.m_swim.Tick(base::SteadyClock().Now());
      Flush(member);
    }
    // Spreads the ticks of all members evenly over the tick interval.
    const base::TimePoint now = base::SteadyClock().Now();
    const auto ticksDue = static_cast<size_t>(
      std::min(1.0, std::chrono::duration<double>(now - m_lastTick) / kTickInterval) *
      static_cast<double>(m_members.size()));
    if (ticksDue > 0) {
      m_lastTick = now;
    }
    for (size_t i = 0; i < ticksDue; ++i) {
      m_nextMember = (m_nextMember + 1) % m_members.size();
      m_members[m_nextMember]->m_swim.Tick(now);
      Flush(*m_members[m_nextMember]);
    }
  }

  void Flush(LightMember& aMember) {
    for (membership::SwimSend& send : aMember.m_swim.TakeSends()) {
      if (!send.m_message.m_records.empty()) {
        m_lastRecordsSent = base::SteadyClock().Now();
      }
      aMember.m_socket.Send(
        send.m_to,
        adapters::peer::EncodeDatagram({ std::move(send.m_message), {} }, kKeys.front()));
    }
  }

  int m_epoll;
  std::vector<std::unique_ptr<LightMember>> m_members;
  base::TimePoint m_lastTick = base::SteadyClock().Now();
  size_t m_nextMember = 0;
  base::TimePoint m_nextExchange = base::SteadyClock().Now() + kExchangePeriod;
  uint64_t m_exchangedBytes = 0;
  base::TimePoint m_lastRecordsSent = base::SteadyClock().Now();
};

} // namespace

Report MeasureMembership() {
  Report report("membership, per member (probe period 500 ms, signed datagrams on loopback)",
                { "members",
                  "known by the least",
                  "all known after s",
                  "bytes a second while all join",
                  "bytes a second, steady",
                  "cpu % of a core",
                  "memory KiB",
                  "news to all, ms",
                  "crash seen by all, s",
                  "false deaths" });
  for (const int count : { 3, 9, 30, 100, 300 }) {
    const double before = ReadProcessUsage(0).m_residentKib;
    LightFleet fleet(count);
    const auto minKnown = [&] {
      size_t known = static_cast<size_t>(count);
      for (const auto& member : fleet.Members()) {
        known = std::min(known, member->m_swim.Members().size());
      }
      return known;
    };
    const auto joined = base::SteadyClock().Now();
    fleet.Run(kSettleTime * 10, [&] { return minKnown() == static_cast<size_t>(count); });
    const std::chrono::duration<double> joinTime = base::SteadyClock().Now() - joined;
    // All members join at once, which costs the most. Measures this, then waits until the gossip
    // about the joins has ended.
    const uint64_t joinBytes = fleet.Bytes();
    fleet.Run(kMeasureTime, [] { return false; });
    const double joinBytesPerMember = static_cast<double>(fleet.Bytes() - joinBytes) / count /
                                      std::chrono::duration<double>(kMeasureTime).count();
    fleet.Run(kMaxQuietWait, [&] { return fleet.IsQuiet(); });
    // Measures the steady state.
    const uint64_t bytes = fleet.Bytes();
    const double cpu = ThreadCpuSeconds();
    fleet.Run(kMeasureTime, [] { return false; });
    const double seconds = std::chrono::duration<double>(kMeasureTime).count();
    const double bytesPerMember = static_cast<double>(fleet.Bytes() - bytes) / seconds / count;
    const double cpuPerMember = (ThreadCpuSeconds() - cpu) / seconds / count;
    const double memoryPerMember = (ReadProcessUsage(0).m_residentKib - before) / count;
    size_t dead = 0;
    for (const auto& member : fleet.Members()) {
      for (const tasks::Member& other : member->m_swim.Members()) {
        dead += other.m_state == tasks::MemberState::Dead ? 1 : 0;
      }
    }
    // Measures the propagation of an urgent message.
    const auto start = base::SteadyClock().Now();
    fleet.Members().front()->m_swim.RecordLeaving(base::EndpointId("gpu-1"));
    fleet.Run(kSettleTime, [&] {
      return std::all_of(fleet.Members().begin(), fleet.Members().end(), [](const auto& aMember) {
        return !aMember->m_swim.Leaving().empty();
      });
    });
    const std::chrono::duration<double> propagationTime = base::SteadyClock().Now() - start;
    // Measures the detection of a member that stops sending.
    const base::NodeId lost = fleet.Members().back()->m_swim.Members().front().m_node;
    fleet.Members().pop_back();
    const auto crash = base::SteadyClock().Now();
    fleet.Run(kSettleTime * 10, [&] {
      return std::all_of(fleet.Members().begin(), fleet.Members().end(), [&](const auto& aMember) {
        const auto members = aMember->m_swim.Members();
        return std::any_of(members.begin(), members.end(), [&](const tasks::Member& aOther) {
          return aOther.m_node == lost && aOther.m_state == tasks::MemberState::Dead;
        });
      });
    });
    const std::chrono::duration<double> detectionTime = base::SteadyClock().Now() - crash;
    constexpr double kPercent = 100;
    constexpr double kMillisPerSecond = 1000;
    report.AddRow({ count,
                    minKnown(),
                    Rounded(joinTime.count(), 1),
                    Rounded(joinBytesPerMember, 0),
                    Rounded(bytesPerMember, 0),
                    Rounded(cpuPerMember * kPercent, 3),
                    Rounded(memoryPerMember, 1),
                    Rounded(propagationTime.count() * kMillisPerSecond, 1),
                    Rounded(detectionTime.count(), 1),
                    dead });
  }
  return report;
}

} // namespace papayafield::bench
