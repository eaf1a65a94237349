#include "standins/platform/Cloud.h"

#include "base/Digest.h"
#include "standins/common/StandinServer.h"

namespace papayafield::standins {

using adapters::http::ExchangePtr;

Cloud::Cloud(base::Millis aLag)
  : m_lag(aLag)
  , m_states{ { base::TimePoint{}, nlohmann::json::array() } } {}

void Cloud::SetFaults(const nlohmann::json& aFaults) {
  m_down = base::ValueOr(aFaults, "hosts_down", m_down);
  m_refuseStarts = base::ValueOr(aFaults, "refuse_starts", m_refuseStarts);
  m_loseStartAnswers = base::ValueOr(aFaults, "lose_start_answers", m_loseStartAnswers);
}

void Cloud::Handle(const ExchangePtr& aExchange) {
  if (m_down) {
    aExchange->Reply(503, {}, "outage");
  } else if (aExchange->Path() == "/hosts") {
    List(aExchange);
  } else if (aExchange->Method() == "POST") {
    Start(aExchange);
  } else if (aExchange->Method() == "DELETE") {
    Stop(aExchange->QueryValue("name").value_or(""));
    aExchange->Reply(200, {}, "");
  } else {
    // Returns the started hosts by token, without the lag of the host list.
    ReplyJson(aExchange, 200, m_byToken);
  }
}

void Cloud::Control(const ExchangePtr& aExchange) {
  const nlohmann::json body = base::ParseJson(aExchange->Body());
  if (aExchange->Path() == "/control/pool") {
    m_pool.push_back(body);
  } else if (aExchange->Method() == "DELETE") {
    Stop(aExchange->QueryValue("name").value_or(""));
  } else {
    Patch(body);
  }
  ReplyJson(aExchange, 200, m_states.back().m_hosts);
}

const nlohmann::json& Cloud::Shown() {
  while (m_states.size() > 1 && base::SteadyClock().Now() - m_states[1].m_since >= m_lag) {
    m_states.pop_front();
  }
  return m_states.front().m_hosts;
}

void Cloud::List(const ExchangePtr& aExchange) {
  const std::string text = base::DumpJson(Shown());
  const std::string tag = "\"" + base::Sha256Hex(text).substr(0, 16) + "\"";
  if (aExchange->RequestHeaders().Find("If-None-Match") == tag) {
    aExchange->Reply(304, { { "ETag", tag } }, "");
  } else {
    aExchange->Reply(200, { { "ETag", tag }, { "Content-Type", "application/json" } }, text);
  }
}

void Cloud::Start(const ExchangePtr& aExchange) {
  nlohmann::json host = base::ParseJson(aExchange->Body());
  const std::string token = base::ValueOr(host, "token", std::string());
  if (token.empty()) {
    aExchange->Reply(400, {}, "a token is needed");
    return;
  }
  // Starts are idempotent: a repeated token returns the host that it started.
  if (!m_byToken.contains(token)) {
    if (m_refuseStarts || m_pool.empty()) {
      aExchange->Reply(503, {}, "no capacity");
      return;
    }
    host.update(m_pool.front());
    m_pool.pop_front();
    host["state"] = "live";
    m_byToken[token] = host;
    Patch(host);
  }
  if (m_loseStartAnswers > 0) {
    --m_loseStartAnswers;
    m_unanswered = aExchange;
    return;
  }
  ReplyJson(aExchange, 200, m_byToken[token]);
}

void Cloud::Stop(const std::string& aName) {
  nlohmann::json kept = nlohmann::json::array();
  for (const auto& host : m_states.back().m_hosts) {
    if (host["name"] != aName) {
      kept.push_back(host);
    }
  }
  std::erase_if(m_byToken, [&](const auto& aEntry) { return aEntry.second["name"] == aName; });
  m_states.push_back({ base::SteadyClock().Now(), std::move(kept) });
}

void Cloud::Patch(const nlohmann::json& aHost) {
  nlohmann::json hosts = m_states.back().m_hosts;
  bool known = false;
  for (auto& host : hosts) {
    if (host["name"] == aHost["name"]) {
      host.update(aHost);
      known = true;
    }
  }
  if (!known) {
    hosts.push_back(aHost);
  }
  m_states.push_back({ base::SteadyClock().Now(), std::move(hosts) });
}

} // namespace papayafield::standins
