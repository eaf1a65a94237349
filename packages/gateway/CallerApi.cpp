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
constexpr size_t kIdDigits = 6;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServices = "/services/";
constexpr std::string_view kAnswers = "/v1/answers/";

/// Headers that belong to one connection, or to this system, and are not passed on to a service.
constexpr std::string_view kNotPassedOn[] = {
  "host", "connection", "content-length", "transfer-encoding", "authorization", "expect",
  "te",   "upgrade",    "keep-alive",     "x-forwarded-by",    "x-attempt-id"
};

bool IsPassedOn(std::string aName) {
  std::transform(aName.begin(), aName.end(), aName.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return std::find(std::begin(kNotPassedOn), std::end(kNotPassedOn), aName) ==
         std::end(kNotPassedOn);
}

/// Passes a kept or relayed answer on to the caller.
void Relay(adapters::http::ServerExchange& aExchange,
           const base::RequestId& aId,
           const adapters::http::HttpResponse& aAnswer) {
  adapters::http::Headers headers{ { "X-Request-Id", aId.Text() } };
  for (const adapters::http::Header& line : aAnswer.m_headers.Lines()) {
    if (IsPassedOn(line.m_name)) {
      headers.Add(line.m_name, line.m_value);
    }
  }
  aExchange.Reply(aAnswer.m_status, headers, aAnswer.m_body);
}

} // namespace

CallerApi::CallerApi(GatewayContext& aContext)
  : m_context(aContext)
  , m_claimed(aContext) {}

base::RequestId CallerApi::NextId() {
  // Unique over nodes and restarts, and short enough to read.
  const std::string& incarnation = m_context.m_incarnation.Text();
  return base::RequestId(m_context.m_settings.m_name.Text() + "-" +
                         incarnation.substr(incarnation.size() - kIdDigits) + "-" +
                         std::to_string(++m_lastId));
}

std::optional<manifest::Team> CallerApi::FindTeam(
  const adapters::http::ServerExchange& aExchange) const {
  const std::string header = aExchange.RequestHeaders().Find("Authorization").value_or("");
  if (!header.starts_with(kBearer)) {
    return std::nullopt;
  }
  const manifest::Team* team = m_context.m_configuration.m_manifest->FindTeamByKeyDigest(
    base::Sha256Hex(header.substr(kBearer.size())));
  return team == nullptr ? std::nullopt : std::optional(*team);
}

void CallerApi::Handle(const ExchangePtr& aExchange) {
  const std::string& path = aExchange->Path();
  if (path == "/v1/entries") {
    Entries(aExchange);
    return;
  }
  const bool completion = path == kChatPath || path == kTextPath;
  const bool answer = path.starts_with(kAnswers);
  if (!completion && !answer && path != "/v1/tickets" && !path.starts_with(kServices)) {
    Reply(*aExchange, { kNotFound, "no such path", Outcome::NotRun, path, {} });
    return;
  }
  if (m_context.m_configuration.m_generation == 0) {
    Reply(*aExchange,
          { kServiceUnavailable, "no configuration yet", Outcome::NotRun, "", base::Millis(1000) });
    return;
  }
  const auto team = FindTeam(*aExchange);
  if (!team) {
    Reply(*aExchange, { kUnauthorized, "a team's key is needed", Outcome::NotRun, "", {} });
    return;
  }
  m_context.m_metrics.Add(Counter::RequestsTaken);
  const std::string method = answer ? "GET" : "POST";
  if (!path.starts_with(kServices) && aExchange->Method() != method) {
    Reply(*aExchange, { kMethodNotAllowed, "use " + method, Outcome::NotRun, "", {} });
  } else if (answer) {
    Answers(aExchange, *team);
  } else if (completion) {
    Completions(aExchange, *team);
  } else if (path == "/v1/tickets") {
    Tickets(aExchange, *team);
  } else {
    Services(aExchange, *team);
  }
}

void CallerApi::Entries(const ExchangePtr& aExchange) {
  const std::string zone = aExchange->QueryValue("zone").value_or("");
  std::vector<const tasks::Member*> open;
  for (const tasks::Member& member : m_context.m_members) {
    if (member.m_state == tasks::MemberState::Alive) {
      open.push_back(&member);
    }
  }
  // The caller's zone first; within a zone, each answer in another order, so that callers spread.
  const std::string salt = base::RandomHex(4);
  std::sort(open.begin(), open.end(), [&](const tasks::Member* aLeft, const tasks::Member* aRight) {
    const bool leftFar = aLeft->m_zone.Text() != zone;
    const bool rightFar = aRight->m_zone.Text() != zone;
    return std::pair(leftFar, base::RendezvousWeight(salt, aLeft->m_node.Text())) <
           std::pair(rightFar, base::RendezvousWeight(salt, aRight->m_node.Text()));
  });
  nlohmann::json entries = nlohmann::json::array();
  for (const tasks::Member* member : open) {
    entries.push_back(
      { { "address", member->m_callers.ToText() }, { "zone", member->m_zone.Text() } });
  }
  const nlohmann::json body = {
    { "entries", entries }, { "valid_for_ms", m_context.m_settings.m_discoveryLifetime.count() }
  };
  aExchange->Reply(kOk, { { "Content-Type", "application/json" } }, base::DumpJson(body));
}

