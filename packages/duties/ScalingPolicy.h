#pragma once

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace papayafield::duties {

/// Cost model of an engine, the spare capacity to keep, and when the fleet changes.
struct ScalingSettings {
  /// Prompt tokens that an engine prefills per millisecond (from the engines' data sheet).
  double m_prefillTokensPerMs = 56.9;
  /// Engine time per output token in milliseconds, at a batch size of 20. By the data sheet a
  /// decoding step takes 3.09 ms plus 0.102 ms per request in the batch. Learned speeds are not
  /// used here: they include waits, and ordered up to a half more engines than were needed.
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
  /// Planned engines from which running engines stay in their zone and the fleet shrinks in steps.
  /// Smaller fleets follow demand and prices at once, since moving a few engines costs less than
  /// keeping them.
  int m_minSteadySize = 40;
  /// Minimum interval between two reductions of the fleet, and the largest one as a fraction of
  /// the fleet. The calls of an engine that stops are prefilled again elsewhere, which the rest of
  /// the fleet must have time to absorb.
  base::Millis m_reductionInterval{ 2000 };
  double m_maxReduction = 0.15;
  /// Smallest reduction that is worthwhile, as a fraction of the fleet.
  double m_minReduction = 0.08;
  /// Fraction of the calls that may miss their latency target while the fleet counts as large
  /// enough, and the fraction above which it grows.
  double m_toleratedLateness = 0.05;
  double m_excessiveLateness = 0.2;
  /// Number of calls from which a fraction of them says something.
  double m_minCallsForLateness = 30;
  /// Factor by which the fleet grows at excessive lateness, and its decay per second afterwards.
  double m_growthFactor = 1.25;
  double m_growthDecayPerSecond = 0.97;
  double m_maxGrowth = 3;
  /// Minimum interval between two such steps: the start of an engine and one measurement.
  base::Millis m_growthInterval{ 5000 };
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
  /// Records how many calls to engines per second got an answer in the latest interval, and how
  /// many of them missed their latency target or were not answered at all, over all nodes. The
  /// fleet grows while many do and does not shrink while some do, whatever the cost model says.
  void RecordLateness(double aCallsPerSecond, double aLatePerSecond, base::TimePoint aNow);
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
    /// Full-price engines as last ordered, or as registered if this node ordered none.
    std::map<base::ZoneId, int> m_fullPriceByZone;
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
  int LimitReduction(int aWanted, base::TimePoint aNow);

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
  /// Accepted counts of full-price engines.
  std::map<std::pair<fleet::ServiceId, base::ZoneId>, int> m_fullPriceOrders;
  /// Factor on the demand that excessive lateness has led to.
  double m_growth = 1;
  base::TimePoint m_growthChangedAt{};
  base::TimePoint m_lastGrowthAt{};
  std::optional<base::TimePoint> m_lastLateAt;
  /// Planned size of the fleet once demand is known, and the time of its last reduction.
  std::optional<int> m_plannedSize;
  base::TimePoint m_lastReductionAt{};
  /// Size of the fleet when it was first completely started.
  std::optional<size_t> m_initialSize;
};

} // namespace papayafield::duties
