#pragma once

#include <memory>
#include <string>

namespace papayafield::forwarding {

/// Counters and latency histograms of the forwarding path and its dependencies, kept with
/// prometheus-cpp. Thread safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  Metrics(Metrics&&) = delete;
  Metrics& operator=(Metrics&&) = delete;

  /// Counts a call that ended with `aStatus` for the reason `aReason`.
  void CountAnswer(int aStatus, const std::string& aReason);
  /// Adds to the event counter `aName`.
  void Count(const std::string& aName, double aAmount = 1);
  /// Sets the gauge `aName`.
  void Set(const std::string& aName, double aValue);
  /// Records the time to the first byte of an answer, in seconds.
  void ObserveFirstByte(double aSeconds);
  /// Records the time to the end of an answer, in seconds.
  void ObserveAnswerTime(double aSeconds);
  /// Returns all metrics in Prometheus' text format.
  std::string Page() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace papayafield::forwarding
