#include "adapters/http1/Tunnel.h"

#include "adapters/http1/SocketOptions.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace papayafield::adapters::http1 {

namespace {

/// Maximum size of the client's request, in bytes.
constexpr size_t kMaxRequestBytes = 1024;
/// Maximum time for the client's request to arrive, and for connecting to the target.
constexpr base::Millis kRequestTimeout{ 1000 };
constexpr base::Millis kConnectTimeout{ 200 };
/// Bytes that wait to be sent to one side, from which on the other side is not read.
constexpr size_t kMaxBufferedBytes = 32768;
constexpr size_t kMaxReadBytes = 16384;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

} // namespace

Tunnel::Tunnel(http::EventLoop& aLoop,
               int aFd,
               base::Millis aUnacknowledgedTimeout,
               base::Millis aMaxLinger,
               TunnelEvents aEvents)
  : m_loop(aLoop)
  , m_unacknowledgedTimeout(aUnacknowledgedTimeout)
  , m_maxLinger(aMaxLinger)
  , m_events(std::move(aEvents)) {
  evutil_make_socket_nonblocking(aFd);
  Attach(m_client, aFd);
  m_timer = m_loop.After(kRequestTimeout, [this] { End(true); });
}

Tunnel::~Tunnel() {
  for (const Side& side : { m_client, m_target }) {
    if (side.m_buffer != nullptr) {
      bufferevent_free(side.m_buffer);
    }
  }
}

void Tunnel::Attach(Side& aSide, int aFd) {
  SetSocketOptions(aFd, m_unacknowledgedTimeout);
  aSide.m_buffer = bufferevent_socket_new(m_loop.Base(), aFd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(aSide.m_buffer, &ReadCallback, &WriteCallback, &EventCallback, this);
  bufferevent_setwatermark(aSide.m_buffer, EV_READ, 0, kMaxReadBytes);
  bufferevent_setwatermark(aSide.m_buffer, EV_WRITE, kMaxBufferedBytes / 2, 0);
  bufferevent_enable(aSide.m_buffer, EV_READ | EV_WRITE);
}

void Tunnel::OnReadable(Side& aFrom) {
  if (m_isOpen) {
    Move(aFrom);
  } else if (&aFrom == &m_client && m_target.m_buffer == nullptr && !m_isRefused) {
    OnRequestBytes();
  }
}

void Tunnel::OnRequestBytes() {
  evbuffer* const input = bufferevent_get_input(m_client.m_buffer);
  const evbuffer_ptr end = evbuffer_search(input, kHeadEnd.data(), kHeadEnd.size(), nullptr);
  if (end.pos < 0) {
    if (evbuffer_get_length(input) > kMaxRequestBytes) {
      End(true);
    }
    return;
  }
  std::string head(static_cast<size_t>(end.pos) + kHeadEnd.size(), '\0');
  evbuffer_remove(input, head.data(), head.size());
  constexpr std::string_view kMethod = "CONNECT ";
  const size_t targetEnd = head.find(' ', kMethod.size());
  if (!head.starts_with(kMethod) || targetEnd == std::string::npos) {
    End(true);
    return;
  }
  m_isFramed = head.find(kTunnelCodingField) != std::string::npos;
  const auto address =
    m_events.m_onRequest(std::string_view(head).substr(kMethod.size(), targetEnd - kMethod.size()));
  if (address) {
    Connect(*address);
  } else {
    m_isRefused = true;
    Respond((address.error().m_isTarget ? "502 " : "503 ") + address.error().m_reason);
  }
}

void Tunnel::Connect(const base::Address& aTo) {
  // What the client sends is read once there is a connection that takes it.
  bufferevent_disable(m_client.m_buffer, EV_READ);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aTo.m_port);
  bool started = fd >= 0 && inet_pton(AF_INET, aTo.m_host.c_str(), &to.sin_addr) == 1;
  if (fd >= 0) {
    Attach(m_target, fd);
    started = started && bufferevent_socket_connect(m_target.m_buffer,
                                                    reinterpret_cast<sockaddr*>(&to),
                                                    static_cast<int>(sizeof(to))) == 0;
  }
  if (m_isRefused) {
    // Connecting has failed at once.
    return;
  }
  m_timer =
    m_loop.After(started ? kConnectTimeout : base::Millis(0), [this] { OnConnectEnded(false); });
}

