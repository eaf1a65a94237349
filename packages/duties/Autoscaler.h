#pragma once

#include "base/Log.h"
#include "duties/LeaderPlatformPort.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <tuple>

namespace papayafield::duties {

/// Sends the engine counts that the scaling policy plans to the platform. An order states an
/// absolute count, so that an order with an unknown outcome can be repeated safely. Used on the
/// event loop thread only.
template<LeaderPlatformPort Platform>
class Autoscaler {
public:
  Autoscaler(Platform& aPlatform, ScalingPolicy& aPolicy)
    : m_platform(aPlatform)
    , m_policy(aPolicy) {}

  /// Sends the orders that differ from the last accepted ones. Called twice a second while this
  /// node is the leader. Services for which `aIsFixed` returns true are left as they are.
  void Tick(const Leadership& aLeadership,
            const fleet::Catalog& aCatalog,
            const fleet::EndpointDirectory& aDirectory,
            const std::function<bool(const fleet::ServiceId&)>& aIsFixed = {}) {
    if (m_fencingToken != aLeadership.m_token) {
      m_fencingToken = aLeadership.m_token;
      m_sentOrders.clear();
    }
    const auto now = base::BootNow();
    for (const fleet::Service& service : aCatalog.Services()) {
      if (aIsFixed && aIsFixed(service.m_id)) {
        continue;
      }
      std::vector<fleet::Endpoint> endpoints;
      for (const auto& [id, endpoint] : aDirectory.All()) {
        if (endpoint.m_service == service.m_id) {
          endpoints.push_back(endpoint);
        }
      }
      for (const ScalingOrder& order : m_policy.Plan(service, endpoints, now)) {
        SendOrder(service, order, aLeadership, now);
      }
    }
  }

private:
  /// Interval at which an accepted order is repeated, in case a delayed older order overrode it.
  static constexpr base::Millis kRepeatInterval{ 8000 };
  /// Delay before an order that was lost or rejected is sent again.
  static constexpr base::Millis kRetryDelay{ 900 };
  /// Delay before an order is sent again that the platform had no capacity for.
  static constexpr base::Millis kNoCapacityDelay{ 2500 };

  /// The last order sent for a service, zone and price class.
  struct SentOrder {
    int m_count = -1;
    /// Delay before the same order is sent again.
    base::Millis m_repeatDelay{ 0 };
    bool m_isPending = false;
    base::TimePoint m_sentAt{};
  };
  using OrderKey = std::tuple<fleet::ServiceId, base::ZoneId, bool>;

  void SendOrder(const fleet::Service& aService,
                 const ScalingOrder& aOrder,
                 const Leadership& aLeadership,
                 base::TimePoint aNow) {
    const OrderKey key{ aOrder.m_service, aOrder.m_zone, aOrder.m_reclaimable };
    SentOrder& sent = m_sentOrders[key];
    const bool same = sent.m_count == aOrder.m_count;
    const auto age = aNow - sent.m_sentAt;
    if (sent.m_isPending || (same && age < sent.m_repeatDelay)) {
      return;
    }
    sent = { aOrder.m_count, kRetryDelay, true, aNow };
    m_platform.OrderEngines(
      aOrder, aLeadership, [this, key, aService, aOrder](PlatformCallOutcome aOutcome) {
        SentOrder& settled = m_sentOrders[key];
        settled.m_isPending = false;
        settled.m_repeatDelay = aOutcome == PlatformCallOutcome::Accepted   ? kRepeatInterval
                                : aOutcome == PlatformCallOutcome::Conflict ? kNoCapacityDelay
                                                                            : kRetryDelay;
        if (aOutcome == PlatformCallOutcome::Accepted ||
            aOutcome == PlatformCallOutcome::Conflict) {
          m_policy.RecordOrderOutcome(
            aService, aOrder, aOutcome == PlatformCallOutcome::Accepted, base::BootNow());
        }
        m_log.Event("engines ordered",
                    { { "service", aOrder.m_service.Text() },
                      { "zone", aOrder.m_zone.Text() },
                      { "reclaimable", aOrder.m_reclaimable },
                      { "count", aOrder.m_count },
                      { "demand", m_policy.PeakDemandInEngines() },
                      { "outcome", base::NameOf(aOutcome) } });
      });
  }

  Platform& m_platform;
  ScalingPolicy& m_policy;
  const base::Log m_log{ "scaling" };
  std::optional<FencingToken> m_fencingToken;
  std::map<OrderKey, SentOrder> m_sentOrders;
};

} // namespace papayafield::duties
