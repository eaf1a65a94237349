#pragma once

#include "duties/Autoscaler.h"
#include "duties/DemandMeter.h"
#include "duties/LeaderElection.h"
#include "duties/UsageReporter.h"
#include "forwarding/CallExplainer.h"
#include "forwarding/EndpointRelay.h"
#include "forwarding/Gateway.h"
#include "gossip/PeerTable.h"
#include "serving/EntryChoice.h"
#include "serving/GossipExchange.h"
#include "serving/RolloutTask.h"
#include "serving/ServingSettings.h"
#include "serving/StreamRecord.h"
#include "serving/StreamRecordWriter.h"
#include "serving/VersionRecord.h"
#include "sync/ReplicaBarrier.h"
#include "sync/StoreWatcher.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayafield::serving {

/// Decodes what operators and endpoints write to the store.
struct StateCodec {
  /// Returns the configuration, or the reason why it is invalid.
  std::function<tl::expected<fleet::CatalogPtr, std::string>(const std::string& aData)> m_catalog;
  /// Returns the registration; its endpoint is empty if the data is invalid.
  std::function<fleet::Registration(const base::EndpointId& aId, const store::Item& aItem)>
    m_registration;
  /// What roll-outs read and write.
  RolloutCodec m_rollout;
};

/// One node: watches the store, exchanges gossip, serves callers, and runs the leader tasks while
/// it is the leader. Belongs to the event loop's thread.
template<store::StorePort Store, duties::LeaderPlatformPort Duties>
class ServingNode {
public:
  ServingNode(adapters::http::EventLoop& aLoop,
              ServingSettings aSettings,
              KeySettings aKeys,
              StateCodec aCodec,
              forwarding::WireFormat aWire,
              Store& aStore,
              Duties& aDuties)
    : m_loop(aLoop)
    , m_settings(std::move(aSettings))
    , m_keys(std::move(aKeys))
    , m_codec(std::move(aCodec))
    , m_store(aStore)
    , m_self{ m_settings.m_node, base::WallMillis(), m_settings.m_host }
    , m_state(
        aLoop,
        std::move(aWire),
        m_settings.m_zone,
        m_settings.m_retries,
        m_settings.m_quotaTolerance,
        kExpiryGrace,
        m_settings.m_usageWindowMs,
        m_settings.m_buffers,
        m_settings.m_ordersBySlack,
        [this] { m_gossip.AnnounceLeaving(); },
        [this] { return RelayAddresses(); })
    , m_replica(
        [this](const std::string& aKey,
               const std::optional<store::Item>& aItem,
               const store::Position& aPosition) { OnItem(aKey, aItem, aPosition); },
        [this](const store::Position& aLast, uint64_t aEra) { OnStoreRestored(aLast, aEra); })
    , m_storeWatcher(
        aLoop,
        aStore,
        m_replica,
        { ListedPrefixes() },
        [this](bool /*aAnswers*/) { UpdateStoreAvailability(); },
        [this] {
          m_state.m_versionHistory.SetComplete();
          m_reporter.OnLoaded(base::WallMillis());
          Tick();
        },
        [this](const store::Position& aAfter, const std::vector<store::Change>& aChanges) {
          if (IsLargeFleet()) {
            m_gossip.SendUpdate(aAfter, aChanges, m_storeWatcher.ConfirmedAt());
          }
        })
    , m_replicaBarrier(aLoop, aStore, m_replica, VersionRecordKey())
    , m_streamRecordWriter(aStore,
                           m_state.m_streamOrigins,
                           StreamRecordPrefix(),
                           m_self.IncarnationKey())
    , m_peerTable(m_self)
    , m_gossip(
        aLoop,
        m_settings,
        m_self,
        m_peerTable,
        m_replica,
        [this] { return MakeHeartbeat(); },
        [this](const gossip::Heartbeat& aHeartbeat) { OnHeartbeat(aHeartbeat); },
        [this] {
          return gossip::LeavingNotice{ m_state.m_availability.Announcement(base::BootNow()) };
        },
        [this](const gossip::LeavingNotice& aNotice) {
          m_state.m_signals.OnPeerReport(aNotice.m_marks);
        },
        [this](const quarantine::Report& aReport) {
          m_state.m_crashGuard.Merge(aReport, base::BootNow());
        },
        [this](const gossip::OriginNotice& aNotice) {
          m_state.m_streamOrigins.Merge(aNotice.m_origins);
          m_state.m_streamOrigins.OnUnknown(aNotice.m_host, aNotice.m_unknown);
        },
        [this](const gossip::OriginQuery& aQuery) { return MakeOriginReply(aQuery); },
        m_configuration,
        [this](const std::string& aData) { ApplyConfiguration(aData, "peer"); })
    , m_gateway(m_state, m_settings.m_callerAddress, m_settings.m_connections)
    , m_relay(m_state,
              m_settings.m_relayPort == 0
                ? base::Address{}
                : base::Address{ m_settings.m_host, m_settings.m_relayPort },
              m_settings.m_relay)
    , m_leaderElection(aStore, m_replica, MakeElectionSettings())
    , m_reporter(
        aStore,
        aDuties,
        m_replica,
        m_state.m_usage,
        { UsageRecordKey(), kUsageSettleTime, kMaxUsageCountWait, m_settings.m_usageReportDelay },
        [this](int64_t aWallMs) { return AllCountsReceived(aWallMs); },
        [this](duties::FencingToken aToken) { m_leaderElection.OnTokenRejected(aToken); })
    , m_autoscaler(aDuties, m_state.m_scaling)
    , m_rollout(aStore,
                m_replica,
                m_state,
                m_codec.m_rollout,
                m_keys.m_ownPrefix,
                m_settings.m_exposure,
                m_self.IncarnationKey()) {}

  /// Returns whether all ports could be bound.
  bool Bound() const {
    return m_gossip.Bound() && m_gateway.Listening() &&
           (m_settings.m_relayPort == 0 || m_relay.Listening());
  }

  /// Starts watching the store and serving callers. Call once.
  void Start() {
    m_storeWatcher.Start();
    m_state.m_reachMonitor.SetHandler([this](bool aIsIsolated) { OnReachChanged(aIsIsolated); });
    m_state.m_crashGuard.SetUrgentHandler([this] { ScheduleQuarantineReport(); });
    m_state.m_streamOrigins.SetSenders(
      [this](const auto& aOrigins) { SendOrigins(aOrigins); },
      [this](const auto& aStreams) { return m_gossip.SendOriginQuery(aStreams); });
    m_state.m_versionFinder.SetConfirmView([this](base::Millis aMaxWait, auto aOnDone) {
      m_replicaBarrier.Await(aMaxWait, std::move(aOnDone));
    });
    m_tickTimer = m_loop.Every(kTickInterval, [this] { Tick(); });
    m_saveTimer = m_loop.Every(kStreamSaveInterval, [this] { SaveStreams(); });
  }

