#include "node/ClaimKeeper.h"

#include "base/Digest.h"

namespace papayafield::node {

namespace {

using adapters::platform::KeyValueFault;
using claims::StoreAction;
using claims::StoreOutcome;
using claims::StoreResult;

constexpr char kPrefix[] = "papayafield/claims/";

StoreOutcome ToOutcome(KeyValueFault aFault) {
  switch (aFault) {
    case KeyValueFault::Conflict:
      return StoreOutcome::Conflict;
    case KeyValueFault::Unavailable:
      return StoreOutcome::Unavailable;
    case KeyValueFault::Ambiguous:
      break;
  }
  return StoreOutcome::Ambiguous;
}

tasks::ClaimVerdict ToVerdict(claims::ClaimOutcome aEnd) {
  switch (aEnd) {
    case claims::ClaimOutcome::Granted:
      return tasks::ClaimVerdict::Granted;
    case claims::ClaimOutcome::HeldHere:
      return tasks::ClaimVerdict::HeldHere;
    case claims::ClaimOutcome::HeldElsewhere:
      return tasks::ClaimVerdict::HeldElsewhere;
    case claims::ClaimOutcome::Done:
      return tasks::ClaimVerdict::Done;
    case claims::ClaimOutcome::Unavailable:
      break;
  }
  return tasks::ClaimVerdict::Unavailable;
}

} // namespace

ClaimKeeper::ClaimKeeper(adapters::http::EventLoop& aLoop,
                         KeyValueAdapter& aStore,
                         const settings::NodeSettings& aSettings,
                         base::IncarnationId aIncarnation,
                         tasks::Mailboxes& aMailboxes)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_settings(aSettings)
  , m_incarnation(aIncarnation)
  , m_mailboxes(aMailboxes)
  , m_desk(std::move(aIncarnation)) {
  claims::ShardWriterSettings writer;
  writer.m_batchPeriod = aSettings.m_claims.m_batchPeriod;
  for (uint32_t index = 0; index < aSettings.m_claims.m_shards; ++index) {
    m_shards.push_back(std::make_unique<Shard>(
      Shard{ claims::ShardWriter(kPrefix + std::to_string(index), writer), false }));
  }
}

void ClaimKeeper::SetRetention(base::Millis aRetention) {
  constexpr int64_t kMillisPerSecond = 1000;
  for (const auto& shard : m_shards) {
    shard->m_writer.SetRetention(aRetention.count() / kMillisPerSecond);
  }
}

ClaimKeeper::Shard& ClaimKeeper::ShardFor(const std::string& aKey) {
  return *m_shards[claims::ShardOf(aKey, static_cast<uint32_t>(m_shards.size()))];
}

std::optional<base::Address> ClaimKeeper::HomeOf(const std::string& aKey) const {
  const std::string shard =
    std::to_string(claims::ShardOf(aKey, static_cast<uint32_t>(m_shards.size())));
  const tasks::Member* home = nullptr;
  uint64_t best = 0;
  for (const tasks::Member& member : m_members) {
    const uint64_t weight = base::RendezvousWeight(shard, member.m_node.Text());
    if (member.m_state == tasks::MemberState::Alive && (home == nullptr || weight > best)) {
      home = &member;
      best = weight;
    }
  }
  if (home == nullptr || home->m_incarnation == m_incarnation) {
    return std::nullopt;
  }
  return home->m_peers;
}

void ClaimKeeper::Ask(const tasks::ClaimAsk& aAsk) {
  Arm();
  const claims::ClaimOrder order = m_desk.MakeOrder(aAsk.m_key);
  m_waiting[order.m_number] = aAsk.m_request;
  if (const auto home = HomeOf(aAsk.m_key)) {
    m_gathering[*home].push_back(order);
  } else {
    ShardFor(aAsk.m_key).m_writer.QueueOrder(order, base::SteadyClock().Now());
  }
}

void ClaimKeeper::Done(const tasks::ClaimDone& aDone) {
  m_running.erase(aDone.m_key);
  // Only what is known to have run may be called so later.
  if (!aDone.m_ran) {
    return;
  }
  Arm();
  if (const auto home = HomeOf(aDone.m_key)) {
    m_mailboxes.m_peers.Send(tasks::DoneOut{ *home, { aDone.m_key } });
  } else {
    ShardFor(aDone.m_key).m_writer.QueueDoneMark(aDone.m_key, base::SteadyClock().Now());
  }
}

void ClaimKeeper::NotRun(const tasks::ClaimNotRun& aNotRun) {
  // The claim stands in the service under this process's name, and stays there: only this process
  // may use it, and others ask here.
  const auto found = m_running.find(aNotRun.m_key);
  if (found != m_running.end()) {
    m_desk.AbandonClaim({ aNotRun.m_key, m_incarnation, found->second });
    m_running.erase(found);
  }
}

void ClaimKeeper::TakeOrders(const tasks::ClaimsIn& aIn) {
  Arm();
  m_inCalls[aIn.m_call].m_open = aIn.m_orders.size();
  for (const claims::ClaimOrder& order : aIn.m_orders) {
    m_inOrders[{ order.m_owner, order.m_number }] = aIn.m_call;
    // The orders of a call have gathered already at the node that asks.
    ShardFor(order.m_key).m_writer.QueueOrder(order, base::SteadyClock().Now());
  }
}

void ClaimKeeper::TakeBack(const tasks::ClaimsBack& aBack) {
  const auto found = m_sent.find(aBack.m_batch);
  if (found == m_sent.end()) {
    return;
  }
  const std::vector<claims::ClaimOrder> orders = std::move(found->second);
  m_sent.erase(found);
  if (aBack.m_answered) {
    for (const claims::ClaimReply& reply : aBack.m_replies) {
      Conclude(reply);
    }
    return;
  }
  Arm();
  // The home may or may not have written them: the same orders, written here, settle it.
  for (const claims::ClaimOrder& order : orders) {
    ShardFor(order.m_key).m_writer.QueueOrder(order, base::SteadyClock().Now());
  }
}

void ClaimKeeper::Arm() {
  if (m_timer == nullptr) {
    m_timer = m_loop.After(m_settings.m_claims.m_batchPeriod, [this] { Tick(); });
  }
}

void ClaimKeeper::Tick() {
  m_timer.reset();
  SendBatches();
  bool waiting = false;
  for (const auto& shard : m_shards) {
    Drive(*shard);
    waiting = waiting || shard->m_writer.HasPendingWrites();
  }
  if (waiting) {
    Arm();
  }
}

void ClaimKeeper::SendBatches() {
  for (auto& [home, orders] : std::exchange(m_gathering, {})) {
    const uint64_t batch = ++m_lastBatch;
    m_sent[batch] = orders;
    m_mailboxes.m_peers.Send(tasks::ClaimsOut{ batch, home, std::move(orders) });
  }
}

void ClaimKeeper::TakeReply(const claims::ClaimReply& aReply) {
  if (aReply.m_order.m_owner == m_incarnation) {
    Conclude(aReply);
    return;
  }
  const auto order = m_inOrders.find({ aReply.m_order.m_owner, aReply.m_order.m_number });
  if (order == m_inOrders.end()) {
    return;
  }
  const uint64_t call = order->second;
  m_inOrders.erase(order);
  InCall& in = m_inCalls[call];
  in.m_replies.push_back(aReply);
  if (--in.m_open == 0) {
    m_mailboxes.m_peers.Send(tasks::ClaimsInAnswer{ call, std::move(in.m_replies) });
    m_inCalls.erase(call);
  }
}

void ClaimKeeper::Drive(Shard& aShard) {
  if (aShard.m_busy) {
    return;
  }
  constexpr int64_t kMillisPerSecond = 1000;
  const auto action =
    aShard.m_writer.NextAction(base::SteadyClock().Now(), base::WallMillis() / kMillisPerSecond);
  for (const claims::ClaimReply& reply : aShard.m_writer.TakeReplies()) {
    TakeReply(reply);
  }
  if (action) {
    aShard.m_busy = true;
    Carry(aShard, *action);
  }
}

void ClaimKeeper::Carry(Shard& aShard, const StoreAction& aAction) {
  const auto onResult = [this, &aShard](const StoreResult& aResult) {
    aShard.m_busy = false;
    aShard.m_writer.OnResult(aResult);
    Drive(aShard);
    if (aShard.m_writer.HasPendingWrites()) {
      Arm();
    }
  };
  const auto onSwap = [onResult](const auto& aResult) {
    onResult(aResult ? StoreResult{ StoreOutcome::Done, "", *aResult }
                     : StoreResult{ ToOutcome(aResult.error()), "", 0 });
  };
  switch (aAction.m_kind) {
    case StoreAction::Kind::Read:
      m_store.Read(aAction.m_name, [onResult](const auto& aResult) {
        onResult(aResult ? StoreResult{ StoreOutcome::Done, aResult->m_value, aResult->m_version }
                         : StoreResult{ StoreOutcome::Unavailable, "", 0 });
      });
      return;
    case StoreAction::Kind::Write:
      m_store.CompareAndSwap(aAction.m_name, aAction.m_value, aAction.m_expected, "", onSwap);
      return;
    case StoreAction::Kind::Remove:
      // The version is needed to remove a key.
      m_store.Read(aAction.m_name, [this, onSwap, name = aAction.m_name](const auto& aResult) {
        if (aResult && aResult->m_version != 0) {
          m_store.Remove(name, aResult->m_version, onSwap);
        } else {
          onSwap(KeyValueAdapter::SwapResult(0));
        }
      });
      return;
  }
}

void ClaimKeeper::Conclude(const claims::ClaimReply& aReply) {
  const claims::ClaimResult conclusion = m_desk.Interpret(aReply);
  const auto found = m_waiting.find(aReply.m_order.m_number);
  if (found == m_waiting.end()) {
    return;
  }
  const base::RequestId request = found->second;
  m_waiting.erase(found);
  if (conclusion.m_outcome == claims::ClaimOutcome::Granted) {
    // An earlier claim of this process may be the one that stands.
    m_running[aReply.m_order.m_key] = aReply.m_state == claims::ClaimState::Held
                                        ? aReply.m_holder.m_number
                                        : aReply.m_order.m_number;
  }
  m_mailboxes.m_gateway.Send(
    tasks::ClaimAnswer{ request, ToVerdict(conclusion.m_outcome), conclusion.m_holder });
}

} // namespace papayafield::node
