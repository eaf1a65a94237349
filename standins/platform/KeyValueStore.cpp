#include "standins/platform/KeyValueStore.h"

#include <vector>

namespace papayafield::standins {

namespace {

using adapters::http::ExchangePtr;
using adapters::http::Headers;

constexpr size_t kMaxValueBytes = 1ULL << 20;
constexpr base::Millis kExpiryInterval{ 10 };

uint64_t QueryNumber(const ExchangePtr& aExchange, const char* aName) {
  return std::strtoull(aExchange->QueryValue(aName).value_or("0").c_str(), nullptr, 10);
}

} // namespace

KeyValueStore::KeyValueStore(adapters::http::EventLoop& aLoop)
  : m_expiryTimer(aLoop.Every(kExpiryInterval, [this] { RemoveExpired(); })) {}

void KeyValueStore::Handle(const ExchangePtr& aExchange) {
  const std::string& path = aExchange->Path();
  // Every call is counted, even during an outage.
  ++(aExchange->Method() == "GET" ? m_readCount : m_writeCount);
  if (m_faults.m_silent) {
    m_unansweredCalls.push_back(aExchange);
    return;
  }
  if (m_faults.m_outage) {
    aExchange->Reply(503, {}, "outage");
    return;
  }
  if (path.starts_with("/list")) {
    ListValues(aExchange);
  } else if (path.starts_with("/leases")) {
    HandleLeases(aExchange);
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
  return { { "reads", m_readCount }, { "writes", m_writeCount } };
}

void KeyValueStore::Get(const ExchangePtr& aExchange, const std::string& aKey) {
  const uint64_t waitMs = QueryNumber(aExchange, "wait_ms");
  const uint64_t afterVersion = QueryNumber(aExchange, "after");
  if (waitMs > 0 && VersionOf(aKey) == afterVersion) {
    m_pendingWatches.push_back(
      { aExchange, aKey, afterVersion, base::SteadyClock().Now() + base::Millis(waitMs) });
    return;
  }
  SendValue(aExchange, aKey);
}

void KeyValueStore::SendValue(const ExchangePtr& aExchange, const std::string& aKey) {
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
  if (VersionOf(aKey) != QueryNumber(aExchange, "expect") ||
      (!lease.empty() && !m_leases.contains(lease))) {
    CompleteWrite(aExchange, 409, VersionOf(aKey));
    return;
  }
  m_values[aKey] = { aExchange->Body(), ++m_lastVersion, lease };
  CompleteWatches(aKey);
  CompleteWrite(aExchange, 200, m_lastVersion);
}

void KeyValueStore::Delete(const ExchangePtr& aExchange, const std::string& aKey) {
  if (VersionOf(aKey) != QueryNumber(aExchange, "expect")) {
    CompleteWrite(aExchange, 409, VersionOf(aKey));
    return;
  }
  m_values.erase(aKey);
  CompleteWatches(aKey);
  CompleteWrite(aExchange, 200, 0);
}

void KeyValueStore::CompleteWrite(const ExchangePtr& aExchange, int aStatus, uint64_t aVersion) {
  if (aStatus == 200 && m_faults.m_writeResponsesToDrop > 0) {
    --m_faults.m_writeResponsesToDrop;
    m_unansweredCalls.push_back(aExchange);
    return;
  }
  aExchange->Reply(aStatus, { { "X-Version", std::to_string(aVersion) } }, "");
}

void KeyValueStore::ListValues(const ExchangePtr& aExchange) {
  const std::string prefix = aExchange->QueryValue("prefix").value_or("");
  nlohmann::json list = nlohmann::json::array();
  for (auto it = m_values.lower_bound(prefix);
       it != m_values.end() && it->first.starts_with(prefix);
       ++it) {
    list.push_back({ { "key", it->first },
                     { "value", it->second.m_text },
                     { "version", it->second.m_version } });
  }
  aExchange->Reply(200, {}, base::DumpJson(list));
}

void KeyValueStore::HandleLeases(const ExchangePtr& aExchange) {
  const std::string name = aExchange->Path().substr(sizeof("/leases") - 1);
  const auto now = base::SteadyClock().Now();
  if (name.empty()) {
    const base::Millis ttl(QueryNumber(aExchange, "ttl_ms"));
    const std::string lease = "lease" + std::to_string(++m_lastLeaseId);
    m_leases[lease] = { ttl, now + ttl };
    aExchange->Reply(200, {}, lease);
    return;
  }
  const auto found = m_leases.find(name.substr(1));
  if (found == m_leases.end()) {
    aExchange->Reply(404, {}, "");
    return;
  }
  found->second.m_expiresAt = now + found->second.m_ttl;
  aExchange->Reply(200, {}, "");
}

void KeyValueStore::CompleteWatches(const std::string& aKey) {
  for (auto it = m_pendingWatches.begin(); it != m_pendingWatches.end();) {
    if (it->m_key == aKey) {
      SendValue(it->m_exchange, aKey);
      it = m_pendingWatches.erase(it);
    } else {
      ++it;
    }
  }
}

void KeyValueStore::RemoveExpired() {
  const auto now = base::SteadyClock().Now();
  // Watches that have timed out get the current value.
  for (auto it = m_pendingWatches.begin(); it != m_pendingWatches.end();) {
    if (now >= it->m_expiresAt) {
      SendValue(it->m_exchange, it->m_key);
      it = m_pendingWatches.erase(it);
    } else {
      ++it;
    }
  }
  // Keys are removed when their lease expires.
  std::vector<std::string> expiredLeases;
  std::erase_if(m_leases, [&](const auto& aLease) {
    if (now < aLease.second.m_expiresAt) {
      return false;
    }
    expiredLeases.push_back(aLease.first);
    return true;
  });
  for (const std::string& lease : expiredLeases) {
    std::erase_if(m_values, [&](const auto& aValue) { return aValue.second.m_lease == lease; });
  }
  m_unansweredCalls.remove_if(
    [](const ExchangePtr& aExchange) { return !aExchange->IsConnected(); });
}

uint64_t KeyValueStore::VersionOf(const std::string& aKey) const {
  const auto found = m_values.find(aKey);
  return found == m_values.end() ? 0 : found->second.m_version;
}

} // namespace papayafield::standins
