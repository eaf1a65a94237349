#pragma once

#include "base/EnumNames.h"
#include "base/Findings.h"
#include "base/Ids.h"
#include "base/Mailbox.h"
#include "claims/ShardWriter.h"
#include "routing/Endpoint.h"
#include "tasks/Configuration.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The messages that the tasks of a node send to each other.

namespace papayafield::tasks {

/// Membership state of a node in the fleet.
enum class MemberState { Alive, Suspect, Draining, Dead };

/// A node as listed by the membership.
struct Member {
  base::NodeId m_node;
  base::IncarnationId m_incarnation;
  base::ZoneId m_zone;
  /// Address for callers.
  base::Address m_callerAddress;
  /// Address for other nodes.
  base::Address m_peerAddress;
  MemberState m_state = MemberState::Alive;
  /// Generation of the configuration that is active on this node.
  uint64_t m_generation = 0;
};

/// Requests a configuration change on behalf of an operator.
struct ApplyRequest {
  /// Identifies the HTTP exchange that waits for the answer.
  base::RequestId m_request;
  /// Id chosen by the operator's client; identifies a retry after a lost answer.
  std::string m_applyId;
  std::string m_setBy;
  /// Generation that the change is based on; the apply conflicts if another one is stored.
  uint64_t m_baseGeneration = 0;
  std::string m_text;
};

/// Outcome of an apply.
enum class ApplyVerdict { Accepted, Conflict, Unknown, Unavailable };

/// Answers an ApplyRequest.
struct ApplyResponse {
  base::RequestId m_request;
  ApplyVerdict m_verdict = ApplyVerdict::Unknown;
  /// The new generation if accepted, otherwise the latest known one.
  uint64_t m_generation = 0;
  /// Operator who set that generation.
  std::string m_setBy;
};

/// Reports that a new configuration is active.
struct ConfigurationUpdate {
  Configuration m_configuration;
};

/// Reports the platform's current list of endpoints.
struct EndpointListUpdate {
  std::vector<routing::EndpointInfo> m_endpoints;
};

/// Reports that an endpoint is leaving.
struct EndpointLeavingNotice {
  base::EndpointId m_endpoint;
};

/// Reports the current members, including this node.
struct MemberListUpdate {
  std::vector<Member> m_members;
};

/// Outcome of a claim of an idempotency key.
enum class ClaimVerdict {
  /// This process may run the call, and no other process will.
  Granted,
  /// Another process has claimed the key.
  HeldElsewhere,
  /// This process claimed the key earlier and may have run the call.
  HeldHere,
  /// The call has run.
  Done,
  /// The claim could not be made; the call has not run.
  Unavailable,
};

/// Requests the claim of an idempotency key.
struct ClaimRequest {
  base::RequestId m_request;
  /// Digest of team and idempotency key.
  std::string m_key;
};

/// Answers a ClaimRequest.
struct ClaimResponse {
  base::RequestId m_request;
  ClaimVerdict m_verdict = ClaimVerdict::Unavailable;
  /// Incarnation that holds the claim, if the verdict is HeldElsewhere.
  base::IncarnationId m_holder;
};

/// Reports that a claimed call has ended.
struct ClaimedCallEnded {
  std::string m_key;
  /// True if the call is known to have run. Otherwise its outcome is unknown and the claim is left
  /// unchanged.
  bool m_hasRun = true;
};

/// Reports that a claimed call ended without having run, so the caller's next attempt may use the
/// claim.
struct ClaimedCallNotRun {
  std::string m_key;
};

/// Claim orders of this node for shards whose home is another node.
struct OutgoingClaims {
  /// Identifies the batch in the answer.
  uint64_t m_batch = 0;
  /// Peer address of the shards' home node.
  base::Address m_homeAddress;
  std::vector<claims::ClaimOrder> m_orders;
};

/// Answers OutgoingClaims.
struct OutgoingClaimsResponse {
  uint64_t m_batch = 0;
  /// False if the home node did not answer; then it is unknown whether the orders were executed.
  bool m_answered = false;
  std::vector<claims::ClaimReply> m_replies;
};

/// Claim orders of another node for shards whose home is this node.
struct IncomingClaims {
  /// Identifies the call in the answer.
  uint64_t m_call = 0;
  std::vector<claims::ClaimOrder> m_orders;
};

/// Answers IncomingClaims.
struct IncomingClaimsResponse {
  uint64_t m_call = 0;
  std::vector<claims::ClaimReply> m_replies;
};

/// Reports claimed calls that have run to the home node of their shards.
struct OutgoingDoneMarks {
  base::Address m_homeAddress;
  std::vector<std::string> m_keys;
};

/// A configuration offered by a peer, in the format of the key-value service.
struct ConfigurationOffered {
  std::string m_text;
};

/// Reports that the peers asked for their configuration at startup have answered or timed out.
struct PeersConsulted {};

/// Reports that this node has started to drain and is leaving the fleet.
struct DrainStarted {};

/// Tells a task to stop.
struct StopTask {};

/// Messages to the gateway.
using GatewayMessage = std::variant<ConfigurationUpdate,
                                    EndpointListUpdate,
                                    EndpointLeavingNotice,
                                    MemberListUpdate,
                                    ApplyResponse,
                                    ClaimResponse>;
/// Messages to the platform task.
using PlatformMessage = std::variant<ApplyRequest,
                                     ClaimRequest,
                                     ClaimedCallEnded,
                                     ClaimedCallNotRun,
                                     IncomingClaims,
                                     OutgoingClaimsResponse,
                                     ConfigurationOffered,
                                     PeersConsulted,
                                     MemberListUpdate,
                                     DrainStarted,
                                     StopTask>;
/// Messages to the peers task.
using PeersMessage = std::variant<ConfigurationUpdate,
                                  EndpointLeavingNotice,
                                  MemberListUpdate,
                                  OutgoingClaims,
                                  IncomingClaimsResponse,
                                  OutgoingDoneMarks,
                                  DrainStarted,
                                  StopTask>;

/// The mailboxes of a node's tasks.
struct Mailboxes {
  base::Mailbox<GatewayMessage> m_gateway;
  base::Mailbox<PlatformMessage> m_platform;
  base::Mailbox<PeersMessage> m_peers;
};

/// Combines lambdas into one visitor for a message variant.
template<class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace papayafield::tasks

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<tasks::MemberState> = std::to_array<EnumName<tasks::MemberState>>({
  { tasks::MemberState::Alive, "alive" },
  { tasks::MemberState::Suspect, "suspect" },
  { tasks::MemberState::Draining, "draining" },
  { tasks::MemberState::Dead, "dead" },
});

template<>
inline constexpr auto kEnumNames<tasks::ApplyVerdict> =
  std::to_array<EnumName<tasks::ApplyVerdict>>({
    { tasks::ApplyVerdict::Accepted, "accepted" },
    { tasks::ApplyVerdict::Conflict, "conflict" },
    { tasks::ApplyVerdict::Unknown, "unknown" },
    { tasks::ApplyVerdict::Unavailable, "unavailable" },
  });

template<>
inline constexpr auto kEnumNames<tasks::ClaimVerdict> =
  std::to_array<EnumName<tasks::ClaimVerdict>>({
    { tasks::ClaimVerdict::Granted, "granted" },
    { tasks::ClaimVerdict::HeldElsewhere, "held elsewhere" },
    { tasks::ClaimVerdict::HeldHere, "held here" },
    { tasks::ClaimVerdict::Done, "done" },
    { tasks::ClaimVerdict::Unavailable, "unavailable" },
  });

} // namespace papayafield::base