  /// Announces at once that this node takes no further callers, lets calls in progress finish, and
  /// then calls `aOnDrained`. Later calls have no effect.
  void Drain(std::function<void()> aOnDrained) {
    if (m_stopping) {
      return;
    }
    m_stopping = true;
    m_onDrained = std::move(aOnDrained);
    const auto now = base::BootNow();
    m_drainPlan.emplace(
      forwarding::DrainSettings{ m_settings.m_gracePeriod,
                                 m_settings.m_entryCacheTime * kEntryCacheFactor },
      now);
    m_log.Event("draining", { { "busy", m_gateway.BusyCount() } });
    m_gateway.BeginDrain(*m_drainPlan);
    m_relay.BeginDrain();
    m_drainEndTimer = m_loop.After(
      std::chrono::duration_cast<base::Millis>(m_drainPlan->End() - now), [this] { EndDrain(); });
    m_leaderElection.Resign();
    if (m_lease.m_id != 0 && m_lease.m_era == m_store.LatestEra()) {
      m_store.EndLease(m_lease.m_id);
    }
    m_gossip.SendHeartbeats();
  }

  /// Returns whether callers may be directed to this node.
  bool Ready() const {
    return !m_stopping && m_fleetSizeKnown && m_state.Catalog() != nullptr &&
           !m_state.m_directory.All().empty();
  }

  /// Returns the hosts of at most `aMaxCount` nodes that callers may be directed to, drawn at
  /// random.
  std::vector<std::string> EntryHosts(size_t aMaxCount) {
    return SampleEntryHosts(WorkingSet(base::BootNow()), aMaxCount, m_random);
  }

  const ServingSettings& Settings() const { return m_settings; }
  /// Updates the gauges and returns all metrics in Prometheus' text format.
  std::string MetricsPage() {
    m_state.m_metrics.Set("buffered_bytes", static_cast<double>(m_state.m_buffers.UsedBytes()));
    m_state.m_metrics.Set("buffers_dropped", static_cast<double>(m_state.m_buffers.DropCount()));
    m_state.m_metrics.Set("buffer_limit_bytes", static_cast<double>(m_state.m_buffers.MaxBytes()));
    m_state.m_metrics.Set("requests_dropped",
                          static_cast<double>(m_state.m_buffers.RequestDropCount()));
    m_gateway.SetMetrics();
    m_state.m_metrics.Set("endpoints_ready",
                          static_cast<double>(m_state.m_directory.Ready().size()));
    m_state.m_metrics.Set("nodes_alive",
                          static_cast<double>(m_peerTable.AliveCount(base::BootNow())));
    m_state.m_metrics.Set("configuration", static_cast<double>(ConfigurationVersion()));
    m_state.m_metrics.Set("endpoint_connects", static_cast<double>(m_state.m_pool.ConnectCount()));
    m_state.m_metrics.Set("connections_relayed", static_cast<double>(m_relay.Count()));
    m_state.m_metrics.Set("connections_through_relays",
                          static_cast<double>(m_state.m_pool.RelayedCount()));
    m_state.m_metrics.Set("calls_open", static_cast<double>(m_gateway.BusyCount()));
    double openAttempts = 0;
    for (const auto& [endpoint, load] : m_state.m_placement.LocalLoad()) {
      openAttempts += load.m_calls;
    }
    m_state.m_metrics.Set("attempts_open", openAttempts);
    m_state.m_metrics.Set("holds_duties", m_leaderElection.IsLeader() ? 1 : 0);
    m_state.SetSpeedGauges();
    return m_state.m_metrics.Page();
  }

  /// Answers `GET /explain` with the target `aTarget`. Does not change the state of the node.
  forwarding::ExplainResponse Explain(const std::string& aTarget) const {
    const auto now = base::BootNow();
    std::vector<base::Millis> ages;
    for (const auto& [node, peer] : m_peerTable.All()) {
      if (peer.m_lastHeartbeat) {
        ages.push_back(std::chrono::duration_cast<base::Millis>(now - *peer.m_lastHeartbeat));
      }
    }
    return forwarding::CallExplainer(m_state, std::move(ages)).Explain(aTarget, now);
  }

private:
  static constexpr double kMillisPerSecond = 1000;
  /// Interval of heartbeats and other periodic work.
  static constexpr base::Millis kTickInterval{ 250 };
  /// Age from which on a view of the registrations may lack versions that served meanwhile. Longer
  /// than a watch of the store and the interval of updates after it, so that a node that misses
  /// nothing does not reach it, and shorter than kVersionRetention, which covers younger views.
  static constexpr base::Millis kMaxViewAge{ 4000 };
  /// Time after a restore of the store in which registrations may be missing.
  static constexpr base::Millis kMaxRegistrationGap{ 5000 };
  /// Time beyond the tick interval for which a node that does not run counts as paused.
  static constexpr base::Millis kMinPause{ 500 };
  /// Delay of a quarantine report on new evidence.
  static constexpr base::Millis kQuarantineReportDelay{ 10 };
  /// Interval of the log lines on teams that use up their quota.
  static constexpr base::Millis kQuotaReportInterval{ 1000 };
  /// Age of the views that nodes of the working set have of one another: one lost heartbeat.
  static constexpr base::Millis kWorkingSetGossipAge{ 500 };
  /// Endpoints whose registrations expired while the store was unavailable register again within
  /// two seconds of its return (the platform's promise); the remaining 300 ms cover the delay until
  /// this node receives the change.
  static constexpr base::Millis kExpiryGrace{ 2300 };
  /// Counts of the last calls of a usage window arrive within this time after its end.
  static constexpr base::Millis kUsageSettleTime{ 800 };
  static constexpr base::Millis kMaxUsageCountWait{ 8500 };
  /// Lease duration of a node's own registration; longer than a typical outage of its connection.
  static constexpr base::Millis kRegistrationLease{ 6000 };
  static constexpr base::Millis kRegistrationRenewInterval{ 2000 };
  /// A draining node still answers callers that use its address for up to three times the cache
  /// time that they were given.
  static constexpr int kEntryCacheFactor = 3;
  /// Maximum time for sending the outcome of the calls that a drain ends, and interval at which
  /// that is checked.
  static constexpr base::Millis kMaxFlushTime{ 250 };
  static constexpr base::Millis kFlushCheckInterval{ 10 };
  /// Number of the longest-running nodes that may become leader.
  static constexpr size_t kLeaderCandidates = 3;
  /// Up to this number of nodes, each node watches the store itself.
  static constexpr size_t kMaxNodesAllWatching = 16;
  /// Nodes per zone that watch the store in a larger fleet; the second one covers the loss of the
  /// first.
  static constexpr size_t kWatchersPerZone = 2;
  /// Interval of the updates from a node that watches the store, also sent if nothing has changed.
  static constexpr base::Millis kUpdateInterval{ 500 };
  /// A node of a large fleet whose view no update has confirmed for this long watches the store
  /// itself. A random delay of up to the same length is added, so that the first nodes that do so
  /// spare the rest; with the first answer, the sum stays under 3 s, the platform's bound on new
  /// work for a leaving endpoint.
  static constexpr base::Millis kUpdateTimeout{ 1100 };
  /// Number of usage windows before the current one that a heartbeat includes.
  static constexpr int64_t kUsageWindowsPerHeartbeat = 3;
  /// Maximum number of other nodes that a heartbeat lists.
  static constexpr size_t kContactsPerHeartbeat = 6;
  /// All totals of a node that started less than this long ago were granted after its peers last
  /// received a heartbeat from it.
  static constexpr base::Millis kMaxYoungAge{ 3000 };
  /// Interval between writes of the demand record; each write reaches all nodes that watch the
  /// store.
  static constexpr base::Millis kDemandRecordInterval{ 4000 };
  /// Time for which versions and streams are remembered longer than callers may resume streams;
  /// covers the spread of news.
  static constexpr base::Millis kVersionRetention{ 5000 };
  /// Number of nodes that keep the origins of streams that began elsewhere.
  static constexpr size_t kOriginKeepers = 3;
  /// Interval at which the node that saves the origins of streams looks for new ones.
  static constexpr base::Millis kStreamSaveInterval{ 50 };
  /// Minimum time between two writes of the version record.
  static constexpr base::Millis kVersionWriteInterval{ 1000 };
  /// Interval over which demand is measured.
  static constexpr base::Millis kDemandInterval{ 1500 };

