#pragma once

#include "membership/MemberTable.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

/// \file
/// Membership of the fleet, after the published SWIM design: each node probes one random member a
/// period, asks others to probe it before it is suspected, and carries the news along.

namespace papayafield::membership {

/// The protocol at one node. Pure: time and messages come in, messages go out. Not thread safe.
class Swim {
public:
  /// The state of the node `aSelf`, alone so far.
  Swim(SwimSettings aSettings, tasks::Member aSelf, uint64_t aSeed);

  /// Registered nodes, from which unknown ones are greeted.
  void AddSeeds(const std::vector<base::Address>& aSeeds) { m_seeds = aSeeds; }
  /// To be called several times a period; works out what is due at `aNow`.
  void Tick(base::TimePoint aNow);
  /// A message has come from `aFrom`.
  void OnMessage(const SwimMessage& aMessage, const base::Address& aFrom, base::TimePoint aNow);
  /// This node has a new generation in force.
  void SetGeneration(uint64_t aGeneration) { m_table.SetGeneration(aGeneration); }
  /// This node is leaving the fleet.
  void Drain() { m_table.Drain(); }
  /// An endpoint is leaving, as this node has learnt itself.
  void NoteLeaving(const base::EndpointId& aEndpoint);
  /// Takes over a full table from another node.
  void Merge(const std::vector<MemberRecord>& aRecords,
             const std::vector<base::EndpointId>& aLeaving,
             base::TimePoint aNow);

  /// Takes the messages to send.
  std::vector<SwimSend> TakeSends() { return std::exchange(m_sends, {}); }
  /// Whether the member list has changed since the last call.
  bool TakeChanged() { return m_table.TakeChanged(); }
  /// Takes the leaving endpoints heard of since the last call.
  std::vector<base::EndpointId> TakeLeaving() { return m_table.TakeNewLeaving(); }
  /// All records, this node's included.
  std::vector<MemberRecord> Records() const { return m_table.Records(); }
  /// All members, this node included.
  std::vector<tasks::Member> Members() const;
  /// All leaving endpoints known.
  std::vector<base::EndpointId> Leaving() const { return m_table.Leaving(); }
  /// A digest of all that Records and Leaving hold, but for the generations.
  uint64_t Digest() const { return m_table.Digest(); }
  /// A random living member other than this node, or nothing.
  std::optional<tasks::Member> RandomPeer();

private:
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

  void NoticePause(base::TimePoint aNow);
  void GreetSeeds();
  void StartProbe(base::TimePoint aNow);
  void CheckProbe(base::TimePoint aNow);
  void AnswerPing(const SwimMessage& aMessage, const base::Address& aFrom);
  void TakeAck(uint64_t aSequence);
  void Spread();
  std::optional<base::NodeId> NextTarget();
  std::vector<base::NodeId> RandomLiving(size_t aCount, const base::NodeId& aExcept);
  SwimMessage Compose(MessageKind aKind, uint64_t aSequence);
  void Send(const base::Address& aTo, SwimMessage aMessage);
  void SendTo(const base::NodeId& aNode, SwimMessage aMessage);

  SwimSettings m_settings;
  MemberTable m_table;
  std::vector<base::Address> m_seeds;
  std::mt19937_64 m_random;
  /// Members still to be probed in this round.
  std::vector<base::NodeId> m_order;
  std::optional<Probe> m_probe;
  std::map<uint64_t, Relay> m_relays;
  uint64_t m_lastSequence = 0;
  uint64_t m_probes = 0;
  base::TimePoint m_nextProbe{};
  base::TimePoint m_lastTick{};
  std::vector<SwimSend> m_sends;
};

} // namespace papayafield::membership
