#include "forwarding/CallerConnection.h"

#include "base/Log.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace papayafield::forwarding {

using adapters::http1::EndKind;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;
using adapters::http1::ServerConnection;

namespace {

/// Maximum number of unsent bytes for a caller that reads slowly; the connection is closed beyond
/// this.
constexpr size_t kMaxUnsentBytes = 8U << 20U;
/// Number of unsent bytes up to which they are not accounted for, in bytes. Each of some thousand
/// callers may hold as much beside the budget.
constexpr size_t kMinAccountedBytes = 16384;
/// Size of a request in memory up to which it is not accounted for, in bytes. Smaller than what a
/// connection takes anyway.
constexpr size_t kMinClaimedRequestBytes = 4096;
/// Mean Retry-After of a request that was dropped for its size, in seconds; callers return spread
/// between half and one and a half of it.
constexpr double kDroppedRetrySeconds = 0.5;
/// Maximum number of connections whose rest is discarded at a time. Others are closed at once, and
/// their callers may miss the answer.
constexpr size_t kMaxDiscarding = 64;
/// Maximum size of a request head that a configuration can allow, in bytes.
constexpr size_t kMaxHeadBytes = 65536;
/// Maximum time for which the rest of a rejected request is discarded, so that its caller receives
/// the answer.
constexpr base::Millis kMaxDiscardTime{ 3000 };

} // namespace

CallerConnection::CallerConnection(
  adapters::http::EventLoop& aLoop,
  base::BufferBudget& aBuffers,
  std::shared_ptr<ServerConnection> aConnection,
  const CallerSettings& aSettings,
  OnRequest aOnRequest,
  std::function<void(const std::shared_ptr<CallerConnection>&)> aOnClosed)
  : m_loop(aLoop)
  , m_buffers(aBuffers)
  , m_connection(std::move(aConnection))
  , m_settings(aSettings)
  , m_onRequest(std::move(aOnRequest))
  , m_onClosed(std::move(aOnClosed)) {}

void CallerConnection::Start() {
  const auto self = shared_from_this();
  ServerConnection::Events events;
  events.m_onBegin = [self] { self->OnBegin(); };
  events.m_onHeadGrowth = [self](size_t aBytes) { self->OnHeadGrowth(aBytes); };
  events.m_onHead = [self](RequestHead&& aHead) { self->OnHead(std::move(aHead)); };
  events.m_onBody = [self](std::string_view aBytes) { self->OnBody(aBytes); };
  events.m_onComplete = [self] { self->OnComplete(); };
  events.m_onEnd = [self](EndKind aKind, bool /*aInMessage*/) { self->OnEnd(aKind); };
  events.m_onFlushed = [self] { self->m_unsentClaim.reset(); };
  m_connection->SetEvents(std::move(events));
  m_idleLimit = m_settings.m_limits.m_idleTimeout;
  StartIdleTimer();
}

void CallerConnection::StartIdleTimer() {
  m_idleSince = base::BootNow();
  ArmIdleTimer(m_idleLimit);
}

void CallerConnection::ArmIdleTimer(base::Millis aDelay) {
  m_idleTimer = m_loop.After(aDelay, [this, weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    // A request may have arrived while the loop was busy; it is read before the next timer.
    m_idleTimer = m_loop.After(base::Millis(0), [weak] {
      const auto idle = weak.lock();
      if (!idle) {
        return;
      }
      // The caller is still reading the last answer.
      if (idle->m_connection->PendingOutput() > 0) {
        idle->StartIdleTimer();
      } else {
        idle->Close();
      }
    });
  });
}

void CallerConnection::OnLimitsChanged() {
  const base::Millis limit = m_settings.m_limits.m_idleTimeout;
  if (limit <= m_idleLimit) {
    return;
  }
  m_idleLimit = limit;
  if (m_idleTimer != nullptr) {
    const auto elapsed = std::chrono::duration_cast<base::Millis>(base::BootNow() - m_idleSince);
    ArmIdleTimer(std::max(limit - elapsed, base::Millis(0)));
  }
}

