#pragma once

#include "duties/LeaderPlatformPort.h"
#include "forwarding/NodeState.h"
#include "gossip/Heartbeat.h"
#include "rollout/ExposureLedger.h"
#include "rollout/RollbackTimer.h"
#include "rollout/RolloutMachine.h"
#include "store/StorePort.h"
#include "sync/StoreReplica.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace papayafield::serving {

/// Keys and encoding of what a roll-out reads and writes in the store.
struct RolloutCodec {
  /// Prefixes of the operator's orders and of the status; the service follows.
  std::string m_orderPrefix;
  std::string m_statusPrefix;
  /// Prefix of the leader's records, after that of the keys that this software writes itself.
  std::string m_recordPrefix;
  std::function<std::optional<rollout::RolloutOrder>(const fleet::ServiceId& aService,
                                                     const store::Item& aItem)>
    m_readOrder;
  std::function<std::string(const rollout::RolloutRecord& aRecord)> m_writeStatus;
  std::function<std::string(const rollout::RolloutRecord& aRecord)> m_writeRecord;
  std::function<std::optional<rollout::RolloutRecord>(const std::string& aData)> m_readRecord;
};

/// Applies orders and records of roll-outs at this node, exchanges counts and grants with the other
/// nodes, and takes the leader's decisions while this node is the leader. Used on the event loop
/// thread only.
template<store::StorePort Store>
class RolloutTask {
public:
  /// Does nothing without `aBounds`. `aIncarnation` names this incarnation of this node.
  RolloutTask(Store& aStore,
              const sync::StoreReplica& aReplica,
              forwarding::NodeState& aState,
              RolloutCodec aCodec,
              const std::string& aOwnPrefix,
              std::optional<rollout::ExposureBounds> aBounds,
              std::string aIncarnation)
    : m_store(aStore)
    , m_replica(aReplica)
    , m_state(aState)
    , m_codec(std::move(aCodec))
    , m_recordPrefix(aOwnPrefix + m_codec.m_recordPrefix)
    , m_bounds(aBounds)
    , m_machine(aBounds.value_or(rollout::ExposureBounds{}))
    , m_incarnation(std::move(aIncarnation)) {}

