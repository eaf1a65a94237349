#pragma once

#include "membership/SwimTypes.h"

#include <map>
#include <utility>
#include <vector>

namespace papayafield::membership {

/// What one node knows of the fleet: this node, the other members and the leaving endpoints, with
/// the news that is still to be carried on. Pure; not thread safe.
class MemberTable {
public:
  /// The table of the node `aSelf`, alone so far.
  MemberTable(const SwimSettings& aSettings, tasks::Member aSelf);

  /// Takes over what a record says, if it is newer.
  /// \return whether it was news.
  bool Take(const MemberRecord& aRecord, base::TimePoint aNow);
  /// Notes that an endpoint is leaving.
  /// \return whether it was news.
  bool TakeLeaving(const base::EndpointId& aEndpoint);
  /// The member `aNode` did not answer.
  void Suspect(const base::NodeId& aNode, base::TimePoint aNow);
  /// Declares suspects dead and forgets the long dead, as is due at `aNow`.
  void CheckDeadlines(base::TimePoint aNow);
  /// This process was paused for `aSpan`: suspects have so much longer to speak up.
  void ExtendSuspicions(base::TimePoint::duration aSpan);

  /// This node has a new generation in force.
  void SetGeneration(uint64_t aGeneration);
  /// This node is leaving the fleet.
  void Drain();
  /// News that all should hear now, not with the next probes.
  void MakeUrgent() { m_urgent = true; }

  /// Adds to `aMessage` this node and the news carried least often so far.
  void FillNews(SwimMessage& aMessage);

  /// Whether there is urgent news since the last call.
  bool TakeUrgent() { return std::exchange(m_urgent, false); }
  /// Whether the members have changed since the last call.
  bool TakeChanged() { return std::exchange(m_changed, false); }
  /// Takes the leaving endpoints heard of since the last call.
  std::vector<base::EndpointId> TakeNewLeaving() { return std::exchange(m_newLeaving, {}); }

  /// This node.
  const MemberRecord& Self() const { return m_self; }
  /// Another member, or null.
  const MemberRecord* Find(const base::NodeId& aNode) const;
  /// Whether this node or a living member is reached at `aPeers`.
  bool Reaches(const base::Address& aPeers) const;
  /// Names of the other members that are dead, or that are not.
  std::vector<base::NodeId> Names(bool aDead) const;
  /// All records, this node's first.
  std::vector<MemberRecord> Records() const;
  /// All leaving endpoints.
  std::vector<base::EndpointId> Leaving() const;
  /// A digest of all but the generations; equal tables have equal digests.
  uint64_t Digest() const;

private:
  struct Entry {
    MemberRecord m_record;
    /// When a suspect is declared dead, or a dead member is forgotten.
    base::TimePoint m_due{};
    /// Times that the record is still to be carried.
    int m_carry = 0;
  };

  void TakeOfSelf(const MemberRecord& aRecord);
  void SetDue(Entry& aEntry, base::TimePoint aNow) const;
  void Refute();
  int CarryTimes() const;

  SwimSettings m_settings;
  MemberRecord m_self;
  std::map<base::NodeId, Entry> m_members;
  /// Leaving endpoints, with the times that each is still to be carried.
  std::map<base::EndpointId, int> m_leaving;
  std::vector<base::EndpointId> m_newLeaving;
  bool m_changed = true;
  bool m_urgent = false;
};

} // namespace papayafield::membership
