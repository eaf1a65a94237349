#pragma once

#include "requests/Outcome.h"

#include <memory>
#include <string>

namespace papayafield::gateway {

/// What is counted.
enum class Counter {
  RequestsTaken,
  RequestsAnswered,
  RequestsRefused,
  Attempts,
  Retries,
  StreamsResumed,
  StreamsMoved,
  TokensRelayed,
  ClaimsAsked,
  TokensRecomputed,
};

/// What is measured as a span.
enum class Span { FirstToken, TokenGap, QueueWait };

/// The node's metrics, kept with prometheus-cpp. Thread safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  Metrics(Metrics&&) = delete;
  Metrics& operator=(Metrics&&) = delete;

  /// Adds `aAmount` to a counter.
  void Add(Counter aCounter, double aAmount = 1);
  /// Notes a span in seconds.
  void Observe(Span aSpan, double aSeconds);
  /// Sets the number of open requests.
  void SetOpen(double aCount);
  /// The page in Prometheus' text format.
  std::string Page() const;

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace papayafield::gateway
