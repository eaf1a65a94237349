#pragma once

#include "adapters/platform/KeyValueClient.h"
#include "claims/ClaimDesk.h"
#include "settings/NodeSettings.h"
#include "tasks/Messages.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace papayafield::node {

/// Carries out claims: asks through this process's desk, and writes the shards whose home this node
/// is. Belongs to the platform task.
class ClaimKeeper {
public:
  /// Calls `aOnAnswer` once for each Ask.
  ClaimKeeper(adapters::http::EventLoop& aLoop,
              adapters::platform::KeyValueClient& aStore,
              const settings::NodeSettings& aSettings,
              base::IncarnationId aIncarnation,
              std::function<void(tasks::ClaimAnswer)> aOnAnswer);

  /// A call of this node asks for its claim.
  void Ask(const tasks::ClaimAsk& aAsk);
  /// A claimed call has run.
  void Done(const tasks::ClaimDone& aDone);
  /// Sets how long claims made from now on are remembered.
  void SetRetention(base::Millis aRetention);

private:
  struct Shard {
    claims::ShardWriter m_writer;
    bool m_busy = false;
  };

  void Tick();
  void Drive(Shard& aShard);
  void Carry(Shard& aShard, const claims::StoreAction& aAction);
  void Conclude(const claims::ClaimReply& aReply);
  Shard& ShardFor(const std::string& aKey);

  adapters::http::EventLoop& m_loop;
  adapters::platform::KeyValueClient& m_store;
  const settings::NodeSettings& m_settings;
  std::function<void(tasks::ClaimAnswer)> m_onAnswer;
  claims::ClaimDesk m_desk;
  std::vector<std::unique_ptr<Shard>> m_shards;
  /// Asks of this node that wait, by claim number.
  std::unordered_map<uint64_t, base::RequestId> m_waiting;
  adapters::http::WatchPtr m_timer;
};

} // namespace papayafield::node