/// Rejects the request as not run if its head does not arrive in time.
void CallerConnection::OnBegin() {
  m_idleTimer.reset();
  m_headBytes = 0;
  m_connection->SetMaxHeadBytes(std::min(m_settings.m_limits.m_headBytes, kMaxHeadBytes));
  m_headTimer = m_loop.After(m_settings.m_limits.m_headTimeout, [this, weak = weak_from_this()] {
    if (weak.expired()) {
      return;
    }
    // The rest may have arrived while the loop was busy; it is read before the next timer.
    m_headTimer = m_loop.After(base::Millis(0), [weak] {
      if (const auto self = weak.lock()) {
        self->Reject(408);
      }
    });
  });
}

void CallerConnection::OnHeadGrowth(size_t aBytes) {
  if (!m_closed) {
    m_headBytes = aBytes;
    ClaimRequest(m_body.Capacity());
  }
}

/// Accounts for the request that is being read, with a body of up to `aBodyCapacity` bytes. Returns
/// false if it was rejected instead, because the node holds too much.
bool CallerConnection::ClaimRequest(size_t aBodyCapacity) {
  const size_t bytes = m_headBytes + aBodyCapacity;
  if (!m_requestClaim && bytes <= kMinClaimedRequestBytes) {
    return true;
  }
  if (!m_requestClaim) {
    m_requestClaim.emplace(m_buffers.Open({ {},
                                            false,
                                            [weak = weak_from_this()] {
                                              if (const auto self = weak.lock()) {
                                                self->OnRequestDropped();
                                              }
                                            },
                                            base::BufferKind::IncompleteRequest }));
  }
  return m_requestClaim->Resize(bytes);
}

/// Rejects the request, which has not run, since the node needs its memory.
void CallerConnection::OnRequestDropped() {
  if (!m_closed && !m_answering) {
    Reject(503);
  }
}

void CallerConnection::OnHead(RequestHead&& aHead) {
  m_headTimer.reset();
  m_reading = true;
  m_arrival = base::BootNow();
  m_head = std::move(aHead);
  m_body = {};
  m_bodyLimit = m_settings.m_limits.m_bodyBytes;
  const auto length = m_head.m_fields.Find("Content-Length");
  uint64_t bytes = 0;
  if (length) {
    std::from_chars(length->data(), length->data() + length->size(), bytes);
  }
  if (bytes > m_bodyLimit) {
    Reject(413);
  } else if (m_head.m_fields.Count("Host") != 1) {
    Reject(400);
  } else {
    if (m_head.m_fields.Find("Expect")) {
      m_connection->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    m_lastInputAt = m_arrival;
    StartBodyTimer(m_idleLimit);
  }
}

/// Rejects the request as not run if its body stalls for as long as a connection may be idle.
void CallerConnection::StartBodyTimer(base::Millis aDelay) {
  m_bodyTimer = m_loop.After(aDelay, [this, weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !m_reading) {
      return;
    }
    const auto silence = std::chrono::duration_cast<base::Millis>(base::BootNow() - m_lastInputAt);
    if (silence >= m_idleLimit) {
      base::Log("callers").Event("request body stalled",
                                 { { "peer", m_connection->PeerHost() },
                                   { "target", m_head.m_target },
                                   { "received", m_body.Size() },
                                   { "silent_ms", silence.count() } });
      Reject(408);
    } else {
      StartBodyTimer(m_idleLimit - silence);
    }
  });
}

void CallerConnection::OnBody(std::string_view aBytes) {
  if (m_closed) {
    return;
  }
  if (m_body.Size() + aBytes.size() > m_bodyLimit) {
    Reject(413);
    return;
  }
  while (!(aBytes = m_body.Append(aBytes)).empty()) {
    if (!ClaimRequest(m_body.NextCapacity())) {
      return;
    }
    m_body.AddBlock();
  }
  m_lastInputAt = base::BootNow();
}

void CallerConnection::OnComplete() {
  if (m_closed) {
    return;
  }
  m_reading = false;
  m_bodyTimer.reset();
  m_answering = true;
  m_keepAlive = m_connection->ShouldKeepAlive();
  m_isHeadRequest = m_head.m_method == "HEAD";
  auto body = std::make_shared<RequestBody>(std::move(m_body));
  if (m_requestClaim) {
    // A call that may have been sent is never dropped.
    m_requestClaim->Pin();
    body->Keep(std::move(*m_requestClaim));
    m_requestClaim.reset();
  }
  auto exchange = m_onRequest(std::move(m_head), std::move(body), m_arrival, MakeSink());
  m_head = {};
  m_body = {};
  if (exchange != nullptr && m_answering) {
    m_exchange = exchange;
    exchange->Start();
  }
}

