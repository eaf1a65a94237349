#include "standins/fleet/Store.h"

#include "base/Json.h"

#include <openssl/evp.h>

#include <algorithm>
#include <string_view>

namespace papayafield::standins {

using adapters::http1::QueryParameter;
using adapters::http1::RequestHead;
using nlohmann::json;

namespace {

constexpr base::Millis kExpiryInterval{ 20 };
/// Time between two copies of a state that changes.
constexpr base::Millis kCopyInterval{ 100 };
/// Maximum age of a copy that a restore can ask for.
constexpr base::Millis kCopyRetention{ 30000 };

constexpr std::string_view kRenewPath = "/-/kv-keep/";
constexpr std::string_view kEndPath = "/-/kv-lease-end/";

uint64_t ParseNumber(const std::string& aText) {
  return aText.empty() ? 0 : std::strtoull(aText.c_str(), nullptr, 10);
}

/// Returns whether a key belongs to the operator or to an endpoint, and not to a node.
bool IsExternalKey(const std::string& aKey) {
  return aKey.starts_with("op/") || aKey.starts_with("servers/");
}

std::string PathOf(const RequestHead& aHead) {
  return aHead.m_target.substr(0, aHead.m_target.find('?'));
}

} // namespace

std::string EncodeBase64(const std::string& aBytes) {
  std::string text((aBytes.size() + 2) / 3 * 4, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(aBytes.data()),
                  static_cast<int>(aBytes.size()));
  return text;
}

std::string DecodeBase64(const std::string& aText) {
  std::string bytes(aText.size() / 4 * 3, '\0');
  if (EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(aText.data()),
                      static_cast<int>(aText.size())) < 0) {
    return {};
  }
  const size_t padding = aText.size() - (aText.find_last_not_of('=') + 1);
  bytes.resize(bytes.size() - padding);
  return bytes;
}

Store::Store(adapters::http::EventLoop& aLoop)
  : m_loop(aLoop)
  , m_expiryTimer(aLoop.Every(kExpiryInterval, [this] { RemoveExpired(); }))
  , m_compactedRevision(m_state.m_revision)
  , m_copyTimer(aLoop.Every(kCopyInterval, [this] { AddCopy(); })) {
  AddCopy();
}

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
  Item& item = m_state.m_items[aKey];
  item = { aBase64,
           m_state.m_revision,
           item.m_createRevision == 0 ? m_state.m_revision : item.m_createRevision,
           aLease };
  m_history.push_back(ToJson(aKey, item));
}

void Store::Erase(const std::string& aKey) {
  if (m_state.m_items.erase(aKey) > 0) {
    m_history.push_back(
      { { "key", aKey }, { "revision", m_state.m_revision }, { "removed", true } });
  }
}

void Store::Put(const std::string& aKey, const std::string& aData) {
  PutEncoded(aKey, EncodeBase64(aData));
}

void Store::PutEncoded(const std::string& aKey, const std::string& aBase64) {
  ApplyExternalWrite(aKey, aBase64);
}

std::map<std::string, std::string> Store::Texts(const std::string& aPrefix) const {
  std::map<std::string, std::string> texts;
  for (const auto& [key, item] : m_state.m_items) {
    if (key.starts_with(aPrefix)) {
      texts[key] = DecodeBase64(item.m_data);
    }
  }
  return texts;
}

void Store::Remove(const std::string& aKey) {
  ApplyExternalWrite(aKey, std::nullopt);
}

void Store::ApplyExternalWrite(const std::string& aKey, std::optional<std::string> aBase64) {
  if (IsExternalKey(aKey)) {
    m_externalWrites[aKey] = { base::BootNow(), aBase64 };
    if (m_isDown) {
      m_lostKeys.insert(aKey);
      return;
    }
    m_lostKeys.erase(aKey);
  }
  ++m_state.m_revision;
  m_changedSinceCopy = true;
  if (aBase64) {
    Write(aKey, *aBase64, 0);
  } else {
    Erase(aKey);
  }
  NotifyWatchers();
}

void Store::Compact() {
  m_history.clear();
  m_compactedRevision = m_state.m_revision;
  for (const Watcher& watcher : std::exchange(m_watchers, {})) {
    watcher.m_reply(410, json::object());
  }
}

