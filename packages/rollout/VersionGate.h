#pragma once

#include "fleet/EndpointDirectory.h"
#include "rollout/RolloutTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayafield::rollout {

/// The version that an attempt was sent to, as far as a roll-out counts it.
struct AttemptVersion {
  /// Position of the order; nullopt if no roll-out was running.
  std::optional<store::Position> m_order;
  bool m_isTarget = false;
  /// Whether the endpoint was still slow after its start, so that its times show nothing.
  bool m_isCold = false;
};

/// A grant of the leader.
struct Grant {
  /// Position of the order.
  store::Position m_order;
  /// Fencing token of the leader.
  uint64_t m_token = 0;
  /// Running total of calls that this incarnation of the node may send to the target.
  uint64_t m_calls = 0;
};

/// Decides at a node which versions of a service a call may go to, and counts calls and answers by
/// version. Without orders and records every endpoint may be used. Not thread safe.
class VersionGate {
public:
  /// Sets the operator's order for a service; nullopt if there is none.
  void SetOrder(const fleet::ServiceId& aService, const std::optional<RolloutOrder>& aOrder);
  /// Sets the leader's record for a service; nullopt if there is none.
  void SetRecord(const fleet::ServiceId& aService, const std::optional<RolloutRecord>& aRecord);
  /// Applies a grant. Those of earlier leaders and of other orders are ignored.
  void SetGrant(const fleet::ServiceId& aService, const Grant& aGrant, base::TimePoint aNow);

  /// Adds the endpoints of the service that must not get the call to `aUnavailable`.
  /// \param aMayExpose whether the call may go to an unproven version: no retries or resumed
  /// streams.
  /// \param aTried endpoints that the call has been sent to.
  void AddExcluded(const fleet::ServiceId& aService,
                   const std::vector<fleet::Endpoint>& aReady,
                   const std::set<base::EndpointId>& aTried,
                   bool aMayExpose,
                   base::TimePoint aNow,
                   std::set<fleet::Incarnation>& aUnavailable) const;

  /// Counts a request of a caller.
  void CountRequest(const fleet::ServiceId& aService);
  /// Counts an attempt that is about to be sent, and spends a call of the grant if it needs one.
  AttemptVersion CountSent(const fleet::Endpoint& aEndpoint, base::TimePoint aNow);
  /// Counts a usable answer, or the first event of a stream, that took `aMillis`.
  void CountAnswer(const fleet::ServiceId& aService,
                   const std::string& aRoute,
                   const AttemptVersion& aVersion,
                   double aMillis);
  /// Counts an attempt that failed. `aHasAnswer`: CountAnswer has counted it. `aIsLoss`: the
  /// endpoint closed the connection; several such losses at one endpoint are one crash.
  void CountFailure(const fleet::Endpoint& aEndpoint,
                    const std::string& aRoute,
                    const AttemptVersion& aVersion,
                    bool aHasAnswer,
                    bool aIsLoss,
                    base::TimePoint aNow);
  /// Counts that an attempt has ended.
  void CountEnded(const fleet::ServiceId& aService, const AttemptVersion& aVersion);

  /// Returns the totals of the services with a running roll-out.
  std::map<fleet::ServiceId, NodeCounts> Counts() const;
  /// Returns whether a roll-out of the service is running.
  bool IsRunning(const fleet::ServiceId& aService) const;

private:
  struct ServiceState {
    std::optional<RolloutOrder> m_order;
    std::optional<RolloutRecord> m_record;
    NodeCounts m_counts;
    uint64_t m_granted = 0;
    uint64_t m_token = 0;
    base::TimePoint m_grantEnd{};
    /// When the last loss at each endpoint was counted.
    std::map<base::EndpointId, base::TimePoint> m_losses;

    /// Returns the record if it belongs to the order in force.
    const RolloutRecord* CurrentRecord() const;
    bool IsRunning() const;
    bool IsRejected(const std::string& aVersion) const;
  };

  ServiceState* FindCounted(const fleet::ServiceId& aService, const AttemptVersion& aVersion);
  static AnswerCounts* CountsOf(ServiceState& aState,
                                const std::string& aRoute,
                                const AttemptVersion& aVersion);

  std::map<fleet::ServiceId, ServiceState> m_services;
};

} // namespace papayafield::rollout
