#pragma once

#include "rollout/RolloutTypes.h"

#include <map>
#include <string>

namespace papayafield::rollout {

/// Time for which a node may use a grant after it has received it, by the boot-time clock.
inline constexpr base::Millis kGrantLifetime{ 1000 };

/// Counts at the leader what an unproven version has got and may still get. Each node is granted a
/// running total of calls; a call counts from its grant, whether or not the node is heard of again.
/// What earlier leaders may have granted counts as sent. Not thread safe.
class ExposureLedger {
public:
  /// `aReserved`: upper bound of what earlier leaders may have granted, 0 if there were none.
  /// `aRequests`: requests that they have counted. With earlier leaders, nothing is granted until
  /// their grants have expired.
  ExposureLedger(uint64_t aReserved, uint64_t aRequests, bool aHadLeader, base::TimePoint aNow);

  /// Records the running totals of an incarnation of a node.
  void Report(const std::string& aIncarnation,
              uint64_t aRequests,
              uint64_t aSent,
              base::TimePoint aNow);
  /// Raises the grants until `aLimit` calls are exposed in total. Returns the grants of the nodes
  /// heard of recently, as running totals by incarnation; empty while earlier grants may be in use.
  std::map<std::string, uint64_t> Grant(uint64_t aLimit, base::TimePoint aNow);
  /// Returns an upper bound of the calls that the target has got or may still get.
  uint64_t Exposed() const;
  /// Returns a lower bound of the requests of the service since the order.
  uint64_t Requests() const;

private:
  struct Node {
    uint64_t m_requests = 0;
    uint64_t m_sent = 0;
    /// What the incarnation had sent when this leader first heard of it; covered by m_reserved.
    uint64_t m_sentBefore = 0;
    uint64_t m_granted = 0;
    base::TimePoint m_heardAt{};
    /// Requests since the last grants.
    uint64_t m_newRequests = 0;
  };

  uint64_t m_reserved;
  uint64_t m_requestsBefore;
  base::TimePoint m_grantFrom;
  std::map<std::string, Node> m_nodes;
};

} // namespace papayafield::rollout
