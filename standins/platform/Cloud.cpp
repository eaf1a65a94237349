#include "standins/platform/Cloud.h"

#include "base/Digest.h"
#include "standins/common/StandinServer.h"

namespace papayafield::standins {

using adapters::http::ExchangePtr;

Cloud::Cloud(base::Millis aLag)
  : m_lag(aLag)
  , m_snapshots{ { base::TimePoint{}, nlohmann::json::array() } } {}

void Cloud::SetFaults(const nlohmann::json& aFaults) {
  m_isUnavailable = base::ValueOr(aFaults, "hosts_down", m_isUnavailable);
  m_rejectStarts = base::ValueOr(aFaults, "refuse_starts", m_rejectStarts);
  m_startResponsesToDrop = base::ValueOr(aFaults, "lose_start_answers", m_startResponsesToDrop);
}

void Cloud::Handle(const ExchangePtr& aExchange) {
  if (m_isUnavailable) {
    aExchange->Reply(503, {}, "outage");
  } else if (aExchange->Path() == "/hosts") {
    ListHosts(aExchange);
  } else if (aExchange->Method() == "POST") {
    StartHost(aExchange);
  } else if (aExchange->Method() == "DELETE") {
    StopHost(aExchange->QueryValue("name").value_or(""));
    aExchange->Reply(200, {}, "");
  } else {
    // Returns the started hosts by token, without the lag of the host list.
    ReplyJson(aExchange, 200, m_hostsByToken);
  }
}

void Cloud::HandleControl(const ExchangePtr& aExchange) {
  const nlohmann::json body = base::ParseJson(aExchange->Body());
  if (aExchange->Path() == "/control/pool") {
    m_pool.push_back(body);
  } else if (aExchange->Method() == "DELETE") {
    StopHost(aExchange->QueryValue("name").value_or(""));
  } else {
    UpdateHost(body);
  }
  ReplyJson(aExchange, 200, m_snapshots.back().m_hosts);
}

const nlohmann::json& Cloud::VisibleHosts() {
  while (m_snapshots.size() > 1 &&
         base::SteadyClock().Now() - m_snapshots[1].m_recordedAt >= m_lag) {
    m_snapshots.pop_front();
  }
  return m_snapshots.front().m_hosts;
}

void Cloud::ListHosts(const ExchangePtr& aExchange) {
  const std::string text = base::DumpJson(VisibleHosts());
  const std::string etag = "\"" + base::Sha256Hex(text).substr(0, 16) + "\"";
  if (aExchange->RequestHeaders().Find("If-None-Match") == etag) {
    aExchange->Reply(304, { { "ETag", etag } }, "");
  } else {
    aExchange->Reply(200, { { "ETag", etag }, { "Content-Type", "application/json" } }, text);
  }
}

void Cloud::StartHost(const ExchangePtr& aExchange) {
  nlohmann::json host = base::ParseJson(aExchange->Body());
  const std::string token = base::ValueOr(host, "token", std::string());
  if (token.empty()) {
    aExchange->Reply(400, {}, "a token is needed");
    return;
  }
  // Starts are idempotent: a repeated token returns the host that it started.
  if (!m_hostsByToken.contains(token)) {
    if (m_rejectStarts || m_pool.empty()) {
      aExchange->Reply(503, {}, "no capacity");
      return;
    }
    host.update(m_pool.front());
    m_pool.pop_front();
    host["state"] = "live";
    m_hostsByToken[token] = host;
    UpdateHost(host);
  }
  if (m_startResponsesToDrop > 0) {
    --m_startResponsesToDrop;
    m_unanswered = aExchange;
    return;
  }
  ReplyJson(aExchange, 200, m_hostsByToken[token]);
}

void Cloud::StopHost(const std::string& aName) {
  nlohmann::json remaining = nlohmann::json::array();
  for (const auto& host : m_snapshots.back().m_hosts) {
    if (host["name"] != aName) {
      remaining.push_back(host);
    }
  }
  std::erase_if(m_hostsByToken, [&](const auto& aEntry) { return aEntry.second["name"] == aName; });
  m_snapshots.push_back({ base::SteadyClock().Now(), std::move(remaining) });
}

void Cloud::UpdateHost(const nlohmann::json& aHost) {
  nlohmann::json hosts = m_snapshots.back().m_hosts;
  bool isKnown = false;
  for (auto& host : hosts) {
    if (host["name"] == aHost["name"]) {
      host.update(aHost);
      isKnown = true;
    }
  }
  if (!isKnown) {
    hosts.push_back(aHost);
  }
  m_snapshots.push_back({ base::SteadyClock().Now(), std::move(hosts) });
}

} // namespace papayafield::standins
