#include "membership/MemberTable.h"

#include "base/Digest.h"

#include <algorithm>
#include <cmath>

namespace papayafield::membership {

namespace {

using tasks::MemberState;

/// Maximum number of leaving endpoints in one message.
constexpr size_t kLeavingPerMessage = 16;
/// Maximum number of leaving endpoints remembered. The largest fleet has a few hundred a day.
constexpr size_t kMaxLeaving = 20000;

/// Precedence of states that carry the same number; the greater one overrides.
int Precedence(MemberState aState) {
  switch (aState) {
    case MemberState::Alive:
      return 0;
    case MemberState::Draining:
      return 1;
    case MemberState::Suspect:
      return 2;
    case MemberState::Dead:
      break;
  }
  return 3;
}

bool IsDead(const MemberRecord& aRecord) {
  return aRecord.m_member.m_state == MemberState::Dead;
}

} // namespace

bool IsNewer(const MemberRecord& aLeft, const MemberRecord& aRight) {
  // Precedence: later incarnation, then greater refutation number, then more severe state.
  if (aLeft.m_member.m_incarnation != aRight.m_member.m_incarnation) {
    return aLeft.m_member.m_incarnation > aRight.m_member.m_incarnation;
  }
  if (aLeft.m_number != aRight.m_number) {
    return aLeft.m_number > aRight.m_number;
  }
  return Precedence(aLeft.m_member.m_state) > Precedence(aRight.m_member.m_state);
}

MemberTable::MemberTable(const SwimSettings& aSettings, tasks::Member aSelf)
  : m_settings(aSettings)
  , m_self{ std::move(aSelf), 1 } {}

bool MemberTable::MergeRecord(const MemberRecord& aRecord, base::TimePoint aNow) {
  if (aRecord.m_member.m_node == m_self.m_member.m_node) {
    MergeOwnRecord(aRecord);
    return false;
  }
  const auto [place, inserted] = m_members.try_emplace(aRecord.m_member.m_node);
  Entry& entry = place->second;
  tasks::Member& known = entry.m_record.m_member;
  const bool sameIncarnation = aRecord.m_member.m_incarnation == known.m_incarnation;
  // Within one incarnation the generation never decreases, even if the record is older.
  const uint64_t generation = sameIncarnation
                                ? std::max(known.m_generation, aRecord.m_member.m_generation)
                                : aRecord.m_member.m_generation;
  if (!inserted && !IsNewer(aRecord, entry.m_record)) {
    if (sameIncarnation && generation > known.m_generation) {
      known.m_generation = generation;
      m_changed = true;
    }
    return false;
  }
  const MemberState before = known.m_state;
  entry.m_record = aRecord;
  known.m_generation = generation;
  entry.m_remainingSends = GossipCount();
  SetDeadline(entry, aNow);
  m_changed = true;
  // A drain must reach all members at once; a suspicion can wait for the next probes.
  if (known.m_state == MemberState::Draining && (inserted || before != known.m_state)) {
    m_urgent = true;
  }
  return true;
}

void MemberTable::SetDeadline(Entry& aEntry, base::TimePoint aNow) const {
  const MemberState state = aEntry.m_record.m_member.m_state;
  if (state == MemberState::Suspect) {
    const auto liveCount = static_cast<double>(Nodes(false).size() + 1);
    const double periods = m_settings.m_suspicionFactor * std::max(1.0, std::log10(liveCount));
    aEntry.m_deadline = aNow + std::chrono::duration_cast<base::TimePoint::duration>(
                                 m_settings.m_probePeriod * periods);
  } else if (state == MemberState::Dead) {
    aEntry.m_deadline = aNow + m_settings.m_deadRetention;
  }
}

void MemberTable::MergeOwnRecord(const MemberRecord& aRecord) {
  if (aRecord.m_member.m_incarnation != m_self.m_member.m_incarnation) {
    return;
  }
  const MemberState reported = aRecord.m_member.m_state;
  const bool refutable = reported == MemberState::Suspect || reported == MemberState::Dead;
  if (refutable && aRecord.m_number >= m_self.m_number) {
    m_self.m_number = aRecord.m_number;
    Refute();
  }
}

void MemberTable::Refute() {
  ++m_self.m_number;
  m_urgent = true;
}

bool MemberTable::AddLeaving(const base::EndpointId& aEndpoint) {
  if (m_leaving.size() >= kMaxLeaving || !m_leaving.try_emplace(aEndpoint, GossipCount()).second) {
    return false;
  }
  m_newLeaving.push_back(aEndpoint);
  return true;
}

void MemberTable::Suspect(const base::NodeId& aNode, base::TimePoint aNow) {
  const MemberRecord* known = Find(aNode);
  if (known == nullptr || known->m_member.m_state == MemberState::Suspect || IsDead(*known)) {
    return;
  }
  MemberRecord record = *known;
  record.m_member.m_state = MemberState::Suspect;
  MergeRecord(record, aNow);
}

void MemberTable::CheckDeadlines(base::TimePoint aNow) {
  std::vector<MemberRecord> dead;
  std::erase_if(m_members, [&](const auto& aMember) {
    return IsDead(aMember.second.m_record) && aNow >= aMember.second.m_deadline;
  });
  for (const auto& [node, entry] : m_members) {
    if (entry.m_record.m_member.m_state == MemberState::Suspect && aNow >= entry.m_deadline) {
      dead.push_back(entry.m_record);
      dead.back().m_member.m_state = MemberState::Dead;
    }
  }
  for (const MemberRecord& record : dead) {
    MergeRecord(record, aNow);
  }
}

void MemberTable::ExtendSuspicions(base::TimePoint::duration aSpan) {
  for (auto& [node, entry] : m_members) {
    if (entry.m_record.m_member.m_state == MemberState::Suspect) {
      entry.m_deadline += aSpan;
    }
  }
}

void MemberTable::SetGeneration(uint64_t aGeneration) {
  if (aGeneration <= m_self.m_member.m_generation) {
    return;
  }
  m_self.m_member.m_generation = aGeneration;
  m_changed = true;
  // Sent at once, so that every node learns of the generation and fetches it.
  m_urgent = true;
}

void MemberTable::Drain() {
  m_self.m_member.m_state = MemberState::Draining;
  m_changed = true;
  Refute();
}

void MemberTable::AddGossip(SwimMessage& aMessage) {
  aMessage.m_sender = m_self;
  std::vector<Entry*> pending;
  for (auto& [node, entry] : m_members) {
    if (entry.m_remainingSends > 0) {
      pending.push_back(&entry);
    }
  }
  const size_t count = std::min(pending.size(), m_settings.m_recordsPerMessage);
  std::partial_sort(pending.begin(),
                    pending.begin() + static_cast<std::ptrdiff_t>(count),
                    pending.end(),
                    [](const Entry* aLeft, const Entry* aRight) {
                      return aLeft->m_remainingSends > aRight->m_remainingSends;
                    });
  for (size_t i = 0; i < count; ++i) {
    --pending[i]->m_remainingSends;
    aMessage.m_records.push_back(pending[i]->m_record);
  }
  for (auto& [endpoint, remaining] : m_leaving) {
    if (remaining > 0 && aMessage.m_leaving.size() < kLeavingPerMessage) {
      --remaining;
      aMessage.m_leaving.push_back(endpoint);
    }
  }
}

const MemberRecord* MemberTable::Find(const base::NodeId& aNode) const {
  const auto found = m_members.find(aNode);
  return found == m_members.end() ? nullptr : &found->second.m_record;
}

bool MemberTable::HasLiveAddress(const base::Address& aPeers) const {
  return aPeers == m_self.m_member.m_peerAddress ||
         std::any_of(m_members.begin(), m_members.end(), [&](const auto& aMember) {
           const MemberRecord& record = aMember.second.m_record;
           return record.m_member.m_peerAddress == aPeers && !IsDead(record);
         });
}

std::vector<base::NodeId> MemberTable::Nodes(bool aDead) const {
  std::vector<base::NodeId> nodes;
  for (const auto& [node, entry] : m_members) {
    if (IsDead(entry.m_record) == aDead) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::vector<MemberRecord> MemberTable::Records() const {
  std::vector<MemberRecord> records{ m_self };
  for (const auto& [node, entry] : m_members) {
    records.push_back(entry.m_record);
  }
  return records;
}

std::vector<base::EndpointId> MemberTable::Leaving() const {
  std::vector<base::EndpointId> leaving;
  leaving.reserve(m_leaving.size());
  for (const auto& [endpoint, remaining] : m_leaving) {
    leaving.push_back(endpoint);
  }
  return leaving;
}

uint64_t MemberTable::Digest() const {
  // The sum makes the digest independent of the order.
  uint64_t digest = 0;
  for (const MemberRecord& record : Records()) {
    const tasks::Member& member = record.m_member;
    digest += base::Hash64(member.m_node.Text() + "|" + member.m_incarnation.Text() + "|" +
                             std::string(base::NameOf(member.m_state)),
                           record.m_number);
  }
  for (const auto& [endpoint, remaining] : m_leaving) {
    digest += base::Hash64(endpoint.Text());
  }
  return digest;
}

int MemberTable::GossipCount() const {
  const auto fleet = static_cast<double>(m_members.size() + 2);
  return static_cast<int>(std::ceil(m_settings.m_gossipFactor * std::log2(fleet)));
}

} // namespace papayafield::membership