void CallerConnection::WriteHead(ResponseHead aHead,
                                 const std::string& aFraming,
                                 const char* aValue) {
  m_keepAlive = m_keepAlive && !m_settings.m_closeAfterAnswer;
  // The length of the body that a GET would have got is not known.
  if (!m_isHeadRequest) {
    aHead.m_fields.Add(aFraming, aValue);
  }
  if (!m_keepAlive) {
    aHead.m_fields.Add("Connection", "close");
  }
  m_connection->Write(adapters::http1::Serialize(aHead));
}

AnswerSink CallerConnection::MakeSink() {
  const auto self = shared_from_this();
  AnswerSink sink;
  sink.m_onAnswer = [self](const ResponseHead& aHead, std::string_view aBody) {
    self->WriteHead(aHead, "Content-Length", std::to_string(aBody.size()).c_str());
    self->m_connection->Write(aBody);
    self->ClaimUnsent();
    self->OnAnswered();
  };
  sink.m_onStreamHead = [self](const ResponseHead& aHead) {
    self->WriteHead(aHead, "Transfer-Encoding", "chunked");
  };
  sink.m_onEvents = [self](std::string_view aEvents) {
    self->m_connection->Write(adapters::http1::EncodeChunk(aEvents));
    self->ClaimUnsent();
    if (self->m_connection->PendingOutput() > kMaxUnsentBytes) {
      self->DisconnectSlowCaller();
    }
  };
  sink.m_onStreamEnd = [self] {
    self->m_connection->Write("0\r\n\r\n");
    self->OnAnswered();
  };
  sink.m_onStreamBroken = [self] {
    // The missing last chunk tells the caller that the stream is incomplete.
    self->m_answering = false;
    self->m_exchange.reset();
    self->CloseWhenFlushed();
  };
  return sink;
}

/// Accounts for what the caller has not taken yet.
void CallerConnection::ClaimUnsent() {
  const size_t unsent = m_connection->PendingOutput();
  if (!m_unsentClaim && unsent <= kMinAccountedBytes) {
    return;
  }
  if (!m_unsentClaim) {
    m_unsentClaim.emplace(
      m_buffers.Open({ "caller " + std::to_string(reinterpret_cast<uintptr_t>(this)),
                       false,
                       [weak = weak_from_this()] {
                         if (const auto self = weak.lock()) {
                           self->DisconnectSlowCaller();
                         }
                       } }));
  }
  m_unsentClaim->Resize(unsent);
}

/// Closes the connection of a caller that has taken too little of its answer.
void CallerConnection::DisconnectSlowCaller() {
  const auto self = shared_from_this();
  base::Log("callers").Event("slow caller disconnected",
                             { { "peer", m_connection->PeerHost() },
                               { "unsent", m_connection->PendingOutput() },
                               { "buffered", m_buffers.UsedBytes() } });
  if (!m_closed) {
    Close();
    return;
  }
  m_connection->Close();
  m_flushing = false;
  m_onClosed(self);
}

void CallerConnection::OnAnswered() {
  m_answering = false;
  m_exchange.reset();
  if (m_closed) {
    return;
  }
  if (!m_keepAlive) {
    CloseWhenFlushed();
    return;
  }
  StartIdleTimer();
  m_connection->Resume();
}

ResponseHead CallerConnection::MakeRejection(int aStatus) const {
  ResponseHead head;
  head.m_status = aStatus;
  head.m_fields.Add("Content-Length", "0");
  head.m_fields.Add("Connection", "close");
  if (aStatus == 503) {
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    char text[16];
    std::snprintf(
      text, sizeof(text), "%.2f", kDroppedRetrySeconds * spread(m_settings.m_load->m_random));
    head.m_fields.Add("Retry-After", text);
  }
  return head;
}

