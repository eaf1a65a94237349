#pragma once

#include "base/Time.h"

#include <map>
#include <string>

namespace papayafield::duties {

/// Sums the rates at which the totals of many nodes grow. The totals of a node may arrive late or
/// in steps: its last rate counts until then, so that lost heartbeats neither look like an end of
/// the demand nor, once the next one arrives, like a burst. Not thread safe.
class DemandMeter {
public:
  /// Records the running total of the node incarnation `aNode`, as received at `aNow`. A node's
  /// first total only states where its later ones begin.
  void Record(const std::string& aNode, double aTotal, base::TimePoint aNow);
  /// Returns the sum of the rates per second since the last call, and forgets silent nodes.
  double Measure(base::TimePoint aNow);

private:
  /// Time after which a silent node's rate no longer counts.
  static constexpr base::Millis kMaxSilence{ 5000 };

  struct Node {
    double m_total = 0;
    base::TimePoint m_at;
    /// Total and time at the last measurement with a new total.
    double m_measuredTotal = 0;
    base::TimePoint m_measuredAt;
    double m_rate = 0;
  };

  std::map<std::string, Node> m_nodes;
};

} // namespace papayafield::duties
