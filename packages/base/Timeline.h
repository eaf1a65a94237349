#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace papayafield::base {

/// The kind of a timeline event.
enum class EventKind {
  NodeStarted,
  NodeReady,
  NodeDraining,
  NodeStopped,
  GenerationActivated,
  RequestAccepted,
  RequestQueued,
  RequestRejected,
  ClaimRequested,
  ClaimResolved,
  AttemptStarted,
  AttemptFailed,
  StreamResumed,
  StreamMoved,
  AnswerEnded,
  CallerDisconnected,
  EndpointLeaving,
  MemberChanged,
};

template<>
inline constexpr auto kEnumNames<EventKind> = std::to_array<EnumName<EventKind>>({
  { EventKind::NodeStarted, "node_started" },
  { EventKind::NodeReady, "node_ready" },
  { EventKind::NodeDraining, "node_draining" },
  { EventKind::NodeStopped, "node_stopped" },
  { EventKind::GenerationActivated, "generation_adopted" },
  { EventKind::RequestAccepted, "request_accepted" },
  { EventKind::RequestQueued, "request_queued" },
  { EventKind::RequestRejected, "request_refused" },
  { EventKind::ClaimRequested, "claim_asked" },
  { EventKind::ClaimResolved, "claim_settled" },
  { EventKind::AttemptStarted, "attempt_started" },
  { EventKind::AttemptFailed, "attempt_failed" },
  { EventKind::StreamResumed, "stream_resumed" },
  { EventKind::StreamMoved, "stream_moved" },
  { EventKind::AnswerEnded, "answer_ended" },
  { EventKind::CallerDisconnected, "caller_gone" },
  { EventKind::EndpointLeaving, "endpoint_leaving" },
  { EventKind::MemberChanged, "member_changed" },
});

/// A timestamp of a hybrid logical clock: wall time that never falls behind a received timestamp.
struct HybridTime {
  /// Wall time in milliseconds since 1970.
  int64_t m_wallMs = 0;
  /// Logical counter that orders events within the same millisecond.
  uint32_t m_logical = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/// An event of the timeline.
struct TimelineEvent {
  /// Timestamp, in causal order across all nodes.
  HybridTime m_time;
  /// The node that recorded the event.
  NodeId m_node;
  EventKind m_kind = EventKind::NodeStarted;
  /// The request that the event belongs to; may be empty.
  RequestId m_request;
  /// The endpoint or member that the event concerns; may be empty.
  std::string m_subject;
  /// Further details as free text.
  std::string m_detail;

  nlohmann::json ToJson() const;
};

/// A ring buffer of a node's events and the node's hybrid logical clock. Thread safe.
class Timeline {
public:
  /// Creates a ring buffer for up to `aCapacity` events of `aNode`.
  Timeline(NodeId aNode, size_t aCapacity);

  /// Adds an event with the current hybrid time. Removes the oldest event if the buffer is full.
  void Add(EventKind aKind,
           const RequestId& aRequest,
           std::string aSubject = {},
           std::string aDetail = {});

  /// Advances the clock and returns its value, to be sent with a message.
  HybridTime Tick();
  /// Merges the clock value of a received message, so that later events are ordered after it.
  void MergeRemoteTime(HybridTime aTime);

  /// Returns the stored events, oldest first.
  std::vector<TimelineEvent> Events() const;

private:
  HybridTime AdvanceLocked();

  NodeId m_node;
  size_t m_capacity;
  mutable std::mutex m_mutex;
  HybridTime m_clock;
  std::deque<TimelineEvent> m_events;
};

} // namespace papayafield::base
