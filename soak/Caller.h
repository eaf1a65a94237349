#pragma once

#include "adapters/http1/Connection.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace papayafield::soak {

/// A call and the response that the caller received.
struct CallRecord {
  std::string m_id;
  std::string m_target;
  /// HTTP status; 0 if no complete answer was received.
  int m_status = 0;
  std::string m_body;
  /// Whether the connection closed or the caller timed out before the answer was complete.
  bool m_isIncomplete = false;
};

/// Sends calls sequentially over a connection that it reuses as long as the server keeps it open.
/// Must be used only on the thread of the event loop.
class Caller {
public:
  /// Returns the addresses that a caller may currently connect to.
  using AddressProvider = std::function<std::vector<base::Address>()>;

  Caller(adapters::http::EventLoop& aLoop,
         uint64_t aSeed,
         std::string aName,
         AddressProvider aAddressProvider);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  Caller(Caller&&) = delete;
  Caller& operator=(Caller&&) = delete;

  /// Sends the next call unless a call is in flight or the caller is stopped.
  void SendNext();
  /// Stops sending calls; a call in flight is still completed.
  void Stop() { m_stopped = true; }
  /// Returns whether no call is in flight.
  bool IsIdle() const { return !m_callInFlight; }
  /// Returns the records of all completed calls.
  const std::vector<CallRecord>& Records() const { return m_records; }

private:
  void Connect();
  void CompleteCall(bool aIncomplete);

  adapters::http::EventLoop& m_loop;
  std::mt19937_64 m_random;
  std::string m_name;
  AddressProvider m_addressProvider;
  std::shared_ptr<adapters::http1::ClientConnection> m_connection;
  adapters::http::EventHandlePtr m_timeoutTimer;
  adapters::http::EventHandlePtr m_pauseTimer;
  CallRecord m_currentCall;
  bool m_callInFlight = false;
  bool m_stopped = false;
  std::vector<CallRecord> m_records;
};

} // namespace papayafield::soak
