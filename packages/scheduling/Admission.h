#pragma once

#include <cstddef>
#include <optional>

namespace papayafield::scheduling {

/// Limits of refusals by predicted wait.
struct AdmissionSettings {
  /// Share of the slots that must be taken before a call is refused.
  double m_minTakenShare = 0.5;
  /// Callers honour a Retry-After of up to this part of the time they have left.
  double m_maxRetryPart = 0.33;
  /// Least time in milliseconds after which a caller is asked to return: less than a round trip
  /// and the next heartbeat (250 ms) brings no news.
  double m_minRetryMs = 250;
};

/// What is expected for a call when it arrives.
struct Prospect {
  /// Expected time in milliseconds to the first event of the answer at the best endpoint.
  double m_expectedMs = 0;
  /// Time in milliseconds that the call has left.
  double m_timeLeftMs = 0;
  /// Open calls at the endpoints of the service, those that wait for a slot there, and all slots.
  double m_calls = 0;
  double m_waitingCalls = 0;
  double m_slots = 0;
};

/// How urgent a refused call is.
struct ReturnOrder {
  /// Position of its priority among those of the service; 0 is the most urgent.
  size_t m_rank = 0;
  /// Number of priorities, at least one.
  size_t m_count = 1;
};

/// Refuses calls that no endpoint can serve before their deadline, and states when a refused call
/// is to return. Has no state. Thread safe.
class Admission {
public:
  explicit Admission(AdmissionSettings aSettings)
    : m_settings(aSettings) {}

  /// Returns whether a call is refused before its first attempt.
  bool Refuses(const Prospect& aProspect) const;
  /// Returns the milliseconds until a call that `Refuses` rejects could be served in time: the
  /// excess of its expected time, since what is pending is worked off at one millisecond per
  /// millisecond.
  double RoomInMs(const Prospect& aProspect) const;
  /// Returns the Retry-After in seconds of a refused call.
  /// \param aRoomInMs when capacity is expected.
  /// \param aRandom in [0, 1). Calls of one priority return within half of `aRoomInMs`, and those
  /// of the next priority after them.
  double RetryAfterSeconds(double aRoomInMs,
                           double aTimeLeftMs,
                           const ReturnOrder& aOrder,
                           double aRandom) const;

private:
  AdmissionSettings m_settings;
};

} // namespace papayafield::scheduling
