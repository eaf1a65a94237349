#include "standins/fleet/Store.h"

#include "base/Json.h"

#include <openssl/evp.h>

namespace papayafield::standins {

using adapters::http1::QueryParameter;
using adapters::http1::RequestHead;
using nlohmann::json;

namespace {

constexpr base::Millis kExpiryInterval{ 20 };

uint64_t ParseNumber(const std::string& aText) {
  return aText.empty() ? 0 : std::strtoull(aText.c_str(), nullptr, 10);
}

std::string EncodeBase64(const std::string& aBytes) {
  std::string text((aBytes.size() + 2) / 3 * 4, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(aBytes.data()),
                  static_cast<int>(aBytes.size()));
  return text;
}

std::string PathOf(const RequestHead& aHead) {
  return aHead.m_target.substr(0, aHead.m_target.find('?'));
}

} // namespace

Store::Store(adapters::http::EventLoop& aLoop)
  : m_expiryTimer(aLoop.Every(kExpiryInterval, [this] { RemoveExpired(); })) {}

void Store::SetMode(Mode aMode) {
  m_mode = aMode;
  m_watchers.clear();
}

json Store::ToJson(const std::string& aKey, const Item& aItem) const {
  return { { "key", aKey },
           { "data", aItem.m_data },
           { "revision", aItem.m_revision },
           { "created", aItem.m_createRevision },
           { "lease_id", aItem.m_leaseId } };
}

void Store::Write(const std::string& aKey, const std::string& aBase64, uint64_t aLease) {
  Item& item = m_items[aKey];
  item = {
    aBase64, m_revision, item.m_createRevision == 0 ? m_revision : item.m_createRevision, aLease
  };
  m_history.push_back(ToJson(aKey, item));
}

void Store::Erase(const std::string& aKey) {
  if (m_items.erase(aKey) > 0) {
    m_history.push_back({ { "key", aKey }, { "revision", m_revision }, { "removed", true } });
  }
}

void Store::Put(const std::string& aKey, const std::string& aData) {
  PutEncoded(aKey, EncodeBase64(aData));
}

void Store::PutEncoded(const std::string& aKey, const std::string& aBase64) {
  ++m_revision;
  Write(aKey, aBase64, 0);
  NotifyWatchers();
}

void Store::Remove(const std::string& aKey) {
  ++m_revision;
  Erase(aKey);
  NotifyWatchers();
}

void Store::Compact() {
  m_history.clear();
  m_compactedRevision = m_revision;
  for (const Watcher& watcher : std::exchange(m_watchers, {})) {
    watcher.m_reply(410, json::object());
  }
}

bool Store::TryAnswerWatch(const Watcher& aWatcher, bool aTimedOut) {
  json events = json::array();
  for (const json& event : m_history) {
    if (event["revision"] > aWatcher.m_afterRevision &&
        event["key"].get<std::string>().starts_with(aWatcher.m_prefix)) {
      events.push_back(event);
    }
  }
  if (events.empty() && !aTimedOut) {
    return false;
  }
  aWatcher.m_reply(200, { { "events", events }, { "at", m_revision } });
  return true;
}

void Store::NotifyWatchers() {
  const auto now = base::BootNow();
  for (auto it = m_watchers.begin(); it != m_watchers.end();) {
    it = TryAnswerWatch(*it, now >= it->m_deadline) ? m_watchers.erase(it) : std::next(it);
  }
}

void Store::RemoveExpired() {
  const auto now = base::BootNow();
  for (auto it = m_leases.begin(); it != m_leases.end();) {
    if (it->second.m_expiresAt > now) {
      ++it;
      continue;
    }
    ++m_revision;
    std::vector<std::string> removedKeys;
    for (const auto& [key, item] : m_items) {
      if (item.m_leaseId == it->first) {
        removedKeys.push_back(key);
      }
    }
    for (const std::string& key : removedKeys) {
      Erase(key);
    }
    it = m_leases.erase(it);
  }
  NotifyWatchers();
}

void Store::Transact(const json& aBody, const Reply& aReply) {
  for (const json& row : aBody.at("expected_rev")) {
    const auto item = m_items.find(row.at("key").get<std::string>());
    if ((item == m_items.end() ? 0 : item->second.m_revision) != row.at("revision")) {
      aReply(412, { { "entries", json::array() } });
      return;
    }
  }
  for (const json& row : aBody.at("write")) {
    const auto lease = row.value("lease_id", uint64_t{ 0 });
    if (lease != 0 && !m_leases.contains(lease)) {
      aReply(404, json::object());
      return;
    }
  }
  ++m_revision;
  for (const json& row : aBody.at("write")) {
    Write(row.at("key"), row.at("data"), row.value("lease_id", uint64_t{ 0 }));
  }
  for (const json& key : aBody.value("remove", json::array())) {
    Erase(key);
  }
  aReply(200, { { "revision", m_revision } });
  NotifyWatchers();
}

bool Store::Handle(const RequestHead& aHead, const std::string& aBody, Reply aReply) {
  ++m_callCount;
  const std::string path = PathOf(aHead);
  const json body = base::ParseJson(aBody);
  if (m_mode == Mode::Silent) {
    return true;
  }
  if (m_mode == Mode::Unavailable) {
    aReply(503, json::object());
    return true;
  }
  const bool dropResponse = m_mode == Mode::DropResponses && aHead.m_method != "GET";
  if (dropResponse) {
    aReply = [](int, const json&) {};
  }
  if (path == "/-/kv-range") {
    json entries = json::array();
    const std::string prefix = QueryParameter(aHead.m_target, "prefix");
    for (const auto& [key, item] : m_items) {
      if (key.starts_with(prefix) && key > QueryParameter(aHead.m_target, "after")) {
        entries.push_back(ToJson(key, item));
      }
    }
    aReply(200, { { "entries", entries }, { "truncated", false }, { "at", m_revision } });
  } else if (path == "/-/kv-watch") {
    const Watcher watcher{ QueryParameter(aHead.m_target, "prefix"),
                           ParseNumber(QueryParameter(aHead.m_target, "after")),
                           base::BootNow() +
                             base::Millis(ParseNumber(QueryParameter(aHead.m_target, "wait_ms"))),
                           std::move(aReply) };
    if (watcher.m_afterRevision < m_compactedRevision) {
      watcher.m_reply(410, json::object());
    } else if (!TryAnswerWatch(watcher, false)) {
      m_watchers.push_back(watcher);
    }
  } else if (path == "/-/kv-txn" && body.is_object()) {
    Transact(body, aReply);
  } else if (path == "/-/kv-lease" && body.is_object()) {
    const base::Millis ttl(body.value("ttl_ms", 1000));
    m_leases[++m_lastLeaseId] = { ttl, base::BootNow() + ttl };
    aReply(200, { { "lease_id", m_lastLeaseId }, { "ttl_ms", ttl.count() } });
  } else if (path.starts_with("/-/kv-keep/")) {
    const auto lease = m_leases.find(ParseNumber(path.substr(11)));
    if (lease == m_leases.end()) {
      aReply(404, json::object());
    } else {
      lease->second.m_expiresAt = base::BootNow() + lease->second.m_ttl;
      aReply(200, { { "ttl_ms", lease->second.m_ttl.count() } });
    }
  } else if (path.starts_with("/-/kv-lease-end/")) {
    if (const auto lease = m_leases.find(ParseNumber(path.substr(16))); lease != m_leases.end()) {
      lease->second.m_expiresAt = {};
      RemoveExpired();
    }
    aReply(200, json::object());
  } else {
    aReply(400, json::object());
  }
  return !dropResponse;
}

} // namespace papayafield::standins
