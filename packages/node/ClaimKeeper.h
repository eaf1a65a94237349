#pragma once

#include "claims/ClaimDesk.h"
#include "node/PlatformPorts.h"
#include "settings/NodeSettings.h"
#include "tasks/Messages.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace papayafield::node {

/// Carries out claims: asks through this process's desk, and writes the shards whose home this node
/// is. Belongs to the platform task.
class ClaimKeeper {
public:
  /// Answers each Ask once, to the gateway.
  ClaimKeeper(adapters::http::EventLoop& aLoop,
              KeyValueAdapter& aStore,
              const settings::NodeSettings& aSettings,
              base::IncarnationId aIncarnation,
              tasks::Mailboxes& aMailboxes);

  /// A call of this node asks for its claim.
  void Ask(const tasks::ClaimAsk& aAsk);
  /// A claimed call has ended.
  void Done(const tasks::ClaimDone& aDone);
  /// A claimed call has ended as not run: a later ask for its key may run it.
  void NotRun(const tasks::ClaimNotRun& aNotRun);
  /// Another node asks this one, as the home of the shards.
  void TakeOrders(const tasks::ClaimsIn& aIn);
  /// A home has answered, or has not.
  void TakeBack(const tasks::ClaimsBack& aBack);
  /// The members, among which the homes are.
  void SetMembers(std::vector<tasks::Member> aMembers) { m_members = std::move(aMembers); }
  /// Sets how long claims made from now on are remembered.
  void SetRetention(base::Millis aRetention);

private:
  struct Shard {
    claims::ShardWriter m_writer;
    bool m_busy = false;
  };

  void Arm();
  void Tick();
  void Drive(Shard& aShard);
  void Carry(Shard& aShard, const claims::StoreAction& aAction);
  void SendBatches();
  void TakeReply(const claims::ClaimReply& aReply);
  void Conclude(const claims::ClaimReply& aReply);
  Shard& ShardFor(const std::string& aKey);
  std::optional<base::Address> HomeOf(const std::string& aKey) const;

  adapters::http::EventLoop& m_loop;
  KeyValueAdapter& m_store;
  const settings::NodeSettings& m_settings;
  base::IncarnationId m_incarnation;
  tasks::Mailboxes& m_mailboxes;
  claims::ClaimDesk m_desk;
  std::vector<std::unique_ptr<Shard>> m_shards;
  /// Asks of this node that wait, by claim number.
  std::unordered_map<uint64_t, base::RequestId> m_waiting;
  std::vector<tasks::Member> m_members;
  /// Numbers under which calls of this node run now, by key.
  std::unordered_map<std::string, uint64_t> m_running;
  /// Orders for other homes that gather, and those that are on their way.
  std::map<base::Address, std::vector<claims::ClaimOrder>> m_gathering;
  std::unordered_map<uint64_t, std::vector<claims::ClaimOrder>> m_sent;
  uint64_t m_lastBatch = 0;
  /// Calls of other nodes: orders still open, and the replies so far.
  struct InCall {
    size_t m_open = 0;
    std::vector<claims::ClaimReply> m_replies;
  };
  std::unordered_map<uint64_t, InCall> m_inCalls;
  /// Which call an order of another process belongs to.
  std::map<std::pair<base::IncarnationId, uint64_t>, uint64_t> m_inOrders;
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::node
