#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"
#include "duties/ScalingPolicy.h"
#include "duties/UsageLedger.h"
#include "store/Position.h"

#include <concepts>
#include <cstdint>
#include <functional>

namespace papayafield::duties {

/// Fencing token of a leader, greater than those of all earlier leaders. The platform rejects calls
/// whose token is smaller than one it has seen.
using FencingToken = uint64_t;

/// Returns the fencing token of a leader whose key was created at `aPosition`. Tokens of a later
/// era are greater, since a restored store assigns revisions again. Precondition: the revision is
/// below 2^40, and the era below 2^24. Thread safe.
constexpr FencingToken MakeFencingToken(const store::Position& aPosition) {
  constexpr unsigned kRevisionBits = 40;
  return (aPosition.m_era << kRevisionBits) + aPosition.m_revision;
}

/// Permission to make leader calls until a point in time.
struct Leadership {
  FencingToken m_token = 0;
  /// Time on the boot-time clock from which another node may be the leader. No byte of a leader
  /// call may be sent after it, since the platform may not check the token.
  base::TimePoint m_validUntil{};
};

/// Outcome of a platform call.
enum class PlatformCallOutcome {
  Accepted,
  /// The platform has seen a greater fencing token, or has no capacity for the order.
  Conflict,
  /// The platform rejected the call.
  Rejected,
  /// No response arrived; the call may have taken effect.
  Unknown,
};

/// Called with the outcome of a platform call.
using OnPlatformCallOutcome = std::function<void(PlatformCallOutcome)>;

/// Platform API that only the leader calls.
template<class T>
concept LeaderPlatformPort = requires(T& aPort,
                                      int64_t aWindow,
                                      UsageLedger::Counts aCounts,
                                      Leadership aLeadership,
                                      ScalingOrder aOrder) {
  aPort.ReportUsage(aWindow, aCounts, aLeadership, OnPlatformCallOutcome());
  aPort.OrderEngines(aOrder, aLeadership, OnPlatformCallOutcome());
};

} // namespace papayafield::duties

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<duties::PlatformCallOutcome> =
  std::to_array<EnumName<duties::PlatformCallOutcome>>({
    { duties::PlatformCallOutcome::Accepted, "accepted" },
    { duties::PlatformCallOutcome::Conflict, "conflict" },
    { duties::PlatformCallOutcome::Rejected, "refused" },
    { duties::PlatformCallOutcome::Unknown, "unknown" },
  });

} // namespace papayafield::base
