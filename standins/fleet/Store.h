#pragma once

#include "adapters/http/EventLoop.h"
#include "adapters/http1/Connection.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace papayafield::standins {

/// Encodes the data of an item as callers of the store receive it. Thread safe.
std::string EncodeBase64(const std::string& aBytes);
/// Decodes the data of an item; returns an empty string if it is malformed. Thread safe.
std::string DecodeBase64(const std::string& aText);

/// Simulates the platform's key-value store. Implements the part of its published protocol that is
/// used: range reads, watches, conditional transactions and leases. Can be restored from a copy of
/// its recent past. Must be used only on the thread of the event loop.
class Store {
public:
  /// Status with which a Reply closes the connection without a response.
  static constexpr int kCloseConnection = 0;

  /// Determines how the store handles calls.
  enum class Mode {
    Ok,
    /// Accepts calls and never responds.
    Silent,
    /// Rejects calls with 503 without applying them.
    Unavailable,
    /// Applies writes and closes the connection without a response; reads are answered.
    DropResponses,
  };
  /// Sends the response, or closes the connection. Called synchronously or later, at most once.
  using Reply = std::function<void(int aStatus, const nlohmann::json& aBody)>;

  explicit Store(adapters::http::EventLoop& aLoop);

  /// Handles one call.
  void Handle(const adapters::http1::RequestHead& aHead, const std::string& aBody, Reply aReply);
  /// Sets the mode and drops all pending watches, which then get no response.
  void SetMode(Mode aMode);
  /// Writes an item on behalf of the operator or an endpoint.
  void Put(const std::string& aKey, const std::string& aData);
  /// Writes an item with data that callers receive as it is, in place of base64.
  void PutEncoded(const std::string& aKey, const std::string& aBase64);
  /// Removes an item.
  void Remove(const std::string& aKey);
  /// Returns the text of the items whose keys start with `aPrefix`.
  std::map<std::string, std::string> Texts(const std::string& aPrefix) const;
  /// Discards the revision history, so that watches from an older revision are rejected with 410.
  void Compact();
  /// Closes all connections that carry calls for `aDowntime` and then continues from a copy of the
  /// state `aAge` ago: later writes and leases are lost, and their revisions and lease ids are
  /// assigned again. The copied leases continue with the time that they had left. `aRewriteDelay`
  /// after that, the lost writes of Put and Remove to the keys of the operator and of endpoints are
  /// repeated. Returns false, and does nothing, if a restore is in progress.
  bool Restore(base::Millis aAge, base::Millis aDowntime, base::Millis aRewriteDelay);
  /// Returns the number of restores plus 1.
  uint64_t Era() const { return m_era; }
  /// Returns the number of calls received.
  uint64_t CallCount() const { return m_callCount; }
  /// Returns whether an item exists.
  bool Contains(const std::string& aKey) const { return m_state.m_items.contains(aKey); }

private:
  struct Item {
    std::string m_data;
    uint64_t m_revision = 0;
    uint64_t m_createRevision = 0;
    uint64_t m_leaseId = 0;
  };
  struct Lease {
    base::Millis m_ttl{ 0 };
    base::TimePoint m_expiresAt;
  };
  /// What a restore brings back.
  struct State {
    std::map<std::string, Item> m_items;
    std::map<uint64_t, Lease> m_leases;
    uint64_t m_revision = 10;
    uint64_t m_lastLeaseId = 100;
  };
  struct Copy {
    base::TimePoint m_time;
    uint64_t m_era = 0;
    State m_state;
  };
  /// The last write of a key by the operator or an endpoint.
  struct ExternalWrite {
    base::TimePoint m_time;
    /// Not set if the item was removed.
    std::optional<std::string> m_data;
  };
  struct Watcher {
    std::string m_prefix;
    uint64_t m_afterRevision;
    base::TimePoint m_deadline;
    Reply m_reply;
  };

  void Write(const std::string& aKey, const std::string& aBase64, uint64_t aLease);
  void Erase(const std::string& aKey);
  void ApplyExternalWrite(const std::string& aKey, std::optional<std::string> aBase64);
  void AddLease(base::Millis aTtl, const Reply& aReply);
  void RenewLease(uint64_t aLease, const Reply& aReply);
  void EndLease(uint64_t aLease, const Reply& aReply);
  void Watch(const std::string& aTarget, const Reply& aReply);
  void Range(const std::string& aTarget, const Reply& aReply) const;
  void AddCopy();
  /// Continues from `aCopy`, which shows the state at the time `aCopiedAt`.
  void Return(const Copy& aCopy, base::TimePoint aCopiedAt, base::Millis aRewriteDelay);
  void RepeatLostWrites();
  void NotifyWatchers();
  void RemoveExpired();
  bool TryAnswerWatch(const Watcher& aWatcher, bool aTimedOut);
  void Transact(const nlohmann::json& aBody, const Reply& aReply);
  nlohmann::json ToJson(const std::string& aKey, const Item& aItem) const;

  adapters::http::EventLoop& m_loop;
  Mode m_mode = Mode::Ok;
  State m_state;
  std::deque<nlohmann::json> m_history;
  std::list<Watcher> m_watchers;
  adapters::http::EventHandlePtr m_expiryTimer;
  uint64_t m_compactedRevision;
  uint64_t m_callCount = 0;
  uint64_t m_era = 1;
  /// Copies of the state from the oldest to the newest.
  std::deque<Copy> m_copies;
  bool m_changedSinceCopy = true;
  adapters::http::EventHandlePtr m_copyTimer;
  std::map<std::string, ExternalWrite> m_externalWrites;
  /// Keys whose last external write is lost and not repeated yet.
  std::set<std::string> m_lostKeys;
  /// Whether the store is down for a restore.
  bool m_isDown = false;
  adapters::http::EventHandlePtr m_returnTimer;
  adapters::http::EventHandlePtr m_rewriteTimer;
};

} // namespace papayafield::standins
