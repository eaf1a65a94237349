#pragma once

#include "claims/ClaimClient.h"
#include "node/PlatformPorts.h"
#include "settings/NodeSettings.h"
#include "tasks/Messages.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace papayafield::node {

/// Claims idempotency keys for the calls of this node and writes the claim shards whose home is
/// this node. Used only on the platform task's thread.
class ClaimKeeper {
public:
  /// Answers each ClaimRequest exactly once with a ClaimResponse to the gateway. All references
  /// must outlive this object.
  ClaimKeeper(adapters::http::EventLoop& aLoop,
              KeyValueAdapter& aStore,
              const settings::NodeSettings& aSettings,
              base::IncarnationId aIncarnation,
              tasks::Mailboxes& aMailboxes);

  /// Starts a claim for a call of this node.
  void StartClaim(const tasks::ClaimRequest& aRequest);
  /// Handles the end of a claimed call; a call that is known to have run is marked as done.
  void OnCallEnded(const tasks::ClaimedCallEnded& aEnded);
  /// Handles a claimed call that ended without having run; a later claim of its key may run it.
  void OnCallNotRun(const tasks::ClaimedCallNotRun& aNotRun);
  /// Accepts claim orders from another node for shards whose home is this node.
  void OnIncomingClaims(const tasks::IncomingClaims& aClaims);
  /// Handles the answer of a home node, or the lack of one.
  void OnOutgoingClaimsResponse(const tasks::OutgoingClaimsResponse& aResponse);
  /// Sets the members among which the home nodes are chosen.
  void SetMembers(std::vector<tasks::Member> aMembers) { m_members = std::move(aMembers); }
  /// Sets how long new claims are retained.
  void SetRetention(base::Millis aRetention);

private:
  struct Shard {
    claims::ShardWriter m_writer;
    bool m_actionInFlight = false;
  };

  void ScheduleTick();
  void Tick();
  void AdvanceShard(Shard& aShard);
  void Execute(Shard& aShard, const claims::StoreAction& aAction);
  void SendBatches();
  void HandleReply(const claims::ClaimReply& aReply);
  void CompleteClaim(const claims::ClaimReply& aReply);
  Shard& ShardFor(const std::string& aKey);
  /// Returns the peer address of the home node of the key's shard, or nullopt if this node is the
  /// home or no member is alive.
  std::optional<base::Address> RemoteHomeOf(const std::string& aKey) const;

  adapters::http::EventLoop& m_loop;
  KeyValueAdapter& m_store;
  const settings::NodeSettings& m_settings;
  base::IncarnationId m_incarnation;
  tasks::Mailboxes& m_mailboxes;
  claims::ClaimClient m_claimClient;
  std::vector<std::unique_ptr<Shard>> m_shards;
  /// Claim requests of this node that wait for an answer, by claim number.
  std::unordered_map<uint64_t, base::RequestId> m_pendingRequests;
  std::vector<tasks::Member> m_members;
  /// Claim numbers of the claimed calls that this node is running, by idempotency key.
  std::unordered_map<std::string, uint64_t> m_runningCalls;
  /// Orders for other home nodes: those collected for the next batch, and the batches in flight.
  std::map<base::Address, std::vector<claims::ClaimOrder>> m_nextBatches;
  std::unordered_map<uint64_t, std::vector<claims::ClaimOrder>> m_batchesInFlight;
  uint64_t m_lastBatch = 0;
  /// A call from another node: its number of unanswered orders and the replies so far.
  struct IncomingCall {
    size_t m_openOrders = 0;
    std::vector<claims::ClaimReply> m_replies;
  };
  std::unordered_map<uint64_t, IncomingCall> m_incomingCalls;
  /// Maps orders of other processes, by owner and number, to the call that they arrived in.
  std::map<std::pair<base::IncarnationId, uint64_t>, uint64_t> m_incomingOrders;
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::node
