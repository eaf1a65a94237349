#include "adapters/http1/JsonClient.h"

#include "base/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayafield::adapters::http1 {

namespace {

/// Maximum number of idle connections kept open to the service.
constexpr size_t kMaxIdleConnections = 4;
/// Time after which unacknowledged bytes end a connection. It is shorter than the timeouts of
/// control calls.
constexpr base::Millis kUnacknowledgedTimeout{ 1500 };

} // namespace

struct JsonClient::PendingCall {
  std::string m_bytes;
  base::TimePoint m_validUntil;
  base::Millis m_maxSilence;
  /// When the call ends, even while bytes arrive.
  base::TimePoint m_deadline;
  base::TimePoint m_lastBytes;
  bool m_sent = false;
  std::shared_ptr<ClientConnection> m_connection;
  CallResult m_result;
  OnDone m_onDone;
  http::EventHandlePtr m_timer;
  bool m_done = false;
};

JsonClient::JsonClient(http::EventLoop& aLoop, base::Address aService)
  : m_loop(aLoop)
  , m_service(std::move(aService)) {}

JsonClient::~JsonClient() {
  for (const auto& call : m_pendingCalls) {
    call->m_done = true;
    call->m_connection->Close();
  }
  CloseIdleConnections();
}

void JsonClient::CloseIdleConnections() {
  for (const auto& connection : std::exchange(m_idleConnections, {})) {
    connection->Close();
  }
}

void JsonClient::Call(std::string aMethod,
                      std::string aTarget,
                      const std::string& aBody,
                      Fields aFields,
                      CallTimeouts aTimeouts,
                      OnDone aOnDone,
                      base::TimePoint aValidUntil) {
  ++m_callCount;
  RequestHead head;
  head.m_method = std::move(aMethod);
  head.m_target = std::move(aTarget);
  head.m_fields = std::move(aFields);
  head.m_fields.Add("Host", m_service.ToText());
  if (!aBody.empty()) {
    head.m_fields.Add("Content-Type", "application/json");
  }
  auto call = std::make_shared<PendingCall>();
  call->m_bytes = Serialize(head, aBody);
  call->m_validUntil = aValidUntil;
  call->m_onDone = std::move(aOnDone);
  m_pendingCalls.push_back(call);
  call->m_lastBytes = base::BootNow();
  call->m_maxSilence = aTimeouts.m_silence;
  call->m_deadline = std::min(call->m_lastBytes + aTimeouts.m_total, aValidUntil);
  StartTimer(call);
  Start(call);
}

void JsonClient::StartTimer(const std::shared_ptr<PendingCall>& aCall) {
  const base::TimePoint end = std::min(aCall->m_lastBytes + aCall->m_maxSilence, aCall->m_deadline);
  const auto wait = std::chrono::ceil<base::Millis>(end - base::BootNow());
  aCall->m_timer =
    m_loop.After(std::max(wait, base::Millis(0)), [this, weak = std::weak_ptr(aCall)] {
      if (const auto call = weak.lock()) {
        OnTimer(call);
      }
    });
}

void JsonClient::OnTimer(const std::shared_ptr<PendingCall>& aCall) {
  const auto now = base::BootNow();
  if (now < aCall->m_deadline && now - aCall->m_lastBytes < aCall->m_maxSilence) {
    StartTimer(aCall);
    return;
  }
  // Without the reset, the kernel would go on sending bytes that the service has not received yet.
  aCall->m_connection->Reset();
  Finish(aCall, { 0, {}, aCall->m_sent }, false);
}

void JsonClient::Send(const std::shared_ptr<PendingCall>& aCall) {
  // The time limit ends a call that has expired; its timer may be late after a suspension.
  if (base::BootNow() < aCall->m_validUntil) {
    aCall->m_sent = true;
    aCall->m_connection->Write(aCall->m_bytes);
  }
}

void JsonClient::Start(const std::shared_ptr<PendingCall>& aCall) {
  if (m_idleConnections.empty()) {
    aCall->m_connection = ClientConnection::ConnectTo(m_loop, m_service, kUnacknowledgedTimeout);
  } else {
    aCall->m_connection = m_idleConnections.back();
    m_idleConnections.pop_back();
    aCall->m_connection->Resume();
  }
  const std::weak_ptr<PendingCall> weak = aCall;
  ClientConnection::Events events;
  events.m_onHead = [weak](ResponseHead&& aHead) {
    if (const auto call = weak.lock()) {
      call->m_lastBytes = base::BootNow();
      call->m_result.m_status = aHead.m_status;
      call->m_result.m_fields = std::move(aHead.m_fields);
    }
  };
  events.m_onBody = [this, weak](std::string_view aBytes) {
    if (const auto call = weak.lock()) {
      OnBody(call, aBytes);
    }
  };
  events.m_onComplete = [this, weak] {
    if (const auto call = weak.lock()) {
      Finish(call, call->m_result, call->m_connection->ShouldKeepAlive());
    }
  };
  events.m_onEstablished = [this, weak] {
    if (const auto call = weak.lock()) {
      Send(call);
    }
  };
  events.m_onEnd = [this, weak](EndKind aKind, bool /*aInMessage*/) {
    if (const auto call = weak.lock()) {
      Finish(call, { 0, {}, aKind != EndKind::NotConnected }, false);
    }
  };
  aCall->m_connection->SetEvents(std::move(events));
  if (aCall->m_connection->IsEstablished()) {
    Send(aCall);
  }
}

void JsonClient::OnBody(const std::shared_ptr<PendingCall>& aCall, std::string_view aBytes) {
  if (aCall->m_done) {
    return;
  }
  aCall->m_lastBytes = base::BootNow();
  std::string& body = aCall->m_result.m_body;
  if (body.size() + aBytes.size() > kMaxBodyBytes) {
    base::Log("http1").Event("response too large",
                             { { "service", m_service.ToText() }, { "bytes", body.size() } });
    Finish(aCall, { 0, {}, true }, false);
    return;
  }
  body += aBytes;
}

void JsonClient::Finish(const std::shared_ptr<PendingCall>& aCall,
                        CallResult aResult,
                        bool aReuse) {
  if (aCall->m_done) {
    return;
  }
  aCall->m_done = true;
  aCall->m_timer.reset();
  m_pendingCalls.remove(aCall);
  const auto connection = aCall->m_connection;
  if (aReuse && m_idleConnections.size() < kMaxIdleConnections) {
    // Close an idle connection when it ends or when unexpected bytes are received on it.
    ClientConnection::Events events;
    const auto drop = [this, weak = std::weak_ptr(connection)] {
      if (const auto idle = weak.lock()) {
        std::erase(m_idleConnections, idle);
        idle->Close();
      }
    };
    events.m_onEnd = [drop](EndKind, bool) { drop(); };
    events.m_onUnexpectedData = drop;
    connection->SetEvents(std::move(events));
    m_idleConnections.push_back(connection);
  } else {
    connection->Close();
  }
  // The callback may make further calls or destroy this client, so it is called last.
  const auto onDone = std::move(aCall->m_onDone);
  onDone(std::move(aResult));
}

} // namespace papayafield::adapters::http1
