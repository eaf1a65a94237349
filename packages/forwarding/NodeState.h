#pragma once

#include "adapters/http/EventLoop.h"
#include "base/BufferBudget.h"
#include "base/Digest.h"
#include "base/Log.h"
#include "duties/ScalingPolicy.h"
#include "duties/UsageLedger.h"
#include "engines/EngineModel.h"
#include "fleet/EndpointDirectory.h"
#include "fleet/StreamLifetime.h"
#include "fleet/VersionHistory.h"
#include "forwarding/Call.h"
#include "forwarding/CallDurations.h"
#include "forwarding/CrashGuard.h"
#include "forwarding/EndpointPool.h"
#include "forwarding/EndpointSignals.h"
#include "forwarding/Metrics.h"
#include "forwarding/ProcessContinuity.h"
#include "forwarding/ReachMonitor.h"
#include "forwarding/RegistryView.h"
#include "forwarding/RejectionLimit.h"
#include "forwarding/StreamOrigins.h"
#include "forwarding/VersionFinder.h"
#include "placement/Placement.h"
#include "quota/QuotaLedger.h"
#include "requests/RetryBudget.h"
#include "rollout/VersionGate.h"
#include "scheduling/Admission.h"
#include "scheduling/CallClasses.h"
#include "scheduling/PromptSplit.h"

#include <map>
#include <random>

namespace papayafield::forwarding {

/// Limits for retries, over all nodes.
struct RetryLimits {
  /// Retries allowed per call.
  double m_perCall = 0.2;
  /// Additional retries allowed within one window.
  double m_extraPerWindow = 50;
  /// Length of a window.
  base::Millis m_window{ 10000 };
};

/// State shared by all calls of one node. Belongs to the event loop's thread.
class NodeState {
public:
  /// `aWindowMs` is the length of a usage window. `aOrdersBySlack` tells whether engines
  /// serve calls of one priority in the order of their slack.
  /// `aBufferSettings` limits what the node holds of requests and answers. `aOnEndpointLeaving` is
  /// called when this node learns that an endpoint leaves. `aRelays` returns the relays of other
  /// nodes.
  NodeState(adapters::http::EventLoop& aLoop,
            WireFormat aWire,
            base::ZoneId aZone,
            RetryLimits aRetryLimits,
            quota::QuotaTolerance aQuotaTolerance,
            base::Millis aExpiryGrace,
            int64_t aWindowMs,
            base::BufferBudgetSettings aBufferSettings,
            bool aOrdersBySlack,
            std::function<void()> aOnEndpointLeaving,
            EndpointPool::RelayList aRelays);

