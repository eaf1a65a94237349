#include "gateway/ClaimedCalls.h"

#include "base/Digest.h"

namespace papayafield::gateway {

namespace {

using adapters::http::HttpResponse;
using adapters::http::TransferFault;
using requests::Outcome;

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
/// Answers kept for callers that ask again.
constexpr size_t kKeptRuns = 20000;
/// Most tickets waiting to be used.
constexpr size_t kMaxTickets = 20000;
/// How long a ticket may be used.
constexpr base::Millis kTicketLife{ 600000 };
/// Random bytes of a ticket.
constexpr size_t kTicketBytes = 16;
constexpr std::string_view kTicketStart = "ticket-";

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

Problem MayHaveRun(std::string aDetail) {
  return { kBadGateway, "the call may have run", Outcome::Unknown, std::move(aDetail), {} };
}

Problem HasRun() {
  return { kConflict, "the call has run", Outcome::Ran, "its answer is no longer kept", {} };
}

/// What a caller is given of another node's answer.
HttpResponse PassOn(const HttpResponse& aAnswer) {
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

/// The part of a ticket that names the process that issued it; empty for any other key.
std::string IssuerOf(const std::string& aKey) {
  if (!aKey.starts_with(kTicketStart)) {
    return {};
  }
  const size_t end = aKey.find('-', kTicketStart.size());
  return end == std::string::npos ? std::string()
                                  : aKey.substr(kTicketStart.size(), end - kTicketStart.size());
}

} // namespace

ClaimedCalls::ClaimedCalls(GatewayContext& aContext)
  : m_context(aContext)
  , m_runs(kKeptRuns) {}

std::string ClaimedCalls::IssueTicket(const base::TeamId& aTeam) {
  const base::TimePoint now = base::SteadyClock().Now();
  if (m_tickets.size() >= kMaxTickets) {
    std::erase_if(m_tickets, [&](const auto& aTicket) { return aTicket.second < now; });
  }
  if (m_tickets.size() >= kMaxTickets) {
    return {};
  }
  std::string key = std::string(kTicketStart) + m_context.m_incarnation.Text() + "-" +
                    base::RandomHex(kTicketBytes);
  m_tickets[base::Sha256Hex(aTeam.Text() + "|" + key)] = now + kTicketLife;
  return key;
}

void ClaimedCalls::Run(const base::RequestId& aRequest,
                       const base::TeamId& aTeam,
                       const std::string& aKey,
                       bool aForwarded,
                       ServiceAsk aAsk,
                       const adapters::http::ServerExchange& aExchange,
                       Answer aAnswer) {
  const std::string digest = base::Sha256Hex(aTeam.Text() + "|" + aKey);
  if (m_runs.Knows(digest)) {
    m_runs.Join(digest, std::move(aAnswer));
    return;
  }
  Pending pending;
  pending.m_request = aRequest;
  pending.m_key = digest;
  pending.m_forwarded = aForwarded;
  pending.m_copy.m_method = aExchange.Method();
  pending.m_copy.m_target =
    aExchange.Path() + (aExchange.Query().empty() ? "" : "?" + aExchange.Query());
  for (const char* name : { "Authorization", "Idempotency-Key", "Content-Type" }) {
    if (const auto value = aExchange.RequestHeaders().Find(name)) {
      pending.m_copy.m_headers.Add(name, *value);
    }
  }
  pending.m_copy.m_headers.Add("X-Forwarded-By", m_context.m_settings.m_name.Text());
  pending.m_copy.m_body = aExchange.Body();
  pending.m_copy.m_idleTimeout = aAsk.m_timeout;
  pending.m_copy.m_totalTimeout = aAsk.m_timeout;
  pending.m_ask = std::move(aAsk);
  // From here on a second asker at this node joins this run.
  m_runs.Begin(digest);
  m_runs.Join(digest, std::move(aAnswer));
  const std::string issuer = IssuerOf(aKey);
  if (issuer == m_context.m_incarnation.Text()) {
    RunTicket(pending);
    return;
  }
  if (!issuer.empty()) {
    Forward(pending,
            base::IncarnationId(issuer),
            MayHaveRun("the node that issued the ticket is not known or has gone"));
    return;
  }
  m_context.m_metrics.Add(Counter::ClaimsAsked);
  m_context.m_timeline.Add(base::EventKind::ClaimAsked, aRequest, digest.substr(0, 12));
  m_context.m_mailboxes.m_platform.Send(tasks::ClaimAsk{ aRequest, digest });
  m_pending[aRequest] = std::move(pending);
}

void ClaimedCalls::RunTicket(const Pending& aPending) {
  // A ticket is used up by its first use; this process alone knows the ones still open.
  const auto found = m_tickets.find(aPending.m_key);
  const bool open = found != m_tickets.end() && base::SteadyClock().Now() < found->second;
  if (found != m_tickets.end()) {
    m_tickets.erase(found);
  }
  if (open) {
    RunNow(aPending, false);
  } else {
    m_runs.Finish(aPending.m_key, ToResult(MayHaveRun("the ticket is used up or too old")));
  }
}

void ClaimedCalls::OnClaim(const tasks::ClaimAnswer& aAnswer) {
  const auto found = m_pending.find(aAnswer.m_request);
  if (found == m_pending.end()) {
    return;
  }
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  m_context.m_timeline.Add(base::EventKind::ClaimSettled,
                           pending.m_request,
                           pending.m_key.substr(0, 12),
                           std::string(base::NameOf(aAnswer.m_verdict)));
  switch (aAnswer.m_verdict) {
    case tasks::ClaimVerdict::Granted:
      RunNow(pending, true);
      return;
    case tasks::ClaimVerdict::Unavailable:
      m_runs.Forget(pending.m_key,
                    ToResult({ kServiceUnavailable,
                               "the key could not be claimed",
                               Outcome::NotRun,
                               "the platform cannot be reached; a ticket from POST /v1/tickets "
                               "needs no claim",
                               base::Millis(1000) }));
      return;
    case tasks::ClaimVerdict::Done:
      Forward(pending, aAnswer.m_holder, HasRun());
      return;
    case tasks::ClaimVerdict::HeldHere:
      m_runs.Forget(pending.m_key, ToResult(MayHaveRun("its answer is no longer kept")));
      return;
    case tasks::ClaimVerdict::HeldElsewhere:
      Forward(pending, aAnswer.m_holder, MayHaveRun("the node that took the call has gone"));
      return;
  }
}

void ClaimedCalls::RunNow(const Pending& aPending, bool aClaimed) {
  const auto onResult = [this, key = aPending.m_key, aClaimed](ServiceRequest::Result aResult) {
    if (!aResult && aResult.error().m_outcome == Outcome::NotRun) {
      OnNotRun(key, aResult.error(), aClaimed);
      return;
    }
    if (aClaimed) {
      m_context.m_mailboxes.m_platform.Send(tasks::ClaimDone{ key, aResult.has_value() });
    }
    m_runs.Finish(key, aResult ? RunResult{ std::move(*aResult) } : ToResult(aResult.error()));
  };
  std::make_shared<ServiceRequest>(m_context, aPending.m_request, aPending.m_ask, onResult)
    ->Begin();
}

void ClaimedCalls::OnNotRun(const std::string& aKey, const Problem& aProblem, bool aClaimed) {
  // The key is free again for the caller's next try, here or by way of here.
  if (aClaimed) {
    m_context.m_mailboxes.m_platform.Send(tasks::ClaimNotRun{ aKey });
  } else {
    m_tickets[aKey] = base::SteadyClock().Now() + kTicketLife;
  }
  m_runs.Forget(aKey, ToResult(aProblem));
}

void ClaimedCalls::Forward(const Pending& aPending,
                           const base::IncarnationId& aHolder,
                           const Problem& aElse) {
  const tasks::Member* holder = FindLiving(aHolder);
  if (holder == nullptr || aPending.m_forwarded) {
    m_runs.Forget(aPending.m_key, ToResult(aElse));
    return;
  }
  adapters::http::HttpRequest copy = aPending.m_copy;
  copy.m_to = holder->m_callers;
  m_context.m_http.Fetch(
    std::move(copy),
    [this, key = aPending.m_key, aElse](const tl::expected<HttpResponse, TransferFault>& aAnswer) {
      // The holder keeps the answer; here it is only passed on.
      m_runs.Forget(key, aAnswer ? RunResult{ PassOn(*aAnswer) } : ToResult(aElse));
    });
}

const tasks::Member* ClaimedCalls::FindLiving(const base::IncarnationId& aIncarnation) const {
  for (const tasks::Member& member : m_context.m_members) {
    if (member.m_incarnation == aIncarnation && member.m_state != tasks::MemberState::Dead &&
        aIncarnation != m_context.m_incarnation) {
      return &member;
    }
  }
  return nullptr;
}

} // namespace papayafield::gateway
