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
int Rank(MemberState aState) {
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
  return Rank(aLeft.m_member.m_state) > Rank(aRight.m_member.m_state);
}

MemberTable::MemberTable(const SwimSettings& aSettings, tasks::Member aSelf)
  : m_settings(aSettings)
  , m_self{ std::move(aSelf), 1 } {}

bool MemberTable::Take(const MemberRecord& aRecord, base::TimePoint aNow) {
  if (aRecord.m_member.m_node == m_self.m_member.m_node) {
    TakeOfSelf(aRecord);
    return false;
  }
  const auto [place, fresh] = m_members.try_emplace(aRecord.m_member.m_node);
  Entry& entry = place->second;
  tasks::Member& known = entry.m_record.m_member;
  const bool sameLife = aRecord.m_member.m_incarnation == known.m_incarnation;
  // Within one incarnation the generation never decreases, even if the record is older.
  const uint64_t generation = sameLife ? std::max(known.m_generation, aRecord.m_member.m_generation)
                                       : aRecord.m_member.m_generation;
  if (!fresh && !IsNewer(aRecord, entry.m_record)) {
    if (sameLife && generation > known.m_generation) {
      known.m_generation = generation;
      m_changed = true;
    }
    return false;
  }
  const MemberState before = known.m_state;
  entry.m_record = aRecord;
  known.m_generation = generation;
  entry.m_carry = CarryTimes();
  SetDue(entry, aNow);
  m_changed = true;
  // A drain must reach all members at once; a suspicion can wait for the next probes.
  if (known.m_state == MemberState::Draining && (fresh || before != known.m_state)) {
    m_urgent = true;
  }
  return true;
}

void MemberTable::SetDue(Entry& aEntry, base::TimePoint aNow) const {
  const MemberState state = aEntry.m_record.m_member.m_state;
  if (state == MemberState::Suspect) {
    const auto living = static_cast<double>(Names(false).size() + 1);
    const double periods = m_settings.m_suspicionFactor * std::max(1.0, std::log10(living));
    aEntry.m_due = aNow + std::chrono::duration_cast<base::TimePoint::duration>(
                            m_settings.m_probePeriod * periods);
  } else if (state == MemberState::Dead) {
    aEntry.m_due = aNow + m_settings.m_forgetDeadAfter;
  }
}

void MemberTable::TakeOfSelf(const MemberRecord& aRecord) {
  if (aRecord.m_member.m_incarnation != m_self.m_member.m_incarnation) {
    return;
  }
  const MemberState said = aRecord.m_member.m_state;
  const bool wrong = said == MemberState::Suspect || said == MemberState::Dead;
  if (wrong && aRecord.m_number >= m_self.m_number) {
    m_self.m_number = aRecord.m_number;
    Refute();
  }
}

void MemberTable::Refute() {
  ++m_self.m_number;
  m_urgent = true;
}

bool MemberTable::TakeLeaving(const base::EndpointId& aEndpoint) {
  if (m_leaving.size() >= kMaxLeaving || !m_leaving.try_emplace(aEndpoint, CarryTimes()).second) {
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
  Take(record, aNow);
}

void MemberTable::CheckDeadlines(base::TimePoint aNow) {
  std::vector<MemberRecord> dead;
  std::erase_if(m_members, [&](const auto& aMember) {
    return IsDead(aMember.second.m_record) && aNow >= aMember.second.m_due;
  });
  for (const auto& [node, entry] : m_members) {
    if (entry.m_record.m_member.m_state == MemberState::Suspect && aNow >= entry.m_due) {
      dead.push_back(entry.m_record);
      dead.back().m_member.m_state = MemberState::Dead;
    }
  }
  for (const MemberRecord& record : dead) {
    Take(record, aNow);
  }
}

void MemberTable::ExtendSuspicions(base::TimePoint::duration aSpan) {
  for (auto& [node, entry] : m_members) {
    if (entry.m_record.m_member.m_state == MemberState::Suspect) {
      entry.m_due += aSpan;
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

void MemberTable::FillNews(SwimMessage& aMessage) {
  aMessage.m_sender = m_self;
  std::vector<Entry*> carried;
  for (auto& [node, entry] : m_members) {
    if (entry.m_carry > 0) {
      carried.push_back(&entry);
    }
  }
  const size_t count = std::min(carried.size(), m_settings.m_recordsPerMessage);
  std::partial_sort(
    carried.begin(),
    carried.begin() + static_cast<std::ptrdiff_t>(count),
    carried.end(),
    [](const Entry* aLeft, const Entry* aRight) { return aLeft->m_carry > aRight->m_carry; });
  for (size_t i = 0; i < count; ++i) {
    --carried[i]->m_carry;
    aMessage.m_records.push_back(carried[i]->m_record);
  }
  for (auto& [endpoint, carry] : m_leaving) {
    if (carry > 0 && aMessage.m_leaving.size() < kLeavingPerMessage) {
      --carry;
      aMessage.m_leaving.push_back(endpoint);
    }
  }
}

const MemberRecord* MemberTable::Find(const base::NodeId& aNode) const {
  const auto found = m_members.find(aNode);
  return found == m_members.end() ? nullptr : &found->second.m_record;
}

bool MemberTable::Reaches(const base::Address& aPeers) const {
  return aPeers == m_self.m_member.m_peers ||
         std::any_of(m_members.begin(), m_members.end(), [&](const auto& aMember) {
           const MemberRecord& record = aMember.second.m_record;
           return record.m_member.m_peers == aPeers && !IsDead(record);
         });
}

std::vector<base::NodeId> MemberTable::Names(bool aDead) const {
  std::vector<base::NodeId> names;
  for (const auto& [node, entry] : m_members) {
    if (IsDead(entry.m_record) == aDead) {
      names.push_back(node);
    }
  }
  return names;
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
  for (const auto& [endpoint, carry] : m_leaving) {
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
  for (const auto& [endpoint, carry] : m_leaving) {
    digest += base::Hash64(endpoint.Text());
  }
  return digest;
}

int MemberTable::CarryTimes() const {
  const auto fleet = static_cast<double>(m_members.size() + 2);
  return static_cast<int>(std::ceil(m_settings.m_carryFactor * std::log2(fleet)));
}

} // namespace papayafield::membership
