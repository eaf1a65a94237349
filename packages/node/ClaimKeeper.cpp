#include "node/ClaimKeeper.h"

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

tasks::ClaimVerdict ToVerdict(claims::ClaimEnd aEnd) {
  switch (aEnd) {
    case claims::ClaimEnd::Granted:
      return tasks::ClaimVerdict::Granted;
    case claims::ClaimEnd::HeldHere:
      return tasks::ClaimVerdict::HeldHere;
    case claims::ClaimEnd::HeldElsewhere:
      return tasks::ClaimVerdict::HeldElsewhere;
    case claims::ClaimEnd::Done:
      return tasks::ClaimVerdict::Done;
    case claims::ClaimEnd::Unavailable:
      break;
  }
  return tasks::ClaimVerdict::Unavailable;
}

} // namespace

ClaimKeeper::ClaimKeeper(adapters::http::EventLoop& aLoop,
                         adapters::platform::KeyValueClient& aStore,
                         const settings::NodeSettings& aSettings,
                         base::IncarnationId aIncarnation,
                         std::function<void(tasks::ClaimAnswer)> aOnAnswer)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_settings(aSettings)
  , m_onAnswer(std::move(aOnAnswer))
  , m_desk(std::move(aIncarnation)) {
  claims::ShardWriterSettings writer;
  writer.m_batchPeriod = aSettings.m_claims.m_batchPeriod;
  for (uint32_t index = 0; index < aSettings.m_claims.m_shards; ++index) {
    m_shards.push_back(std::make_unique<Shard>(
      Shard{ claims::ShardWriter(kPrefix + std::to_string(index), writer), false }));
  }
  const base::Millis period = std::max(base::Millis(1), aSettings.m_claims.m_batchPeriod / 2);
  m_timer = m_loop.Every(period, [this] { Tick(); });
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

void ClaimKeeper::Ask(const tasks::ClaimAsk& aAsk) {
  const claims::ClaimOrder order = m_desk.MakeOrder(aAsk.m_key);
  m_waiting[order.m_number] = aAsk.m_request;
  ShardFor(aAsk.m_key).m_writer.Ask(order, base::SteadyClock().Now());
}

void ClaimKeeper::Done(const tasks::ClaimDone& aDone) {
  ShardFor(aDone.m_key).m_writer.NoteDone(aDone.m_key, base::SteadyClock().Now());
}

void ClaimKeeper::Tick() {
  for (const auto& shard : m_shards) {
    Drive(*shard);
  }
}

void ClaimKeeper::Drive(Shard& aShard) {
  if (aShard.m_busy) {
    return;
  }
  constexpr int64_t kMillisPerSecond = 1000;
  const auto action =
    aShard.m_writer.Next(base::SteadyClock().Now(), base::WallMillis() / kMillisPerSecond);
  for (const claims::ClaimReply& reply : aShard.m_writer.TakeReplies()) {
    Conclude(reply);
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
      m_store.Swap(aAction.m_name, aAction.m_value, aAction.m_expected, "", onSwap);
      return;
    case StoreAction::Kind::Remove:
      // The version is needed to remove a key.
      m_store.Read(aAction.m_name, [this, onSwap, name = aAction.m_name](const auto& aResult) {
        if (aResult && aResult->m_version != 0) {
          m_store.Remove(name, aResult->m_version, onSwap);
        } else {
          onSwap(adapters::platform::KeyValueClient::SwapResult(0));
        }
      });
      return;
  }
}

void ClaimKeeper::Conclude(const claims::ClaimReply& aReply) {
  const claims::ClaimConclusion conclusion = m_desk.Conclude(aReply);
  const auto found = m_waiting.find(aReply.m_order.m_number);
  if (found == m_waiting.end()) {
    return;
  }
  const base::RequestId request = found->second;
  m_waiting.erase(found);
  m_onAnswer({ request, ToVerdict(conclusion.m_end), conclusion.m_holder });
}

} // namespace papayafield::node
