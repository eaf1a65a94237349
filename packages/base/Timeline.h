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

/// What a time-line event tells.
enum class EventKind {
  NodeStarted,
  NodeReady,
  NodeDraining,
  NodeStopped,
  GenerationAdopted,
  RequestAccepted,
  RequestQueued,
  RequestRefused,
  ClaimAsked,
  ClaimSettled,
  AttemptStarted,
  AttemptFailed,
  StreamResumed,
  StreamMoved,
  AnswerEnded,
  CallerGone,
  EndpointLeaving,
  MemberChanged,
};

template<>
inline constexpr auto kEnumNames<EventKind> = std::to_array<EnumName<EventKind>>({
  { EventKind::NodeStarted, "node_started" },
  { EventKind::NodeReady, "node_ready" },
  { EventKind::NodeDraining, "node_draining" },
  { EventKind::NodeStopped, "node_stopped" },
  { EventKind::GenerationAdopted, "generation_adopted" },
  { EventKind::RequestAccepted, "request_accepted" },
  { EventKind::RequestQueued, "request_queued" },
  { EventKind::RequestRefused, "request_refused" },
  { EventKind::ClaimAsked, "claim_asked" },
  { EventKind::ClaimSettled, "claim_settled" },
  { EventKind::AttemptStarted, "attempt_started" },
  { EventKind::AttemptFailed, "attempt_failed" },
  { EventKind::StreamResumed, "stream_resumed" },
  { EventKind::StreamMoved, "stream_moved" },
  { EventKind::AnswerEnded, "answer_ended" },
  { EventKind::CallerGone, "caller_gone" },
  { EventKind::EndpointLeaving, "endpoint_leaving" },
  { EventKind::MemberChanged, "member_changed" },
});

/// A moment of a hybrid logical clock: wall time that never falls behind what was heard.
struct HybridTime {
  /// Milliseconds since 1970.
  int64_t m_wall = 0;
  /// Orders events of the same millisecond.
  uint32_t m_count = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/// One event of the time line.
struct TimelineEvent {
  /// When, in causal order over all nodes.
  HybridTime m_time;
  /// Where.
  NodeId m_node;
  /// What.
  EventKind m_kind = EventKind::NodeStarted;
  /// The request it belongs to; empty when it belongs to none.
  RequestId m_request;
  /// The endpoint or member that it is about; may be empty.
  std::string m_subject;
  /// The rest, in words.
  std::string m_detail;

  /// As a JSON object.
  nlohmann::json ToJson() const;
};

/// The bounded ring of one node's events, with the node's hybrid clock. Thread safe.
class Timeline {
public:
  /// A ring of at most `aCapacity` events of `aNode`.
  Timeline(NodeId aNode, size_t aCapacity);

  /// Adds an event at the present hybrid time; the oldest goes when the ring is full.
  void Add(EventKind aKind,
           const RequestId& aRequest,
           std::string aSubject = {},
           std::string aDetail = {});

  /// The clock's present value, to send along with a message.
  HybridTime Tick();
  /// Takes note of a clock value that came with a message.
  void Hear(HybridTime aTime);

  /// The events kept, oldest first.
  std::vector<TimelineEvent> Events() const;

private:
  HybridTime NextLocked();

  NodeId m_node;
  size_t m_capacity;
  mutable std::mutex m_mutex;
  HybridTime m_clock;
  std::deque<TimelineEvent> m_ring;
};

} // namespace papayafield::base
