#pragma once

#include "base/EnumNames.h"
#include "duties/ScalingPolicy.h"
#include "duties/UsageLedger.h"

#include <concepts>
#include <cstdint>
#include <functional>

namespace papayafield::duties {

/// A number that grows with each holder of the duties; the platform refuses smaller ones.
using Fence = uint64_t;

/// How a call of a duty ended.
enum class DutyOutcome {
  Accepted,
  /// The platform has seen a greater fence, or has none of what was ordered.
  Conflict,
  /// The platform did not take the call.
  Refused,
  /// No answer came.
  Unknown,
};

/// Who hears how a call ended.
using OnDuty = std::function<void(DutyOutcome)>;

/// The platform's calls that one node makes for all.
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