  int64_t ConfigurationVersion() const {
    return m_state.Catalog() == nullptr ? 0 : m_state.Catalog()->Version();
  }

  void OnItem(const std::string& aKey,
              const std::optional<store::Item>& aItem,
              const store::Position& aPosition) {
    const std::string nodes = m_keys.m_ownPrefix + "nodes/";
    if (aKey == m_keys.m_configurationKey) {
      if (aItem) {
        ApplyConfiguration(aItem->m_data, "store");
      }
    } else if (aKey.starts_with(m_keys.m_endpointPrefix)) {
      OnEndpointRegistration(
        base::EndpointId(aKey.substr(m_keys.m_endpointPrefix.size())), aItem, aPosition);
    } else if (aKey == DemandRecordKey()) {
      if (aItem) {
        OnDemandRecord(*aItem);
      }
    } else if (aKey == UsageRecordKey()) {
      if (aItem) {
        m_reporter.OnRecord(*aItem);
      }
    } else if (aKey.starts_with(StreamRecordPrefix())) {
      m_streamRecordWriter.OnItem(aKey, aItem.has_value(), base::BootNow());
      if (aItem) {
        m_state.m_streamOrigins.MergeSaved(DecodeStreamRecord(aItem->m_data));
      }
    } else if (aKey == VersionRecordKey()) {
      if (aItem) {
        const auto now = base::BootNow();
        const VersionRecord record = DecodeVersionRecord(aItem->m_data);
        m_state.m_versionHistory.Merge(record.m_versions, now);
        m_state.ExtendStreamLifetime(record.m_streamLifetime, now);
        m_state.m_versionHistory.SetComplete();
      }
    } else if (aKey.starts_with(nodes)) {
      OnNodeRegistration(base::NodeId(aKey.substr(nodes.size())), aItem);
    } else {
      m_rollout.OnItem(aKey, aItem, aPosition);
    }
  }

  /// Returns the prefixes of the keys that this node needs.
  std::vector<std::string> ListedPrefixes() const {
    std::vector<std::string> prefixes{ m_keys.m_configurationKey,
                                       m_keys.m_endpointPrefix,
                                       m_keys.m_ownPrefix };
    if (m_settings.m_exposure) {
      prefixes.push_back(m_codec.m_rollout.m_orderPrefix);
      prefixes.push_back(m_codec.m_rollout.m_statusPrefix);
    }
    return prefixes;
  }

  std::string DemandRecordKey() const { return m_keys.m_ownPrefix + "demand"; }
  std::string VersionRecordKey() const { return m_keys.m_ownPrefix + "versions"; }
  std::string StreamRecordPrefix() const { return m_keys.m_ownPrefix + "streams/"; }
  std::string UsageRecordKey() const { return m_keys.m_ownPrefix + "usage"; }

  duties::LeaderElectionSettings MakeElectionSettings() const {
    duties::LeaderElectionSettings settings;
    settings.m_key = m_keys.m_ownPrefix + "duties";
    settings.m_incarnation = m_self.IncarnationKey();
    settings.m_leaseDuration = m_settings.m_leaderLease;
    settings.m_leaderRecords = { DemandRecordKey(), UsageRecordKey() };
    return settings;
  }

  /// Handles a restore of the store, before its contents of the new era are applied. Nodes register
  /// again at different times.
  void OnStoreRestored(const store::Position& aLast, uint64_t aEra) {
    const auto now = base::BootNow();
    m_log.Event("store restored",
                { { "era", aEra },
                  { "era_before", aLast.m_era },
                  { "revision_before", aLast.m_revision },
                  { "version", ConfigurationVersion() } });
    m_state.m_directory.OnStoreRestored(now);
    m_state.m_versionHistory.Suspend(now + kMaxRegistrationGap);
    m_rollout.OnStoreRestored(now);
    if (m_lease.m_era < aEra) {
      ForgetRegistrationLease();
      m_nextRegistration = now + base::Millis(m_random() % kRegistrationRenewInterval.count());
    }
  }

  /// Drops the lease of this node's registration without ending it, because the store may have
  /// assigned its identifier to another node.
  void ForgetRegistrationLease() {
    m_lease = {};
    m_nextRegistration = {};
  }

  /// Restores the recent demand of the fleet, as recorded before all nodes were restarted.
  void OnDemandRecord(const store::Item& aItem) {
    const nlohmann::json record = base::ParseJson(aItem.m_data);
    quota::QuotaLedger::Totals demand;
    if (record.contains("rates") && record["rates"].is_object()) {
      for (const auto& [team, rate] : record["rates"].items()) {
        if (rate.is_number()) {
          demand[base::TeamId(team)] = rate.template get<double>();
        }
      }
    }
    const int64_t writtenAt = std::max<int64_t>(base::ValueOr<int64_t>(record, "at", 0), 0);
    const base::Millis age(base::WallMillis() - writtenAt);
    m_state.m_quota.RestoreDemand(demand, age, base::BootNow());
  }

