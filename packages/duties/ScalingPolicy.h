#pragma once

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace papayafield::duties {

/// Cost model of an engine, and the spare capacity to keep.
struct ScalingSettings {
  /// Prompt tokens that an engine prefills per millisecond (from the engines' data sheet).
  double m_prefillTokensPerMs = 56.9;
  /// Engine time per output token in milliseconds, at a batch size of 20. By the data sheet a
  /// decoding step takes 3.09 ms plus 0.102 ms per request in the batch.
  double m_decodeMsPerToken = 0.26;
  /// Target utilization of an engine. The rest absorbs bursts of 1.7 times the demand.
  double m_targetUtilization = 0.5;
  /// Observation period before orders follow the demand, until traffic reaches its usual rate.
  base::Millis m_observationPeriod{ 5000 };
  /// Time without a change in size after which the fleet counts as completely started.
  base::Millis m_sizeSettleTime{ 2000 };
  /// Window of the peak demand, so that the fleet shrinks slowly.
  base::Millis m_peakWindow{ 12000 };
  /// Time allowed beyond the start-up time for an ordered engine to register.
  base::Millis m_startSlack{ 1500 };
  /// Minimum number of full-price engines over all zones, per engine of demand. They serve the
  /// urgent calls while the reclaimable engines are gone.
  double m_fullPriceFraction = 0.4;
  /// The same minimum as a fraction of the fleet, used before demand is known.
  double m_initialFullPriceFraction = 0.5;
};

/// The number of engines of one price class that a service should have in one zone.
struct ScalingOrder {
  fleet::ServiceId m_service;
  base::ZoneId m_zone;
  bool m_reclaimable = false;
  int m_count = 0;

  bool operator==(const ScalingOrder&) const = default;
};

/// Decides how many engines of a service run in each zone. It follows a daily load curve with
/// bursts, and copes with reclaims that take all reclaimable engines of a zone at once while no
/// replacements are available. Not thread safe.
class ScalingPolicy {
public:
  explicit ScalingPolicy(ScalingSettings aSettings)
    : m_settings(aSettings) {}

  /// Returns the estimated engine time of a request in milliseconds. The sizes are in tokens.
  double EstimateWorkMs(double aUncachedPrompt, double aOutput) const {
    return aUncachedPrompt / m_settings.m_prefillTokensPerMs +
           aOutput * m_settings.m_decodeMsPerToken;
  }
  /// Records the demand at `aNow`: requested engine milliseconds per second, over all nodes.
  void RecordDemand(double aWorkPerSecond, base::TimePoint aNow);
  /// Returns the target engine counts, one order per zone and price class. `aEndpoints` holds the
  /// registrations of all endpoints of the service. Returns no orders if the service has no scaling
  /// bounds, or if neither the size of the fleet nor the demand is known yet.
  std::vector<ScalingOrder> Plan(const fleet::Service& aService,
                                 const std::vector<fleet::Endpoint>& aEndpoints,
                                 base::TimePoint aNow);
  /// Records whether the platform accepted an order. Accepted reclaimable engines are expected to
  /// be ready after the service's start-up time.
  void RecordOrderOutcome(const fleet::Service& aService,
                          const ScalingOrder& aOrder,
                          bool aAccepted,
                          base::TimePoint aNow);
  /// Returns whether demand has been observed long enough to plan from it. Before that the fleet
  /// does not shrink, and only a part of it is replaced by cheaper engines.
  bool IsDemandKnown(base::TimePoint aNow) const;
  /// Returns the peak demand in units of fully utilized engines.
  double PeakDemandInEngines() const;

private:
  /// Target number of engines, and the minimum number of full-price engines among them.
  struct FleetSize {
    int m_total = 0;
    int m_minFullPrice = 0;
  };

  /// Engines of a service that accept new work, and reclaimable ones that will do so soon.
  struct EngineCounts {
    int m_fullPrice = 0;
    std::map<base::ZoneId, int> m_reclaimable;
    std::map<base::ZoneId, int> m_expected;
  };
  /// The last order of reclaimable engines in a zone.
  struct LastOrder {
    int m_count = 0;
    base::TimePoint m_readyBy{};
  };

  bool UpdateFleetSize(size_t aReady, base::TimePoint aNow);
  EngineCounts CountEngines(const fleet::Service& aService,
                            const std::vector<fleet::Endpoint>& aEndpoints,
                            base::TimePoint aNow) const;
  int FullPriceTarget(const FleetSize& aSize, const EngineCounts& aEngines) const;
  double InitialSizeBound(base::TimePoint aNow) const;
  FleetSize TargetFleetSize(const fleet::ScalingBounds& aBounds, base::TimePoint aNow) const;

  struct Sample {
    base::TimePoint m_at;
    double m_work;
  };

  ScalingSettings m_settings;
  std::deque<Sample> m_samples;
  std::optional<base::TimePoint> m_firstDemandAt;
  /// Number of ready engines, and the time of its last change.
  size_t m_readyEngines = 0;
  base::TimePoint m_readySince{};
  std::map<std::pair<fleet::ServiceId, base::ZoneId>, LastOrder> m_lastOrders;
  /// Size of the fleet when it was first completely started.
  std::optional<size_t> m_initialSize;
};

} // namespace papayafield::duties