  bool IsEnabled() const { return m_bounds.has_value(); }
  /// Applies an item of the store if it belongs to a roll-out.
  void OnItem(const std::string& aKey,
              const std::optional<store::Item>& aItem,
              const store::Position& aPosition) {
    if (!IsEnabled()) {
      return;
    }
    if (aKey.starts_with(m_codec.m_orderPrefix)) {
      OnOrder(fleet::ServiceId(aKey.substr(m_codec.m_orderPrefix.size())), aItem, aPosition);
    } else if (aKey.starts_with(m_recordPrefix)) {
      OnRecord(fleet::ServiceId(aKey.substr(m_recordPrefix.size())), aItem);
    }
  }
  /// Keeps the records of the earlier era: the restore may have undone the last writes.
  void OnStoreRestored(base::TimePoint aNow) {
    m_restoredAt = aNow;
    for (auto& [service, rollout] : m_rollouts) {
      if (const auto effective = EffectiveRecord(rollout, aNow)) {
        rollout.m_remembered = effective;
      }
      rollout.m_lead.reset();
    }
  }
  /// Adds the counts and grants of this node to a heartbeat.
  void AddTo(gossip::Heartbeat& aHeartbeat) const {
    if (!IsEnabled()) {
      return;
    }
    aHeartbeat.m_rolloutCounts = m_state.m_versions.Counts();
    for (const auto& [service, rollout] : m_rollouts) {
      if (rollout.m_lead && base::BootNow() < rollout.m_lead->m_grantsEnd) {
        aHeartbeat.m_rolloutGrants[service] = rollout.m_lead->m_grants;
      }
    }
  }
  /// Merges the counts of another node, and applies its grants if it is the leader.
  void OnHeartbeat(const gossip::Heartbeat& aHeartbeat, base::TimePoint aNow) {
    if (!IsEnabled()) {
      return;
    }
    for (const auto& [service, counts] : aHeartbeat.m_rolloutCounts) {
      MergeCounts(service, aHeartbeat.m_from.IncarnationKey(), counts, aNow);
    }
    for (const auto& [service, grants] : aHeartbeat.m_rolloutGrants) {
      m_leaderHost = aHeartbeat.m_from.m_host;
      m_leaderHeardAt = aNow;
      ApplyGrants(service, grants, aNow);
    }
  }
  /// Returns the hosts that must get each heartbeat of this node because of a running roll-out: for
  /// the leader all of `aWorkingSet`, for other nodes the leader.
  std::vector<std::string> HeartbeatHosts(const std::vector<std::string>& aWorkingSet,
                                          base::TimePoint aNow) const {
    const bool isLeading =
      std::any_of(m_rollouts.begin(), m_rollouts.end(), [&](const auto& aEntry) {
        return aEntry.second.m_lead && aNow < aEntry.second.m_lead->m_grantsEnd;
      });
    if (isLeading) {
      return aWorkingSet;
    }
    return m_leaderHeardAt && aNow - *m_leaderHeardAt < kLeaderMemory
             ? std::vector<std::string>{ m_leaderHost }
             : std::vector<std::string>();
  }
  /// Takes the leader's decisions. Called several times a second on each node; `aLeadership` is
  /// nullopt on all but the leader.
  void Tick(const std::optional<duties::Leadership>& aLeadership, base::TimePoint aNow) {
    if (!IsEnabled()) {
      return;
    }
    RemoveMissingOrders(aNow);
    for (const auto& [service, counts] : m_state.m_versions.Counts()) {
      MergeCounts(service, m_incarnation, counts, aNow);
      m_state.m_metrics.Set("rollout_sent_" + service.Text(), static_cast<double>(counts.m_sent));
    }
    if (!aLeadership) {
      for (auto& [service, rollout] : m_rollouts) {
        rollout.m_lead.reset();
      }
      return;
    }
    for (auto& [service, rollout] : m_rollouts) {
      if (!rollout.m_orderMissing) {
        Lead(service, rollout, aLeadership->m_token, aNow);
      }
    }
  }
  /// Returns whether a roll-out of the service is running, so that it must not be scaled.
  bool IsRunning(const fleet::ServiceId& aService) const {
    return IsEnabled() && m_state.m_versions.IsRunning(aService);
  }

private:
  /// Time after a restore of the store in which an order with the same contents is the same order:
  /// the operator writes again within seconds what the restore has undone.
  static constexpr base::Millis kRewriteTime{ 20000 };
  /// Interval at which the rate of requests is measured.
  static constexpr base::Millis kRateInterval{ 1000 };
  /// Minimum interval of reservations; each write reaches all nodes that watch the store.
  static constexpr base::Millis kReservationInterval{ 400 };
  /// Time after a write in which the replica should show it.
  static constexpr base::Millis kMaxReadBack{ 600 };
  /// Time after its last grants for which a node sends the leader each of its heartbeats.
  static constexpr base::Millis kLeaderMemory{ 3000 };
  /// Time for which grants are repeated in heartbeats after the last tick.
  static constexpr base::Millis kGrantRepeat{ 400 };
  /// Maximum number of incarnations whose counts are kept for a service.
  static constexpr size_t kMaxIncarnations = 1024;

  /// State of the leader for the roll-out of one service under one fencing token and order.
  struct LeadState {
    uint64_t m_token = 0;
    store::Position m_order;
    /// Set once the record belongs to the order.
    std::optional<rollout::ExposureLedger> m_ledger;
    rollout::VersionJudge m_judge{ rollout::JudgeSettings{} };
    /// Set with the ledger.
    std::optional<rollout::RollbackTimer> m_rollback;
    rollout::RollbackState m_rollbackState = rollout::RollbackState::Clear;
    /// Whether this leader has written the first record of the order itself.
    bool m_hasBegun = false;
    rollout::RolloutGrants m_grants;
    base::TimePoint m_grantsEnd{};
    base::TimePoint m_rateFrom{};
    uint64_t m_rateRequests = 0;
    double m_requestsPerSecond = 0;
    base::TimePoint m_lastReservation{};
  };
  struct Rollout {
    std::optional<rollout::RolloutOrder> m_order;
    int64_t m_orderSeenMs = 0;
    /// Whether the store lacks the order since its restore.
    bool m_orderMissing = false;
    std::optional<rollout::RolloutRecord> m_record;
    std::optional<rollout::RolloutRecord> m_remembered;
    /// Latest counts by incarnation.
    std::map<std::string, rollout::NodeCounts> m_counts;
    std::optional<LeadState> m_lead;
    bool m_writing = false;
    /// Position of this node's last write, until the replica shows it.
    store::Position m_written;
    base::TimePoint m_writtenAt{};
  };

