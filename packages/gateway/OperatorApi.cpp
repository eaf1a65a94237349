#include "gateway/OperatorApi.h"

#include "base/Digest.h"
#include "base/Json.h"

namespace papayafield::gateway {

namespace {

using adapters::http::ExchangePtr;
using requests::Outcome;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kBearerPrefix = "Bearer ";

void ReplyJson(const ExchangePtr& aExchange, int aStatus, const nlohmann::json& aBody) {
  aExchange->Reply(aStatus, { { "Content-Type", "application/json" } }, base::DumpJson(aBody));
}

} // namespace

OperatorApi::OperatorApi(GatewayContext& aContext,
                         std::function<void(std::optional<base::Millis>)> aOnDrain)
  : m_context(aContext)
  , m_onDrain(std::move(aOnDrain)) {}

bool OperatorApi::IsAuthorized(const adapters::http::ServerExchange& aExchange) const {
  const std::string header = aExchange.RequestHeaders().Find("Authorization").value_or("");
  if (!header.starts_with(kBearerPrefix)) {
    return false;
  }
  const std::string digest = base::Sha256Hex(header.substr(kBearerPrefix.size()));
  bool authorized = false;
  for (const std::string& key : m_context.m_settings.m_fleet.m_operatorKeyDigests) {
    authorized = base::EqualConstantTime(key, digest) || authorized;
  }
  return authorized;
}

void OperatorApi::Handle(const ExchangePtr& aExchange) {
  if (!IsAuthorized(*aExchange)) {
    Reply(*aExchange, { kUnauthorized, "an operator's key is needed", Outcome::NotRun, "", {} });
    return;
  }
  const std::string call = aExchange->Method() + " " + aExchange->Path();
  if (call == "GET /operator/status") {
    HandleStatus(aExchange);
  } else if (call == "GET /operator/manifest") {
    HandleManifest(aExchange);
  } else if (call == "POST /operator/apply") {
    HandleApply(aExchange);
  } else if (call == "GET /operator/timeline") {
    HandleTimeline(aExchange);
  } else if (call == "POST /operator/drain") {
    const std::string within = aExchange->QueryValue("within_ms").value_or("");
    m_onDrain(within.empty() ? std::nullopt
                             : std::optional(base::Millis(std::atoll(within.c_str()))));
    ReplyJson(aExchange, kOk, { { "draining", true } });
  } else {
    Reply(*aExchange, { kNotFound, "no such call", Outcome::NotRun, call, {} });
  }
}

void OperatorApi::HandleStatus(const ExchangePtr& aExchange) {
  nlohmann::json members = nlohmann::json::array();
  for (const tasks::Member& member : m_context.m_members) {
    members.push_back({ { "node", member.m_node.Text() },
                        { "incarnation", member.m_incarnation.Text() },
                        { "zone", member.m_zone.Text() },
                        { "callers", member.m_callerAddress.ToText() },
                        { "state", base::NameOf(member.m_state) },
                        { "generation", member.m_generation } });
  }
  nlohmann::json endpoints = nlohmann::json::array();
  for (const routing::EndpointInfo& endpoint : m_context.m_dispatcher.Router().Endpoints()) {
    endpoints.push_back({ { "endpoint", endpoint.m_id.Text() },
                          { "address", endpoint.m_address.ToText() },
                          { "zone", endpoint.m_zone.Text() },
                          { "class", endpoint.m_class },
                          { "kind", base::NameOf(endpoint.m_kind) },
                          { "runs", endpoint.m_deployment.Text() },
                          { "state", base::NameOf(endpoint.m_state) } });
  }
  ReplyJson(aExchange,
            kOk,
            { { "node", m_context.m_settings.m_name.Text() },
              { "incarnation", m_context.m_incarnation.Text() },
              { "draining", m_context.m_draining },
              { "generation", m_context.m_configuration.m_generation },
              { "apply_id", m_context.m_configuration.m_applyId },
              { "set_by", m_context.m_configuration.m_setBy },
              { "members", members },
              { "endpoints", endpoints } });
}

void OperatorApi::HandleManifest(const ExchangePtr& aExchange) {
  const tasks::Configuration& configuration = m_context.m_configuration;
  ReplyJson(aExchange,
            kOk,
            { { "generation", configuration.m_generation },
              { "apply_id", configuration.m_applyId },
              { "set_by", configuration.m_setBy },
              { "text", configuration.m_text } });
}

void OperatorApi::HandleApply(const ExchangePtr& aExchange) {
  const nlohmann::json body = base::ParseJson(aExchange->Body());
  const std::string text = base::ValueOr(body, "text", std::string());
  const std::string applyId = base::ValueOr(body, "apply_id", std::string());
  if (text.empty() || applyId.empty()) {
    Reply(*aExchange, { kBadRequest, "'text' and 'apply_id' are needed", Outcome::NotRun, "", {} });
    return;
  }
  // An invalid manifest is rejected here and never sent to the platform.
  const auto manifest =
    manifest::ParseManifest(base::ValueOr(body, "file", std::string("manifest")), text);
  if (!manifest) {
    nlohmann::json findings = nlohmann::json::array();
    for (const base::Finding& finding : manifest.error().List()) {
      findings.push_back(finding.ToText());
    }
    ReplyJson(aExchange, kUnprocessable, { { "verdict", "rejected" }, { "findings", findings } });
    return;
  }
  const base::RequestId request("apply-" + std::to_string(++m_lastApplyNumber));
  m_pendingApplies[request] = aExchange;
  m_context.m_mailboxes.m_platform.Send(
    tasks::ApplyRequest{ request,
                         applyId,
                         base::ValueOr(body, "set_by", std::string("operator")),
                         base::ValueOr(body, "base", uint64_t{ 0 }),
                         text });
}

void OperatorApi::OnApply(const tasks::ApplyResponse& aAnswer) {
  const auto found = m_pendingApplies.find(aAnswer.m_request);
  if (found == m_pendingApplies.end()) {
    return;
  }
  const ExchangePtr exchange = std::move(found->second);
  m_pendingApplies.erase(found);
  int status = kOk;
  if (aAnswer.m_verdict == tasks::ApplyVerdict::Conflict) {
    status = kConflict;
  } else if (aAnswer.m_verdict != tasks::ApplyVerdict::Accepted) {
    status = kServiceUnavailable;
  }
  ReplyJson(exchange,
            status,
            { { "verdict", base::NameOf(aAnswer.m_verdict) },
              { "generation", aAnswer.m_generation },
              { "set_by", aAnswer.m_setBy } });
}

void OperatorApi::HandleTimeline(const ExchangePtr& aExchange) {
  const std::string request = aExchange->QueryValue("request").value_or("");
  const std::string subject = aExchange->QueryValue("subject").value_or("");
  nlohmann::json events = nlohmann::json::array();
  for (const base::TimelineEvent& event : m_context.m_timeline.Events()) {
    if ((request.empty() || event.m_request.Text() == request) &&
        (subject.empty() || event.m_subject == subject)) {
      events.push_back(event.ToJson());
    }
  }
  ReplyJson(aExchange, kOk, events);
}

} // namespace papayafield::gateway