  /// Writes the fleet's demand to the store, so that teams far below their quotas are served at
  /// once after a restart of all nodes.
  void WriteDemandRecord(base::TimePoint aNow) {
    if (aNow < m_nextDemandRecord) {
      return;
    }
    m_nextDemandRecord = aNow + kDemandRecordInterval;
    std::map<std::string, double> rates;
    for (const auto& [team, rate] : m_state.m_quota.Demand()) {
      rates[team.Text()] = std::round(rate);
    }
    store::Transaction transaction;
    transaction.m_writes.push_back(
      { DemandRecordKey(),
        base::DumpJson({ { "at", base::WallMillis() }, { "rates", rates } }),
        0 });
    m_store.Commit(transaction, [this](store::Result<store::Position> aResult) {
      if (!aResult) {
        m_log.Event("demand record write failed", { { "fault", base::NameOf(aResult.error()) } });
      }
    });
  }

  /// Updates what is known of versions and streams, and keeps the record of versions in the store.
  void UpdateVersions(const std::vector<std::string>& aWorkingSet, base::TimePoint aNow) {
    std::set<fleet::ServiceId> mixed;
    for (const auto& [id, endpoint] : m_state.m_directory.All()) {
      m_state.m_versionHistory.Add(endpoint, aNow);
    }
    for (const auto& [service, versions] : m_state.m_versionHistory.All()) {
      if (versions.size() > 1) {
        mixed.insert(service);
      }
    }
    if (!std::includes(
          m_mixedVersions.begin(), m_mixedVersions.end(), mixed.begin(), mixed.end())) {
      m_state.m_streamOrigins.SendIncomplete();
    }
    m_mixedVersions = std::move(mixed);
    m_keepsStreamRecord = !aWorkingSet.empty() && aWorkingSet.front() == m_settings.m_host;
    if (m_state.Catalog() != nullptr) {
      const base::Millis retention = m_state.StreamLifetime(aNow) + kVersionRetention;
      m_state.m_versionHistory.Prune(retention, aNow);
      m_state.m_streamOrigins.RemoveExpired(retention, aNow);
      UpdateVersionRecord(aNow);
    }
  }

  /// Sends the origins of streams to some nodes of the working set, which are in different
  /// availability zones. While several versions serve, these are the first ones for all nodes, and
  /// the very first of them saves the origins in the store.
  void SendOrigins(const forwarding::StreamOrigins::Origins& aOrigins) {
    for (const std::string& host : SelectOriginKeepers(WorkingSet(base::BootNow()),
                                                       m_settings.m_host,
                                                       !m_mixedVersions.empty(),
                                                       kOriginKeepers)) {
      m_gossip.SendOrigins(host, aOrigins);
    }
  }

  /// Returns what this node knows of the streams of `aQuery`.
  gossip::OriginNotice MakeOriginReply(const gossip::OriginQuery& aQuery) const {
    gossip::OriginNotice reply;
    for (const fleet::StreamKey key : aQuery.m_streams) {
      if (m_state.m_streamOrigins.IsExpected(key)) {
        // The peer asks again.
        continue;
      }
      auto known = m_state.m_streamOrigins.Known({ key });
      if (known.empty()) {
        reply.m_unknown.push_back(key);
      } else {
        reply.m_origins.push_back(std::move(known.front()));
      }
    }
    return reply;
  }

  /// Saves the origins of new streams, and removes old ones, if this node is the one that does so.
  void SaveStreams() {
    if (!m_keepsStreamRecord || m_state.Catalog() == nullptr) {
      return;
    }
    // Nodes that do not watch the store write to it all the same.
    const auto now = base::BootNow();
    if (!m_mixedVersions.empty()) {
      m_streamRecordWriter.Save(now);
    }
    m_streamRecordWriter.RemoveExpired(m_state.StreamLifetime(now) + kVersionRetention, now);
  }

  /// Writes the versions that served lately to the store. After a restart of all nodes it shows
  /// which streams cannot be resumed safely. The leader keeps the record; any other node adds what
  /// stays missing.
  void UpdateVersionRecord(base::TimePoint aNow) {
    if (m_writingVersions || !m_storeWatcher.Loaded() || !m_storeWatcher.IsStoreReachable()) {
      return;
    }
    const store::Item* item = m_replica.Find(VersionRecordKey());
    const VersionRecord recorded =
      item == nullptr ? VersionRecord() : DecodeVersionRecord(item->m_data);
    VersionRecord wanted{ m_state.m_versionHistory.All(), m_state.StreamLifetime(aNow) };
    const bool isLeader = m_leaderElection.IsLeader();
    if (!isLeader) {
      for (const auto& [service, versions] : recorded.m_versions) {
        wanted.m_versions[service].insert(versions.begin(), versions.end());
      }
      wanted.m_streamLifetime = std::max(wanted.m_streamLifetime, recorded.m_streamLifetime);
    }
    if (wanted == recorded) {
      m_nextVersionWrite.reset();
      return;
    }
    if (!m_nextVersionWrite) {
      const base::Millis delay(isLeader ? 0 : 1000 + m_random() % 1000);
      m_nextVersionWrite = aNow + delay;
    }
    if (aNow >= *m_nextVersionWrite) {
      WriteVersionRecord(wanted, item == nullptr ? 0 : item->m_position.m_revision);
    }
  }

  void WriteVersionRecord(const VersionRecord& aRecord, uint64_t aRevision) {
    const std::string data = EncodeVersionRecord(aRecord);
    store::Transaction transaction;
    transaction.m_expected[VersionRecordKey()] = aRevision;
    transaction.m_writes.push_back({ VersionRecordKey(), data, 0 });
    m_writingVersions = true;
    m_store.Commit(transaction, [this, data](store::Result<store::Position> aResult) {
      m_writingVersions = false;
      // Another node may have written, or the watch brings this write a moment later.
      m_nextVersionWrite = base::BootNow() + kVersionWriteInterval;
      m_log.Event(
        "version record written",
        { { "record", data },
          { "fault", aResult ? std::string() : std::string(base::NameOf(aResult.error())) } });
    });
  }

