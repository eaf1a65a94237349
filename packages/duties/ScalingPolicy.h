#pragma once

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace papayafield::duties {

/// How an engine's work is estimated and how much room is kept.
struct ScalingSettings {
  /// Prompt tokens that an engine reads in a millisecond (from the engines' data sheet).
  double m_prefillTokensPerMs = 56.9;
  /// Engine time for one output token in a batch of usual size, in milliseconds (data sheet: a step
  /// takes 3.09 ms and 0.102 ms for each request in it; 20 requests together).
  double m_decodeMsPerToken = 0.26;
  /// Part of its time that an engine is planned to work; the rest answers bursts of 1.7 times.
  double m_targetUse = 0.5;
  /// Demand is watched for so long before the first order: traffic has to show its usual rate.
  base::Millis m_learnSpan{ 5000 };
  /// A fleet whose size has not changed for so long counts as whole.
  base::Millis m_settleSpan{ 2000 };
  /// How long a peak of demand is remembered, so that the fleet shrinks slowly.
  base::Millis m_peakSpan{ 12000 };
  /// Beyond the start-up time, until an engine that was ordered has registered.
  base::Millis m_startSlack{ 1500 };
  /// Full-price engines kept in all zones together, for each engine of demand: they carry the
  /// urgent calls while the reclaimable ones are gone.
  double m_floorPart = 0.4;
  /// The same, as a part of the fleet, before demand is known.
  double m_unknownFloorPart = 0.5;
};

/// What is ordered in one zone.
struct ScalingOrder {
  fleet::ServiceId m_service;
  base::ZoneId m_zone;
  bool m_reclaimable = false;
  int m_count = 0;

  /// Compares all members.
  bool operator==(const ScalingOrder&) const = default;
};

/// Decides how many engines of a service run in each zone. Answers the load of a daily wave with
/// bursts, and of reclaims that take a zone's cheap engines at once while no others are to be had.
/// Not thread safe.
class ScalingPolicy {
public:
  explicit ScalingPolicy(ScalingSettings aSettings)
    : m_settings(aSettings) {}

  /// Engine time that a request of these sizes takes, in milliseconds.
  double WorkOf(double aUncachedPrompt, double aOutput) const {
    return aUncachedPrompt / m_settings.m_prefillTokensPerMs +
           aOutput * m_settings.m_decodeMsPerToken;
  }
  /// Notes the demand at `aNow`: engine milliseconds asked for in a second, over all nodes.
  void NoteDemand(double aWorkPerSecond, base::TimePoint aNow);
  /// The orders that make the fleet right, one for each zone and kind. `aEndpoints` holds the
  /// registrations of all endpoints of the service.
  std::vector<ScalingOrder> Plan(const fleet::Service& aService,
                                 const std::vector<fleet::Endpoint>& aEndpoints,
                                 base::TimePoint aNow);
  /// Notes how the platform took an order: reclaimable engines that it has accepted are expected to
  /// be there after the service's start-up time.
  void NoteOutcome(const fleet::Service& aService,
                   const ScalingOrder& aOrder,
                   bool aAccepted,
                   base::TimePoint aNow);
  /// Whether demand has been watched for long enough to plan from it. Before that the fleet keeps
  /// its size, and only part of it is replaced by cheaper engines.
  bool KnowsDemand(base::TimePoint aNow) const;
  /// Engines that the remembered peak of demand keeps busy.
  double EnginesOfDemand() const;

private:
  /// How many engines there are to be, and how many of them at full price.
  struct Size {
    int m_total = 0;
    int m_floor = 0;
  };

  /// Engines of a service that take new work, and reclaimable ones that soon will.
  struct Running {
    int m_full = 0;
    std::map<base::ZoneId, int> m_reclaimable;
    std::map<base::ZoneId, int> m_expected;
  };
  /// Reclaimable engines that were ordered in a zone.
  struct Ordered {
    int m_count = 0;
    base::TimePoint m_readyBy{};
  };

  bool NoteSize(size_t aReady, base::TimePoint aNow);
  Running Count(const fleet::Service& aService,
                const std::vector<fleet::Endpoint>& aEndpoints,
                base::TimePoint aNow) const;
  int FullPrice(const Size& aSize, const Running& aRunning) const;
  double FirstSizePart(base::TimePoint aNow) const;
  Size SizeFor(const fleet::ScalingBounds& aBounds, base::TimePoint aNow) const;

  struct Sample {
    base::TimePoint m_at;
    double m_work;
  };

  ScalingSettings m_settings;
  std::deque<Sample> m_samples;
  std::optional<base::TimePoint> m_firstDemand;
  /// Ready engines lately, and since when there are so many.
  size_t m_ready = 0;
  base::TimePoint m_readySince{};
  std::map<std::pair<fleet::ServiceId, base::ZoneId>, Ordered> m_ordered;
  /// The size that the fleet had when it was first seen whole.
  std::optional<size_t> m_firstSize;
};

} // namespace papayafield::duties
