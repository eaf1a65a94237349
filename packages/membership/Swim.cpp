#include "membership/Swim.h"

#include <algorithm>

namespace papayafield::membership {

namespace {

using tasks::MemberState;

/// Fraction of the probe period after which indirect probes start.
constexpr double kDirectProbeFraction = 0.4;
/// Gap between two ticks, in probe periods, above which this process is assumed to have been
/// paused.
constexpr int kPausePeriods = 2;

} // namespace

Swim::Swim(SwimSettings aSettings, tasks::Member aSelf, uint64_t aSeed)
  : m_settings(aSettings)
  , m_table(aSettings, std::move(aSelf))
  , m_random(aSeed) {}

void Swim::Tick(base::TimePoint aNow) {
  DetectPause(aNow);
  CheckProbe(aNow);
  m_table.CheckDeadlines(aNow);
  std::erase_if(m_proxyProbes, [&](const auto& aProbe) { return aNow >= aProbe.second.m_expiry; });
  if (aNow >= m_nextProbe) {
    m_nextProbe = aNow + m_settings.m_probePeriod;
    StartProbe(aNow);
  }
  if (m_table.TakeUrgent()) {
    SendUrgent();
  }
}

void Swim::DetectPause(base::TimePoint aNow) {
  const base::TimePoint last = std::exchange(m_lastTick, aNow);
  if (last == base::TimePoint{} || aNow - last <= m_settings.m_probePeriod * kPausePeriods) {
    return;
  }
  // Acks may have arrived unread during the pause, so a missing one does not mean that the target
  // failed.
  m_probe.reset();
  m_proxyProbes.clear();
  m_table.ExtendSuspicions(aNow - last);
}

void Swim::PingSeeds() {
  for (const base::Address& seed : m_seeds) {
    if (!m_table.HasLiveAddress(seed)) {
      Send(seed, Compose(MessageKind::Ping, ++m_lastSequence));
    }
  }
}

void Swim::StartProbe(base::TimePoint aNow) {
  ++m_probes;
  PingSeeds();
  const auto target = NextTarget();
  if (!target) {
    return;
  }
  SendTo(*target, Compose(MessageKind::Ping, ++m_lastSequence));
  if (m_table.Find(*target)->m_member.m_state == MemberState::Dead) {
    return;
  }
  const auto directTimeout = std::chrono::duration_cast<base::TimePoint::duration>(
    m_settings.m_probePeriod * kDirectProbeFraction);
  m_probe =
    Probe{ *target, m_lastSequence, aNow + directTimeout, aNow + m_settings.m_probePeriod, false };
}

std::optional<base::NodeId> Swim::NextTarget() {
  // Every m_deadProbePeriod probes, probe a dead member, since it may only have been partitioned.
  if (m_probes % m_settings.m_deadProbePeriod == 0) {
    const std::vector<base::NodeId> dead = m_table.Nodes(true);
    if (!dead.empty()) {
      return dead[m_random() % dead.size()];
    }
  }
  // Probe every live member once in random order, then shuffle again.
  while (true) {
    if (m_probeOrder.empty()) {
      m_probeOrder = m_table.Nodes(false);
      if (m_probeOrder.empty()) {
        return std::nullopt;
      }
      std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    const base::NodeId node = m_probeOrder.back();
    m_probeOrder.pop_back();
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
         RandomLiveMembers(m_settings.m_indirectProbes, m_probe->m_target)) {
      SwimMessage message = Compose(MessageKind::PingRequest, m_probe->m_sequence);
      message.m_target = target->m_member.m_peerAddress;
      SendTo(helper, std::move(message));
    }
  }
  if (aNow >= m_probe->m_failsAt) {
    const base::NodeId failed = m_probe->m_target;
    m_probe.reset();
    m_table.Suspect(failed, aNow);
  }
}

void Swim::OnMessage(const SwimMessage& aMessage,
                     const base::Address& aFrom,
                     base::TimePoint aNow) {
  if (aMessage.m_sender.m_member.m_node == m_table.Self().m_member.m_node) {
    return;
  }
  m_table.MergeRecord(aMessage.m_sender, aNow);
  bool updated = false;
  for (const MemberRecord& record : aMessage.m_records) {
    updated = m_table.MergeRecord(record, aNow) || updated;
  }
  for (const base::EndpointId& endpoint : aMessage.m_leaving) {
    updated = m_table.AddLeaving(endpoint) || updated;
  }
  switch (aMessage.m_kind) {
    case MessageKind::Ping:
      HandlePing(aMessage, aFrom);
      return;
    case MessageKind::Ack:
      HandleAck(aMessage.m_sequence);
      return;
    case MessageKind::PingRequest:
      m_proxyProbes[++m_lastSequence] = { aFrom,
                                          aMessage.m_sequence,
                                          aNow + m_settings.m_probePeriod * 2 };
      Send(aMessage.m_target, Compose(MessageKind::Ping, m_lastSequence));
      return;
    case MessageKind::Gossip:
      // A node that receives an update for the first time forwards it at once.
      if (updated) {
        m_table.MakeUrgent();
      }
      return;
  }
}

void Swim::HandlePing(const SwimMessage& aMessage, const base::Address& aFrom) {
  SwimMessage ack = Compose(MessageKind::Ack, aMessage.m_sequence);
  // Tell the sender if its state is recorded differently here, so that it can refute it.
  const MemberRecord* known = m_table.Find(aMessage.m_sender.m_member.m_node);
  if (known != nullptr && known->m_member.m_state != aMessage.m_sender.m_member.m_state) {
    ack.m_records.push_back(*known);
  }
  Send(aFrom, std::move(ack));
}

void Swim::HandleAck(uint64_t aSequence) {
  if (m_probe && m_probe->m_sequence == aSequence) {
    m_probe.reset();
  }
  const auto proxied = m_proxyProbes.find(aSequence);
  if (proxied != m_proxyProbes.end()) {
    Send(proxied->second.m_requester,
         Compose(MessageKind::Ack, proxied->second.m_requesterSequence));
    m_proxyProbes.erase(proxied);
  }
}

void Swim::RecordLeaving(const base::EndpointId& aEndpoint) {
  if (m_table.AddLeaving(aEndpoint)) {
    m_table.MakeUrgent();
  }
}

void Swim::Merge(const std::vector<MemberRecord>& aRecords,
                 const std::vector<base::EndpointId>& aLeaving,
                 base::TimePoint aNow) {
  for (const MemberRecord& record : aRecords) {
    m_table.MergeRecord(record, aNow);
  }
  for (const base::EndpointId& endpoint : aLeaving) {
    m_table.AddLeaving(endpoint);
  }
}

void Swim::SendUrgent() {
  for (const base::NodeId& node : RandomLiveMembers(m_settings.m_fanout, {})) {
    SendTo(node, Compose(MessageKind::Gossip, 0));
  }
}

SwimMessage Swim::Compose(MessageKind aKind, uint64_t aSequence) {
  SwimMessage message;
  message.m_kind = aKind;
  message.m_sequence = aSequence;
  m_table.AddGossip(message);
  return message;
}

void Swim::Send(const base::Address& aTo, SwimMessage aMessage) {
  m_sends.push_back({ aTo, std::move(aMessage) });
}

void Swim::SendTo(const base::NodeId& aNode, SwimMessage aMessage) {
  Send(m_table.Find(aNode)->m_member.m_peerAddress, std::move(aMessage));
}

std::vector<base::NodeId> Swim::RandomLiveMembers(size_t aCount, const base::NodeId& aExcluded) {
  std::vector<base::NodeId> live = m_table.Nodes(false);
  std::erase(live, aExcluded);
  std::vector<base::NodeId> chosen;
  std::sample(live.begin(), live.end(), std::back_inserter(chosen), aCount, m_random);
  return chosen;
}

std::optional<tasks::Member> Swim::RandomPeer() {
  const auto chosen = RandomLiveMembers(1, {});
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
