#pragma once

#include "gateway/IdempotencyTable.h"
#include "gateway/ServiceCallSession.h"

#include <unordered_map>
#include <unordered_set>

namespace papayafield::gateway {

/// Runs non-repeatable calls at most once per idempotency key. A key is either claimed in the
/// platform before dispatch, or it is a ticket, which only the process that issued it ever runs.
/// Must only be used on the gateway thread.
class AtMostOnceCalls {
public:
  /// Receives the result for one caller.
  using Callback = IdempotencyTable::ResultCallback;

  /// Keeps a reference to `aContext`, which must outlive this object.
  explicit AtMostOnceCalls(GatewayContext& aContext);

  /// Runs the call `aCall` of `aTeam` under the idempotency key `aKey`, or joins a run in progress.
  /// `aForwarded` is true if another node forwarded the call because this process holds the claim.
  void Run(const base::RequestId& aRequest,
           const base::TeamId& aTeam,
           const std::string& aKey,
           bool aForwarded,
           ServiceCallRequest aCall,
           const adapters::http::ServerExchange& aExchange,
           Callback aAnswer);
  /// Called with the platform's answer to a claim.
  void OnClaim(const tasks::ClaimResponse& aAnswer);
  /// Issues a ticket, an idempotency key that needs no claim, to `aTeam`. Returns an empty string
  /// if too many tickets are open.
  std::string IssueTicket(const base::TeamId& aTeam);

private:
  /// A call that waits for the answer to its claim.
  struct Pending {
    base::RequestId m_request;
    std::string m_keyDigest;
    bool m_forwarded = false;
    ServiceCallRequest m_call;
    /// The request to send if the call is forwarded to another node.
    adapters::http::HttpRequest m_forwardRequest;
  };

  void RunWithTicket(const Pending& aPending);
  void StartCall(const Pending& aPending, bool aHoldsClaim);
  void ReleaseKey(const std::string& aKey, const Problem& aProblem, bool aHoldsClaim);
  /// Forwards the call to the process `aHolder` and relays its response. Responds with `aFallback`
  /// if that process is unavailable.
  void Forward(const Pending& aPending,
               const base::IncarnationId& aHolder,
               const Problem& aFallback);
  const tasks::Member* FindLiveMember(const base::IncarnationId& aIncarnation) const;

  GatewayContext& m_context;
  IdempotencyTable m_runs;
  std::unordered_map<base::RequestId, Pending> m_pending;
  /// Unused tickets issued by this process with their expiry times, by key digest.
  std::unordered_map<std::string, base::TimePoint> m_tickets;
};

} // namespace papayafield::gateway
