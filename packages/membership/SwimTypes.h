#pragma once

#include "base/Time.h"
#include "tasks/Messages.h"

#include <cstdint>
#include <vector>

/// \file
/// Settings and messages of the membership protocol.

namespace papayafield::membership {

/// Timing and limits of the protocol.
struct SwimSettings {
  /// Time between two probes.
  base::Millis m_probePeriod{ 500 };
  /// Number of members asked to probe a member that did not answer.
  size_t m_indirectProbes = 3;
  /// Time that a suspect has to refute, in probe periods per decimal logarithm of the fleet size.
  double m_suspicionFactor = 4;
  /// Number of peers to which each node sends urgent updates at once.
  size_t m_fanout = 4;
  /// Number of messages that carry each update, per binary logarithm of the fleet size.
  double m_gossipFactor = 2;
  /// Maximum number of member records in one message.
  size_t m_recordsPerMessage = 8;
  /// One in this many probes goes to a dead member, in case it was only partitioned.
  uint64_t m_deadProbePeriod = 10;
  /// Time after which dead members are removed.
  base::Millis m_deadRetention{ 24LL * 3600 * 1000 };
};

/// A member with the number that orders conflicting records of its state.
struct MemberRecord {
  tasks::Member m_member;
  /// Incremented each time the member refutes a record of its state.
  uint64_t m_number = 0;
};

/// Purpose of a message.
enum class MessageKind { Ping, Ack, PingRequest, Gossip };

/// A message between two members.
struct SwimMessage {
  MessageKind m_kind = MessageKind::Ping;
  /// Identifies the probe; the Ack has the same number.
  uint64_t m_sequence = 0;
  /// Record of the sender about itself.
  MemberRecord m_sender;
  /// Address to probe; only in a PingRequest.
  base::Address m_target;
  /// Piggybacked updates of members.
  std::vector<MemberRecord> m_records;
  /// Piggybacked endpoints that are leaving.
  std::vector<base::EndpointId> m_leaving;
};

/// An outgoing message with its destination.
struct SwimSend {
  base::Address m_to;
  SwimMessage m_message;
};

/// Returns whether `aLeft` is a newer record of the same node than `aRight`. Thread safe.
bool IsNewer(const MemberRecord& aLeft, const MemberRecord& aRight);

} // namespace papayafield::membership
