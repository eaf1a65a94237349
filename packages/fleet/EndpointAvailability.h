#pragma once

#include "base/EnumNames.h"
#include "fleet/EndpointDirectory.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayafield::fleet {

/// Reason why an endpoint gets no calls although it is registered as ready.
enum class Unavailability {
  /// The endpoint has stated that it is about to stop.
  Leaving,
  /// The endpoint has asked for a pause that has not ended yet.
  Waiting,
};

/// Limits for what endpoints state about themselves.
struct AvailabilitySettings {
  /// Maximum pause that one answer of an endpoint may ask for.
  base::Millis m_maxWait{ 60000 };
  /// Time after an endpoint's statement that it leaves during which nodes inform one another of it.
  base::Millis m_announceTime{ 30000 };
  /// Time for which a leaving endpoint is remembered after its registration has been removed.
  base::Millis m_retention{ 60000 };
  /// Number of endpoints above which those that peers report as leaving are not recorded.
  size_t m_maxRecords = 1024;
  /// Maximum number of leaving endpoints that one announcement contains.
  size_t m_maxAnnounced = 32;
};

/// An incarnation of an endpoint that leaves.
struct LeavingMark {
  Incarnation m_incarnation;
  /// Time since the endpoint stated it to any node.
  base::Millis m_age{ 0 };
};

/// Describes a service none of whose endpoints may get a call.
struct ServiceOutage {
  /// `Waiting` if the service becomes available again at the end of a pause.
  Unavailability m_reason = Unavailability::Leaving;
  /// Number of endpoints that leave.
  size_t m_leaving = 0;
  /// Number of endpoints that have asked for a pause and do not leave.
  size_t m_waiting = 0;
  /// Time until the first pause ends; 0 if no endpoint waits.
  base::Millis m_firstEnd{ 0 };
};

/// Decides whether an endpoint may get a call, by what the endpoint has stated about itself. The
/// statements belong to one incarnation of the endpoint and do not depend on its registration,
/// which may be outdated. Not thread safe.
class EndpointAvailability {
public:
  explicit EndpointAvailability(AvailabilitySettings aSettings)
    : m_settings(aSettings) {}

  /// Records that an endpoint leaves. Returns false if that was known.
  bool MarkLeaving(const Incarnation& aIncarnation, base::TimePoint aNow);
  /// Records that an endpoint leaves, as reported by a peer. Returns false if that was known, if
  /// the report is too old, or if too many endpoints are recorded.
  bool Adopt(const LeavingMark& aMark, base::TimePoint aNow);
  /// Records that an endpoint wants no calls for `aDelay`, which is limited to the maximum pause.
  /// An earlier pause is not shortened. Returns the time until the pause ends.
  base::Millis Pause(const Incarnation& aIncarnation, base::Millis aDelay, base::TimePoint aNow);

  /// Returns why an endpoint must not get a call, or nullopt if it may get one.
  std::optional<Unavailability> Check(const Incarnation& aIncarnation, base::TimePoint aNow) const;
  /// Returns the incarnations that must not get a call.
  std::set<Incarnation> Unavailable(base::TimePoint aNow) const;
  /// Returns why no endpoint of `aService` may get a call, or nullopt if one of them may or if
  /// `aEndpoints` contains none of the service.
  std::optional<ServiceOutage> FindOutage(const ServiceId& aService,
                                          const std::vector<Endpoint>& aEndpoints,
                                          base::TimePoint aNow) const;
  /// Returns the leaving endpoints that peers should know of, the latest ones first.
  std::vector<LeavingMark> Announcement(base::TimePoint aNow) const;
  /// Removes what is no longer needed. `aKnown`: all endpoints that are registered.
  void RemoveObsolete(const std::map<base::EndpointId, Endpoint>& aKnown, base::TimePoint aNow);

private:
  struct Record {
    /// When the endpoint stated that it leaves; nullopt if it has not.
    std::optional<base::TimePoint> m_leavingSince;
    base::TimePoint m_waitUntil{};
    /// When the incarnation was registered most recently, as far as known.
    base::TimePoint m_lastKnown{};
  };

  AvailabilitySettings m_settings;
  std::map<Incarnation, Record> m_records;
};

} // namespace papayafield::fleet

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<fleet::Unavailability> =
  std::to_array<EnumName<fleet::Unavailability>>({
    { fleet::Unavailability::Leaving, "leaving" },
    { fleet::Unavailability::Waiting, "waiting" },
  });

} // namespace papayafield::base
