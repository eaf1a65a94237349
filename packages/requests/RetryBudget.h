#pragma once

#include "base/Time.h"

namespace papayafield::requests {

/// Parameters of a retry budget.
struct RetryBudgetSettings {
  /// Retries that each new request adds to the budget.
  double m_retriesPerRequest = 0.1;
  /// Maximum number of retries in the budget.
  double m_maxRetries = 50;
  /// Retries added per second regardless of traffic, so that a quiet node can still retry.
  double m_retriesPerSecond = 1;
};

/// Limits retries to a fraction of the new requests, so that an outage does not cause a retry
/// storm. Not thread safe.
class RetryBudget {
public:
  /// Creates a budget that is full.
  explicit RetryBudget(RetryBudgetSettings aSettings);

  /// Replaces the parameters. Retries above the new maximum are dropped.
  void Configure(RetryBudgetSettings aSettings);
  /// Adds the retries of one new request to the budget.
  void CreditRequest();
  /// Returns whether a retry is left at `aNow`.
  bool HasRetry(base::TimePoint aNow);
  /// Takes one retry from the budget. Returns false if none is left at `aNow`.
  bool TrySpend(base::TimePoint aNow);

private:
  void Refill(base::TimePoint aNow);

  RetryBudgetSettings m_settings;
  double m_available;
  base::TimePoint m_lastRefill{};
};

} // namespace papayafield::requests
