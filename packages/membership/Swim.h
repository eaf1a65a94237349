#pragma once

#include "base/Time.h"
#include "tasks/Messages.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// Membership of the fleet, after the published SWIM design: each node probes one random member a
/// period, asks others to probe it before it is suspected, and carries the news along.

namespace papayafield::membership {

/// How the protocol paces itself.
struct SwimSettings {
  /// Time between two probes.
  base::Millis m_probePeriod{ 500 };
  /// Members asked to probe one that did not answer.
  size_t m_indirectProbes = 3;
  /// Periods, times the decimal logarithm of the fleet, that a suspect has to speak up.
  double m_suspicionFactor = 4;
  /// Peers that urgent news goes to at once, from each node that hears it first.
  size_t m_fanout = 4;
  /// Each item is carried so many times, times the binary logarithm of the fleet.
  double m_carryFactor = 2;
  /// Most member records in one message.
  size_t m_recordsPerMessage = 8;
  /// Every so many probes one goes to a dead member, in case it was only cut off.
  uint64_t m_deadProbeEvery = 10;
  /// How long dead members are remembered.
  base::Millis m_forgetDeadAfter{ 24LL * 3600 * 1000 };
};

/// A member with the number that orders claims about its state.
struct MemberRecord {
  tasks::Member m_member;
  /// Grows each time the member refutes what is said of it.
  uint64_t m_number = 0;
};

/// What a message is for.
enum class MessageKind { Ping, Ack, PingRequest, News };

/// A message between two members.
struct SwimMessage {
  MessageKind m_kind = MessageKind::Ping;
  /// Names the probe; an Ack repeats it.
  uint64_t m_sequence = 0;
  /// The sender as it sees itself.
  MemberRecord m_sender;
  /// Whom to probe, in a PingRequest.
  base::Address m_target;
  /// News of members.
  std::vector<MemberRecord> m_records;
  /// Endpoints that are leaving.
  std::vector<base::EndpointId> m_leaving;
};

/// A message to send.
struct SwimSend {
  base::Address m_to;
  SwimMessage m_message;
};

/// The protocol's state at one node. Pure: time and messages come in, messages go out. Not thread
/// safe.
class Swim {
public:
  /// The state of the node `aSelf`, alone so far.
  Swim(SwimSettings aSettings, tasks::Member aSelf, uint64_t aSeed);

  /// Registered nodes, from which unknown ones are greeted.
  void AddSeeds(const std::vector<base::Address>& aSeeds);
  /// To be called several times a period; works out what is due at `aNow`.
  void Tick(base::TimePoint aNow);
  /// A message has come from `aFrom`.
  void OnMessage(const SwimMessage& aMessage, const base::Address& aFrom, base::TimePoint aNow);
  /// This node has a new generation in force.
  void SetGeneration(uint64_t aGeneration);
  /// This node is leaving the fleet.
  void Drain();
  /// An endpoint is leaving, as this node has learnt itself.
  void NoteLeaving(const base::EndpointId& aEndpoint);
  /// Takes over a full table from another node.
  void Merge(const std::vector<MemberRecord>& aRecords,
             const std::vector<base::EndpointId>& aLeaving,
             base::TimePoint aNow);

  /// Takes the messages to send.
  std::vector<SwimSend> TakeSends();
  /// Whether the member list has changed since the last call.
  bool TakeChanged() { return std::exchange(m_changed, false); }
  /// Takes the leaving endpoints heard of since the last call.
  std::vector<base::EndpointId> TakeLeaving() { return std::exchange(m_newLeaving, {}); }
  /// All records, this node's included.
  std::vector<MemberRecord> Records() const;
  /// All members, this node included.
  std::vector<tasks::Member> Members() const;
  /// A digest of all that Records and Leaving hold, but for the generations; equal tables have
  /// equal digests.
  uint64_t Digest() const;
  /// All leaving endpoints known.
  std::vector<base::EndpointId> Leaving() const;
  /// A random living member other than this node, or nothing.
  std::optional<tasks::Member> RandomPeer();

private:
  struct Entry {
    MemberRecord m_record;
    /// When a suspect is declared dead, or a dead member is forgotten.
    base::TimePoint m_due{};
    /// Times that the record is still to be carried.
    int m_carry = 0;
  };
  struct Probe {
    base::NodeId m_target;
    uint64_t m_sequence = 0;
    base::TimePoint m_indirectAt{};
    base::TimePoint m_failsAt{};
    bool m_indirect = false;
  };
  /// A probe made for another member.
  struct Relay {
    base::Address m_asker;
    uint64_t m_askerSequence = 0;
    base::TimePoint m_until{};
  };

  void StartProbe(base::TimePoint aNow);
  void CheckProbe(base::TimePoint aNow);
  void CheckDeadlines(base::TimePoint aNow);
  bool Take(const MemberRecord& aRecord, base::TimePoint aNow);
  void TakeOfSelf(const MemberRecord& aRecord);
  bool TakeLeavingNews(const base::EndpointId& aEndpoint);
  void Refute();
  void Spread();
  void Suspect(Entry& aEntry, base::TimePoint aNow);
  std::optional<base::NodeId> NextTarget();
  std::vector<base::NodeId> RandomLiving(size_t aCount, const base::NodeId& aExcept);
  SwimMessage Compose(MessageKind aKind, uint64_t aSequence);
  void Send(const base::Address& aTo, SwimMessage aMessage);
  int CarryTimes() const;
  size_t LivingCount() const;

  SwimSettings m_settings;
  MemberRecord m_self;
  std::map<base::NodeId, Entry> m_members;
  std::vector<base::Address> m_seeds;
  std::mt19937_64 m_random;
  std::vector<base::NodeId> m_order;
  std::optional<Probe> m_probe;
  std::map<uint64_t, Relay> m_relays;
  uint64_t m_lastSequence = 0;
  uint64_t m_probes = 0;
  base::TimePoint m_nextProbe{};
  base::TimePoint m_lastTick{};
  std::vector<SwimSend> m_sends;
  bool m_changed = true;
  bool m_urgent = false;
  std::map<base::EndpointId, int> m_leaving;
  std::vector<base::EndpointId> m_newLeaving;
};

/// Whether `aLeft` says something newer of the same node than `aRight`.
bool IsNewer(const MemberRecord& aLeft, const MemberRecord& aRight);

} // namespace papayafield::membership
