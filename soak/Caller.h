#pragma once

#include "adapters/http1/Connection.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace papayafield::soak {

/// What a caller asked for and what it saw.
struct CallRecord {
  std::string m_id;
  std::string m_target;
  /// 0 when no whole answer came.
  int m_status = 0;
  std::string m_body;
  /// The connection ended, or the caller gave up, before the answer was whole.
  bool m_broken = false;
};

/// A caller that sends one call after the other and keeps its connection for as long as it may.
/// Belongs to the thread of the loop.
class Caller {
public:
  /// Gives the addresses that a caller may use at present.
  using Addresses = std::function<std::vector<base::Address>()>;

  Caller(adapters::http::EventLoop& aLoop, uint64_t aSeed, std::string aName, Addresses aAddresses);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  Caller(Caller&&) = delete;
  Caller& operator=(Caller&&) = delete;

  /// Sends the next call.
  void Next();
  /// Sends no further calls.
  void Stop() { m_stopped = true; }
  /// Whether nothing is under way.
  bool Idle() const { return !m_busy; }
  /// All calls that are over.
  const std::vector<CallRecord>& Records() const { return m_records; }

private:
  void Connect();
  void Over(bool aBroken);

  adapters::http::EventLoop& m_loop;
  std::mt19937_64 m_random;
  std::string m_name;
  Addresses m_addresses;
  std::shared_ptr<adapters::http1::ClientConnection> m_connection;
  adapters::http::EventHandlePtr m_patience;
  adapters::http::EventHandlePtr m_pause;
  CallRecord m_call;
  bool m_busy = false;
  bool m_stopped = false;
  std::vector<CallRecord> m_records;
};

} // namespace papayafield::soak
