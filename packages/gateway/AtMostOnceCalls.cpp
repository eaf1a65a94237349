#include "gateway/AtMostOnceCalls.h"

#include "base/Digest.h"

namespace papayafield::gateway {

namespace {

using adapters::http::HttpResponse;
using adapters::http::TransferFault;
using requests::Outcome;

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
/// Number of finished results that are kept for callers that repeat a request.
constexpr size_t kMaxStoredResults = 20000;
/// Maximum number of unused tickets.
constexpr size_t kMaxTickets = 20000;
/// Validity period of a ticket.
constexpr base::Millis kTicketLifetime{ 600000 };
/// Number of random bytes in a ticket.
constexpr size_t kTicketRandomBytes = 16;
constexpr std::string_view kTicketPrefix = "ticket-";

RunResult ToResult(const Problem& aProblem) {
  HttpResponse answer;
  answer.m_status = aProblem.m_status;
  answer.m_headers = { { "Content-Type", "application/problem+json" },
                       { "X-Outcome", std::string(base::NameOf(aProblem.m_outcome)) } };
  if (aProblem.m_retryAfter) {
    answer.m_headers.Add("Retry-After", "1");
  }
  answer.m_body = ToJson(aProblem);
  return { std::move(answer) };
}

Problem MayHaveRunProblem(std::string aDetail) {
  return { kBadGateway, "the call may have run", Outcome::Unknown, std::move(aDetail), {} };
}

Problem AlreadyRanProblem() {
  return { kConflict, "the call has run", Outcome::Ran, "its answer is no longer kept", {} };
}

/// Returns the parts of another node's response that are relayed to the caller.
HttpResponse ToRelayedAnswer(const HttpResponse& aAnswer) {
  HttpResponse answer;
  answer.m_status = aAnswer.m_status;
  answer.m_body = aAnswer.m_body;
  for (const char* name : { "Content-Type", "X-Outcome", "Retry-After" }) {
    if (const auto value = aAnswer.m_headers.Find(name)) {
      answer.m_headers.Add(name, *value);
    }
  }
  return answer;
}

/// Returns the incarnation id of the process that issued the ticket `aKey`, or an empty string if
/// the key is not a ticket.
std::string IssuerOf(const std::string& aKey) {
  if (!aKey.starts_with(kTicketPrefix)) {
    return {};
  }
  const size_t end = aKey.find('-', kTicketPrefix.size());
  return end == std::string::npos ? std::string()
                                  : aKey.substr(kTicketPrefix.size(), end - kTicketPrefix.size());
}

} // namespace

AtMostOnceCalls::AtMostOnceCalls(GatewayContext& aContext)
  : m_context(aContext)
  , m_runs(kMaxStoredResults) {}

std::string AtMostOnceCalls::IssueTicket(const base::TeamId& aTeam) {
  const base::TimePoint now = base::SteadyClock().Now();
  if (m_tickets.size() >= kMaxTickets) {
    std::erase_if(m_tickets, [&](const auto& aTicket) { return aTicket.second < now; });
  }
  if (m_tickets.size() >= kMaxTickets) {
    return {};
  }
  std::string key = std::string(kTicketPrefix) + m_context.m_incarnation.Text() + "-" +
                    base::RandomHex(kTicketRandomBytes);
  m_tickets[base::Sha256Hex(aTeam.Text() + "|" + key)] = now + kTicketLifetime;
  return key;
}

void AtMostOnceCalls::Run(const base::RequestId& aRequest,
                          const base::TeamId& aTeam,
                          const std::string& aKey,
                          bool aForwarded,
                          ServiceCallRequest aCall,
                          const adapters::http::ServerExchange& aExchange,
                          Callback aAnswer) {
  const std::string digest = base::Sha256Hex(aTeam.Text() + "|" + aKey);
  if (m_runs.Contains(digest)) {
    m_runs.Join(digest, std::move(aAnswer));
    return;
  }
  Pending pending;
  pending.m_request = aRequest;
  pending.m_keyDigest = digest;
  pending.m_forwarded = aForwarded;
  pending.m_forwardRequest.m_method = aExchange.Method();
  pending.m_forwardRequest.m_target =
    aExchange.Path() + (aExchange.Query().empty() ? "" : "?" + aExchange.Query());
  for (const char* name : { "Authorization", "Idempotency-Key", "Content-Type" }) {
    if (const auto value = aExchange.RequestHeaders().Find(name)) {
      pending.m_forwardRequest.m_headers.Add(name, *value);
    }
  }
  pending.m_forwardRequest.m_headers.Add("X-Forwarded-By", m_context.m_settings.m_name.Text());
  pending.m_forwardRequest.m_body = aExchange.Body();
  pending.m_forwardRequest.m_idleTimeout = aCall.m_timeout;
  pending.m_forwardRequest.m_totalTimeout = aCall.m_timeout;
  pending.m_call = std::move(aCall);
  // From here on, further requests with this key at this node join this run.
  m_runs.Begin(digest);
  m_runs.Join(digest, std::move(aAnswer));
  const std::string issuer = IssuerOf(aKey);
  if (issuer == m_context.m_incarnation.Text()) {
    RunWithTicket(pending);
    return;
  }
  if (!issuer.empty()) {
    Forward(pending,
            base::IncarnationId(issuer),
            MayHaveRunProblem("the node that issued the ticket is not known or has gone"));
    return;
  }
  m_context.m_metrics.Add(Counter::ClaimsRequested);
  m_context.m_timeline.Add(base::EventKind::ClaimRequested, aRequest, digest.substr(0, 12));
  m_context.m_mailboxes.m_platform.Send(tasks::ClaimRequest{ aRequest, digest });
  m_pending[aRequest] = std::move(pending);
}

void AtMostOnceCalls::RunWithTicket(const Pending& aPending) {
  // A ticket is consumed by its first use. Only this process knows which of its tickets are unused.
  const auto found = m_tickets.find(aPending.m_keyDigest);
  const bool open = found != m_tickets.end() && base::SteadyClock().Now() < found->second;
  if (found != m_tickets.end()) {
    m_tickets.erase(found);
  }
  if (open) {
    StartCall(aPending, false);
  } else {
    m_runs.Finish(aPending.m_keyDigest,
                  ToResult(MayHaveRunProblem("the ticket is used up or too old")));
  }
}

void AtMostOnceCalls::OnClaim(const tasks::ClaimResponse& aAnswer) {
  const auto found = m_pending.find(aAnswer.m_request);
  if (found == m_pending.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  m_context.m_timeline.Add(base::EventKind::ClaimResolved,
                           pending.m_request,
                           pending.m_keyDigest.substr(0, 12),
                           std::string(base::NameOf(aAnswer.m_verdict)));
  switch (aAnswer.m_verdict) {
    case tasks::ClaimVerdict::Granted:
      StartCall(pending, true);
      return;
    case tasks::ClaimVerdict::Unavailable:
      m_runs.Remove(pending.m_keyDigest,
                    ToResult({ kServiceUnavailable,
                               "the key could not be claimed",
                               Outcome::NotRun,
                               "the platform cannot be reached; a ticket from POST /v1/tickets "
                               "needs no claim",
                               base::Millis(1000) }));
      return;
    case tasks::ClaimVerdict::Done:
      Forward(pending, aAnswer.m_holder, AlreadyRanProblem());
      return;
    case tasks::ClaimVerdict::HeldHere:
      m_runs.Remove(pending.m_keyDigest,
                    ToResult(MayHaveRunProblem("its answer is no longer kept")));
      return;
    case tasks::ClaimVerdict::HeldElsewhere:
      Forward(pending, aAnswer.m_holder, MayHaveRunProblem("the node that took the call has gone"));
      return;
  }
}

void AtMostOnceCalls::StartCall(const Pending& aPending, bool aHoldsClaim) {
  const auto onResult =
    [this, key = aPending.m_keyDigest, aHoldsClaim](ServiceCallSession::Result aResult) {
      if (!aResult && aResult.error().m_outcome == Outcome::NotRun) {
        ReleaseKey(key, aResult.error(), aHoldsClaim);
        return;
      }
      if (aHoldsClaim) {
        m_context.m_mailboxes.m_platform.Send(tasks::ClaimedCallEnded{ key, aResult.has_value() });
      }
      m_runs.Finish(key, aResult ? RunResult{ std::move(*aResult) } : ToResult(aResult.error()));
    };
  std::make_shared<ServiceCallSession>(m_context, aPending.m_request, aPending.m_call, onResult)
    ->Begin();
}

void AtMostOnceCalls::ReleaseKey(const std::string& aKey,
                                 const Problem& aProblem,
                                 bool aHoldsClaim) {
  // Release the key, so that the caller can retry at this node or through it.
  if (aHoldsClaim) {
    m_context.m_mailboxes.m_platform.Send(tasks::ClaimedCallNotRun{ aKey });
  } else {
    m_tickets[aKey] = base::SteadyClock().Now() + kTicketLifetime;
  }
  m_runs.Remove(aKey, ToResult(aProblem));
}

void AtMostOnceCalls::Forward(const Pending& aPending,
                              const base::IncarnationId& aHolder,
                              const Problem& aFallback) {
  const tasks::Member* holder = FindLiveMember(aHolder);
  if (holder == nullptr || aPending.m_forwarded) {
    m_runs.Remove(aPending.m_keyDigest, ToResult(aFallback));
    return;
  }
  adapters::http::HttpRequest request = aPending.m_forwardRequest;
  request.m_to = holder->m_callerAddress;
  m_context.m_http.Fetch(
    std::move(request),
    [this, key = aPending.m_keyDigest, aFallback](
      const tl::expected<HttpResponse, TransferFault>& aAnswer) {
      // The holder stores the result. This node only relays it and keeps nothing.
      m_runs.Remove(key, aAnswer ? RunResult{ ToRelayedAnswer(*aAnswer) } : ToResult(aFallback));
    });
}

const tasks::Member* AtMostOnceCalls::FindLiveMember(
  const base::IncarnationId& aIncarnation) const {
  for (const tasks::Member& member : m_context.m_members) {
    if (member.m_incarnation == aIncarnation && member.m_state != tasks::MemberState::Dead &&
        aIncarnation != m_context.m_incarnation) {
      return &member;
    }
  }
  return nullptr;
}

} // namespace papayafield::gateway