  void OnOrder(const fleet::ServiceId& aService,
               const std::optional<store::Item>& aItem,
               const store::Position& aPosition) {
    Rollout& rollout = m_rollouts[aService];
    const auto now = base::BootNow();
    if (!aItem && rollout.m_order && IsRecentlyRestored(now) &&
        rollout.m_order->m_position.m_era < aPosition.m_era) {
      // The operator writes again what the restore has undone.
      rollout.m_orderMissing = true;
      return;
    }
    rollout.m_orderMissing = false;
    const auto order = aItem ? m_codec.m_readOrder(aService, *aItem) : std::nullopt;
    if (!rollout.m_order || !order || rollout.m_order->m_position != order->m_position) {
      rollout.m_orderSeenMs = base::WallMillis();
    }
    rollout.m_order = order;
    UpdateGate(aService, rollout, now);
    m_log.Event(!aItem  ? "roll-out order removed"
                : order ? "roll-out ordered"
                        : "invalid roll-out order ignored",
                { { "service", aService.Text() },
                  { "target", order ? order->m_target : "" },
                  { "duration_ms", order ? order->m_duration.count() : 0 },
                  { "era", aPosition.m_era },
                  { "revision", aPosition.m_revision } });
  }

  void OnRecord(const fleet::ServiceId& aService, const std::optional<store::Item>& aItem) {
    Rollout& rollout = m_rollouts[aService];
    const auto before = rollout.m_record;
    rollout.m_record = aItem ? m_codec.m_readRecord(aItem->m_data) : std::nullopt;
    if (aItem && !rollout.m_record) {
      m_log.Event("roll-out record unreadable", { { "service", aService.Text() } });
    }
    UpdateGate(aService, rollout, base::BootNow());
    if (rollout.m_record && (!before || before->m_phase != rollout.m_record->m_phase ||
                             before->m_order != rollout.m_record->m_order)) {
      m_state.m_metrics.Set("rollout_phase_" + aService.Text(),
                            static_cast<double>(rollout.m_record->m_phase));
      m_state.m_metrics.Count("rollout_" + std::string(base::NameOf(rollout.m_record->m_phase)));
      m_log.Event("roll-out in phase",
                  { { "service", aService.Text() },
                    { "target", rollout.m_record->m_target },
                    { "phase", base::NameOf(rollout.m_record->m_phase) },
                    { "order_revision", rollout.m_record->m_order.m_revision } });
    }
  }

  bool IsRecentlyRestored(base::TimePoint aNow) const {
    return m_restoredAt && aNow - *m_restoredAt < kRewriteTime;
  }

  /// Drops orders that the operator has not written again after a restore.
  void RemoveMissingOrders(base::TimePoint aNow) {
    for (auto& [service, rollout] : m_rollouts) {
      if (rollout.m_orderMissing && !IsRecentlyRestored(aNow)) {
        rollout.m_orderMissing = false;
        rollout.m_order.reset();
        UpdateGate(service, rollout, aNow);
        m_log.Event("roll-out order removed",
                    { { "service", service.Text() }, { "why", "not written after restore" } });
      }
    }
  }

  /// Returns the record that holds at this node: after a restore of the store, that of the same
  /// order before it, until the leader has written it again.
  std::optional<rollout::RolloutRecord> EffectiveRecord(const Rollout& aRollout,
                                                        base::TimePoint aNow) const {
    if (!aRollout.m_order || BelongsToOrder(aRollout)) {
      return aRollout.m_record;
    }
    rollout::RolloutInputs inputs;
    inputs.m_order = aRollout.m_order;
    inputs.m_record = aRollout.m_record;
    if (IsRecentlyRestored(aNow)) {
      inputs.m_remembered = aRollout.m_remembered;
    }
    const auto* earlier = rollout::FindEarlierRecord(inputs);
    if (earlier == nullptr) {
      return aRollout.m_orderMissing ? aRollout.m_remembered : aRollout.m_record;
    }
    rollout::RolloutRecord record = *earlier;
    record.m_order = aRollout.m_order->m_position;
    return record;
  }

  void UpdateGate(const fleet::ServiceId& aService, Rollout& aRollout, base::TimePoint aNow) {
    m_state.m_versions.SetOrder(aService, aRollout.m_order);
    m_state.m_versions.SetRecord(aService, EffectiveRecord(aRollout, aNow));
  }

