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
  , m_claimClient(std::move(aIncarnation)) {
  claims::ShardWriterSettings writerSettings;
  writerSettings.m_batchPeriod = aSettings.m_claims.m_batchPeriod;
  for (uint32_t index = 0; index < aSettings.m_claims.m_shards; ++index) {
    m_shards.push_back(std::make_unique<Shard>(
      Shard{ claims::ShardWriter(kPrefix + std::to_string(index), writerSettings), false }));
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

std::optional<base::Address> ClaimKeeper::RemoteHomeOf(const std::string& aKey) const {
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
  return home->m_peerAddress;
}

void ClaimKeeper::StartClaim(const tasks::ClaimRequest& aRequest) {
  ScheduleTick();
  const claims::ClaimOrder order = m_claimClient.MakeOrder(aRequest.m_key);
  m_pendingRequests[order.m_number] = aRequest.m_request;
  if (const auto home = RemoteHomeOf(aRequest.m_key)) {
    m_nextBatches[*home].push_back(order);
  } else {
    ShardFor(aRequest.m_key).m_writer.QueueOrder(order, base::SteadyClock().Now());
  }
}

void ClaimKeeper::OnCallEnded(const tasks::ClaimedCallEnded& aEnded) {
  m_runningCalls.erase(aEnded.m_key);
  // A claim is marked as done only if the call is known to have run.
  if (!aEnded.m_hasRun) {
    return;
  }
  ScheduleTick();
  if (const auto home = RemoteHomeOf(aEnded.m_key)) {
    m_mailboxes.m_peers.Send(tasks::OutgoingDoneMarks{ *home, { aEnded.m_key } });
  } else {
    ShardFor(aEnded.m_key).m_writer.QueueDoneMark(aEnded.m_key, base::SteadyClock().Now());
  }
}

void ClaimKeeper::OnCallNotRun(const tasks::ClaimedCallNotRun& aNotRun) {
  // The claim stays in the key-value service in the name of this process: only this process may
  // use it, and other nodes ask this one for the result of the call.
  const auto found = m_runningCalls.find(aNotRun.m_key);
  if (found != m_runningCalls.end()) {
    m_claimClient.AbandonClaim({ aNotRun.m_key, m_incarnation, found->second });
    m_runningCalls.erase(found);
  }
}

void ClaimKeeper::OnIncomingClaims(const tasks::IncomingClaims& aClaims) {
  ScheduleTick();
  m_incomingCalls[aClaims.m_call].m_openOrders = aClaims.m_orders.size();
  for (const claims::ClaimOrder& order : aClaims.m_orders) {
    m_incomingOrders[{ order.m_owner, order.m_number }] = aClaims.m_call;
    // The requesting node has already batched the orders of a call.
    ShardFor(order.m_key).m_writer.QueueOrder(order, base::SteadyClock().Now());
  }
}

void ClaimKeeper::OnOutgoingClaimsResponse(const tasks::OutgoingClaimsResponse& aResponse) {
  const auto found = m_batchesInFlight.find(aResponse.m_batch);
  if (found == m_batchesInFlight.end()) {
    return;
  }
  const std::vector<claims::ClaimOrder> orders = std::move(found->second);
  m_batchesInFlight.erase(found);
  if (aResponse.m_answered) {
    for (const claims::ClaimReply& reply : aResponse.m_replies) {
      CompleteClaim(reply);
    }
    return;
  }
  ScheduleTick();
  // The home node may or may not have written the orders. Writing them again is safe, since each
  // carries its owner and number, and tells whether they were granted.
  for (const claims::ClaimOrder& order : orders) {
    ShardFor(order.m_key).m_writer.QueueOrder(order, base::SteadyClock().Now());
  }
}

void ClaimKeeper::ScheduleTick() {
  if (m_timer == nullptr) {
    m_timer = m_loop.After(m_settings.m_claims.m_batchPeriod, [this] { Tick(); });
  }
}

void ClaimKeeper::Tick() {
  m_timer.reset();
  SendBatches();
  bool pending = false;
  for (const auto& shard : m_shards) {
    AdvanceShard(*shard);
    pending = pending || shard->m_writer.HasPendingWrites();
  }
  if (pending) {
    ScheduleTick();
  }
}

void ClaimKeeper::SendBatches() {
  for (auto& [home, orders] : std::exchange(m_nextBatches, {})) {
    const uint64_t batch = ++m_lastBatch;
    m_batchesInFlight[batch] = orders;
    m_mailboxes.m_peers.Send(tasks::OutgoingClaims{ batch, home, std::move(orders) });
  }
}

void ClaimKeeper::HandleReply(const claims::ClaimReply& aReply) {
  if (aReply.m_order.m_owner == m_incarnation) {
    CompleteClaim(aReply);
    return;
  }
  const auto order = m_incomingOrders.find({ aReply.m_order.m_owner, aReply.m_order.m_number });
  if (order == m_incomingOrders.end()) {
    return;
  }
  const uint64_t call = order->second;
  m_incomingOrders.erase(order);
  IncomingCall& incoming = m_incomingCalls[call];
  incoming.m_replies.push_back(aReply);
  if (--incoming.m_openOrders == 0) {
    m_mailboxes.m_peers.Send(tasks::IncomingClaimsResponse{ call, std::move(incoming.m_replies) });
    m_incomingCalls.erase(call);
  }
}

void ClaimKeeper::AdvanceShard(Shard& aShard) {
  if (aShard.m_actionInFlight) {
    return;
  }
  constexpr int64_t kMillisPerSecond = 1000;
  const auto action =
    aShard.m_writer.NextAction(base::SteadyClock().Now(), base::WallMillis() / kMillisPerSecond);
  for (const claims::ClaimReply& reply : aShard.m_writer.TakeReplies()) {
    HandleReply(reply);
  }
  if (action) {
    aShard.m_actionInFlight = true;
    Execute(aShard, *action);
  }
}

void ClaimKeeper::Execute(Shard& aShard, const StoreAction& aAction) {
  const auto onResult = [this, &aShard](const StoreResult& aResult) {
    aShard.m_actionInFlight = false;
    aShard.m_writer.OnResult(aResult);
    AdvanceShard(aShard);
    if (aShard.m_writer.HasPendingWrites()) {
      ScheduleTick();
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
      // A removal is conditional on the key's version, so the version is read first.
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

void ClaimKeeper::CompleteClaim(const claims::ClaimReply& aReply) {
  const claims::ClaimResult conclusion = m_claimClient.Interpret(aReply);
  const auto found = m_pendingRequests.find(aReply.m_order.m_number);
  if (found == m_pendingRequests.end()) {
    return;
  }
  const base::RequestId request = found->second;
  m_pendingRequests.erase(found);
  if (conclusion.m_outcome == claims::ClaimOutcome::Granted) {
    // The stored claim may be an earlier one of this process; the call then runs under its number.
    m_runningCalls[aReply.m_order.m_key] = aReply.m_state == claims::ClaimState::Held
                                             ? aReply.m_holder.m_number
                                             : aReply.m_order.m_number;
  }
  m_mailboxes.m_gateway.Send(
    tasks::ClaimResponse{ request, ToVerdict(conclusion.m_outcome), conclusion.m_holder });
}

} // namespace papayafield::node
