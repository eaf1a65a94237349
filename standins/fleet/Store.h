#pragma once

#include "adapters/http/EventLoop.h"
#include "adapters/http1/Connection.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace papayafield::standins {

/// Simulates the platform's key-value store. Implements the part of its published protocol that is
/// used: range reads, watches, conditional transactions and leases. Must be used only on the thread
/// of the event loop.
class Store {
public:
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
  /// Sends the response. Called synchronously or later.
  using Reply = std::function<void(int aStatus, const nlohmann::json& aBody)>;

  explicit Store(adapters::http::EventLoop& aLoop);

  /// Handles one call. Returns false if no response will be sent and the connection must be closed.
  bool Handle(const adapters::http1::RequestHead& aHead, const std::string& aBody, Reply aReply);
  /// Sets the mode and drops all pending watches, which then get no response.
  void SetMode(Mode aMode);
  /// Writes an item on behalf of the operator or an endpoint.
  void Put(const std::string& aKey, const std::string& aData);
  /// Writes an item with data that callers receive as it is, in place of base64.
  void PutEncoded(const std::string& aKey, const std::string& aBase64);
  /// Removes an item.
  void Remove(const std::string& aKey);
  /// Discards the revision history, so that watches from an older revision are rejected with 410.
  void Compact();
  /// Returns the number of calls received.
  uint64_t CallCount() const { return m_callCount; }
  /// Returns whether an item exists.
  bool Contains(const std::string& aKey) const { return m_items.contains(aKey); }

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
  struct Watcher {
    std::string m_prefix;
    uint64_t m_afterRevision;
    base::TimePoint m_deadline;
    Reply m_reply;
  };

  void Write(const std::string& aKey, const std::string& aBase64, uint64_t aLease);
  void Erase(const std::string& aKey);
  void NotifyWatchers();
  void RemoveExpired();
  bool TryAnswerWatch(const Watcher& aWatcher, bool aTimedOut);
  void Transact(const nlohmann::json& aBody, const Reply& aReply);
  nlohmann::json ToJson(const std::string& aKey, const Item& aItem) const;

  Mode m_mode = Mode::Ok;
  std::map<std::string, Item> m_items;
  std::map<uint64_t, Lease> m_leases;
  std::deque<nlohmann::json> m_history;
  std::list<Watcher> m_watchers;
  adapters::http::EventHandlePtr m_expiryTimer;
  uint64_t m_revision = 10;
  uint64_t m_compactedRevision = 10;
  uint64_t m_lastLeaseId = 100;
  uint64_t m_callCount = 0;
};

} // namespace papayafield::standins