  void MergeCounts(const fleet::ServiceId& aService,
                   const std::string& aIncarnation,
                   const rollout::NodeCounts& aCounts,
                   base::TimePoint aNow) {
    const auto found = m_rollouts.find(aService);
    if (found == m_rollouts.end() || !found->second.m_order ||
        aCounts.m_order != found->second.m_order->m_position) {
      return;
    }
    Rollout& rollout = found->second;
    std::erase_if(rollout.m_counts,
                  [&](const auto& aEntry) { return aEntry.second.m_order != aCounts.m_order; });
    if (rollout.m_counts.size() < kMaxIncarnations || rollout.m_counts.contains(aIncarnation)) {
      rollout::NodeCounts& known = rollout.m_counts[aIncarnation];
      // Datagrams may overtake one another.
      if (aCounts.m_requests >= known.m_requests) {
        known = aCounts;
      }
      if (rollout.m_lead && rollout.m_lead->m_ledger) {
        rollout.m_lead->m_ledger->Report(aIncarnation, aCounts.m_requests, aCounts.m_sent, aNow);
      }
    }
  }

  void ApplyGrants(const fleet::ServiceId& aService,
                   const rollout::RolloutGrants& aGrants,
                   base::TimePoint aNow) {
    const auto own = aGrants.m_calls.find(m_incarnation);
    if (own != aGrants.m_calls.end()) {
      m_state.m_versions.SetGrant(
        aService, { aGrants.m_order, aGrants.m_token, own->second }, aNow);
    }
  }

  bool BelongsToOrder(const Rollout& aRollout) const {
    return aRollout.m_order && aRollout.m_record &&
           aRollout.m_record->m_order == aRollout.m_order->m_position &&
           aRollout.m_record->m_target == aRollout.m_order->m_target;
  }

  void Lead(const fleet::ServiceId& aService,
            Rollout& aRollout,
            uint64_t aToken,
            base::TimePoint aNow) {
    const store::Position order =
      aRollout.m_order ? aRollout.m_order->m_position : store::Position{};
    if (!aRollout.m_lead || aRollout.m_lead->m_token != aToken ||
        aRollout.m_lead->m_order != order) {
      aRollout.m_lead.emplace();
      aRollout.m_lead->m_token = aToken;
      aRollout.m_lead->m_order = order;
    }
    LeadState& lead = *aRollout.m_lead;
    rollout::RolloutInputs inputs;
    inputs.m_order = aRollout.m_order;
    inputs.m_record = aRollout.m_record;
    if (IsRecentlyRestored(aNow)) {
      inputs.m_remembered = aRollout.m_remembered;
    }
    inputs.m_orderSeenMs = aRollout.m_orderSeenMs;
    inputs.m_nowMs = base::WallMillis();
    rollout::Judgement judgement;
    if (BelongsToOrder(aRollout) && rollout::IsRunning(aRollout.m_record->m_phase)) {
      judgement = Observe(aRollout, lead, aNow);
      AddObservations(aService, aRollout, judgement, inputs);
      UpdateRollback(aService, lead, aNow, inputs);
    }
    const rollout::RolloutDecision decision = m_machine.Decide(inputs);
    if (lead.m_ledger) {
      Grant(aService, lead, decision.m_limit, aNow);
    }
    if (decision.m_write) {
      Write(aService, aRollout, inputs, decision, judgement, aNow);
    } else if (aRollout.m_record && BelongsToOrder(aRollout)) {
      RestoreStatus(aService, aRollout, aNow);
    }
  }

  /// Feeds the counts of all nodes to the ledger and the judge.
  rollout::Judgement Observe(Rollout& aRollout, LeadState& aLead, base::TimePoint aNow) {
    if (!aLead.m_ledger) {
      const rollout::RolloutRecord& record = *aRollout.m_record;
      aLead.m_ledger.emplace(
        aLead.m_hasBegun ? 0 : record.m_reserved, record.m_requests, !aLead.m_hasBegun, aNow);
      aLead.m_rollback.emplace(m_bounds->m_rollback, !aLead.m_hasBegun, aNow);
      for (const auto& [incarnation, counts] : aRollout.m_counts) {
        aLead.m_ledger->Report(incarnation, counts.m_requests, counts.m_sent, aNow);
      }
      aLead.m_rateFrom = aNow;
      aLead.m_rateRequests = aLead.m_ledger->Requests();
      const double seconds =
        std::max(static_cast<double>(base::WallMillis() - record.m_startMs) / 1000, 1.0);
      aLead.m_requestsPerSecond = static_cast<double>(aLead.m_rateRequests) / seconds;
    }
    if (aNow - aLead.m_rateFrom >= kRateInterval) {
      const double seconds = std::chrono::duration<double>(aNow - aLead.m_rateFrom).count();
      aLead.m_requestsPerSecond =
        static_cast<double>(aLead.m_ledger->Requests() - aLead.m_rateRequests) / seconds;
      aLead.m_rateFrom = aNow;
      aLead.m_rateRequests = aLead.m_ledger->Requests();
    }
    rollout::CountsByRoute totals;
    for (const auto& [incarnation, counts] : aRollout.m_counts) {
      for (const auto& [route, versions] : counts.m_routes) {
        totals[route] += versions;
      }
    }
    aLead.m_judge.Record(totals, aNow);
    return aLead.m_judge.Judge();
  }

