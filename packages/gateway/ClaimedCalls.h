#pragma once

#include "gateway/RunTable.h"
#include "gateway/ServiceRequest.h"

#include <unordered_map>
#include <unordered_set>

namespace papayafield::gateway {

/// Runs calls that must not repeat at most once for each idempotency key: a key is claimed in the
/// platform before dispatch, or was issued by a node as a ticket, which only that process ever
/// runs. Belongs to the gateway's thread.
class ClaimedCalls {
public:
  /// Takes the answer for one asker.
  using Answer = RunTable::Joiner;

  /// Works with what `aContext` holds.
  explicit ClaimedCalls(GatewayContext& aContext);

  /// Runs or joins the call `aAsk` of `aTeam` under `aKey`. `aForwarded` says that another node
  /// sent it here, because this process holds the claim.
  void Run(const base::RequestId& aRequest,
           const base::TeamId& aTeam,
           const std::string& aKey,
           bool aForwarded,
           ServiceAsk aAsk,
           const adapters::http::ServerExchange& aExchange,
           Answer aAnswer);
  /// The platform has answered a claim.
  void OnClaim(const tasks::ClaimResponse& aAnswer);
  /// Issues a ticket for `aTeam`: a key that needs no claim.
  std::string IssueTicket(const base::TeamId& aTeam);

private:
  /// A call that waits for its claim.
  struct Pending {
    base::RequestId m_request;
    std::string m_key;
    bool m_forwarded = false;
    ServiceAsk m_ask;
    /// The request as another node would take it.
    adapters::http::HttpRequest m_copy;
  };

  void RunTicket(const Pending& aPending);
  void RunNow(const Pending& aPending, bool aClaimed);
  void OnNotRun(const std::string& aKey, const Problem& aProblem, bool aClaimed);
  /// Joins the answer of the process `aHolder`; if it cannot be had, `aElse` is the answer.
  void Forward(const Pending& aPending, const base::IncarnationId& aHolder, const Problem& aElse);
  const tasks::Member* FindLiving(const base::IncarnationId& aIncarnation) const;

  GatewayContext& m_context;
  RunTable m_runs;
  std::unordered_map<base::RequestId, Pending> m_pending;
  /// Tickets issued here and not used yet, by key digest, with their time limit.
  std::unordered_map<std::string, base::TimePoint> m_tickets;
};

} // namespace papayafield::gateway