void Store::AddCopy() {
  if (!std::exchange(m_changedSinceCopy, false) || m_isDown) {
    return;
  }
  const auto now = base::BootNow();
  while (m_copies.size() > 1 && m_copies[1].m_time <= now - kCopyRetention) {
    m_copies.pop_front();
  }
  m_copies.push_back({ now, m_era, m_state });
}

bool Store::Restore(base::Millis aAge, base::Millis aDowntime, base::Millis aRewriteDelay) {
  if (m_isDown) {
    return false;
  }
  const auto copyTime = base::BootNow() - aAge;
  auto copy = m_copies.end();
  do {
    --copy;
  } while (copy != m_copies.begin() && copy->m_time > copyTime);
  for (const auto& [key, write] : m_externalWrites) {
    if (write.m_time >= copy->m_time) {
      m_lostKeys.insert(key);
    }
  }
  m_isDown = true;
  m_rewriteTimer.reset();
  m_returnTimer = m_loop.After(
    aDowntime,
    [this, restored = *copy, copiedAt = std::max(copyTime, copy->m_time), aRewriteDelay] {
      Return(restored, copiedAt, aRewriteDelay);
    });
  for (const Watcher& watcher : std::exchange(m_watchers, {})) {
    watcher.m_reply(kCloseConnection, json::object());
  }
  return true;
}

void Store::Return(const Copy& aCopy, base::TimePoint aCopiedAt, base::Millis aRewriteDelay) {
  m_state = aCopy.m_state;
  const auto now = base::BootNow();
  for (auto& [id, lease] : m_state.m_leases) {
    lease.m_expiresAt += now - aCopiedAt;
  }
  while (!m_history.empty() && m_history.back()["revision"] > m_state.m_revision) {
    m_history.pop_back();
  }
  m_compactedRevision = std::min(m_compactedRevision, m_state.m_revision);
  if (aCopy.m_era != m_era) {
    // The history since the previous restore does not lead to this copy.
    m_history.clear();
    m_compactedRevision = m_state.m_revision;
  }
  ++m_era;
  m_changedSinceCopy = true;
  m_isDown = false;
  m_rewriteTimer = m_loop.After(aRewriteDelay, [this] { RepeatLostWrites(); });
}

