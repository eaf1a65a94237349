#include "gateway/CallerApi.h"

#include "base/Digest.h"
#include "base/Json.h"

#include <algorithm>

namespace papayafield::gateway {

namespace {

using adapters::http::ExchangePtr;
using base::EventKind;
using requests::CallKind;
using requests::Outcome;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;
constexpr size_t kMaxKeyLength = 256;
constexpr size_t kIncarnationSuffixLength = 6;
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kAnswersPath = "/v1/answers/";

/// Headers that are not forwarded to a service: hop-by-hop headers and headers of this system.
constexpr std::string_view kUnforwardedHeaders[] = {
  "host", "connection", "content-length", "transfer-encoding", "authorization", "expect",
  "te",   "upgrade",    "keep-alive",     "x-forwarded-by",    "x-attempt-id"
};

bool IsForwardedHeader(std::string aName) {
  std::transform(aName.begin(), aName.end(), aName.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return std::find(std::begin(kUnforwardedHeaders), std::end(kUnforwardedHeaders), aName) ==
         std::end(kUnforwardedHeaders);
}

/// Sends a stored or forwarded response to the caller.
void Relay(adapters::http::ServerExchange& aExchange,
           const base::RequestId& aId,
           const adapters::http::HttpResponse& aAnswer) {
  adapters::http::Headers headers{ { "X-Request-Id", aId.Text() } };
  for (const adapters::http::Header& headerField : aAnswer.m_headers.Lines()) {
    if (IsForwardedHeader(headerField.m_name)) {
      headers.Add(headerField.m_name, headerField.m_value);
    }
  }
  aExchange.Reply(aAnswer.m_status, headers, aAnswer.m_body);
}

} // namespace

CallerApi::CallerApi(GatewayContext& aContext)
  : m_context(aContext)
  , m_atMostOnceCalls(aContext) {}

base::RequestId CallerApi::MakeRequestId() {
  // Node name, end of the incarnation id and a counter: unique across nodes and restarts, yet
  // short.
  const std::string& incarnation = m_context.m_incarnation.Text();
  return base::RequestId(m_context.m_settings.m_name.Text() + "-" +
                         incarnation.substr(incarnation.size() - kIncarnationSuffixLength) + "-" +
                         std::to_string(++m_lastId));
}

std::optional<manifest::Team> CallerApi::AuthenticateTeam(
  const adapters::http::ServerExchange& aExchange) const {
  const std::string header = aExchange.RequestHeaders().Find("Authorization").value_or("");
  if (!header.starts_with(kBearerPrefix)) {
    return std::nullopt;
  }
  const manifest::Team* team = m_context.m_configuration.m_manifest->FindTeamByKeyDigest(
    base::Sha256Hex(header.substr(kBearerPrefix.size())));
  return team == nullptr ? std::nullopt : std::optional(*team);
}

void CallerApi::Handle(const ExchangePtr& aExchange) {
  const std::string& path = aExchange->Path();
  if (path == "/v1/entries") {
    HandleEntries(aExchange);
    return;
  }
  const bool completion = path == kChatCompletionPath || path == kTextCompletionPath;
  const bool answer = path.starts_with(kAnswersPath);
  if (!completion && !answer && path != "/v1/tickets" && !path.starts_with(kServicesPath)) {
    Reply(*aExchange, { kNotFound, "no such path", Outcome::NotRun, path, {} });
    return;
  }
  if (m_context.m_configuration.m_generation == 0) {
    Reply(*aExchange,
          { kServiceUnavailable, "no configuration yet", Outcome::NotRun, "", base::Millis(1000) });
    return;
  }
  const auto team = AuthenticateTeam(*aExchange);
  if (!team) {
    Reply(*aExchange, { kUnauthorized, "a team's key is needed", Outcome::NotRun, "", {} });
    return;
  }
  m_context.m_metrics.Add(Counter::RequestsReceived);
  const std::string method = answer ? "GET" : "POST";
  if (!path.starts_with(kServicesPath) && aExchange->Method() != method) {
    Reply(*aExchange, { kMethodNotAllowed, "use " + method, Outcome::NotRun, "", {} });
  } else if (answer) {
    HandleAnswers(aExchange, *team);
  } else if (completion) {
    HandleCompletions(aExchange, *team);
  } else if (path == "/v1/tickets") {
    HandleTickets(aExchange, *team);
  } else {
    HandleServices(aExchange, *team);
  }
}

void CallerApi::HandleEntries(const ExchangePtr& aExchange) {
  const std::string zone = aExchange->QueryValue("zone").value_or("");
  std::vector<const tasks::Member*> alive;
  for (const tasks::Member& member : m_context.m_members) {
    if (member.m_state == tasks::MemberState::Alive) {
      alive.push_back(&member);
    }
  }
  // Nodes in the caller's zone come first. The order is otherwise randomized in each response,
  // which spreads callers over the nodes.
  const std::string salt = base::RandomHex(4);
  std::sort(
    alive.begin(), alive.end(), [&](const tasks::Member* aLeft, const tasks::Member* aRight) {
      const bool leftRemote = aLeft->m_zone.Text() != zone;
      const bool rightRemote = aRight->m_zone.Text() != zone;
      return std::pair(leftRemote, base::RendezvousWeight(salt, aLeft->m_node.Text())) <
             std::pair(rightRemote, base::RendezvousWeight(salt, aRight->m_node.Text()));
    });
  nlohmann::json entries = nlohmann::json::array();
  for (const tasks::Member* member : alive) {
    entries.push_back(
      { { "address", member->m_callerAddress.ToText() }, { "zone", member->m_zone.Text() } });
  }
  const nlohmann::json body = {
    { "entries", entries }, { "valid_for_ms", m_context.m_settings.m_discoveryLifetime.count() }
  };
  aExchange->Reply(kOk, { { "Content-Type", "application/json" } }, base::DumpJson(body));
}

void CallerApi::HandleCompletions(const ExchangePtr& aExchange, const manifest::Team& aTeam) {
  auto completion =
    ParseCompletionRequest(*aExchange, *m_context.m_configuration.m_manifest, aTeam);
  if (!completion) {
    Reply(*aExchange, completion.error());
    return;
  }
  const bool stream = completion->m_streamRequested;
  const auto last = aExchange->RequestHeaders().Find("Last-Event-ID");
  if (!last || !stream) {
    AddCompletion(aExchange, aTeam, std::move(*completion))->Begin();
    return;
  }
  const auto position =
    requests::ParseAnswerPosition(*last, aTeam.m_name, m_context.m_settings.m_fleet.m_keys);
  if (!position) {
    Reply(*aExchange, { kBadRequest, "Last-Event-ID is not valid", Outcome::NotRun, "", {} });
    return;
  }
  AddCompletion(aExchange, aTeam, std::move(*completion))->BeginAfter(*position);
}

void CallerApi::HandleAnswers(const ExchangePtr& aExchange, const manifest::Team& aTeam) {
  // Split `/v1/answers/KIND/POSITION`.
  const std::string rest = aExchange->Path().substr(kAnswersPath.size());
  const size_t slash = std::min(rest.find('/'), rest.size());
  const std::string kind = rest.substr(0, slash);
  const auto position = requests::ParseAnswerPosition(rest.substr(std::min(slash + 1, rest.size())),
                                                      aTeam.m_name,
                                                      m_context.m_settings.m_fleet.m_keys);
  if (!position || (kind != "chat" && kind != "text")) {
    Reply(*aExchange, { kNotFound, "no such answer", Outcome::NotRun, "", {} });
    return;
  }
  CompletionRequest completion;
  completion.m_path = kind == "chat" ? kChatCompletionPath : kTextCompletionPath;
  AddCompletion(aExchange, aTeam, std::move(completion))->BeginAfter(*position);
}

std::shared_ptr<CompletionSession> CallerApi::AddCompletion(const ExchangePtr& aExchange,
                                                            const manifest::Team& aTeam,
                                                            CompletionRequest aCompletion) {
  const base::RequestId id = MakeRequestId();
  m_context.m_timeline.Add(
    EventKind::RequestAccepted, id, aCompletion.m_deployment.Text(), aTeam.m_name.Text());
  auto session = std::make_shared<CompletionSession>(
    m_context, aExchange, id, aTeam, std::move(aCompletion), [this](const base::RequestId& aId) {
      m_completions.erase(aId);
    });
  m_completions[id] = session;
  return session;
}

void CallerApi::HandleTickets(const ExchangePtr& aExchange, const manifest::Team& aTeam) {
  const std::string ticket = m_atMostOnceCalls.IssueTicket(aTeam.m_name);
  if (ticket.empty()) {
    Reply(
      *aExchange,
      { kServiceUnavailable, "too many open tickets", Outcome::NotRun, "", base::Millis(1000) });
    return;
  }
  aExchange->Reply(kOk,
                   { { "Content-Type", "application/json" } },
                   base::DumpJson({ { "idempotency_key", ticket } }));
}

void CallerApi::HandleServices(const ExchangePtr& aExchange, const manifest::Team& aTeam) {
  // Split `/services/NAME/rest`.
  const std::string rest = aExchange->Path().substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  const base::DeploymentId name(rest.substr(0, slash));
  const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
  const manifest::Service* service = m_context.m_configuration.m_manifest->FindService(name);
  if (service == nullptr) {
    Reply(*aExchange, { kNotFound, "no such service", Outcome::NotRun, name.Text(), {} });
    return;
  }
  if (!service->Admits(aTeam.m_name)) {
    Reply(*aExchange, { kForbidden, "not allowed", Outcome::NotRun, name.Text(), {} });
    return;
  }
  const manifest::ServiceCall call = manifest::FindCall(*service, aExchange->Method(), path);
  const std::string key = aExchange->RequestHeaders().Find("Idempotency-Key").value_or("");
  if (key.size() > kMaxKeyLength) {
    Reply(*aExchange, { kBadRequest, "Idempotency-Key is too long", Outcome::NotRun, "", {} });
    return;
  }
  ServiceCallRequest callRequest;
  callRequest.m_service = name;
  callRequest.m_method = aExchange->Method();
  callRequest.m_target = path + (aExchange->Query().empty() ? "" : "?" + aExchange->Query());
  callRequest.m_body = aExchange->Body();
  callRequest.m_kind = call.m_repeatable ? CallKind::Repeatable : CallKind::NotRepeatable;
  callRequest.m_timeout = call.m_timeout;
  for (const adapters::http::Header& headerField : aExchange->RequestHeaders().Lines()) {
    if (IsForwardedHeader(headerField.m_name)) {
      callRequest.m_headers.Add(headerField.m_name, headerField.m_value);
    }
  }
  const base::RequestId id = MakeRequestId();
  m_context.m_timeline.Add(EventKind::RequestAccepted, id, name.Text(), aTeam.m_name.Text());
  ++m_openCalls;
  if (!key.empty() && callRequest.m_kind == CallKind::NotRepeatable) {
    const bool forwarded = aExchange->RequestHeaders().Find("X-Forwarded-By").has_value();
    m_atMostOnceCalls.Run(id,
                          aTeam.m_name,
                          key,
                          forwarded,
                          std::move(callRequest),
                          *aExchange,
                          [this, aExchange, id](const RunResult& aResult) {
                            --m_openCalls;
                            Relay(*aExchange, id, aResult.m_answer);
                          });
    return;
  }
  const bool repeatable = call.m_repeatable;
  const auto request = std::make_shared<ServiceCallSession>(
    m_context,
    id,
    std::move(callRequest),
    [this, aExchange, id](const ServiceCallSession::Result& aResult) {
      --m_openCalls;
      if (aResult) {
        Relay(*aExchange, id, *aResult);
      } else {
        Reply(*aExchange, aResult.error());
      }
    });
  if (repeatable) {
    aExchange->OnDisconnect([request] { request->Abandon(); });
  }
  request->Begin();
}

void CallerApi::OnEndpointLeaving(const base::EndpointId& aEndpoint) {
  std::vector<std::shared_ptr<CompletionSession>> sessions;
  for (const auto& [id, session] : m_completions) {
    sessions.push_back(session);
  }
  std::sort(sessions.begin(), sessions.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->ArrivalTime() < aRight->ArrivalTime();
  });
  for (const auto& session : sessions) {
    session->OnEndpointLeaving(aEndpoint);
  }
}

void CallerApi::HandOverAll(const base::Address& aNext) {
  const auto sessions = m_completions;
  for (const auto& [id, session] : sessions) {
    session->HandOver(aNext);
  }
}

} // namespace papayafield::gateway
