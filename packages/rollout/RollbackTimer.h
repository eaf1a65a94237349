#pragma once

#include "base/EnumNames.h"
#include "rollout/RolloutTypes.h"

#include <optional>

namespace papayafield::rollout {

/// What the bad answers of a version mean for its grants.
enum class RollbackState {
  /// Fewer than 50 bad answers, or the old version did as badly at the same moment.
  Clear,
  /// 50 bad answers without such an excuse: the version must not be completed.
  Pending,
  /// Grants must end now. An excuse that is seen in time resumes them.
  Stopped,
  /// The version must be reverted.
  Expired,
};

/// Ends the grants of a version early enough that nothing is sent to it later than the rollback
/// time after its 50th bad answer, without a verdict of the judge. Not thread safe.
class RollbackTimer {
public:
  /// Number of bad answers from which the time runs.
  static constexpr uint64_t kBadAnswers = 50;
  /// Maximum age of what the leader knows: a node that was silent for 1 s gets no grants, and
  /// decisions are taken every 250 ms.
  static constexpr base::Millis kReportDelay{ 1250 };
  /// Time after which the grants that are in use have expired.
  static constexpr base::Millis kGrantsInUse{ 1300 };

  /// `aHadLeader`: an earlier leader may have seen bad answers. Those that are reported while its
  /// grants may be in use are of unknown age, and the rollback time is taken as over.
  RollbackTimer(base::Millis aRollback, bool aHadLeader, base::TimePoint aNow);

  /// Returns the state at `aNow`, given all bad answers so far. `aNow` must not decrease.
  RollbackState Update(const BadAnswers& aTotals, base::TimePoint aNow);

private:
  bool IsExcused(const BadAnswers& aTotals) const;

  base::Millis m_rollback;
  /// End of the time in which the age of bad answers is unknown.
  base::TimePoint m_knownFrom;
  /// When the 50th bad answer became known, and whether its age is unknown.
  std::optional<base::TimePoint> m_since;
  bool m_isOld = false;
  bool m_isExpired = false;
  /// Bad answers of an earlier disturbance of both versions.
  BadAnswers m_excused;
};

} // namespace papayafield::rollout

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<rollout::RollbackState> =
  std::to_array<EnumName<rollout::RollbackState>>({
    { rollout::RollbackState::Clear, "clear" },
    { rollout::RollbackState::Pending, "pending" },
    { rollout::RollbackState::Stopped, "stopped" },
    { rollout::RollbackState::Expired, "expired" },
  });

} // namespace papayafield::base
