#include "standins/fleet/Store.h"

#include "base/Json.h"

#include <openssl/evp.h>

namespace papayafield::standins {

using adapters::http1::QueryParameter;
using adapters::http1::RequestHead;
using nlohmann::json;

namespace {

constexpr base::Millis kTick{ 20 };

uint64_t Number(const std::string& aText) {
  return aText.empty() ? 0 : std::strtoull(aText.c_str(), nullptr, 10);
}

std::string Base64(const std::string& aBytes) {
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
  : m_tick(aLoop.Every(kTick, [this] { Expire(); })) {}

void Store::SetMode(Mode aMode) {
  m_mode = aMode;
  m_watchers.clear();
}

json Store::Describe(const std::string& aKey, const Item& aItem) const {
  return { { "key", aKey },
           { "data", aItem.m_data },
           { "revision", aItem.m_revision },
           { "created", aItem.m_created },
           { "lease_id", aItem.m_lease } };
}

void Store::Write(const std::string& aKey, const std::string& aBase64, uint64_t aLease) {
  Item& item = m_items[aKey];
  item = { aBase64, m_revision, item.m_created == 0 ? m_revision : item.m_created, aLease };
  m_history.push_back(Describe(aKey, item));
}

void Store::Erase(const std::string& aKey) {
  if (m_items.erase(aKey) > 0) {
    m_history.push_back({ { "key", aKey }, { "revision", m_revision }, { "removed", true } });
  }
}

void Store::Put(const std::string& aKey, const std::string& aData) {
  ++m_revision;
  Write(aKey, Base64(aData), 0);
  Wake();
}

void Store::Remove(const std::string& aKey) {
  ++m_revision;
  Erase(aKey);
  Wake();
}

void Store::Compact() {
  m_history.clear();
  m_historyFrom = m_revision;
  for (const Watcher& watcher : std::exchange(m_watchers, {})) {
    watcher.m_reply(410, json::object());
  }
}

bool Store::AnswerWatch(const Watcher& aWatcher, bool aTimeUp) {
  json events = json::array();
  for (const json& event : m_history) {
    if (event["revision"] > aWatcher.m_after &&
        event["key"].get<std::string>().starts_with(aWatcher.m_prefix)) {
      events.push_back(event);
    }
  }
  if (events.empty() && !aTimeUp) {
    return false;
  }
  aWatcher.m_reply(200, { { "events", events }, { "at", m_revision } });
  return true;
}

void Store::Wake() {
  const auto now = base::BootNow();
  for (auto at = m_watchers.begin(); at != m_watchers.end();) {
    at = AnswerWatch(*at, now >= at->m_until) ? m_watchers.erase(at) : std::next(at);
  }
}

void Store::Expire() {
  const auto now = base::BootNow();
  for (auto at = m_leases.begin(); at != m_leases.end();) {
    if (at->second.m_ends > now) {
      ++at;
      continue;
    }
    ++m_revision;
    std::vector<std::string> gone;
    for (const auto& [key, item] : m_items) {
      if (item.m_lease == at->first) {
        gone.push_back(key);
      }
    }
    for (const std::string& key : gone) {
      Erase(key);
    }
    at = m_leases.erase(at);
  }
  Wake();
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
  Wake();
}

bool Store::Handle(const RequestHead& aHead, const std::string& aBody, Reply aReply) {
  ++m_calls;
  const std::string path = PathOf(aHead);
  const json body = base::ParseJson(aBody);
  if (m_mode == Mode::Silent) {
    return true;
  }
  if (m_mode == Mode::Busy) {
    aReply(503, json::object());
    return true;
  }
  const bool lose = m_mode == Mode::LoseAnswers && aHead.m_method != "GET";
  if (lose) {
    aReply = [](int, const json&) {};
  }
  if (path == "/-/kv-range") {
    json entries = json::array();
    const std::string prefix = QueryParameter(aHead.m_target, "prefix");
    for (const auto& [key, item] : m_items) {
      if (key.starts_with(prefix) && key > QueryParameter(aHead.m_target, "after")) {
        entries.push_back(Describe(key, item));
      }
    }
    aReply(200, { { "entries", entries }, { "truncated", false }, { "at", m_revision } });
  } else if (path == "/-/kv-watch") {
    const Watcher watcher{ QueryParameter(aHead.m_target, "prefix"),
                           Number(QueryParameter(aHead.m_target, "after")),
                           base::BootNow() +
                             base::Millis(Number(QueryParameter(aHead.m_target, "wait_ms"))),
                           std::move(aReply) };
    if (watcher.m_after < m_historyFrom) {
      watcher.m_reply(410, json::object());
    } else if (!AnswerWatch(watcher, false)) {
      m_watchers.push_back(watcher);
    }
  } else if (path == "/-/kv-txn" && body.is_object()) {
    Transact(body, aReply);
  } else if (path == "/-/kv-lease" && body.is_object()) {
    const base::Millis life(body.value("ttl_ms", 1000));
    m_leases[++m_nextLease] = { life, base::BootNow() + life };
    aReply(200, { { "lease_id", m_nextLease }, { "ttl_ms", life.count() } });
  } else if (path.starts_with("/-/kv-keep/")) {
    const auto lease = m_leases.find(Number(path.substr(11)));
    if (lease == m_leases.end()) {
      aReply(404, json::object());
    } else {
      lease->second.m_ends = base::BootNow() + lease->second.m_life;
      aReply(200, { { "ttl_ms", lease->second.m_life.count() } });
    }
  } else if (path.starts_with("/-/kv-lease-end/")) {
    if (const auto lease = m_leases.find(Number(path.substr(16))); lease != m_leases.end()) {
      lease->second.m_ends = {};
      Expire();
    }
    aReply(200, json::object());
  } else {
    aReply(400, json::object());
  }
  return !lose;
}

} // namespace papayafield::standins