void Tunnel::OnConnectEnded(bool aIsConnected) {
  m_timer.reset();
  const std::optional<std::string> refusal = m_events.m_onConnected(aIsConnected);
  if (aIsConnected) {
    m_isOpen = true;
    Respond("200 Connected", m_isFramed ? kTunnelCodingField : std::string_view());
    bufferevent_enable(m_client.m_buffer, EV_READ);
    Move(m_client);
  } else {
    m_isRefused = true;
    if (m_target.m_buffer != nullptr) {
      bufferevent_free(std::exchange(m_target.m_buffer, nullptr));
    }
    Respond(refusal ? "503 " + *refusal : "502 Not Connected");
  }
}

/// Sends a response to the client. One with an error ends the tunnel when it has been sent.
void Tunnel::Respond(std::string_view aStatusLine, std::string_view aFields) {
  const std::string text =
    "HTTP/1.1 " + std::string(aStatusLine) + "\r\n" + std::string(aFields) + "\r\n";
  bufferevent_write(m_client.m_buffer, text.data(), text.size());
  if (m_isRefused) {
    m_timer = m_loop.After(kRequestTimeout, [this] { End(true); });
  }
}

/// Passes on what has arrived from `aFrom`, as far as there is room.
void Tunnel::Move(Side& aFrom) {
  Side& to = Other(aFrom);
  evbuffer* const input = bufferevent_get_input(aFrom.m_buffer);
  if (to.m_buffer == nullptr) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  evbuffer* const output = bufferevent_get_output(to.m_buffer);
  if (&aFrom == &m_target && m_events.m_onBytes && evbuffer_get_length(input) > 0) {
    const size_t length = evbuffer_get_length(input);
    if (!m_events.m_onBytes({ reinterpret_cast<char*>(evbuffer_pullup(input, -1)), length })) {
      m_events.m_onBytes = nullptr;
    }
  }
  const size_t queued = evbuffer_get_length(output);
  if (&aFrom == &m_target && m_isFramed) {
    AddTargetBytes(output, input);
  } else {
    evbuffer_add_buffer(output, input);
  }
  m_queuedBytes += evbuffer_get_length(output) - queued;
  if (evbuffer_get_length(output) > kMaxBufferedBytes) {
    bufferevent_disable(aFrom.m_buffer, EV_READ);
  }
}

void Tunnel::OnWritable(Side& aTo) {
  const bool isFlushed = evbuffer_get_length(bufferevent_get_output(aTo.m_buffer)) == 0;
  if (m_isRefused) {
    if (isFlushed) {
      End(false);
    }
    return;
  }
  if (!m_isOpen) {
    return;
  }
  Side& from = Other(aTo);
  if (from.m_hasEnded) {
    ShutDownIfFlushed(aTo);
  } else {
    bufferevent_enable(from.m_buffer, EV_READ);
  }
}

void Tunnel::OnEvent(Side& aSide, short aWhat) {
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    OnConnectEnded(true);
    return;
  }
  if (!m_isOpen) {
    if (&aSide == &m_target) {
      OnConnectEnded(false);
    } else {
      End(false);
    }
    return;
  }
  if ((aWhat & BEV_EVENT_EOF) == 0) {
    if (&aSide == &m_target && m_isFramed && !aSide.m_hasEnded && !m_client.m_hasEnded) {
      OnTargetReset();
    } else {
      End(true);
    }
    return;
  }
  aSide.m_hasEnded = true;
  Move(aSide);
  if (&aSide == &m_target) {
    OnTargetEnd(TargetEnd::Finished);
  } else if (m_target.m_buffer == nullptr) {
    End(false);
    return;
  }
  if (m_timer == nullptr) {
    LimitLinger();
  }
  ShutDownIfFlushed(Other(aSide));
}

