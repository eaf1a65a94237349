#pragma once

#include "adapters/http1/Connection.h"

#include <deque>
#include <functional>
#include <list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>

namespace papayafield::adapters::http1 {

/// The result of a call.
struct CallResult {
  /// HTTP status code; 0 if no complete response was received.
  int m_status = 0;
  /// Body of the response.
  std::string m_body;
  /// Whether the request may have reached the service; false only if the connection was never
  /// established.
  bool m_maybeExecuted = false;
  /// Header fields of the response.
  Fields m_fields;
};

/// Time limits of a call.
struct CallTimeouts {
  /// Longest time without any bytes of the response.
  base::Millis m_silence{};
  /// Longest time until the response is complete.
  base::Millis m_total{};
};

/// Calls one HTTP service with bodies of up to kMaxBodyBytes and reuses a few connections to it.
/// Not intended for the data path. Must be used only on the thread of its loop.
class JsonClient {
public:
  /// Maximum size of the body of a response in bytes; a call with a larger one fails.
  static constexpr size_t kMaxBodyBytes = 16U << 20U;
  /// Called with the result of a call.
  using OnDone = std::function<void(CallResult)>;

  /// Creates a client of the service at `aService`.
  JsonClient(http::EventLoop& aLoop, base::Address aService);
  ~JsonClient();
  JsonClient(const JsonClient&) = delete;
  JsonClient& operator=(const JsonClient&) = delete;
  JsonClient(JsonClient&&) = delete;
  JsonClient& operator=(JsonClient&&) = delete;

  /// Sends a request with the additional header fields `aFields` and calls `aOnDone` with the
  /// result. Without a complete response within `aTimeouts`, or at `aValidUntil` on the boot-time
  /// clock, the call fails and its connection is reset. Nothing is sent after `aValidUntil`.
  void Call(std::string aMethod,
            std::string aTarget,
            const std::string& aBody,
            Fields aFields,
            CallTimeouts aTimeouts,
            OnDone aOnDone,
            base::TimePoint aValidUntil = base::TimePoint::max());
  /// As above, with `aTimeout` for the complete response.
  void Call(std::string aMethod,
            std::string aTarget,
            const std::string& aBody,
            Fields aFields,
            base::Millis aTimeout,
            OnDone aOnDone,
            base::TimePoint aValidUntil = base::TimePoint::max()) {
    Call(std::move(aMethod),
         std::move(aTarget),
         aBody,
         std::move(aFields),
         CallTimeouts{ aTimeout, aTimeout },
         std::move(aOnDone),
         aValidUntil);
  }
  /// Returns the number of calls made so far.
  uint64_t CallCount() const { return m_callCount; }
  /// Closes all idle connections, so that the next call opens a new one.
  void CloseIdleConnections();

private:
  struct PendingCall;

  void Start(const std::shared_ptr<PendingCall>& aCall);
  void Send(const std::shared_ptr<PendingCall>& aCall);
  void OnBody(const std::shared_ptr<PendingCall>& aCall, std::string_view aBytes);
  void StartTimer(const std::shared_ptr<PendingCall>& aCall);
  void OnTimer(const std::shared_ptr<PendingCall>& aCall);
  void Finish(const std::shared_ptr<PendingCall>& aCall, CallResult aResult, bool aReuse);

  http::EventLoop& m_loop;
  base::Address m_service;
  std::list<std::shared_ptr<PendingCall>> m_pendingCalls;
  std::deque<std::shared_ptr<ClientConnection>> m_idleConnections;
  uint64_t m_callCount = 0;
};

} // namespace papayafield::adapters::http1