  /// Applies a configuration from the store, or one that is in force at a peer. A version below the
  /// one in force is ignored: a store that was restored lists an older one until the operator has
  /// written the newer one again. Of two configurations with the same version, the later one holds.
  void ApplyConfiguration(const std::string& aData, const char* aSource) {
    if (m_state.Catalog() != nullptr && aData == m_configuration.m_data) {
      return;
    }
    auto catalog = m_codec.m_catalog(aData);
    const store::Position position = m_replica.LastPosition();
    if (!catalog) {
      m_log.Event("invalid configuration ignored",
                  { { "source", aSource },
                    { "era", position.m_era },
                    { "revision", position.m_revision },
                    { "why", catalog.error() } });
      return;
    }
    const int64_t before = ConfigurationVersion();
    const bool applied = m_state.ApplyCatalog(*catalog);
    if (applied) {
      m_configuration = { m_keys.m_configurationKey, (*catalog)->Version(), aData };
      m_gateway.ApplyLimits((*catalog)->Limits());
    }
    m_log.Event(applied ? "configuration applied" : "older configuration ignored",
                { { "version", (*catalog)->Version() },
                  { "before", before },
                  { "source", aSource },
                  { "era", position.m_era },
                  { "revision", position.m_revision } });
  }

  void OnEndpointRegistration(const base::EndpointId& aId,
                              const std::optional<store::Item>& aItem,
                              const store::Position& aPosition) {
    const auto now = base::BootNow();
    if (!aItem) {
      m_state.m_directory.Remove(aId, aPosition, now);
      m_log.Event("endpoint removed",
                  { { "endpoint", aId.Text() },
                    { "era", aPosition.m_era },
                    { "revision", aPosition.m_revision } });
      return;
    }
    const fleet::Registration registration = m_codec.m_registration(aId, *aItem);
    m_state.m_directory.Put(registration);
    if (registration.m_endpoint) {
      m_state.m_versionHistory.Add(*registration.m_endpoint, now);
    }
    const bool draining = registration.m_endpoint && registration.m_endpoint->m_draining;
    m_log.Event("endpoint registered",
                { { "endpoint", aId.Text() },
                  { "era", aPosition.m_era },
                  { "revision", aPosition.m_revision },
                  { "state",
                    !registration.m_endpoint ? "unreadable"
                    : draining               ? "draining"
                                             : "ready" } });
  }

  void OnNodeRegistration(const base::NodeId& aNode, const std::optional<store::Item>& aItem) {
    if (!aItem) {
      m_peerTable.MarkUnregistered(aNode);
      m_log.Event("node registration removed", { { "node", aNode.Text() } });
      return;
    }
    const nlohmann::json node = base::ParseJson(aItem->m_data);
    const auto host = base::ValueOr<std::string>(node, "host", "");
    if (host.empty()) {
      // Usage reports would wait for the counts of a node that never sends any.
      m_log.Event("invalid node registration ignored",
                  { { "node", aNode.Text() },
                    { "era", aItem->m_position.m_era },
                    { "revision", aItem->m_position.m_revision } });
      return;
    }
    m_peerTable.RecordContact(
      { aNode, base::ValueOr<int64_t>(node, "born", 0), host }, true, base::BootNow());
  }

  /// Informs the directory whether any node still receives answers from the store. Missing
  /// registrations are in doubt only if none does.
  void UpdateStoreAvailability() {
    const auto now = base::BootNow();
    if (m_storeWatcher.StoreAnswers() || m_peerTable.AnyReachesStore(now)) {
      m_state.m_directory.OnStoreRecovered(now);
    } else {
      m_state.m_directory.OnStoreLost();
    }
  }

  /// Returns the hosts to which callers are directed.
  std::vector<std::string> WorkingSet(base::TimePoint aNow) const {
    std::vector<gossip::ReadyNode> ready = m_peerTable.ReadyNodes(aNow);
    if (Ready()) {
      ready.push_back({ m_settings.m_host, m_settings.m_zone });
    }
    return SelectWorkingSet(ready, CallsPerSecond(), m_settings.m_workingSet);
  }

  /// Returns the larger call rate of the fleet in the last two usage windows.
  double CallsPerSecond() const {
    const int64_t current = m_state.m_usage.WindowOf(base::WallMillis());
    double most = 0;
    for (const int64_t window : { current - 1, current - 2 }) {
      double calls = 0;
      for (const auto& [team, count] : m_state.m_usage.TotalCounts(window)) {
        calls += static_cast<double>(count);
      }
      most = std::max(most, calls);
    }
    return most * kMillisPerSecond / static_cast<double>(m_settings.m_usageWindowMs);
  }

  /// Updates the fleet that the quotas are shared by. `aWorkingSet` is empty if this node is not in
  /// the working set.
  void UpdateQuotaShares(const std::vector<std::string>& aWorkingSet, base::TimePoint aNow) {
    using Seconds = std::chrono::duration<double>;
    const std::set<std::string> hosts(aWorkingSet.begin(), aWorkingSet.end());
    std::set<base::NodeId> sharing;
    for (const auto& [node, peer] : m_peerTable.All()) {
      if (hosts.contains(peer.m_contact.m_host)) {
        sharing.insert(node);
      }
    }
    const Seconds fleetAge = kTickInterval * m_gossip.RoundsPerFleet();
    const Seconds gossipAge =
      hosts.empty() ? fleetAge : std::min(fleetAge, Seconds(kWorkingSetGossipAge));
    m_state.m_quota.SetFleet({ m_peerTable.AliveCount(aNow),
                               m_peerTable.KnownCount(),
                               std::move(sharing),
                               gossipAge.count(),
                               Seconds(m_peerTable.LivenessTimeout()).count() },
                             aNow);
  }

  /// Logs what each team whose bucket is low uses, and what this node knows of the other nodes.
  void LogQuotaUse(base::TimePoint aNow) {
    if (aNow < m_nextQuotaReport) {
      return;
    }
    m_nextQuotaReport = aNow + kQuotaReportInterval;
    for (const quota::QuotaLedger::Status& status : m_state.m_quota.LowBuckets(aNow)) {
      m_log.Event("quota nearly used up",
                  { { "team", status.m_team.Text() },
                    { "granted", status.m_granted },
                    { "requested", status.m_requested },
                    { "level", status.m_level },
                    { "unreported_demand", status.m_unreportedDemand },
                    { "unreported_grants", status.m_unreportedGrants },
                    { "mean_view_age_s", status.m_meanViewAgeSeconds },
                    { "oldest_view_age_s", status.m_oldestViewAgeSeconds },
                    { "reachable_fraction", status.m_reachableFraction } });
    }
  }

