#pragma once

#include "base/EnumNames.h"
#include "duties/ScalingPolicy.h"
#include "duties/UsageLedger.h"

#include <concepts>
#include <cstdint>
#include <functional>

namespace papayafield::duties {

/// Fencing token: grows with each leader. The platform rejects calls with a smaller one than it has
/// seen.
using Fence = uint64_t;

/// Outcome of a platform call.
enum class DutyOutcome {
  Accepted,
  /// The platform has seen a greater fencing token, or has no capacity for the order.
  Conflict,
  /// The platform rejected the call.
  Refused,
  /// No response arrived; the call may have taken effect.
  Unknown,
};

/// Called with the outcome of a platform call.
using OnDuty = std::function<void(DutyOutcome)>;

/// Platform API that only the leader calls.
template<class T>
concept DutyPort = requires(T& aPort,
                            int64_t aWindow,
                            UsageLedger::Counts aCounts,
                            Fence aFence,
                            ScalingOrder aOrder) {
  aPort.ReportUsage(aWindow, aCounts, aFence, OnDuty());
  aPort.Order(aOrder, aFence, OnDuty());
};

} // namespace papayafield::duties

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<duties::DutyOutcome> =
  std::to_array<EnumName<duties::DutyOutcome>>({
    { duties::DutyOutcome::Accepted, "accepted" },
    { duties::DutyOutcome::Conflict, "conflict" },
    { duties::DutyOutcome::Refused, "refused" },
    { duties::DutyOutcome::Unknown, "unknown" },
  });

} // namespace papayafield::base
