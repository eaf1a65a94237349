#include "membership/Swim.h"

#include <algorithm>

namespace papayafield::membership {

namespace {

using tasks::MemberState;

/// Fraction of the probe period after which indirect probes start.
constexpr double kDirectShare = 0.4;
/// Gap between two ticks, in probe periods, above which this process is assumed to have been
/// paused.
constexpr int kPausePeriods = 2;

} // namespace

Swim::Swim(SwimSettings aSettings, tasks::Member aSelf, uint64_t aSeed)
  : m_settings(aSettings)
  , m_table(aSettings, std::move(aSelf))
  , m_random(aSeed) {}

void Swim::Tick(base::TimePoint aNow) {
  NoticePause(aNow);
  CheckProbe(aNow);
  m_table.CheckDeadlines(aNow);
  std::erase_if(m_relays, [&](const auto& aRelay) { return aNow >= aRelay.second.m_until; });
  if (aNow >= m_nextProbe) {
    m_nextProbe = aNow + m_settings.m_probePeriod;
    StartProbe(aNow);
  }
  if (m_table.TakeUrgent()) {
    Spread();
  }
}

void Swim::NoticePause(base::TimePoint aNow) {
  const base::TimePoint last = std::exchange(m_lastTick, aNow);
  if (last == base::TimePoint{} || aNow - last <= m_settings.m_probePeriod * kPausePeriods) {
    return;
  }
  // Acks may have arrived unread during the pause, so a missing one does not mean that the target
  // failed.
  m_probe.reset();
  m_relays.clear();
  m_table.ExtendSuspicions(aNow - last);
}

void Swim::GreetSeeds() {
  for (const base::Address& seed : m_seeds) {
    if (!m_table.Reaches(seed)) {
      Send(seed, Compose(MessageKind::Ping, ++m_lastSequence));
    }
  }
}

void Swim::StartProbe(base::TimePoint aNow) {
  ++m_probes;
  GreetSeeds();
  const auto target = NextTarget();
  if (!target) {
    return;
  }
  SendTo(*target, Compose(MessageKind::Ping, ++m_lastSequence));
  if (m_table.Find(*target)->m_member.m_state == MemberState::Dead) {
    return;
  }
  const auto direct =
    std::chrono::duration_cast<base::TimePoint::duration>(m_settings.m_probePeriod * kDirectShare);
  m_probe = Probe{ *target, m_lastSequence, aNow + direct, aNow + m_settings.m_probePeriod, false };
}

std::optional<base::NodeId> Swim::NextTarget() {
  // Every m_deadProbeEvery probes, probe a dead member, since it may only have been partitioned.
  if (m_probes % m_settings.m_deadProbeEvery == 0) {
    const std::vector<base::NodeId> dead = m_table.Names(true);
    if (!dead.empty()) {
      return dead[m_random() % dead.size()];
    }
  }
  // Probe every live member once in random order, then shuffle again.
  while (true) {
    if (m_order.empty()) {
      m_order = m_table.Names(false);
      if (m_order.empty()) {
        return std::nullopt;
      }
      std::shuffle(m_order.begin(), m_order.end(), m_random);
    }
    const base::NodeId node = m_order.back();
    m_order.pop_back();
    const MemberRecord* known = m_table.Find(node);
    if (known != nullptr && known->m_member.m_state != MemberState::Dead) {
      return node;
    }
  }
}

void Swim::CheckProbe(base::TimePoint aNow) {
  if (!m_probe) {
    return;
  }
  const MemberRecord* target = m_table.Find(m_probe->m_target);
  if (target == nullptr) {
    m_probe.reset();
    return;
  }
  if (!m_probe->m_indirect && aNow >= m_probe->m_indirectAt) {
    m_probe->m_indirect = true;
    for (const base::NodeId& helper :
         RandomLiving(m_settings.m_indirectProbes, m_probe->m_target)) {
      SwimMessage message = Compose(MessageKind::PingRequest, m_probe->m_sequence);
      message.m_target = target->m_member.m_peers;
      SendTo(helper, std::move(message));
    }
  }
  if (aNow >= m_probe->m_failsAt) {
    const base::NodeId silent = m_probe->m_target;
    m_probe.reset();
    m_table.Suspect(silent, aNow);
  }
}

void Swim::OnMessage(const SwimMessage& aMessage,
                     const base::Address& aFrom,
                     base::TimePoint aNow) {
  if (aMessage.m_sender.m_member.m_node == m_table.Self().m_member.m_node) {
    return;
  }
  m_table.Take(aMessage.m_sender, aNow);
  bool news = false;
  for (const MemberRecord& record : aMessage.m_records) {
    news = m_table.Take(record, aNow) || news;
  }
  for (const base::EndpointId& endpoint : aMessage.m_leaving) {
    news = m_table.TakeLeaving(endpoint) || news;
  }
  switch (aMessage.m_kind) {
    case MessageKind::Ping:
      AnswerPing(aMessage, aFrom);
      return;
    case MessageKind::Ack:
      TakeAck(aMessage.m_sequence);
      return;
    case MessageKind::PingRequest:
      m_relays[++m_lastSequence] = { aFrom,
                                     aMessage.m_sequence,
                                     aNow + m_settings.m_probePeriod * 2 };
      Send(aMessage.m_target, Compose(MessageKind::Ping, m_lastSequence));
      return;
    case MessageKind::News:
      // A node that receives an update for the first time forwards it at once.
      if (news) {
        m_table.MakeUrgent();
      }
      return;
  }
}

void Swim::AnswerPing(const SwimMessage& aMessage, const base::Address& aFrom) {
  SwimMessage ack = Compose(MessageKind::Ack, aMessage.m_sequence);
  // Tell the sender if its state is recorded differently here, so that it can refute it.
  const MemberRecord* known = m_table.Find(aMessage.m_sender.m_member.m_node);
  if (known != nullptr && known->m_member.m_state != aMessage.m_sender.m_member.m_state) {
    ack.m_records.push_back(*known);
  }
  Send(aFrom, std::move(ack));
}

void Swim::TakeAck(uint64_t aSequence) {
  if (m_probe && m_probe->m_sequence == aSequence) {
    m_probe.reset();
  }
  const auto relay = m_relays.find(aSequence);
  if (relay != m_relays.end()) {
    Send(relay->second.m_asker, Compose(MessageKind::Ack, relay->second.m_askerSequence));
    m_relays.erase(relay);
  }
}

void Swim::NoteLeaving(const base::EndpointId& aEndpoint) {
  if (m_table.TakeLeaving(aEndpoint)) {
    m_table.MakeUrgent();
  }
}

void Swim::Merge(const std::vector<MemberRecord>& aRecords,
                 const std::vector<base::EndpointId>& aLeaving,
                 base::TimePoint aNow) {
  for (const MemberRecord& record : aRecords) {
    m_table.Take(record, aNow);
  }
  for (const base::EndpointId& endpoint : aLeaving) {
    m_table.TakeLeaving(endpoint);
  }
}

void Swim::Spread() {
  for (const base::NodeId& node : RandomLiving(m_settings.m_fanout, {})) {
    SendTo(node, Compose(MessageKind::News, 0));
  }
}

SwimMessage Swim::Compose(MessageKind aKind, uint64_t aSequence) {
  SwimMessage message;
  message.m_kind = aKind;
  message.m_sequence = aSequence;
  m_table.FillNews(message);
  return message;
}

void Swim::Send(const base::Address& aTo, SwimMessage aMessage) {
  m_sends.push_back({ aTo, std::move(aMessage) });
}

void Swim::SendTo(const base::NodeId& aNode, SwimMessage aMessage) {
  Send(m_table.Find(aNode)->m_member.m_peers, std::move(aMessage));
}

std::vector<base::NodeId> Swim::RandomLiving(size_t aCount, const base::NodeId& aExcept) {
  std::vector<base::NodeId> living = m_table.Names(false);
  std::erase(living, aExcept);
  std::vector<base::NodeId> chosen;
  std::sample(living.begin(), living.end(), std::back_inserter(chosen), aCount, m_random);
  return chosen;
}

std::optional<tasks::Member> Swim::RandomPeer() {
  const auto chosen = RandomLiving(1, {});
  if (chosen.empty()) {
    return std::nullopt;
  }
  return m_table.Find(chosen.front())->m_member;
}

std::vector<tasks::Member> Swim::Members() const {
  std::vector<tasks::Member> members;
  for (const MemberRecord& record : m_table.Records()) {
    members.push_back(record.m_member);
  }
  return members;
}

} // namespace papayafield::membership