  /// Checks the rollback time, and logs changes of its state.
  void UpdateRollback(const fleet::ServiceId& aService,
                      LeadState& aLead,
                      base::TimePoint aNow,
                      rollout::RolloutInputs& aInputs) {
    const rollout::BadAnswers bad = aLead.m_judge.Bad();
    aInputs.m_rollback = aLead.m_rollback->Update(bad, aNow);
    if (aInputs.m_rollback != aLead.m_rollbackState) {
      aLead.m_rollbackState = aInputs.m_rollback;
      m_log.Event("roll-out rollback time",
                  { { "service", aService.Text() },
                    { "state", base::NameOf(aInputs.m_rollback) },
                    { "bad", bad.m_bad },
                    { "unexcused", bad.m_unexcused } });
    }
  }

  void AddObservations(const fleet::ServiceId& aService,
                       const Rollout& aRollout,
                       const rollout::Judgement& aJudgement,
                       rollout::RolloutInputs& aInputs) const {
    const LeadState& lead = *aRollout.m_lead;
    aInputs.m_verdict = aJudgement.m_verdict;
    aInputs.m_requests = lead.m_ledger->Requests();
    aInputs.m_requestsPerSecond = lead.m_requestsPerSecond;
    aInputs.m_exposed = lead.m_ledger->Exposed();
    double targetSlots = 0;
    size_t targets = 0;
    size_t others = 0;
    for (const fleet::Endpoint& endpoint : m_state.m_directory.Ready()) {
      if (endpoint.m_service == aService) {
        const bool isTarget = endpoint.m_version == aRollout.m_order->m_target;
        ++(isTarget ? targets : others);
        targetSlots += isTarget ? endpoint.m_slots : 0;
      }
    }
    for (const auto& [incarnation, counts] : aRollout.m_counts) {
      aInputs.m_oldOpen += counts.m_oldOpen;
    }
    const auto busy = static_cast<double>(aInputs.m_oldOpen);
    // Without known slots, as many endpoints as those of the old version.
    aInputs.m_hasCapacity =
      targets > 0 && (targetSlots > 0 ? targetSlots >= busy : targets * 10 >= others * 7);
  }

  void Grant(const fleet::ServiceId& aService,
             LeadState& aLead,
             uint64_t aLimit,
             base::TimePoint aNow) {
    aLead.m_grants = { aLead.m_order, aLead.m_token, aLead.m_ledger->Grant(aLimit, aNow) };
    if (aLimit == 0) {
      // The grants in use expire.
      aLead.m_grants.m_calls.clear();
    }
    aLead.m_grantsEnd = aNow + kGrantRepeat;
    ApplyGrants(aService, aLead.m_grants, aNow);
    m_state.m_metrics.Set("rollout_exposed_" + aService.Text(),
                          static_cast<double>(aLead.m_ledger->Exposed()));
  }

  /// Returns whether a write may be sent: none is in flight, and the replica shows the last one.
  bool MayWrite(const Rollout& aRollout, base::TimePoint aNow) const {
    const bool isReadBack =
      m_replica.LastPosition() >= aRollout.m_written || aNow - aRollout.m_writtenAt > kMaxReadBack;
    // The store compares revisions alone, and may have assigned the expected one again.
    return !aRollout.m_writing && isReadBack &&
           m_replica.LastPosition().m_era == m_store.LatestEra();
  }

  void Expect(const std::string& aKey,
              const std::string& aData,
              store::Transaction& aTransaction) const {
    const store::Item* item = m_replica.Find(aKey);
    if (item == nullptr || item->m_data != aData) {
      aTransaction.m_expected[aKey] = item == nullptr ? 0 : item->m_position.m_revision;
      aTransaction.m_writes.push_back({ aKey, aData, 0 });
    }
  }

