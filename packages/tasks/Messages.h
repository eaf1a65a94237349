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
/// The messages that a node's tasks send to one another.

namespace papayafield::tasks {

/// How a node stands in the fleet.
enum class MemberState { Alive, Suspect, Draining, Dead };

/// A node as the others see it.
struct Member {
  base::NodeId m_node;
  base::IncarnationId m_incarnation;
  base::ZoneId m_zone;
  /// Where callers reach it.
  base::Address m_callers;
  /// Where other nodes reach it.
  base::Address m_peers;
  MemberState m_state = MemberState::Alive;
  /// Generation of the configuration in force there.
  uint64_t m_generation = 0;
};

/// A change of configuration that an operator asks for.
struct ApplyAsk {
  /// Names the exchange that waits for the answer.
  base::RequestId m_request;
  /// Number chosen by the operator's program, to settle a lost answer.
  std::string m_applyId;
  std::string m_setBy;
  /// Generation that the change is based on.
  uint64_t m_base = 0;
  std::string m_text;
};

/// What became of an apply.
enum class ApplyVerdict { Accepted, Conflict, Unknown, Unavailable };

/// The answer to an ApplyAsk.
struct ApplyAnswer {
  base::RequestId m_request;
  ApplyVerdict m_verdict = ApplyVerdict::Unknown;
  /// The generation made, or the present one in a conflict.
  uint64_t m_generation = 0;
  /// Who set the present generation.
  std::string m_setBy;
};

/// A new configuration is in force.
struct ConfigurationSeen {
  Configuration m_configuration;
};

/// The platform's present list of endpoints.
struct EndpointsSeen {
  std::vector<routing::EndpointInfo> m_endpoints;
};

/// An endpoint is leaving, as some node has learnt.
struct LeavingSeen {
  base::EndpointId m_endpoint;
};

/// The present members, this node included.
struct MembersSeen {
  std::vector<Member> m_members;
};

/// What became of a claim of an idempotency key.
enum class ClaimVerdict {
  /// This node may run it, and no other will.
  Granted,
  /// Another node has claimed it.
  HeldElsewhere,
  /// This process claimed it earlier.
  HeldHere,
  /// It has run.
  Done,
  /// The claim could not be made; nothing ran.
  Unavailable,
};

/// Asks for the claim of a key.
struct ClaimAsk {
  base::RequestId m_request;
  /// Digest of team and key.
  std::string m_key;
};

/// The answer to a ClaimAsk.
struct ClaimAnswer {
  base::RequestId m_request;
  ClaimVerdict m_verdict = ClaimVerdict::Unavailable;
  /// Incarnation that holds the claim, when another does.
  base::IncarnationId m_holder;
};

/// A claimed call has ended.
struct ClaimDone {
  std::string m_key;
  /// Whether it is known to have run; otherwise that is unknown, and the claim stays as it is.
  bool m_ran = true;
};

/// A claimed call has ended as not run: its claim is free for the caller's next try.
struct ClaimNotRun {
  std::string m_key;
};

/// Orders of this node for claims whose shard another node writes.
struct ClaimsOut {
  /// Names the batch in the answer.
  uint64_t m_batch = 0;
  /// Where the home of the shards is reached by other nodes.
  base::Address m_home;
  std::vector<claims::ClaimOrder> m_orders;
};

/// The answer to ClaimsOut.
struct ClaimsBack {
  uint64_t m_batch = 0;
  /// Whether the home answered; otherwise nothing is known of the orders.
  bool m_answered = false;
  std::vector<claims::ClaimReply> m_replies;
};

/// Orders of another node for claims whose shard this node writes.
struct ClaimsIn {
  /// Names the call in the answer.
  uint64_t m_call = 0;
  std::vector<claims::ClaimOrder> m_orders;
};

/// The answer to ClaimsIn.
struct ClaimsInAnswer {
  uint64_t m_call = 0;
  std::vector<claims::ClaimReply> m_replies;
};

/// Claimed calls that have run, for the home of their shards.
struct DoneOut {
  base::Address m_home;
  std::vector<std::string> m_keys;
};

/// A configuration that a peer offers, as it stands in the key-value service.
struct ConfigurationOffered {
  std::string m_text;
};

/// The peers that could be reached have been asked for their configuration.
struct PeersConsulted {};

/// This node is leaving the fleet.
struct DrainStarted {};

/// Ends a task.
struct StopTask {};

/// What the gateway receives.
using GatewayMessage = std::
  variant<ConfigurationSeen, EndpointsSeen, LeavingSeen, MembersSeen, ApplyAnswer, ClaimAnswer>;
/// What the platform task receives.
using PlatformMessage = std::variant<ApplyAsk,
                                     ClaimAsk,
                                     ClaimDone,
                                     ClaimNotRun,
                                     ClaimsIn,
                                     ClaimsBack,
                                     ConfigurationOffered,
                                     PeersConsulted,
                                     MembersSeen,
                                     DrainStarted,
                                     StopTask>;
/// What the peers task receives.
using PeersMessage = std::variant<ConfigurationSeen,
                                  LeavingSeen,
                                  MembersSeen,
                                  ClaimsOut,
                                  ClaimsInAnswer,
                                  DoneOut,
                                  DrainStarted,
                                  StopTask>;

/// The mailboxes of a node's tasks.
struct Mailboxes {
  base::Mailbox<GatewayMessage> m_gateway;
  base::Mailbox<PlatformMessage> m_platform;
  base::Mailbox<PeersMessage> m_peers;
};

/// Chooses a handler for each type of a variant message.
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
