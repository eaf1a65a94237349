#include "standins/platform/KeyValueStore.h"

#include <vector>

namespace papayafield::standins {

namespace {

using adapters::http::ExchangePtr;
using adapters::http::Headers;

constexpr size_t kMaxValueBytes = 1ULL << 20;
constexpr base::Millis kTick{ 10 };

uint64_t NumberOf(const ExchangePtr& aExchange, const char* aName) {
  return std::strtoull(aExchange->QueryValue(aName).value_or("0").c_str(), nullptr, 10);
}

} // namespace

KeyValueStore::KeyValueStore(adapters::http::EventLoop& aLoop)
  : m_timer(aLoop.Every(kTick, [this] { Tick(); })) {}

void KeyValueStore::Handle(const ExchangePtr& aExchange) {
  const std::string& path = aExchange->Path();
  // Every call is counted, even during an outage.
  ++(aExchange->Method() == "GET" ? m_reads : m_writes);
  if (m_faults.m_silent) {
    m_unanswered.push_back(aExchange);
    return;
  }
  if (m_faults.m_outage) {
    aExchange->Reply(503, {}, "outage");
    return;
  }
  if (path.starts_with("/list")) {
    List(aExchange);
  } else if (path.starts_with("/leases")) {
    Leases(aExchange);
  } else {
    const std::string key = path.substr(sizeof("/kv/") - 1);
    if (aExchange->Method() == "GET") {
      Get(aExchange, key);
    } else if (aExchange->Method() == "PUT") {
      Put(aExchange, key);
    } else {
      Delete(aExchange, key);
    }
  }
}

nlohmann::json KeyValueStore::Counts() const {
  return { { "reads", m_reads }, { "writes", m_writes } };
}

void KeyValueStore::Get(const ExchangePtr& aExchange, const std::string& aKey) {
  const uint64_t wait = NumberOf(aExchange, "wait_ms");
  const uint64_t after = NumberOf(aExchange, "after");
  if (wait > 0 && VersionOf(aKey) == after) {
    m_waiting.push_back({ aExchange, aKey, after, base::SteadyClock().Now() + base::Millis(wait) });
    return;
  }
  Send(aExchange, aKey);
}

void KeyValueStore::Send(const ExchangePtr& aExchange, const std::string& aKey) {
  const auto found = m_values.find(aKey);
  if (found == m_values.end()) {
    aExchange->Reply(404, {}, "");
    return;
  }
  aExchange->Reply(
    200, { { "X-Version", std::to_string(found->second.m_version) } }, found->second.m_text);
}

void KeyValueStore::Put(const ExchangePtr& aExchange, const std::string& aKey) {
  if (aExchange->Body().size() > kMaxValueBytes) {
    aExchange->Reply(413, {}, "too large");
    return;
  }
  const std::string lease = aExchange->QueryValue("lease").value_or("");
  if (VersionOf(aKey) != NumberOf(aExchange, "expect") ||
      (!lease.empty() && !m_leases.contains(lease))) {
    AnswerWrite(aExchange, 409, VersionOf(aKey));
    return;
  }
  m_values[aKey] = { aExchange->Body(), ++m_lastVersion, lease };
  Wake(aKey);
  AnswerWrite(aExchange, 200, m_lastVersion);
}

void KeyValueStore::Delete(const ExchangePtr& aExchange, const std::string& aKey) {
  if (VersionOf(aKey) != NumberOf(aExchange, "expect")) {
    AnswerWrite(aExchange, 409, VersionOf(aKey));
    return;
  }
  m_values.erase(aKey);
  Wake(aKey);
  AnswerWrite(aExchange, 200, 0);
}

void KeyValueStore::AnswerWrite(const ExchangePtr& aExchange, int aStatus, uint64_t aVersion) {
  if (aStatus == 200 && m_faults.m_loseAnswers > 0) {
    --m_faults.m_loseAnswers;
    m_unanswered.push_back(aExchange);
    return;
  }
  aExchange->Reply(aStatus, { { "X-Version", std::to_string(aVersion) } }, "");
}

void KeyValueStore::List(const ExchangePtr& aExchange) {
  const std::string prefix = aExchange->QueryValue("prefix").value_or("");
  nlohmann::json list = nlohmann::json::array();
  for (auto at = m_values.lower_bound(prefix);
       at != m_values.end() && at->first.starts_with(prefix);
       ++at) {
    list.push_back({ { "key", at->first },
                     { "value", at->second.m_text },
                     { "version", at->second.m_version } });
  }
  aExchange->Reply(200, {}, base::DumpJson(list));
}

void KeyValueStore::Leases(const ExchangePtr& aExchange) {
  const std::string name = aExchange->Path().substr(sizeof("/leases") - 1);
  const auto now = base::SteadyClock().Now();
  if (name.empty()) {
    const base::Millis life(NumberOf(aExchange, "ttl_ms"));
    const std::string lease = "lease" + std::to_string(++m_lastLease);
    m_leases[lease] = { life, now + life };
    aExchange->Reply(200, {}, lease);
    return;
  }
  const auto found = m_leases.find(name.substr(1));
  if (found == m_leases.end()) {
    aExchange->Reply(404, {}, "");
    return;
  }
  found->second.m_until = now + found->second.m_life;
  aExchange->Reply(200, {}, "");
}

void KeyValueStore::Wake(const std::string& aKey) {
  for (auto at = m_waiting.begin(); at != m_waiting.end();) {
    if (at->m_key == aKey) {
      Send(at->m_exchange, aKey);
      at = m_waiting.erase(at);
    } else {
      ++at;
    }
  }
}

void KeyValueStore::Tick() {
  const auto now = base::SteadyClock().Now();
  // Watches that have timed out get the current value.
  for (auto at = m_waiting.begin(); at != m_waiting.end();) {
    if (now >= at->m_until) {
      Send(at->m_exchange, at->m_key);
      at = m_waiting.erase(at);
    } else {
      ++at;
    }
  }
  // Keys are removed when their lease expires.
  std::vector<std::string> lapsed;
  std::erase_if(m_leases, [&](const auto& aLease) {
    if (now < aLease.second.m_until) {
      return false;
    }
    lapsed.push_back(aLease.first);
    return true;
  });
  for (const std::string& lease : lapsed) {
    std::erase_if(m_values, [&](const auto& aValue) { return aValue.second.m_lease == lease; });
  }
  m_unanswered.remove_if([](const ExchangePtr& aExchange) { return !aExchange->Alive(); });
}

uint64_t KeyValueStore::VersionOf(const std::string& aKey) const {
  const auto found = m_values.find(aKey);
  return found == m_values.end() ? 0 : found->second.m_version;
}

} // namespace papayafield::standins