void Store::RepeatLostWrites() {
  std::vector<std::pair<base::TimePoint, std::string>> keys;
  for (const std::string& key : m_lostKeys) {
    keys.emplace_back(m_externalWrites.at(key).m_time, key);
  }
  std::sort(keys.begin(), keys.end());
  for (const auto& [time, key] : keys) {
    ApplyExternalWrite(key, m_externalWrites.at(key).m_data);
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
  aWatcher.m_reply(200, { { "events", events }, { "at", m_state.m_revision } });
  return true;
}

void Store::NotifyWatchers() {
  const auto now = base::BootNow();
  for (auto it = m_watchers.begin(); it != m_watchers.end();) {
    it = TryAnswerWatch(*it, now >= it->m_deadline) ? m_watchers.erase(it) : std::next(it);
  }
}

void Store::RemoveExpired() {
  if (m_isDown) {
    return;
  }
  const auto now = base::BootNow();
  for (auto it = m_state.m_leases.begin(); it != m_state.m_leases.end();) {
    if (it->second.m_expiresAt > now) {
      ++it;
      continue;
    }
    ++m_state.m_revision;
    m_changedSinceCopy = true;
    std::vector<std::string> removedKeys;
    for (const auto& [key, item] : m_state.m_items) {
      if (item.m_leaseId == it->first) {
        removedKeys.push_back(key);
      }
    }
    for (const std::string& key : removedKeys) {
      Erase(key);
    }
    it = m_state.m_leases.erase(it);
  }
  NotifyWatchers();
}

void Store::Transact(const json& aBody, const Reply& aReply) {
  for (const json& row : aBody.at("expected_rev")) {
    const auto item = m_state.m_items.find(row.at("key").get<std::string>());
    if ((item == m_state.m_items.end() ? 0 : item->second.m_revision) != row.at("revision")) {
      aReply(412, { { "entries", json::array() } });
      return;
    }
  }
  for (const json& row : aBody.at("write")) {
    if (row.at("key").get<std::string>().starts_with("op/")) {
      // Only the operator writes there.
      aReply(403, json::object());
      return;
    }
    const auto lease = row.value("lease_id", uint64_t{ 0 });
    if (lease != 0 && !m_state.m_leases.contains(lease)) {
      aReply(404, json::object());
      return;
    }
  }
  ++m_state.m_revision;
  m_changedSinceCopy = true;
  for (const json& row : aBody.at("write")) {
    Write(row.at("key"), row.at("data"), row.value("lease_id", uint64_t{ 0 }));
  }
  for (const json& key : aBody.value("remove", json::array())) {
    Erase(key);
  }
  aReply(200, { { "revision", m_state.m_revision } });
  NotifyWatchers();
}

void Store::Range(const std::string& aTarget, const Reply& aReply) const {
  json entries = json::array();
  const std::string prefix = QueryParameter(aTarget, "prefix");
  for (const auto& [key, item] : m_state.m_items) {
    if (key.starts_with(prefix) && key > QueryParameter(aTarget, "after")) {
      entries.push_back(ToJson(key, item));
    }
  }
  aReply(200, { { "entries", entries }, { "truncated", false }, { "at", m_state.m_revision } });
}

void Store::Watch(const std::string& aTarget, const Reply& aReply) {
  const Watcher watcher{ QueryParameter(aTarget, "prefix"),
                         ParseNumber(QueryParameter(aTarget, "after")),
                         base::BootNow() +
                           base::Millis(ParseNumber(QueryParameter(aTarget, "wait_ms"))),
                         aReply };
  if (watcher.m_afterRevision < m_compactedRevision ||
      watcher.m_afterRevision > m_state.m_revision) {
    watcher.m_reply(410, json::object());
  } else if (!TryAnswerWatch(watcher, false)) {
    m_watchers.push_back(watcher);
  }
}

void Store::AddLease(base::Millis aTtl, const Reply& aReply) {
  m_state.m_leases[++m_state.m_lastLeaseId] = { aTtl, base::BootNow() + aTtl };
  m_changedSinceCopy = true;
  aReply(200, { { "lease_id", m_state.m_lastLeaseId }, { "ttl_ms", aTtl.count() } });
}

void Store::RenewLease(uint64_t aLease, const Reply& aReply) {
  const auto lease = m_state.m_leases.find(aLease);
  if (lease == m_state.m_leases.end()) {
    aReply(404, json::object());
    return;
  }
  lease->second.m_expiresAt = base::BootNow() + lease->second.m_ttl;
  m_changedSinceCopy = true;
  aReply(200, { { "ttl_ms", lease->second.m_ttl.count() } });
}

void Store::EndLease(uint64_t aLease, const Reply& aReply) {
  if (const auto lease = m_state.m_leases.find(aLease); lease != m_state.m_leases.end()) {
    lease->second.m_expiresAt = {};
    RemoveExpired();
  }
  aReply(200, json::object());
}

void Store::Handle(const RequestHead& aHead, const std::string& aBody, Reply aReply) {
  ++m_callCount;
  const std::string path = PathOf(aHead);
  const json body = base::ParseJson(aBody);
  if (m_isDown) {
    aReply(kCloseConnection, json::object());
    return;
  }
  if (m_mode == Mode::Silent) {
    return;
  }
  if (m_mode == Mode::Unavailable) {
    aReply(503, json::object());
    return;
  }
  if (m_mode == Mode::DropResponses && aHead.m_method != "GET") {
    aReply = [reply = std::move(aReply)](int, const json&) {
      reply(kCloseConnection, json::object());
    };
  }
  if (path == "/-/kv-range") {
    Range(aHead.m_target, aReply);
  } else if (path == "/-/kv-watch") {
    Watch(aHead.m_target, aReply);
  } else if (path == "/-/kv-txn" && body.is_object()) {
    Transact(body, aReply);
  } else if (path == "/-/kv-lease" && body.is_object()) {
    AddLease(base::Millis(body.value("ttl_ms", 1000)), aReply);
  } else if (path.starts_with(kRenewPath)) {
    RenewLease(ParseNumber(path.substr(kRenewPath.size())), aReply);
  } else if (path.starts_with(kEndPath)) {
    EndLease(ParseNumber(path.substr(kEndPath.size())), aReply);
  } else {
    aReply(400, json::object());
  }
}

} // namespace papayafield::standins
