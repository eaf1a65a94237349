#include "membership/Swim.h"

#include "base/Digest.h"

#include <algorithm>
#include <cmath>

namespace papayafield::membership {

namespace {

using tasks::MemberState;

/// Part of a period that a direct probe has before others are asked.
constexpr double kDirectShare = 0.4;
/// A tick that comes so many periods late means that this process was paused.
constexpr int kPausePeriods = 2;
/// Most leaving endpoints in one message.
constexpr size_t kLeavingPerMessage = 16;
/// Most leaving endpoints remembered; they are a few hundred a day at the largest size.
constexpr size_t kMaxLeaving = 20000;

/// Order of states that carry the same number.
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

} // namespace

bool IsNewer(const MemberRecord& aLeft, const MemberRecord& aRight) {
  // A later life of the process first, then its own word, then the graver state.
  if (aLeft.m_member.m_incarnation != aRight.m_member.m_incarnation) {
    return aLeft.m_member.m_incarnation > aRight.m_member.m_incarnation;
  }
  if (aLeft.m_number != aRight.m_number) {
    return aLeft.m_number > aRight.m_number;
  }
  return Rank(aLeft.m_member.m_state) > Rank(aRight.m_member.m_state);
}

Swim::Swim(SwimSettings aSettings, tasks::Member aSelf, uint64_t aSeed)
  : m_settings(aSettings)
  , m_self{ std::move(aSelf), 1 }
  , m_random(aSeed) {}

void Swim::AddSeeds(const std::vector<base::Address>& aSeeds) {
  m_seeds = aSeeds;
}

void Swim::Tick(base::TimePoint aNow) {
  // A process that was paused must doubt itself: acks that it did not read are no sign of death.
  const bool paused =
    m_lastTick != base::TimePoint{} && aNow - m_lastTick > m_settings.m_probePeriod * kPausePeriods;
  if (paused) {
    m_probe.reset();
    m_relays.clear();
    for (auto& [node, entry] : m_members) {
      if (entry.m_record.m_member.m_state == MemberState::Suspect) {
        entry.m_due += aNow - m_lastTick;
      }
    }
  }
  m_lastTick = aNow;
  CheckProbe(aNow);
  CheckDeadlines(aNow);
  if (aNow >= m_nextProbe) {
    m_nextProbe = aNow + m_settings.m_probePeriod;
    StartProbe(aNow);
  }
  if (std::exchange(m_urgent, false)) {
    Spread();
  }
}

void Swim::StartProbe(base::TimePoint aNow) {
  ++m_probes;
  // Greet a registered node that is not known yet.
  for (const base::Address& seed : m_seeds) {
    const bool known = seed == m_self.m_member.m_peers ||
                       std::any_of(m_members.begin(), m_members.end(), [&](const auto& aEntry) {
                         return aEntry.second.m_record.m_member.m_peers == seed &&
                                aEntry.second.m_record.m_member.m_state != MemberState::Dead;
                       });
    if (!known) {
      Send(seed, Compose(MessageKind::Ping, ++m_lastSequence));
    }
  }
  const auto target = NextTarget();
  if (!target) {
    return;
  }
  const Entry& entry = m_members.at(*target);
  Send(entry.m_record.m_member.m_peers, Compose(MessageKind::Ping, ++m_lastSequence));
  if (entry.m_record.m_member.m_state == MemberState::Dead) {
    return;
  }
  const auto direct =
    std::chrono::duration_cast<base::TimePoint::duration>(m_settings.m_probePeriod * kDirectShare);
  m_probe = Probe{ *target, m_lastSequence, aNow + direct, aNow + m_settings.m_probePeriod, false };
}

std::optional<base::NodeId> Swim::NextTarget() {
  // Now and then one that was declared dead, since it may only have been cut off.
  if (m_probes % m_settings.m_deadProbeEvery == 0) {
    std::vector<base::NodeId> dead;
    for (const auto& [node, entry] : m_members) {
      if (entry.m_record.m_member.m_state == MemberState::Dead) {
        dead.push_back(node);
      }
    }
    if (!dead.empty()) {
      return dead[m_random() % dead.size()];
    }
  }
  // Each living member once in a random order, then a new order.
  while (true) {
    if (m_order.empty()) {
      for (const auto& [node, entry] : m_members) {
        if (entry.m_record.m_member.m_state != MemberState::Dead) {
          m_order.push_back(node);
        }
      }
      if (m_order.empty()) {
        return std::nullopt;
      }
      std::shuffle(m_order.begin(), m_order.end(), m_random);
    }
    const base::NodeId node = m_order.back();
    m_order.pop_back();
    const auto found = m_members.find(node);
    if (found != m_members.end() && found->second.m_record.m_member.m_state != MemberState::Dead) {
      return node;
    }
  }
}

void Swim::CheckProbe(base::TimePoint aNow) {
  if (!m_probe) {
    return;
  }
  const auto found = m_members.find(m_probe->m_target);
  if (found == m_members.end()) {
    m_probe.reset();
    return;
  }
  if (!m_probe->m_indirect && aNow >= m_probe->m_indirectAt) {
    m_probe->m_indirect = true;
    for (const base::NodeId& helper :
         RandomLiving(m_settings.m_indirectProbes, m_probe->m_target)) {
      SwimMessage message = Compose(MessageKind::PingRequest, m_probe->m_sequence);
      message.m_target = found->second.m_record.m_member.m_peers;
      Send(m_members.at(helper).m_record.m_member.m_peers, std::move(message));
    }
  }
  if (aNow >= m_probe->m_failsAt) {
    m_probe.reset();
    Suspect(found->second, aNow);
  }
}

void Swim::Suspect(Entry& aEntry, base::TimePoint aNow) {
  const MemberState state = aEntry.m_record.m_member.m_state;
  if (state == MemberState::Suspect || state == MemberState::Dead) {
    return;
  }
  MemberRecord record = aEntry.m_record;
  record.m_member.m_state = MemberState::Suspect;
  Take(record, aNow);
}

void Swim::CheckDeadlines(base::TimePoint aNow) {
  std::vector<MemberRecord> dead;
  for (auto at = m_members.begin(); at != m_members.end();) {
    Entry& entry = at->second;
    const MemberState state = entry.m_record.m_member.m_state;
    if (state == MemberState::Dead && aNow >= entry.m_due) {
      at = m_members.erase(at);
      continue;
    }
    if (state == MemberState::Suspect && aNow >= entry.m_due) {
      dead.push_back(entry.m_record);
      dead.back().m_member.m_state = MemberState::Dead;
    }
    ++at;
  }
  for (const MemberRecord& record : dead) {
    Take(record, aNow);
  }
  std::erase_if(m_relays, [&](const auto& aRelay) { return aNow >= aRelay.second.m_until; });
}

void Swim::OnMessage(const SwimMessage& aMessage,
                     const base::Address& aFrom,
                     base::TimePoint aNow) {
  const base::NodeId sender = aMessage.m_sender.m_member.m_node;
  if (sender == m_self.m_member.m_node) {
    return;
  }
  Take(aMessage.m_sender, aNow);
  bool news = false;
  for (const MemberRecord& record : aMessage.m_records) {
    news = Take(record, aNow) || news;
  }
  for (const base::EndpointId& endpoint : aMessage.m_leaving) {
    news = TakeLeavingNews(endpoint) || news;
  }
  // Urgent news is passed on at once by whoever hears it first.
  if (news && aMessage.m_kind == MessageKind::News) {
    m_urgent = true;
  }
  switch (aMessage.m_kind) {
    case MessageKind::Ping: {
      SwimMessage ack = Compose(MessageKind::Ack, aMessage.m_sequence);
      // One that is taken for dead must hear of it, to speak up.
      const auto found = m_members.find(sender);
      if (found != m_members.end() &&
          found->second.m_record.m_member.m_state != aMessage.m_sender.m_member.m_state) {
        ack.m_records.push_back(found->second.m_record);
      }
      Send(aFrom, std::move(ack));
      return;
    }
    case MessageKind::Ack: {
      if (m_probe && m_probe->m_sequence == aMessage.m_sequence) {
        m_probe.reset();
      }
      const auto relay = m_relays.find(aMessage.m_sequence);
      if (relay != m_relays.end()) {
        Send(relay->second.m_asker, Compose(MessageKind::Ack, relay->second.m_askerSequence));
        m_relays.erase(relay);
      }
      return;
    }
    case MessageKind::PingRequest:
      m_relays[++m_lastSequence] = { aFrom,
                                     aMessage.m_sequence,
                                     aNow + m_settings.m_probePeriod * 2 };
      Send(aMessage.m_target, Compose(MessageKind::Ping, m_lastSequence));
      return;
    case MessageKind::News:
      return;
  }
}

bool Swim::Take(const MemberRecord& aRecord, base::TimePoint aNow) {
  if (aRecord.m_member.m_node == m_self.m_member.m_node) {
    TakeOfSelf(aRecord);
    return false;
  }
  const auto [place, fresh] = m_members.try_emplace(aRecord.m_member.m_node);
  Entry& entry = place->second;
  // The generation only grows, whatever else is said.
  const uint64_t generation =
    std::max(entry.m_record.m_member.m_generation, aRecord.m_member.m_generation);
  if (!fresh && !IsNewer(aRecord, entry.m_record)) {
    const bool sameLife = aRecord.m_member.m_incarnation == entry.m_record.m_member.m_incarnation;
    if (sameLife && generation > entry.m_record.m_member.m_generation) {
      entry.m_record.m_member.m_generation = generation;
      m_changed = true;
    }
    return false;
  }
  const MemberState before = entry.m_record.m_member.m_state;
  const bool sameLife = aRecord.m_member.m_incarnation == entry.m_record.m_member.m_incarnation;
  entry.m_record = aRecord;
  if (sameLife) {
    entry.m_record.m_member.m_generation = generation;
  }
  entry.m_carry = CarryTimes();
  m_changed = true;
  const MemberState state = aRecord.m_member.m_state;
  if (state == MemberState::Suspect) {
    const double periods =
      m_settings.m_suspicionFactor * std::max(1.0, std::log10(static_cast<double>(LivingCount())));
    entry.m_due = aNow + std::chrono::duration_cast<base::TimePoint::duration>(
                           m_settings.m_probePeriod * periods);
  } else if (state == MemberState::Dead) {
    entry.m_due = aNow + m_settings.m_forgetDeadAfter;
  }
  // A node that joins, drains or dies is news for everybody now; a suspicion can wait.
  if (fresh || state != before) {
    m_urgent = m_urgent || state == MemberState::Draining;
  }
  return true;
}

void Swim::TakeOfSelf(const MemberRecord& aRecord) {
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

void Swim::Refute() {
  ++m_self.m_number;
  m_urgent = true;
}

void Swim::SetGeneration(uint64_t aGeneration) {
  if (aGeneration <= m_self.m_member.m_generation) {
    return;
  }
  m_self.m_member.m_generation = aGeneration;
  m_changed = true;
  // The new generation is told at once, so that each node hears of it and fetches it.
  m_urgent = true;
}

void Swim::Drain() {
  m_self.m_member.m_state = MemberState::Draining;
  m_changed = true;
  Refute();
}

void Swim::NoteLeaving(const base::EndpointId& aEndpoint) {
  if (TakeLeavingNews(aEndpoint)) {
    m_urgent = true;
  }
}

bool Swim::TakeLeavingNews(const base::EndpointId& aEndpoint) {
  if (m_leaving.size() >= kMaxLeaving || !m_leaving.try_emplace(aEndpoint, CarryTimes()).second) {
    return false;
  }
  m_newLeaving.push_back(aEndpoint);
  return true;
}

void Swim::Merge(const std::vector<MemberRecord>& aRecords,
                 const std::vector<base::EndpointId>& aLeaving,
                 base::TimePoint aNow) {
  for (const MemberRecord& record : aRecords) {
    Take(record, aNow);
  }
  for (const base::EndpointId& endpoint : aLeaving) {
    TakeLeavingNews(endpoint);
  }
}

void Swim::Spread() {
  for (const base::NodeId& node : RandomLiving(m_settings.m_fanout, {})) {
    Send(m_members.at(node).m_record.m_member.m_peers, Compose(MessageKind::News, 0));
  }
}

SwimMessage Swim::Compose(MessageKind aKind, uint64_t aSequence) {
  SwimMessage message;
  message.m_kind = aKind;
  message.m_sequence = aSequence;
  message.m_sender = m_self;
  // The records carried least often so far go first.
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
    message.m_records.push_back(carried[i]->m_record);
  }
  for (auto& [endpoint, carry] : m_leaving) {
    if (carry > 0 && message.m_leaving.size() < kLeavingPerMessage) {
      --carry;
      message.m_leaving.push_back(endpoint);
    }
  }
  return message;
}

void Swim::Send(const base::Address& aTo, SwimMessage aMessage) {
  m_sends.push_back({ aTo, std::move(aMessage) });
}

std::vector<base::NodeId> Swim::RandomLiving(size_t aCount, const base::NodeId& aExcept) {
  std::vector<base::NodeId> living;
  for (const auto& [node, entry] : m_members) {
    if (entry.m_record.m_member.m_state != MemberState::Dead && node != aExcept) {
      living.push_back(node);
    }
  }
  std::vector<base::NodeId> chosen;
  std::sample(living.begin(), living.end(), std::back_inserter(chosen), aCount, m_random);
  return chosen;
}

uint64_t Swim::Digest() const {
  // A sum, so that the order does not matter.
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

std::optional<tasks::Member> Swim::RandomPeer() {
  const auto chosen = RandomLiving(1, {});
  if (chosen.empty()) {
    return std::nullopt;
  }
  return m_members.at(chosen.front()).m_record.m_member;
}

std::vector<SwimSend> Swim::TakeSends() {
  return std::exchange(m_sends, {});
}

std::vector<MemberRecord> Swim::Records() const {
  std::vector<MemberRecord> records{ m_self };
  for (const auto& [node, entry] : m_members) {
    records.push_back(entry.m_record);
  }
  return records;
}

std::vector<tasks::Member> Swim::Members() const {
  std::vector<tasks::Member> members;
  for (const MemberRecord& record : Records()) {
    members.push_back(record.m_member);
  }
  return members;
}

std::vector<base::EndpointId> Swim::Leaving() const {
  std::vector<base::EndpointId> leaving;
  leaving.reserve(m_leaving.size());
  for (const auto& [endpoint, carry] : m_leaving) {
    leaving.push_back(endpoint);
  }
  return leaving;
}

int Swim::CarryTimes() const {
  const double fleet = static_cast<double>(m_members.size() + 2);
  return static_cast<int>(std::ceil(m_settings.m_carryFactor * std::log2(fleet)));
}

size_t Swim::LivingCount() const {
  return 1 + static_cast<size_t>(
               std::count_if(m_members.begin(), m_members.end(), [](const auto& aEntry) {
                 return aEntry.second.m_record.m_member.m_state != MemberState::Dead;
               }));
}

} // namespace papayafield::membership
