#pragma once

#include "membership/SwimTypes.h"

#include <map>
#include <utility>
#include <vector>

namespace papayafield::membership {

/// A node's view of the fleet: this node, the other members and the leaving endpoints, with the
/// updates that are still to be gossiped. Does no I/O. Not thread safe.
class MemberTable {
public:
  /// Creates a table that contains only the node `aSelf`.
  MemberTable(const SwimSettings& aSettings, tasks::Member aSelf);

  /// Merges a record if it is newer than the known one.
  /// \return Whether the state of the member was updated.
  bool MergeRecord(const MemberRecord& aRecord, base::TimePoint aNow);
  /// Records that an endpoint is leaving.
  /// \return Whether this was not known before.
  bool AddLeaving(const base::EndpointId& aEndpoint);
  /// Marks the member `aNode` as suspect because it did not answer a probe.
  void Suspect(const base::NodeId& aNode, base::TimePoint aNow);
  /// Declares suspects dead and removes dead members whose deadlines have passed at `aNow`.
  void CheckDeadlines(base::TimePoint aNow);
  /// Extends the deadlines of all suspects by `aSpan`, the time for which this process was paused.
  void ExtendSuspicions(base::TimePoint::duration aSpan);

  /// Sets the generation that this node has applied.
  void SetGeneration(uint64_t aGeneration);
  /// Marks this node as draining, because it is leaving the fleet.
  void Drain();
  /// Requests that pending updates are sent at once and not with the next probes.
  void MakeUrgent() { m_urgent = true; }

  /// Adds to `aMessage` the record of this node and the updates that have been sent least often.
  void AddGossip(SwimMessage& aMessage);

  /// Returns and clears whether updates have become urgent since the last call.
  bool TakeUrgent() { return std::exchange(m_urgent, false); }
  /// Returns and clears whether the members have changed since the last call.
  bool TakeChanged() { return std::exchange(m_changed, false); }
  /// Returns and clears the leaving endpoints recorded since the last call.
  std::vector<base::EndpointId> TakeNewLeaving() { return std::exchange(m_newLeaving, {}); }

  /// Returns the record of this node.
  const MemberRecord& Self() const { return m_self; }
  /// Returns the record of another member, or null if it is unknown.
  const MemberRecord* Find(const base::NodeId& aNode) const;
  /// Returns whether this node or a live member has the address `aPeers`.
  bool HasLiveAddress(const base::Address& aPeers) const;
  /// Returns the identifiers of the other members that are dead (`aDead`) or live.
  std::vector<base::NodeId> Nodes(bool aDead) const;
  /// Returns all records, starting with that of this node.
  std::vector<MemberRecord> Records() const;
  /// Returns all leaving endpoints.
  std::vector<base::EndpointId> Leaving() const;
  /// Returns a digest of the table without the generations. Equal tables have equal digests.
  uint64_t Digest() const;

private:
  struct Entry {
    MemberRecord m_record;
    /// Time at which a suspect is declared dead, or a dead member is removed.
    base::TimePoint m_deadline{};
    /// Remaining number of messages that carry the record.
    int m_remainingSends = 0;
  };

  void MergeOwnRecord(const MemberRecord& aRecord);
  void SetDeadline(Entry& aEntry, base::TimePoint aNow) const;
  void Refute();
  int GossipCount() const;

  SwimSettings m_settings;
  MemberRecord m_self;
  std::map<base::NodeId, Entry> m_members;
  /// Leaving endpoints, with the remaining number of messages that carry each.
  std::map<base::EndpointId, int> m_leaving;
  std::vector<base::EndpointId> m_newLeaving;
  bool m_changed = true;
  bool m_urgent = false;
};

} // namespace papayafield::membership
