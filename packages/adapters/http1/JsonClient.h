#pragma once

#include "adapters/http1/Connection.h"

#include <deque>
#include <functional>
#include <list>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace papayafield::adapters::http1 {

/// How a call ended.
struct CallResult {
  /// The status; 0 when no answer came.
  int m_status = 0;
  /// The whole body.
  std::string m_body;
  /// Whether the request may have reached the service (always, unless the connection never stood).
  bool m_maybeDone = false;
};

/// Calls one HTTP service with small bodies and keeps a few connections to it. Not meant for the
/// data path. Belongs to the thread of its loop.
class JsonClient {
public:
  /// Who hears how a call ended.
  using OnDone = std::function<void(CallResult)>;

  /// Speaks with the service at `aService`.
  JsonClient(http::EventLoop& aLoop, base::Address aService);
  ~JsonClient();
  JsonClient(const JsonClient&) = delete;
  JsonClient& operator=(const JsonClient&) = delete;
  JsonClient(JsonClient&&) = delete;
  JsonClient& operator=(JsonClient&&) = delete;

  /// Sends a request with the extra fields `aFields`. Ends with an answer, or without one after
  /// `aTimeout`, when the connection is given up.
  void Call(std::string aMethod,
            std::string aTarget,
            const std::string& aBody,
            Fields aFields,
            base::Millis aTimeout,
            OnDone aOnDone);
  /// Calls made so far.
  uint64_t Calls() const { return m_calls; }
  /// Drops all connections that carry no call, so that the next call has a fresh one.
  void DropIdle();

private:
  struct Pending;

  void Start(const std::shared_ptr<Pending>& aCall);
  void Finish(const std::shared_ptr<Pending>& aCall, CallResult aResult, bool aReuse);

  http::EventLoop& m_loop;
  base::Address m_service;
  std::list<std::shared_ptr<Pending>> m_pending;
  std::deque<std::shared_ptr<ClientConnection>> m_idle;
  uint64_t m_calls = 0;
};

} // namespace papayafield::adapters::http1
