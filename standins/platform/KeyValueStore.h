#pragma once

#include "adapters/http/HttpServer.h"
#include "base/Json.h"

#include <list>
#include <map>
#include <string>

namespace papayafield::standins {

/// Faults that a test can inject.
struct PlatformFaults {
  /// Calls are rejected with 503 and not applied.
  bool m_outage = false;
  /// Calls get no response and are not applied.
  bool m_silent = false;
  /// Number of further writes that are applied but get no response.
  int m_writeResponsesToDrop = 0;
};

/// In-memory key-value store of the platform stand-in with compare-and-swap, leases and watches.
class KeyValueStore {
public:
  /// Creates a store whose timers run on `aLoop`.
  explicit KeyValueStore(adapters::http::EventLoop& aLoop);

  /// Handles a call below /kv, /list or /leases.
  void Handle(const adapters::http::ExchangePtr& aExchange);
  /// Returns the injected faults for modification.
  PlatformFaults& Faults() { return m_faults; }
  /// Returns the number of reads and writes received so far.
  nlohmann::json Counts() const;

private:
  struct Value {
    std::string m_text;
    uint64_t m_version = 0;
    std::string m_lease;
  };
  struct PendingWatch {
    adapters::http::ExchangePtr m_exchange;
    std::string m_key;
    uint64_t m_afterVersion;
    base::TimePoint m_expiresAt;
  };
  struct Lease {
    base::Millis m_ttl;
    base::TimePoint m_expiresAt;
  };

  void Get(const adapters::http::ExchangePtr& aExchange, const std::string& aKey);
  void Put(const adapters::http::ExchangePtr& aExchange, const std::string& aKey);
  void Delete(const adapters::http::ExchangePtr& aExchange, const std::string& aKey);
  void ListValues(const adapters::http::ExchangePtr& aExchange);
  void HandleLeases(const adapters::http::ExchangePtr& aExchange);
  void CompleteWrite(const adapters::http::ExchangePtr& aExchange, int aStatus, uint64_t aVersion);
  void SendValue(const adapters::http::ExchangePtr& aExchange, const std::string& aKey);
  void CompleteWatches(const std::string& aKey);
  void RemoveExpired();
  uint64_t VersionOf(const std::string& aKey) const;

  PlatformFaults m_faults;
  std::map<std::string, Value> m_values;
  std::list<PendingWatch> m_pendingWatches;
  std::list<adapters::http::ExchangePtr> m_unansweredCalls;
  std::map<std::string, Lease> m_leases;
  uint64_t m_lastVersion = 0;
  uint64_t m_lastLeaseId = 0;
  uint64_t m_readCount = 0;
  uint64_t m_writeCount = 0;
  adapters::http::EventHandlePtr m_expiryTimer;
};

} // namespace papayafield::standins