  void Write(const fleet::ServiceId& aService,
             Rollout& aRollout,
             const rollout::RolloutInputs& aInputs,
             const rollout::RolloutDecision& aDecision,
             const rollout::Judgement& aJudgement,
             base::TimePoint aNow) {
    const bool isReservation = aInputs.m_record &&
                               aInputs.m_record->m_phase == aDecision.m_write->m_phase &&
                               aInputs.m_record->m_order == aDecision.m_write->m_order;
    if (!MayWrite(aRollout, aNow) ||
        (isReservation && aNow - aRollout.m_lead->m_lastReservation < kReservationInterval)) {
      return;
    }
    if (isReservation) {
      aRollout.m_lead->m_lastReservation = aNow;
    } else {
      m_log.Event("roll-out decided",
                  { { "service", aService.Text() },
                    { "target", aDecision.m_write->m_target },
                    { "phase", base::NameOf(aDecision.m_write->m_phase) },
                    { "reason", aDecision.m_reason },
                    { "left_ms", aDecision.m_write->DeadlineMs() - aInputs.m_nowMs },
                    { "requests", aInputs.m_requests },
                    { "exposed", aInputs.m_exposed },
                    { "answers", aJudgement.m_answers },
                    { "bad", aJudgement.m_bad },
                    { "expected", aJudgement.m_expected },
                    { "evidence", aJudgement.m_reason },
                    { "route", aJudgement.m_route },
                    { "capacity", aInputs.m_hasCapacity },
                    { "fence", aRollout.m_lead->m_token } });
    }
    store::Transaction transaction;
    Expect(
      m_recordPrefix + aService.Text(), m_codec.m_writeRecord(*aDecision.m_write), transaction);
    Expect(m_codec.m_statusPrefix + aService.Text(),
           m_codec.m_writeStatus(*aDecision.m_write),
           transaction);
    const bool begins = !aInputs.m_record || !BelongsToOrder(aRollout);
    Commit(aService, aRollout, std::move(transaction), begins, aNow);
  }

  /// Writes the status again if it does not agree with the record, after a restore for instance.
  void RestoreStatus(const fleet::ServiceId& aService, Rollout& aRollout, base::TimePoint aNow) {
    store::Transaction transaction;
    Expect(m_codec.m_statusPrefix + aService.Text(),
           m_codec.m_writeStatus(*aRollout.m_record),
           transaction);
    if (!transaction.m_writes.empty() && MayWrite(aRollout, aNow)) {
      Commit(aService, aRollout, std::move(transaction), false, aNow);
    }
  }

  void Commit(const fleet::ServiceId& aService,
              Rollout& aRollout,
              store::Transaction aTransaction,
              bool aBegins,
              base::TimePoint aNow) {
    aRollout.m_writing = true;
    const auto& lead = *aRollout.m_lead;
    m_store.Commit(aTransaction,
                   [this, aService, aBegins, aNow, token = lead.m_token, order = lead.m_order](
                     store::Result<store::Position> aResult) {
                     Rollout& rollout = m_rollouts[aService];
                     rollout.m_writing = false;
                     if (!aResult) {
                       m_log.Event("roll-out write failed",
                                   { { "service", aService.Text() },
                                     { "fault", base::NameOf(aResult.error()) } });
                       return;
                     }
                     rollout.m_written = *aResult;
                     rollout.m_writtenAt = aNow;
                     if (aBegins && rollout.m_lead && rollout.m_lead->m_token == token &&
                         rollout.m_lead->m_order == order && !rollout.m_lead->m_ledger) {
                       rollout.m_lead->m_hasBegun = true;
                     }
                   });
  }

  Store& m_store;
  const sync::StoreReplica& m_replica;
  forwarding::NodeState& m_state;
  const RolloutCodec m_codec;
  const std::string m_recordPrefix;
  const std::optional<rollout::ExposureBounds> m_bounds;
  const rollout::RolloutMachine m_machine;
  const std::string m_incarnation;
  const base::Log m_log{ "rollout" };
  std::map<fleet::ServiceId, Rollout> m_rollouts;
  std::optional<base::TimePoint> m_restoredAt;
  /// Host of the node whose grants were received last.
  std::string m_leaderHost;
  std::optional<base::TimePoint> m_leaderHeardAt;
};

} // namespace papayafield::serving