  gossip::Heartbeat MakeHeartbeat() {
    gossip::Heartbeat heartbeat;
    heartbeat.m_from = m_self;
    heartbeat.m_zone = m_settings.m_zone;
    heartbeat.m_ready = Ready();
    heartbeat.m_stopping = m_stopping;
    heartbeat.m_storeReachable = m_storeWatcher.StoreAnswers();
    heartbeat.m_relays = m_relay.IsAvailable();
    heartbeat.m_configuration = ConfigurationVersion();
    heartbeat.m_position = m_replica.LastPosition();
    heartbeat.m_requestedWorkMs = m_state.RequestedWork();
    heartbeat.m_engineCalls = m_state.EngineCalls();
    heartbeat.m_lateEngineCalls = m_state.LateEngineCalls();
    for (const auto& [endpoint, load] : m_state.m_placement.LocalLoad()) {
      if (load.m_calls > 0) {
        heartbeat.m_loads[endpoint] = load;
      }
    }
    // In a small fleet, each node sees enough of every endpoint by itself.
    if (IsLargeFleet() && !m_state.m_reach.IsIsolated()) {
      heartbeat.m_failures = m_state.m_failures.LocalReport(base::BootNow());
    }
    heartbeat.m_quota = m_state.m_quota.UpdateLocalView(base::BootNow());
    const auto& usage = m_state.m_usage.LocalCounts();
    const int64_t oldest = m_state.m_usage.WindowOf(base::WallMillis()) - kUsageWindowsPerHeartbeat;
    heartbeat.m_usage.insert(usage.lower_bound(oldest), usage.end());
    m_rollout.AddTo(heartbeat);
    for (const auto& [node, peer] : m_peerTable.All()) {
      if (heartbeat.m_contacts.size() < kContactsPerHeartbeat &&
          m_peerTable.IsAlive(peer, base::BootNow())) {
        heartbeat.m_contacts.push_back(peer.m_contact);
      }
    }
    return heartbeat;
  }

  void OnHeartbeat(const gossip::Heartbeat& aHeartbeat) {
    const auto now = base::BootNow();
    if (!m_peerTable.MergeHeartbeat(aHeartbeat, now)) {
      return;
    }
    const std::string incarnation = aHeartbeat.m_from.IncarnationKey();
    m_state.m_placement.SetPeerLoad(aHeartbeat.m_from.m_node.Text(), aHeartbeat.m_loads);
    m_state.m_failures.SetPeerReport(aHeartbeat.m_from.m_node.Text(), aHeartbeat.m_failures, now);
    const bool isYoung = base::WallMillis() - aHeartbeat.m_from.m_startMs < kMaxYoungAge.count();
    m_state.m_quota.MergePeerView(
      aHeartbeat.m_from.m_node, aHeartbeat.m_from.m_startMs, isYoung, aHeartbeat.m_quota, now);
    m_state.m_usage.MergePeerCounts(incarnation, aHeartbeat.m_usage);
    RecordDemand(incarnation,
                 aHeartbeat.m_requestedWorkMs,
                 aHeartbeat.m_engineCalls,
                 aHeartbeat.m_lateEngineCalls,
                 now);
    m_rollout.OnHeartbeat(aHeartbeat, now);
    for (const gossip::Contact& contact : aHeartbeat.m_contacts) {
      m_peerTable.RecordContact(contact, false, now);
    }
  }

  /// Returns the relays of the nodes that reach the endpoints.
  std::vector<base::Address> RelayAddresses() const {
    std::vector<base::Address> relays;
    if (m_settings.m_relayPort != 0) {
      for (std::string& host : m_peerTable.RelayHosts(base::BootNow())) {
        relays.push_back({ std::move(host), m_settings.m_relayPort });
      }
    }
    return relays;
  }

  /// Informs the other nodes at once when this one is cut off from the endpoints, or no longer is.
  /// What it took for failures of endpoints before is forgotten.
  void OnReachChanged(bool /*aIsIsolated*/) {
    m_state.ForgetOutcomes();
    m_gossip.SendHeartbeats();
  }

  /// Sends a quarantine report soon, without waiting for the next tick. Crashes at the same moment
  /// share one.
  void ScheduleQuarantineReport() {
    if (!m_reportScheduled) {
      m_reportScheduled = true;
      m_reportTimer = m_loop.After(kQuarantineReportDelay, [this] {
        m_reportScheduled = false;
        SendQuarantineReport(WorkingSet(base::BootNow()));
      });
    }
  }

  void SendQuarantineReport(const std::vector<std::string>& aWorkingSet) {
    const quarantine::Report report = m_state.m_crashGuard.MakeReport(base::BootNow());
    if (!report.Empty()) {
      m_gossip.SendQuarantineReport(report, aWorkingSet);
    }
  }

  /// Returns whether each node has sent its counts since `aWallMs`.
  bool AllCountsReceived(int64_t aWallMs) const {
    return m_peerTable.AllHeartbeatsWithin(base::Millis(base::WallMillis() - aWallMs),
                                           base::BootNow());
  }

  void LogFailingEndpoints(base::TimePoint aNow) {
    const std::vector<base::EndpointId> failing = m_state.m_failures.Failing(aNow);
    std::set<base::EndpointId> current(failing.begin(), failing.end());
    for (const base::EndpointId& endpoint : current) {
      if (!m_failingEndpoints.contains(endpoint)) {
        m_log.Event("endpoint fails at several nodes", { { "endpoint", endpoint.Text() } });
      }
    }
    for (const base::EndpointId& endpoint : m_failingEndpoints) {
      if (!current.contains(endpoint)) {
        m_log.Event("failing endpoint tried again", { { "endpoint", endpoint.Text() } });
      }
    }
    m_failingEndpoints = std::move(current);
    m_state.m_metrics.Set("endpoints_failing", static_cast<double>(m_failingEndpoints.size()));
  }

  /// Records how current the view of the registrations is, and logs that the node did not run for
  /// a while.
  void UpdateRegistryView(base::TimePoint aNow) {
    forwarding::RegistryView& view = m_state.m_registryView;
    const auto gap = std::chrono::duration_cast<base::Millis>(aNow - view.m_lastTick);
    const bool hasPaused = view.m_lastTick != base::TimePoint{} && gap > kTickInterval + kMinPause;
    if (hasPaused || aNow - view.m_confirmedAt > kMaxViewAge) {
      m_state.m_versionHistory.Extend(aNow);
    }
    if (hasPaused) {
      view.m_pauseEnd = aNow;
      m_state.m_metrics.Count("pauses");
      m_log.Event("node paused", { { "pause_ms", gap.count() } });
    }
    view.m_lastTick = aNow;
    view.m_position = m_replica.LastPosition();
    view.m_confirmedAt = std::max(m_storeWatcher.ConfirmedAt(), m_gossip.ConfirmedAt());
  }

