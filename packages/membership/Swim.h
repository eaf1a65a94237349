#pragma once

#include "membership/MemberTable.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

/// \file
/// Fleet membership with the published SWIM protocol: in each period a node probes one random
/// member, asks others to probe it before it suspects it, and piggybacks updates on the messages.

namespace papayafield::membership {

/// The protocol state machine of one node. Does no I/O: it gets the time and incoming messages, and
/// returns outgoing messages. Not thread safe.
class Swim {
public:
  /// Creates the state of the node `aSelf`, which knows no other members yet.
  Swim(SwimSettings aSettings, tasks::Member aSelf, uint64_t aSeed);

  /// Sets the addresses of the registered nodes. Those that are not yet members are pinged.
  void AddSeeds(const std::vector<base::Address>& aSeeds) { m_seeds = aSeeds; }
  /// Handles all timeouts due at `aNow`. Must be called several times per probe period.
  void Tick(base::TimePoint aNow);
  /// Handles a message from `aFrom`.
  void OnMessage(const SwimMessage& aMessage, const base::Address& aFrom, base::TimePoint aNow);
  /// Sets the generation that this node has applied.
  void SetGeneration(uint64_t aGeneration) { m_table.SetGeneration(aGeneration); }
  /// Marks this node as draining, because it is leaving the fleet.
  void Drain() { m_table.Drain(); }
  /// Records that an endpoint is leaving, as this node has observed itself, and gossips it at once.
  void RecordLeaving(const base::EndpointId& aEndpoint);
  /// Merges the full table of another node.
  void Merge(const std::vector<MemberRecord>& aRecords,
             const std::vector<base::EndpointId>& aLeaving,
             base::TimePoint aNow);

  /// Returns and clears the messages to send.
  std::vector<SwimSend> TakeSends() { return std::exchange(m_sends, {}); }
  /// Returns and clears whether the members have changed since the last call.
  bool TakeChanged() { return m_table.TakeChanged(); }
  /// Returns and clears the leaving endpoints recorded since the last call.
  std::vector<base::EndpointId> TakeLeaving() { return m_table.TakeNewLeaving(); }
  /// Returns all records, including that of this node.
  std::vector<MemberRecord> Records() const { return m_table.Records(); }
  /// Returns all members, including this node.
  std::vector<tasks::Member> Members() const;
  /// Returns all known leaving endpoints.
  std::vector<base::EndpointId> Leaving() const { return m_table.Leaving(); }
  /// Returns a digest of Records and Leaving without the generations.
  uint64_t Digest() const { return m_table.Digest(); }
  /// Returns a random live member other than this node, or nullopt if there is none.
  std::optional<tasks::Member> RandomPeer();

private:
  struct Probe {
    base::NodeId m_target;
    uint64_t m_sequence = 0;
    base::TimePoint m_indirectAt{};
    base::TimePoint m_failsAt{};
    bool m_indirect = false;
  };
  /// A probe on behalf of another member.
  struct ProxyProbe {
    base::Address m_requester;
    uint64_t m_requesterSequence = 0;
    base::TimePoint m_expiry{};
  };

  void DetectPause(base::TimePoint aNow);
  void PingSeeds();
  void StartProbe(base::TimePoint aNow);
  void CheckProbe(base::TimePoint aNow);
  void HandlePing(const SwimMessage& aMessage, const base::Address& aFrom);
  void HandleAck(uint64_t aSequence);
  void SendUrgent();
  std::optional<base::NodeId> NextTarget();
  std::vector<base::NodeId> RandomLiveMembers(size_t aCount, const base::NodeId& aExcluded);
  SwimMessage Compose(MessageKind aKind, uint64_t aSequence);
  void Send(const base::Address& aTo, SwimMessage aMessage);
  void SendTo(const base::NodeId& aNode, SwimMessage aMessage);

  SwimSettings m_settings;
  MemberTable m_table;
  std::vector<base::Address> m_seeds;
  std::mt19937_64 m_random;
  /// Members still to be probed in this round, last one first.
  std::vector<base::NodeId> m_probeOrder;
  std::optional<Probe> m_probe;
  std::map<uint64_t, ProxyProbe> m_proxyProbes;
  uint64_t m_lastSequence = 0;
  uint64_t m_probes = 0;
  base::TimePoint m_nextProbe{};
  base::TimePoint m_lastTick{};
  std::vector<SwimSend> m_sends;
};

} // namespace papayafield::membership
