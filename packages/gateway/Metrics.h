#pragma once

#include "requests/Outcome.h"

#include <memory>
#include <string>

namespace papayafield::gateway {

/// Counter metrics.
enum class Counter {
  RequestsReceived,
  RequestsAnswered,
  RequestsRejected,
  Attempts,
  Retries,
  StreamsResumed,
  StreamsMoved,
  TokensRelayed,
  ClaimsRequested,
  TokensRecomputed,
};

/// Duration metrics, kept as histograms.
enum class DurationMetric { FirstToken, TokenGap, QueueWait };

/// The metrics of the node, kept with prometheus-cpp. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  Metrics(Metrics&&) = delete;
  Metrics& operator=(Metrics&&) = delete;

  /// Increments a counter by `aAmount`.
  void Add(Counter aCounter, double aAmount = 1);
  /// Records a duration in seconds.
  void Observe(DurationMetric aMetric, double aSeconds);
  /// Sets the gauge of open requests.
  void SetOpenRequests(double aCount);
  /// Returns all metrics in the Prometheus text format.
  std::string ToPrometheusText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace papayafield::gateway