  void Tick() {
    const auto now = base::BootNow();
    UpdateRegistryView(now);
    UpdateStoreAvailability();
    for (const base::EndpointId& endpoint : m_state.m_directory.RemoveExpired(now)) {
      m_log.Event("endpoint registration expired", { { "endpoint", endpoint.Text() } });
    }
    m_state.m_pool.CloseExpired(m_state.m_directory.All(), now);
    m_state.m_continuity.RetainRegistered();
    m_state.m_placement.RetainEndpoints(m_state.m_directory.All());
    m_state.m_engines.RetainEndpoints(m_state.m_directory.All());
    m_state.m_failures.RetainEndpoints(m_state.m_directory.All());
    LogFailingEndpoints(now);
    m_state.m_engines.Update(now);
    m_state.m_availability.RemoveObsolete(m_state.m_directory.All(), now);
    m_state.m_rejectionLimit.RemoveObsolete(now);
    for (const base::NodeId& node : m_peerTable.RemoveStale(now)) {
      m_state.m_quota.RemovePeer(node);
      m_state.m_placement.SetPeerLoad(node.Text(), {});
      m_state.m_failures.SetPeerReport(node.Text(), {}, now);
      m_log.Event("node removed", { { "node", node.Text() } });
    }
    const std::vector<std::string> workingSet = WorkingSet(now);
    UpdateVersions(workingSet, now);
    const bool isWorking =
      std::find(workingSet.begin(), workingSet.end(), m_settings.m_host) != workingSet.end();
    // Nodes outside the working set of a large fleet get few calls: those of callers that still use
    // their address.
    const size_t sharing = isWorking && IsLargeFleet() ? workingSet.size() : 0;
    LogWorkingSet(isWorking, workingSet.size());
    m_state.SetNodeCount(sharing > 0 ? sharing : m_peerTable.KnownCount());
    m_state.m_placement.SetNodeCount(workingSet.size());
    UpdateQuotaShares(isWorking ? workingSet : std::vector<std::string>(), now);
    LogQuotaUse(now);
    m_fleetSizeKnown = true;
    m_peerTable.SetHeartbeatInterval(kTickInterval *
                                     static_cast<int64_t>(m_gossip.RoundsPerFleet()));
    m_storeWatcher.SetWatchEnabled(ShouldWatchStore(now));
    m_storeWatcher.OnEra(m_store.LatestEra());
    // Nodes of the working set inform one another first, since they share the load.
    std::vector<std::string> hosts = m_rollout.HeartbeatHosts(workingSet, now);
    if (isWorking) {
      hosts.insert(hosts.end(), workingSet.begin(), workingSet.end());
    }
    m_gossip.SendHeartbeats(hosts, kTickInterval);
    m_state.m_crashGuard.Tick(now);
    SendQuarantineReport(isWorking ? workingSet : std::vector<std::string>());
    SendEmptyUpdate(now);
    m_gossip.FetchIfBehind(m_storeWatcher.IsStoreReachable());
    RenewRegistration(now);
    MeasureDemand(now);
    RunLeaderTasks();
    LogReadiness();
    if (m_stopping) {
      CheckDrain(now);
    }
  }

  bool IsLargeFleet() const { return m_peerTable.KnownCount() > kMaxNodesAllWatching; }

  /// Sends an update without changes, which shows the zone that it has missed nothing.
  void SendEmptyUpdate(base::TimePoint aNow) {
    if (IsLargeFleet() && m_storeWatcher.IsWatchEnabled() && m_storeWatcher.IsStoreReachable() &&
        aNow >= m_nextEmptyUpdate) {
      m_nextEmptyUpdate = aNow + kUpdateInterval;
      m_gossip.SendUpdate(m_replica.LastPosition(), {}, m_storeWatcher.ConfirmedAt());
    }
  }

  /// Returns whether this node should watch the store itself. In a large fleet, a few nodes of each
  /// zone do; the others receive changes from them, and watch the store only while they receive no
  /// updates.
  bool ShouldWatchStore(base::TimePoint aNow) const {
    const auto lastUpdate = m_gossip.LastUpdateTime();
    return !IsLargeFleet() || !lastUpdate || aNow - *lastUpdate > m_updateTimeout ||
           m_peerTable.OlderWatcherCount(m_settings.m_zone, aNow) < kWatchersPerZone ||
           m_peerTable.OlderReadyCount(aNow) < kLeaderCandidates;
  }

  void LogWorkingSet(bool aIsWorking, size_t aSize) {
    if (aIsWorking != m_loggedWorking) {
      m_loggedWorking = aIsWorking;
      m_log.Event(aIsWorking ? "working set joined" : "working set left",
                  { { "size", aSize },
                    { "nodes", m_peerTable.KnownCount() },
                    { "calls_per_s", CallsPerSecond() } });
    }
  }

  void LogReadiness() {
    if (Ready() != m_loggedReady) {
      m_loggedReady = Ready();
      m_log.Event(m_loggedReady ? "ready" : "not ready",
                  { { "version", ConfigurationVersion() },
                    { "endpoints", m_state.m_directory.All().size() } });
    }
  }

  void MeasureDemand(base::TimePoint aNow) {
    if (aNow < m_nextDemandMeasurement) {
      return;
    }
    RecordDemand(m_self.IncarnationKey(),
                 m_state.RequestedWork(),
                 m_state.EngineCalls(),
                 m_state.LateEngineCalls(),
                 aNow);
    const double work = m_demand.Measure(aNow);
    const double calls = m_engineCalls.Measure(aNow);
    const double late = m_lateEngineCalls.Measure(aNow);
    if (m_nextDemandMeasurement != base::TimePoint{}) {
      m_state.m_scaling.RecordDemand(work, aNow);
      m_state.m_scaling.RecordLateness(calls, late, aNow);
    }
    m_nextDemandMeasurement = aNow + kDemandInterval;
  }

  void RecordDemand(const std::string& aIncarnation,
                    double aWork,
                    double aCalls,
                    double aLateCalls,
                    base::TimePoint aNow) {
    m_demand.Record(aIncarnation, aWork, aNow);
    m_engineCalls.Record(aIncarnation, aCalls, aNow);
    m_lateEngineCalls.Record(aIncarnation, aLateCalls, aNow);
  }