/// Returns the number of bytes that have been passed on to either side.
uint64_t Tunnel::PassedBytes() const {
  uint64_t bytes = m_queuedBytes;
  for (const Side* side : { &m_client, &m_target }) {
    if (side->m_buffer != nullptr) {
      bytes -= evbuffer_get_length(bufferevent_get_output(side->m_buffer));
    }
  }
  return bytes;
}

/// Ends the tunnel unless bytes are passed on in time, again and again.
void Tunnel::LimitLinger() {
  m_timer = m_loop.After(m_maxLinger, [this, passed = PassedBytes()] {
    if (PassedBytes() == passed) {
      End(true);
    } else {
      LimitLinger();
    }
  });
}

/// States to a client that asked for frames how the target's connection ended.
void Tunnel::OnTargetEnd(TargetEnd aEnd) {
  if (m_isFramed) {
    const bool isReachable = !m_events.m_isTargetReachable || m_events.m_isTargetReachable();
    evbuffer* const output = bufferevent_get_output(m_client.m_buffer);
    const size_t queued = evbuffer_get_length(output);
    AddTargetEnd(output, isReachable ? aEnd : TargetEnd::Unreachable);
    m_queuedBytes += evbuffer_get_length(output) - queued;
  }
}

/// Ends the target's connection and keeps that of the client until it has read the statement. A
/// reset of that one could overtake the statement.
void Tunnel::OnTargetReset() {
  Move(m_target);
  m_target.m_hasEnded = true;
  OnTargetEnd(TargetEnd::Reset);
  bufferevent_free(std::exchange(m_target.m_buffer, nullptr));
  bufferevent_enable(m_client.m_buffer, EV_READ);
  LimitLinger();
}

/// Ends the sending side of a connection once all bytes for it have been sent, and the tunnel when
/// both have ended.
void Tunnel::ShutDownIfFlushed(Side& aTo) {
  if (aTo.m_isShutDown || evbuffer_get_length(bufferevent_get_output(aTo.m_buffer)) > 0) {
    return;
  }
  aTo.m_isShutDown = true;
  shutdown(bufferevent_getfd(aTo.m_buffer), SHUT_WR);
  if (m_client.m_isShutDown && m_target.m_isShutDown) {
    End(false);
  }
}

/// Closes both connections, with a reset if `aReset` is set.
void Tunnel::End(bool aReset) {
  m_timer.reset();
  for (Side* side : { &m_client, &m_target }) {
    if (side->m_buffer != nullptr) {
      if (aReset) {
        ResetOnClose(bufferevent_getfd(side->m_buffer));
      }
      bufferevent_free(std::exchange(side->m_buffer, nullptr));
    }
  }
  m_loop.Defer([events = std::make_shared<TunnelEvents>(std::exchange(m_events, {}))] {
    if (events->m_onEnd) {
      events->m_onEnd();
    }
  });
}

void Tunnel::ReadCallback(bufferevent* aBuffer, void* aSelf) {
  auto& self = *static_cast<Tunnel*>(aSelf);
  self.OnReadable(self.SideOf(aBuffer));
}

void Tunnel::WriteCallback(bufferevent* aBuffer, void* aSelf) {
  auto& self = *static_cast<Tunnel*>(aSelf);
  self.OnWritable(self.SideOf(aBuffer));
}

void Tunnel::EventCallback(bufferevent* aBuffer, short aWhat, void* aSelf) {
  auto& self = *static_cast<Tunnel*>(aSelf);
  self.OnEvent(self.SideOf(aBuffer), aWhat);
}

} // namespace papayafield::adapters::http1
