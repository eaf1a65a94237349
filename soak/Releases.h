#pragma once

#include "soak/PlannedWork.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace papayafield::soak {

/// A time in which an endpoint ran and was registered as ready.
struct EndpointSpan {
  std::string m_id;
  std::string m_version;
  base::TimePoint m_start{};
  /// Not set while the endpoint still serves.
  std::optional<base::TimePoint> m_end;
};

/// Replaces endpoints by those of another software version while the event loop runs, in part or
/// as a whole, forwards and back. Some new endpoints crash and return. Uses the runners of the
/// fleet as places for endpoints, of which half serve at a time. Must be used only on the thread of
/// the event loop.
class Releases {
public:
  /// Time for which an endpoint continues to serve after it has reported that it leaves, or after
  /// its entry was removed.
  static constexpr base::Millis kLeaveTime{ 3500 };

  /// `aPlaces` is the number of runners of `aFleet`. Stops those that are not needed at first.
  /// `aFleet` and `aLoop` must outlive the object.
  Releases(tests::PlatformFleet& aFleet,
           adapters::http::EventLoop& aLoop,
           size_t aPlaces,
           uint64_t aSeed);

  /// Schedules a release that starts after `aDelay`. Returns its description.
  std::string Schedule(base::Millis aDelay);
  /// Returns when each endpoint served, in the order of their starts.
  const std::vector<EndpointSpan>& Spans() const { return m_spans; }
  /// Returns the time from each crash of an endpoint until its return.
  const std::vector<std::pair<base::TimePoint, base::TimePoint>>& Crashes() const {
    return m_crashes;
  }
  /// Number of endpoints that serve while no release is in progress.
  size_t ServingCount() const { return m_places.size() / 2; }

private:
  enum class State { Stopped, Serving, Leaving, Crashed };

  /// A runner of the fleet.
  struct Place {
    State m_state = State::Stopped;
    std::string m_id;
    std::string m_version;
    /// Index of the span in m_spans while the endpoint serves.
    size_t m_span = 0;
    base::TimePoint m_startedAt{};
  };

  void Replace(const std::string& aVersion, bool aReportsDraining, bool aCrashes);
  void StartEndpoint(size_t aPlace, const std::string& aVersion);
  void LeaveOldest(const std::string& aExceptVersion, bool aReportsDraining);
  void Crash(size_t aPlace);
  void Return(size_t aPlace);
  void BeginSpan(size_t aPlace);
  void EndSpan(size_t aPlace);
  void Control(size_t aPlace, nlohmann::json aBody);
  void Later(base::Millis aDelay, std::function<void()> aAction);
  base::Millis RandomTime(base::Millis aMin, base::Millis aMax) {
    return aMin + base::Millis(m_random() % static_cast<uint64_t>((aMax - aMin).count() + 1));
  }

  tests::PlatformFleet& m_fleet;
  adapters::http::EventLoop& m_loop;
  std::mt19937_64 m_random;
  std::vector<Place> m_places;
  std::vector<EndpointSpan> m_spans;
  std::vector<std::pair<base::TimePoint, base::TimePoint>> m_crashes;
  std::vector<adapters::http::EventHandlePtr> m_timers;
  size_t m_startCount = 0;
  int m_version = 1;
  int m_newestVersion = 1;
};

} // namespace papayafield::soak