  /// Returns the active configuration; null before the first one.
  const fleet::CatalogPtr& Catalog() const { return m_catalog; }
  /// Activates a configuration unless its version is below the active one. Returns whether it did.
  bool ApplyCatalog(fleet::CatalogPtr aCatalog);
  /// Returns for how long a broken stream may still be resumed, tries of its caller included.
  /// Streams that began under an earlier configuration are taken into account.
  base::Millis StreamLifetime(base::TimePoint aNow) const { return m_streamLifetime.Longest(aNow); }
  /// Records that streams with the lifetime `aLifetime` may have begun elsewhere until `aNow`.
  void ExtendStreamLifetime(base::Millis aLifetime, base::TimePoint aNow) {
    m_streamLifetime.Extend(aLifetime, aNow);
  }
  /// Returns the classes of calls that share the engines of `aService`; null if its calls do not
  /// differ. Valid until the next configuration is applied.
  const scheduling::CallClasses* MixedClasses(const fleet::ServiceId& aService) const;
  /// Returns the engines of the mixed service `aService` that calls of `aClass` prefer; nullopt if
  /// they have no preference.
  std::optional<scheduling::EnginePreference> PreferenceOf(
    const fleet::ServiceId& aService,
    const scheduling::CallClass& aClass) const;
  /// Returns the division of the engines of the mixed service `aService`.
  scheduling::PromptSplit& SplitOf(const fleet::ServiceId& aService);
  /// Sets the number of nodes that share the fleet's retry budgets and the rejections that
  /// endpoints tolerate; at least one is assumed.
  void SetNodeCount(size_t aCount);
  /// Adds to the retry budget of `aService` for a new call.
  void CreditRetryBudget(const fleet::ServiceId& aService);
  /// Returns whether the budget of `aService` has a retry left.
  bool HasRetry(const fleet::ServiceId& aService);
  /// Takes one retry from the budget of `aService`. Returns false if the budget is used up.
  bool TrySpendRetry(const fleet::ServiceId& aService);
  /// Records engine work that callers requested, in engine milliseconds.
  void AddRequestedWork(double aMillis) { m_requestedWork += aMillis; }
  /// Returns the engine work requested since the start, in engine milliseconds.
  double RequestedWork() const { return m_requestedWork; }
  /// Counts a call to an engine whose answer has begun, or that ended without one. `aIsLate` tells
  /// whether it missed its latency target.
  void CountEngineCall(bool aIsLate) {
    m_engineCalls += 1;
    m_lateEngineCalls += aIsLate ? 1 : 0;
  }
  /// Returns the number of calls counted by CountEngineCall, and of the late ones among them.
  double EngineCalls() const { return m_engineCalls; }
  double LateEngineCalls() const { return m_lateEngineCalls; }
  /// Returns the open calls at `aEndpoint`.
  OpenCalls OpenCallsAt(const base::EndpointId& aEndpoint) const;
  /// Forgets the outcomes of attempts of this node, which say nothing about the endpoints if the
  /// node was cut off from them.
  void ForgetOutcomes();
  /// Sets the gauges of the learned speed of each service.
  void SetSpeedGauges();
  /// Returns a random number in [0, 1).
  double Random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

  adapters::http::EventLoop& m_loop;
  const WireFormat m_wire;
  const base::ZoneId m_zone;
  const bool m_ordersBySlack;
  const base::Log m_log{ "forwarding" };
  /// Requests of callers, answers of endpoints until they are complete, and what callers have not
  /// taken yet.
  base::BufferBudget m_buffers;
  fleet::EndpointDirectory m_directory;
  engines::EngineModel m_engines{ engines::EngineModelSettings{} };
  placement::FailureReports m_failures{ placement::FailureReportSettings{} };
  placement::Placement m_placement{ placement::PlacementSettings{}, &m_engines, &m_failures };
  scheduling::Admission m_admission{ scheduling::AdmissionSettings{} };
  duties::ScalingPolicy m_scaling{ duties::ScalingSettings{} };
  fleet::EndpointAvailability m_availability{ fleet::AvailabilitySettings{} };
  RejectionLimit m_rejectionLimit{ RejectionLimitSettings{} };
  rollout::VersionGate m_versions;
  fleet::VersionHistory m_versionHistory;
  StreamOrigins m_streamOrigins;
  VersionFinder m_versionFinder{ m_loop, m_streamOrigins, m_versionHistory };
  RegistryView m_registryView;
  EndpointReach m_reach{ EndpointReachSettings{} };
  ProcessContinuity m_continuity;
  EndpointPool m_pool;
  CallDurations m_durations;
  EndpointSignals m_signals;
  quota::QuotaLedger m_quota;
  duties::UsageLedger m_usage;
  Metrics m_metrics;
  ReachMonitor m_reachMonitor;
  CrashGuard m_crashGuard{ m_metrics };

private:
  requests::RetryBudgetSettings MakeRetryBudgetSettings() const;
  requests::RetryBudget& RetryBudgetFor(const fleet::ServiceId& aService);

  fleet::CatalogPtr m_catalog;
  fleet::StreamLifetime m_streamLifetime;
  std::map<fleet::ServiceId, scheduling::CallClasses> m_mixedServices;
  std::map<fleet::ServiceId, scheduling::PromptSplit> m_splits;
  RetryLimits m_retryLimits;
  size_t m_nodeCount = 3;
  std::map<fleet::ServiceId, requests::RetryBudget> m_budgets;
  double m_requestedWork = 0;
  double m_engineCalls = 0;
  double m_lateEngineCalls = 0;
  std::mt19937_64 m_random{ base::RandomSeed() };
};

} // namespace papayafield::forwarding
