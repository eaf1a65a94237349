#include "soak/Releases.h"

#include <algorithm>

namespace papayafield::soak {

using nlohmann::json;

namespace {

constexpr base::Millis kMinInterval{ 150 };
constexpr base::Millis kMaxInterval{ 1000 };
/// Time from the start of a new endpoint until an old one leaves.
constexpr base::Millis kMaxOverlap{ 1000 };
/// Time from the start of an endpoint until it crashes, if it does.
constexpr base::Millis kMinCrashDelay{ 400 };
constexpr base::Millis kMaxCrashDelay{ 1500 };
constexpr base::Millis kCrashTime{ 2000 };
/// One of this many releases goes back to an earlier version.
constexpr uint64_t kReleasesPerReturn = 3;
/// One of this many releases replaces all endpoints; the others one to all of them.
constexpr uint64_t kReleasesPerWhole = 2;
/// One of this many releases has an endpoint that crashes.
constexpr uint64_t kReleasesPerCrash = 2;

std::string VersionName(int aNumber) {
  return "v" + std::to_string(aNumber);
}

} // namespace

Releases::Releases(tests::PlatformFleet& aFleet,
                   adapters::http::EventLoop& aLoop,
                   size_t aPlaces,
                   uint64_t aSeed)
  : m_fleet(aFleet)
  , m_loop(aLoop)
  , m_random(aSeed)
  , m_places(aPlaces) {
  for (size_t place = 0; place < aPlaces; ++place) {
    m_places[place].m_id = "i-" + std::to_string(place);
    m_places[place].m_version = VersionName(m_version);
    if (place < ServingCount()) {
      m_places[place].m_state = State::Serving;
      BeginSpan(place);
    } else {
      Control(place, { { "process", "stopped" }, { "state", "gone" } });
    }
  }
}

std::string Releases::Schedule(base::Millis aDelay) {
  const bool goesBack = m_version > 1 && m_random() % kReleasesPerReturn == 0;
  m_version = goesBack ? m_version - 1 : ++m_newestVersion;
  const std::string version = VersionName(m_version);
  const size_t count =
    m_random() % kReleasesPerWhole == 0 ? ServingCount() : 1 + m_random() % ServingCount();
  const bool reportsDraining = m_random() % 2 == 0;
  const bool crashes = m_random() % kReleasesPerCrash == 0;
  std::string summary = " release_" + version + "x" + std::to_string(count) +
                        (reportsDraining ? "_draining" : "_removed") + "@" +
                        std::to_string(aDelay.count());
  base::Millis delay = aDelay;
  for (size_t i = 0; i < count; ++i) {
    const bool isCrash = crashes && i == 0;
    Later(delay, [this, version, reportsDraining, isCrash] {
      Replace(version, reportsDraining, isCrash);
    });
    delay += RandomTime(kMinInterval, kMaxInterval);
  }
  return summary + (crashes ? "_crash" : "");
}

void Releases::Replace(const std::string& aVersion, bool aReportsDraining, bool aCrashes) {
  const auto free = std::find_if(m_places.begin(), m_places.end(), [](const Place& aPlace) {
    return aPlace.m_state == State::Stopped;
  });
  if (free == m_places.end()) {
    return;
  }
  const auto place = static_cast<size_t>(free - m_places.begin());
  StartEndpoint(place, aVersion);
  if (aCrashes) {
    Later(RandomTime(kMinCrashDelay, kMaxCrashDelay), [this, place] { Crash(place); });
  }
  Later(RandomTime(base::Millis(0), kMaxOverlap),
        [this, aVersion, aReportsDraining] { LeaveOldest(aVersion, aReportsDraining); });
}

void Releases::StartEndpoint(size_t aPlace, const std::string& aVersion) {
  Place& place = m_places[aPlace];
  place.m_state = State::Serving;
  place.m_id = "i-" + std::to_string(aPlace) + "-" + std::to_string(++m_startCount);
  place.m_version = aVersion;
  Control(aPlace,
          { { "process", "running" },
            { "id", place.m_id },
            { "version", aVersion },
            { "state", "ready" } });
  BeginSpan(aPlace);
}

void Releases::LeaveOldest(const std::string& aExceptVersion, bool aReportsDraining) {
  size_t oldest = m_places.size();
  size_t serving = 0;
  for (size_t i = 0; i < m_places.size(); ++i) {
    const Place& place = m_places[i];
    if (place.m_state != State::Serving) {
      continue;
    }
    ++serving;
    if (place.m_version != aExceptVersion &&
        (oldest == m_places.size() || place.m_startedAt < m_places[oldest].m_startedAt)) {
      oldest = i;
    }
  }
  if (oldest == m_places.size() || serving <= ServingCount()) {
    return;
  }
  EndSpan(oldest);
  m_places[oldest].m_state = State::Leaving;
  Control(oldest, { { "state", aReportsDraining ? "draining" : "gone" } });
  Later(kLeaveTime, [this, oldest] {
    Control(oldest, { { "process", "stopped" }, { "state", "gone" } });
    m_places[oldest].m_state = State::Stopped;
  });
}

void Releases::Crash(size_t aPlace) {
  if (m_places[aPlace].m_state != State::Serving) {
    return;
  }
  EndSpan(aPlace);
  m_places[aPlace].m_state = State::Crashed;
  m_crashes.emplace_back(base::BootNow(), base::BootNow() + kCrashTime);
  // The entry remains until the endpoint returns.
  Control(aPlace, { { "process", "stopped" } });
  Later(kCrashTime, [this, aPlace] { Return(aPlace); });
}

void Releases::Return(size_t aPlace) {
  m_places[aPlace].m_state = State::Serving;
  Control(aPlace, { { "process", "running" }, { "state", "ready" } });
  BeginSpan(aPlace);
}

void Releases::BeginSpan(size_t aPlace) {
  Place& place = m_places[aPlace];
  place.m_startedAt = base::BootNow();
  place.m_span = m_spans.size();
  m_spans.push_back({ place.m_id, place.m_version, place.m_startedAt, std::nullopt });
}

void Releases::EndSpan(size_t aPlace) {
  m_spans[m_places[aPlace].m_span].m_end = base::BootNow();
}

void Releases::Control(size_t aPlace, json aBody) {
  aBody["index"] = aPlace;
  m_fleet.PostControl("runner", aBody);
}

void Releases::Later(base::Millis aDelay, std::function<void()> aAction) {
  m_timers.push_back(m_loop.After(aDelay, std::move(aAction)));
}

} // namespace papayafield::soak
