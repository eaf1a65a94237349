#pragma once

#include "base/Time.h"
#include "tasks/Messages.h"

#include <cstdint>
#include <vector>

/// \file
/// What members of the fleet say to one another.

namespace papayafield::membership {

/// How the protocol paces itself.
struct SwimSettings {
  /// Time between two probes.
  base::Millis m_probePeriod{ 500 };
  /// Members asked to probe one that did not answer.
  size_t m_indirectProbes = 3;
  /// Periods, times the decimal logarithm of the fleet, that a suspect has to speak up.
  double m_suspicionFactor = 4;
  /// Peers that urgent news goes to at once, from each node that hears it first.
  size_t m_fanout = 4;
  /// Each item is carried so many times, times the binary logarithm of the fleet.
  double m_carryFactor = 2;
  /// Most member records in one message.
  size_t m_recordsPerMessage = 8;
  /// Every so many probes one goes to a dead member, in case it was only cut off.
  uint64_t m_deadProbeEvery = 10;
  /// How long dead members are remembered.
  base::Millis m_forgetDeadAfter{ 24LL * 3600 * 1000 };
};

/// A member with the number that orders claims about its state.
struct MemberRecord {
  tasks::Member m_member;
  /// Grows each time the member refutes what is said of it.
  uint64_t m_number = 0;
};

/// What a message is for.
enum class MessageKind { Ping, Ack, PingRequest, News };

/// A message between two members.
struct SwimMessage {
  MessageKind m_kind = MessageKind::Ping;
  /// Names the probe; an Ack repeats it.
  uint64_t m_sequence = 0;
  /// The sender as it sees itself.
  MemberRecord m_sender;
  /// Whom to probe, in a PingRequest.
  base::Address m_target;
  /// News of members.
  std::vector<MemberRecord> m_records;
  /// Endpoints that are leaving.
  std::vector<base::EndpointId> m_leaving;
};

/// A message to send.
struct SwimSend {
  base::Address m_to;
  SwimMessage m_message;
};

/// Whether `aLeft` says something newer of the same node than `aRight`. Thread safe.
bool IsNewer(const MemberRecord& aLeft, const MemberRecord& aRight);

} // namespace papayafield::membership