void CallerConnection::Reject(int aStatus) {
  CallerLoad& load = *m_settings.m_load;
  if (load.m_rejections.TryTake(base::BootNow())) {
    base::Log("callers").Event("request rejected before it was complete",
                               { { "peer", m_connection->PeerHost() },
                                 { "target", m_head.m_target },
                                 { "received", m_body.Size() },
                                 { "head_bytes", m_headBytes },
                                 { "status", aStatus },
                                 { "buffered", m_buffers.UsedBytes() },
                                 { "max_buffered", m_buffers.MaxBytes() },
                                 { "left_out", load.m_rejections.TakeLeftOut() } });
  }
  m_connection->Write(adapters::http1::Serialize(MakeRejection(aStatus)));
  m_reading = false;
  m_head = {};
  m_body = {};
  m_requestClaim.reset();
  PrepareClose();
  if (load.m_discarding >= kMaxDiscarding) {
    ++load.m_cutOff;
    m_connection->CloseWhenFlushed(OnceClosed());
    return;
  }
  ++load.m_discarding;
  m_isDiscarding = true;
  m_connection->CloseWhenPeerDone(kMaxDiscardTime, OnceClosed());
}

void CallerConnection::Refuse() {
  const auto self = shared_from_this();
  CallerLoad& load = *m_settings.m_load;
  ++load.m_refused;
  if (load.m_connections.TryTake(base::BootNow())) {
    base::Log("callers").Event("connection refused",
                               { { "peer", m_connection->PeerHost() },
                                 { "max_connections", m_settings.m_maxConnections },
                                 { "refused", load.m_refused },
                                 { "left_out", load.m_connections.TakeLeftOut() } });
  }
  m_connection->Write(adapters::http1::Serialize(MakeRejection(503)));
  CloseWhenFlushed();
}

/// Ends all activity except that the output is still being sent.
void CallerConnection::PrepareClose() {
  m_closed = true;
  m_idleTimer.reset();
  m_headTimer.reset();
  m_bodyTimer.reset();
  m_flushing = true;
}

std::function<void()> CallerConnection::OnceClosed() {
  return [self = shared_from_this()] {
    if (std::exchange(self->m_isDiscarding, false)) {
      --self->m_settings.m_load->m_discarding;
    }
    self->m_flushing = false;
    self->m_onClosed(self);
  };
}

void CallerConnection::CloseWhenFlushed() {
  PrepareClose();
  m_connection->CloseWhenFlushed(OnceClosed());
}

base::Millis CallerConnection::OpenCallAge(const std::string& aRoute, base::TimePoint aNow) const {
  if (m_exchange == nullptr || m_exchange->RouteName() != aRoute) {
    return base::Millis(0);
  }
  return std::chrono::duration_cast<base::Millis>(aNow - m_arrival);
}

void CallerConnection::Abort() {
  if (const auto exchange = m_exchange) {
    m_keepAlive = false;
    exchange->Abort();
  } else if (IsReading()) {
    Reject(503);
  } else if (!m_closed) {
    CloseWhenFlushed();
  }
}

void CallerConnection::OnEnd(EndKind aKind) {
  const auto self = shared_from_this();
  if (m_closed) {
    return;
  }
  if ((aKind == EndKind::Malformed || aKind == EndKind::HeadTooLarge) && !m_answering) {
    Reject(aKind == EndKind::Malformed ? 400 : 431);
    return;
  }
  Close();
}

/// Logs that the connection ends although a request has begun to arrive.
void CallerConnection::LogIncompleteRequest() const {
  if (!m_connection->IsInMessage()) {
    return;
  }
  // The connection is no longer open if the caller has closed it.
  base::Log("callers").Event("connection closed in a request",
                             { { "by", m_connection->IsOpen() ? "node" : "caller" },
                               { "target", m_reading ? m_head.m_target : "" },
                               { "received", m_body.Size() },
                               { "unread", m_connection->PendingInput() } });
}

void CallerConnection::Close() {
  const auto self = shared_from_this();
  if (m_closed) {
    return;
  }
  LogIncompleteRequest();
  m_closed = true;
  m_reading = false;
  m_idleTimer.reset();
  m_headTimer.reset();
  m_bodyTimer.reset();
  m_connection->Close();
  m_head = {};
  m_body = {};
  m_requestClaim.reset();
  if (const auto exchange = std::exchange(m_exchange, nullptr)) {
    exchange->OnCallerDisconnected();
  }
  m_answering = false;
  m_onClosed(self);
}

} // namespace papayafield::forwarding