  void RunLeaderTasks() {
    // Every node counts, also one that never leads.
    m_reporter.RemoveOldCounts();
    if (!m_settings.m_reportsUsage && !m_settings.m_autoscales && !m_rollout.IsEnabled()) {
      return;
    }
    // Older nodes have received the counts of nodes that have ended since.
    const bool hasAllCounts = m_peerTable.OlderReadyCount(base::BootNow()) < kLeaderCandidates;
    const bool mayLead =
      Ready() && m_storeWatcher.Loaded() && m_storeWatcher.IsStoreReachable() && hasAllCounts;
    m_leaderElection.Tick(mayLead);
    if (mayLead && m_settings.m_reportsUsage) {
      m_reporter.RestoreRecord();
    }
    const auto leadership = m_leaderElection.CurrentLeadership();
    m_rollout.Tick(leadership, base::BootNow());
    if (!leadership || m_state.Catalog() == nullptr) {
      return;
    }
    WriteDemandRecord(base::BootNow());
    if (m_settings.m_reportsUsage) {
      m_reporter.Tick(*leadership);
    }
    if (m_settings.m_autoscales) {
      m_autoscaler.Tick(
        *leadership,
        *m_state.Catalog(),
        m_state.m_directory,
        [this](const fleet::ServiceId& aService) { return m_rollout.IsRunning(aService); });
    }
  }

  /// Keeps this node registered in the store, so that others find it without the seeds.
  void RenewRegistration(base::TimePoint aNow) {
    if (m_registering || m_stopping || !m_storeWatcher.Loaded() || aNow < m_nextRegistration) {
      return;
    }
    m_registering = true;
    m_nextRegistration = aNow + kRegistrationRenewInterval;
    if (m_lease.m_id != 0) {
      m_store.Renew(m_lease.m_id, [this](store::Result<store::Renewal> aResult) {
        m_registering = false;
        const bool lost =
          aResult ? aResult->m_era != m_lease.m_era : aResult.error() == store::Fault::NoLease;
        if (lost) {
          ForgetRegistrationLease();
        }
      });
      return;
    }
    m_store.Grant(kRegistrationLease, [this](store::Result<store::Lease> aLease) {
      if (!aLease) {
        m_registering = false;
        return;
      }
      m_lease = *aLease;
      WriteRegistration();
    });
  }

  void WriteRegistration() {
    const std::string key = m_keys.m_ownPrefix + "nodes/" + m_self.m_node.Text();
    const nlohmann::json node = { { "born", m_self.m_startMs }, { "host", m_self.m_host } };
    store::Transaction transaction;
    transaction.m_writes.push_back({ key, base::DumpJson(node), m_lease.m_id });
    m_store.Commit(transaction, [this](store::Result<store::Position> aResult) {
      m_registering = false;
      if (!aResult || aResult->m_era != m_lease.m_era) {
        m_lease = {};
      }
    });
  }

  void CheckDrain(base::TimePoint aNow) {
    if (aNow > m_drainPlan->EntriesExpireAt() + kTickInterval * 2 && m_gateway.BusyCount() == 0 &&
        m_relay.Count() == 0) {
      EndDrain();
    }
  }

  /// Ends the calls that are still open, and stops once their callers have been sent the outcome.
  void EndDrain() {
    if (std::exchange(m_drainEnding, true)) {
      return;
    }
    m_tickTimer.reset();
    m_saveTimer.reset();
    // The peers receive the counts of the last calls.
    m_gossip.SendHeartbeats();
    const size_t open = m_gateway.BusyCount();
    m_gateway.AbortCalls();
    const auto deadline =
      std::min(base::BootNow() + kMaxFlushTime, m_drainPlan->ForcedEnd() - kFlushCheckInterval * 2);
    m_drainEndTimer = m_loop.Every(kFlushCheckInterval, [this, open, deadline] {
      if (m_gateway.BusyCount() == 0 || base::BootNow() >= deadline) {
        m_log.Event("drained", { { "aborted", open }, { "unsent", m_gateway.BusyCount() } });
        m_onDrained();
      }
    });
  }

  adapters::http::EventLoop& m_loop;
  const ServingSettings m_settings;
  const KeySettings m_keys;
  const StateCodec m_codec;
  Store& m_store;
  const gossip::Contact m_self;
  const base::Log m_log{ "serving" };
  forwarding::NodeState m_state;
  GossipExchange::ActiveConfiguration m_configuration;
  sync::StoreReplica m_replica;
  sync::StoreWatcher<Store> m_storeWatcher;
  sync::ReplicaBarrier<Store> m_replicaBarrier;
  StreamRecordWriter<Store> m_streamRecordWriter;
  gossip::PeerTable m_peerTable;
  GossipExchange m_gossip;
  forwarding::Gateway m_gateway;
  forwarding::EndpointRelay m_relay;
  duties::LeaderElection<Store> m_leaderElection;
  duties::UsageReporter<Store, Duties> m_reporter;
  duties::Autoscaler<Duties> m_autoscaler;
  RolloutTask<Store> m_rollout;
  adapters::http::EventHandlePtr m_tickTimer;
  adapters::http::EventHandlePtr m_saveTimer;
  adapters::http::EventHandlePtr m_reportTimer;
  bool m_reportScheduled = false;
  base::TimePoint m_nextQuotaReport{};
  /// When this node writes the version record; nullopt if the record is right.
  std::optional<base::TimePoint> m_nextVersionWrite;
  bool m_writingVersions = false;
  /// Services of which several versions served lately.
  std::set<fleet::ServiceId> m_mixedVersions;
  /// Whether this node saves the origins of streams for all nodes.
  bool m_keepsStreamRecord = false;
  std::mt19937_64 m_random{ base::RandomSeed() };
  /// Engine work, calls to engines, and late ones among them, of all nodes.
  duties::DemandMeter m_demand;
  duties::DemandMeter m_engineCalls;
  duties::DemandMeter m_lateEngineCalls;
  base::TimePoint m_nextDemandMeasurement{};
  /// Lease of this node's registration.
  store::Lease m_lease;
  base::TimePoint m_nextRegistration{};
  bool m_registering = false;
  base::TimePoint m_nextDemandRecord{};
  base::TimePoint m_nextEmptyUpdate{};
  const base::Millis m_updateTimeout{ kUpdateTimeout +
                                      base::Millis(base::RandomSeed() % kUpdateTimeout.count()) };
  bool m_loggedReady = false;
  bool m_loggedWorking = false;
  /// Whether the size of the fleet, on which quotas and budgets depend, has been determined.
  bool m_fleetSizeKnown = false;
  /// Endpoints that failed at several nodes at the last tick, for the log.
  std::set<base::EndpointId> m_failingEndpoints;
  bool m_stopping = false;
  /// Set while the node is stopping.
  std::optional<forwarding::DrainPlan> m_drainPlan;
  adapters::http::EventHandlePtr m_drainEndTimer;
  /// Whether the drain only waits until the outcome of its calls has been sent.
  bool m_drainEnding = false;
  std::function<void()> m_onDrained;
};

} // namespace papayafield::serving