void CallerApi::Completions(const ExchangePtr& aExchange, const manifest::Team& aTeam) {
  auto completion = ReadCompletion(*aExchange, *m_context.m_configuration.m_manifest, aTeam);
  if (!completion) {
    Reply(*aExchange, completion.error());
    return;
  }
  const bool stream = completion->m_stream;
  const auto last = aExchange->RequestHeaders().Find("Last-Event-ID");
  if (!last || !stream) {
    AddChat(aExchange, aTeam, std::move(*completion))->Begin();
    return;
  }
  const auto position =
    requests::ReadAnswerPosition(*last, aTeam.m_name, m_context.m_settings.m_fleet.m_keys);
  if (!position) {
    Reply(*aExchange, { kBadRequest, "Last-Event-ID is not valid", Outcome::NotRun, "", {} });
    return;
  }
  AddChat(aExchange, aTeam, std::move(*completion))->BeginAfter(*position);
}

void CallerApi::Answers(const ExchangePtr& aExchange, const manifest::Team& aTeam) {
  // Cut `/v1/answers/KIND/POSITION`.
  const std::string rest = aExchange->Path().substr(kAnswers.size());
  const size_t slash = std::min(rest.find('/'), rest.size());
  const std::string kind = rest.substr(0, slash);
  const auto position = requests::ReadAnswerPosition(rest.substr(std::min(slash + 1, rest.size())),
                                                     aTeam.m_name,
                                                     m_context.m_settings.m_fleet.m_keys);
  if (!position || (kind != "chat" && kind != "text")) {
    Reply(*aExchange, { kNotFound, "no such answer", Outcome::NotRun, "", {} });
    return;
  }
  Completion completion;
  completion.m_path = kind == "chat" ? kChatPath : kTextPath;
  AddChat(aExchange, aTeam, std::move(completion))->BeginAfter(*position);
}

std::shared_ptr<ChatRequest> CallerApi::AddChat(const ExchangePtr& aExchange,
                                                const manifest::Team& aTeam,
                                                Completion aCompletion) {
  const base::RequestId id = NextId();
  m_context.m_timeline.Add(
    EventKind::RequestAccepted, id, aCompletion.m_deployment.Text(), aTeam.m_name.Text());
  auto chat = std::make_shared<ChatRequest>(
    m_context, aExchange, id, aTeam, std::move(aCompletion), [this](const base::RequestId& aId) {
      m_chats.erase(aId);
    });
  m_chats[id] = chat;
  return chat;
}

void CallerApi::Tickets(const ExchangePtr& aExchange, const manifest::Team& aTeam) {
  const std::string ticket = m_claimed.IssueTicket(aTeam.m_name);
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

void CallerApi::Services(const ExchangePtr& aExchange, const manifest::Team& aTeam) {
  // Cut `/services/NAME/rest`.
  const std::string rest = aExchange->Path().substr(kServices.size());
  const size_t slash = rest.find('/');
  const base::DeploymentId name(rest.substr(0, slash));
  const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
  const manifest::Service* service = m_context.m_configuration.m_manifest->FindService(name);
  if (service == nullptr) {
    Reply(*aExchange, { kNotFound, "no such service", Outcome::NotRun, name.Text(), {} });
    return;
  }
  const auto& teams = service->m_teams;
  if (!teams.empty() && std::find(teams.begin(), teams.end(), aTeam.m_name) == teams.end()) {
    Reply(*aExchange, { kForbidden, "not allowed", Outcome::NotRun, name.Text(), {} });
    return;
  }
  const manifest::ServiceCall call = manifest::FindCall(*service, aExchange->Method(), path);
  const std::string key = aExchange->RequestHeaders().Find("Idempotency-Key").value_or("");
  if (key.size() > kMaxKeyLength) {
    Reply(*aExchange, { kBadRequest, "Idempotency-Key is too long", Outcome::NotRun, "", {} });
    return;
  }
  ServiceAsk ask;
  ask.m_service = name;
  ask.m_method = aExchange->Method();
  ask.m_target = path + (aExchange->Query().empty() ? "" : "?" + aExchange->Query());
  ask.m_body = aExchange->Body();
  ask.m_kind = call.m_repeatable ? CallKind::Repeatable : CallKind::NotRepeatable;
  ask.m_timeout = call.m_timeout;
  for (const adapters::http::Header& line : aExchange->RequestHeaders().Lines()) {
    if (IsPassedOn(line.m_name)) {
      ask.m_headers.Add(line.m_name, line.m_value);
    }
  }
  const base::RequestId id = NextId();
  m_context.m_timeline.Add(EventKind::RequestAccepted, id, name.Text(), aTeam.m_name.Text());
  ++m_openCalls;
  if (!key.empty() && ask.m_kind == CallKind::NotRepeatable) {
    const bool forwarded = aExchange->RequestHeaders().Find("X-Forwarded-By").has_value();
    m_claimed.Run(id,
                  aTeam.m_name,
                  key,
                  forwarded,
                  std::move(ask),
                  *aExchange,
                  [this, aExchange, id](const RunResult& aResult) {
                    --m_openCalls;
                    Relay(*aExchange, id, aResult.m_answer);
                  });
    return;
  }
  const bool repeatable = call.m_repeatable;
  const auto request = std::make_shared<ServiceRequest>(
    m_context, id, std::move(ask), [this, aExchange, id](const ServiceRequest::Result& aResult) {
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

void CallerApi::EndpointLeaving(const base::EndpointId& aEndpoint) {
  std::vector<std::shared_ptr<ChatRequest>> chats;
  for (const auto& [id, chat] : m_chats) {
    chats.push_back(chat);
  }
  std::sort(chats.begin(), chats.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->Since() < aRight->Since();
  });
  for (const auto& chat : chats) {
    chat->EndpointLeaving(aEndpoint);
  }
}

void CallerApi::HandOverAll(const base::Address& aNext) {
  const auto chats = m_chats;
  for (const auto& [id, chat] : chats) {
    chat->HandOver(aNext);
  }
}

} // namespace papayafield::gateway
