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

/// The platform's key-value store, as far as its published protocol is used: ranges, watches,
/// conditional transactions and leases. Belongs to the thread of the loop.
class Store {
public:
  /// How the store treats its callers.
  enum class Mode {
    Ok,
    /// Takes calls and never answers.
    Silent,
    /// Answers 503 and does nothing.
    Busy,
    /// Does what is asked and closes the connection without an answer.
    LoseAnswers,
  };
  /// Gives an answer: status and body; called at once or later.
  using Reply = std::function<void(int aStatus, const nlohmann::json& aBody)>;

  explicit Store(adapters::http::EventLoop& aLoop);

  /// Answers one call. False when nothing will be answered.
  bool Handle(const adapters::http1::RequestHead& aHead, const std::string& aBody, Reply aReply);
  /// Changes how callers are treated; waiting watches are cut on any change.
  void SetMode(Mode aMode);
  /// Writes an item as the operator or an endpoint does.
  void Put(const std::string& aKey, const std::string& aData);
  /// Removes an item.
  void Remove(const std::string& aKey);
  /// Forgets all history, so that older watches are refused.
  void Compact();
  /// Calls taken.
  uint64_t Calls() const { return m_calls; }
  /// Whether an item is there.
  bool Has(const std::string& aKey) const { return m_items.contains(aKey); }

private:
  struct Item {
    std::string m_data;
    uint64_t m_revision = 0;
    uint64_t m_created = 0;
    uint64_t m_lease = 0;
  };
  struct Lease {
    base::Millis m_life{ 0 };
    base::TimePoint m_ends;
  };
  struct Watcher {
    std::string m_prefix;
    uint64_t m_after;
    base::TimePoint m_until;
    Reply m_reply;
  };

  void Write(const std::string& aKey, const std::string& aBase64, uint64_t aLease);
  void Erase(const std::string& aKey);
  void Wake();
  void Expire();
  bool AnswerWatch(const Watcher& aWatcher, bool aTimeUp);
  void Transact(const nlohmann::json& aBody, const Reply& aReply);
  nlohmann::json Describe(const std::string& aKey, const Item& aItem) const;

  Mode m_mode = Mode::Ok;
  std::map<std::string, Item> m_items;
  std::map<uint64_t, Lease> m_leases;
  std::deque<nlohmann::json> m_history;
  std::list<Watcher> m_watchers;
  adapters::http::EventHandlePtr m_tick;
  uint64_t m_revision = 10;
  uint64_t m_historyFrom = 10;
  uint64_t m_nextLease = 100;
  uint64_t m_calls = 0;
};

} // namespace papayafield::standins
