#pragma once

#include "base/Digest.h"
#include "base/Time.h"
#include "fleet/EndpointDirectory.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>

namespace papayafield::forwarding {

struct RejectionLimitSettings {
  /// Time after the latest statement of a tolerance at which it lapses.
  base::Millis m_lapse{ 15000 };
  /// Time in which rejections are counted. Longer than the second that a tolerance refers to, since
  /// the times at the endpoint differ from those at the node.
  base::Millis m_window{ 1250 };
  /// Maximum time between two rejections where a node may cause less than one per window.
  base::Millis m_maxWindow{ 10000 };
  /// Time for which the most calls that other nodes had open are expected to come back at once.
  base::Millis m_peakWindow{ 10000 };
  /// Part of the tolerated rejections that nodes may cause. The rest covers calls that were under
  /// way when an endpoint became full.
  double m_usedPart = 0.5;
  /// Factor by which a rejection reduces the number of open calls.
  double m_decrease = 0.5;
  /// Rate in calls per second at which that number grows again.
  double m_increasePerSecond = 1;
  /// Maximum rate per second as a part of the node's share of the endpoint's slots.
  double m_increasePart = 0.1;
};

/// Open calls at an endpoint, without the call that is decided on.
struct OpenCalls {
  /// Calls of this node.
  double m_own = 0;
  /// Calls of all nodes; those of others as of their latest heartbeats.
  double m_total = 0;
};

/// Limits how often endpoints reject calls of this node for want of room, where an endpoint fails
/// if it has to reject more than a tolerated number per second over all nodes. Each node may cause
/// an equal share of these rejections. Calls that stay within the slots of the endpoint are not
/// counted unless they are rejected; any other call counts when it is sent, and once more if it is
/// rejected. A rejection also limits the open calls of this node, with multiplicative decrease and
/// additive increase. A tolerance that one endpoint states holds for all endpoints of its service
/// that have stated none, and ends for one that states it no longer. Not thread safe.
class RejectionLimit {
public:
  /// `aSeed`: seed of the draws by which nodes take turns.
  explicit RejectionLimit(RejectionLimitSettings aSettings, uint64_t aSeed = base::RandomSeed())
    : m_settings(aSettings)
    , m_seed(aSeed) {}

  /// Sets the number of nodes that send calls to the endpoints; at least one is assumed.
  void SetNodeCount(size_t aCount) { m_nodeCount = aCount > 0 ? aCount : 1; }
  /// Records that an endpoint tolerates `aTolerance` rejections per second; negative values count
  /// as 0. Returns whether this differs from what was known of the endpoint.
  bool SetTolerance(const fleet::Endpoint& aEndpoint, int aTolerance, base::TimePoint aNow);
  /// Records that an endpoint stated no tolerance in its answer to a call of this node. Ends the
  /// tolerance that it stated before, unless the call was sent (`aSentAt`) before the latest of
  /// these statements arrived: the endpoint may have made that answer earlier. Returns whether it
  /// ended one.
  bool EndTolerance(const fleet::Endpoint& aEndpoint,
                    base::TimePoint aSentAt,
                    base::TimePoint aNow);
  /// Returns whether calls to endpoints of `aService` are limited.
  bool Holds(const fleet::ServiceId& aService, base::TimePoint aNow) const;
  /// Returns whether a call may be sent to `aEndpoint`. Always true where no tolerance is known.
  bool Admits(const fleet::Endpoint& aEndpoint, const OpenCalls& aOpen, base::TimePoint aNow) const;
  /// Records that a call is sent.
  void RecordSent(const fleet::Endpoint& aEndpoint, const OpenCalls& aOpen, base::TimePoint aNow);
  /// Records that a call was rejected for want of room, and returns the number of open calls of
  /// this node that is allowed from now on; infinite where no tolerance is known.
  /// \param aOwnCalls open calls of this node, including the rejected one.
  double RecordRejection(const fleet::Endpoint& aEndpoint, double aOwnCalls, base::TimePoint aNow);
  /// Removes what has lapsed.
  void RemoveObsolete(base::TimePoint aNow);

private:
  struct Tolerance {
    int m_rejectionsPerSecond = 0;
    base::TimePoint m_until{};
  };
  /// Open calls of the other nodes when this node sent a call.
  struct PeerCalls {
    base::TimePoint m_at{};
    double m_calls = 0;
  };
  struct Record {
    Tolerance m_tolerance;
    /// Whether the endpoint has ended the tolerance, which then does not hold for it, nor does that
    /// of its service.
    bool m_hasEnded = false;
    std::deque<base::TimePoint> m_rejections;
    /// When calls were sent that could be rejected.
    std::deque<base::TimePoint> m_risks;
    /// Only those that no later one reaches: falling, so that the first one is the maximum.
    std::deque<PeerCalls> m_peerCalls;
    /// Allowed number of open calls at `m_maxOpenAt`, from which it grows.
    double m_maxOpen = std::numeric_limits<double>::infinity();
    base::TimePoint m_maxOpenAt{};
  };
  /// What this node may cause at an endpoint.
  struct Share {
    size_t m_count = 0;
    base::Millis m_window{ 0 };
    /// Probability that the node has its turn to send a call that could be rejected.
    double m_turn = 1;
  };

  const Tolerance* Find(const fleet::Endpoint& aEndpoint, base::TimePoint aNow) const;
  const Record* FindRecord(const fleet::Endpoint& aEndpoint) const;
  Share ShareOf(const Tolerance& aTolerance) const;
  double MaxOpen(const fleet::Endpoint& aEndpoint,
                 const Record& aRecord,
                 base::TimePoint aNow) const;
  double SlotShare(const fleet::Endpoint& aEndpoint) const;
  double MaxPeerCalls(const Record& aRecord, base::TimePoint aNow) const;
  double SlotsForPeers(const fleet::Endpoint& aEndpoint,
                       const OpenCalls& aOpen,
                       base::TimePoint aNow) const;
  bool IsSafe(const fleet::Endpoint& aEndpoint, const OpenCalls& aOpen, base::TimePoint aNow) const;
  double Draw(const fleet::Endpoint& aEndpoint, uint64_t aPurpose, base::TimePoint aNow) const;

  RejectionLimitSettings m_settings;
  uint64_t m_seed;
  size_t m_nodeCount = 1;
  std::map<fleet::ServiceId, Tolerance> m_services;
  std::map<fleet::Incarnation, Record> m_records;
};

} // namespace papayafield::forwarding
