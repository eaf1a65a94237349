#pragma once

#include "base/Time.h"

namespace papayafield::requests {

/// How much retrying is allowed.
struct RetryBudgetSettings {
  /// Retries earned by each fresh request.
  double m_perRequest = 0.1;
  /// Most retries saved up.
  double m_most = 50;
  /// Retries earned a second with no traffic at all, so that a quiet node can still retry.
  double m_perSecond = 1;
};

/// Bounds retries to a share of the fresh traffic, so that an outage brings no storm. Not thread
/// safe.
class RetryBudget {
public:
  /// A budget that starts full.
  explicit RetryBudget(RetryBudgetSettings aSettings);

  /// A fresh request has come.
  void Earn();
  /// Takes one retry; false when none is left at `aNow`.
  bool Spend(base::TimePoint aNow);

private:
  void Refill(base::TimePoint aNow);

  RetryBudgetSettings m_settings;
  double m_saved;
  base::TimePoint m_refilled{};
};

} // namespace papayafield::requests
