#pragma once

#include "adapters/http/EventLoop.h"
#include "adapters/http1/TunnelFrames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;

namespace papayafield::adapters::http1 {

/// Why a client gets no connection to its target.
struct TunnelRefusal {
  /// Whether it is due to the target alone, so that another relay would not help.
  bool m_isTarget = false;
  std::string m_reason;
};

/// Callbacks of a tunnel. m_onBytes, m_isTargetReachable and m_onEnd may be empty.
struct TunnelEvents {
  /// Called with the name of the target that the client asks for. Returns its address or a refusal.
  std::function<tl::expected<base::Address, TunnelRefusal>(std::string_view aTarget)> m_onRequest;
  /// Called when the target was connected, or could not be connected in time. May return the reason
  /// of a refusal for a target that was not connected.
  std::function<std::optional<std::string>(bool aIsConnected)> m_onConnected;
  /// Called with bytes that the target sent, before they are passed on, until it returns false.
  std::function<bool(std::string_view aBytes)> m_onBytes;
  /// Called when the target's connection has ended. Returns whether that is the target's doing, as
  /// far as the relay knows, and not that of the way to it.
  std::function<bool()> m_isTargetReachable;
  /// Called when the tunnel has ended; no other callback follows. It may be destroyed then.
  std::function<void()> m_onEnd;
};

/// Joins an accepted connection of a client, which asks for a target by `CONNECT`, to a connection
/// to that target, and copies bytes in both directions until both have ended. A side that reads
/// slowly stops the other one; ends and resets are passed on. A client that asks for frames also
/// receives how the target's connection ended, which differs from an end of the relay. A client
/// that is refused has been sent the status 503, or 502 if the refusal is due to the target or that
/// could not be connected; in neither case has anything reached the target. Must be used only on
/// the thread of its loop.
class Tunnel {
public:
  /// Takes over the accepted socket `aFd`. `aUnacknowledgedTimeout` is the maximum time that sent
  /// bytes may stay unacknowledged. Once one side has ended, both are reset if no bytes are passed
  /// on for `aMaxLinger`; that may take up to twice as long.
  Tunnel(http::EventLoop& aLoop,
         int aFd,
         base::Millis aUnacknowledgedTimeout,
         base::Millis aMaxLinger,
         TunnelEvents aEvents);
  ~Tunnel();
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;
  Tunnel(Tunnel&&) = delete;
  Tunnel& operator=(Tunnel&&) = delete;

private:
  /// One of the two connections.
  struct Side {
    bufferevent* m_buffer = nullptr;
    /// Whether the remote end sends nothing more.
    bool m_hasEnded = false;
    /// Whether the remote end has got the end of what is sent to it.
    bool m_isShutDown = false;
  };

  Side& Other(const Side& aSide) { return &aSide == &m_client ? m_target : m_client; }
  Side& SideOf(const bufferevent* aBuffer) {
    return aBuffer == m_client.m_buffer ? m_client : m_target;
  }
  void Attach(Side& aSide, int aFd);
  void OnReadable(Side& aFrom);
  void OnWritable(Side& aTo);
  void OnEvent(Side& aSide, short aWhat);
  void OnRequestBytes();
  void Connect(const base::Address& aTo);
  void OnConnectEnded(bool aIsConnected);
  void Respond(std::string_view aStatusLine, std::string_view aFields = {});
  void Move(Side& aFrom);
  uint64_t PassedBytes() const;
  void LimitLinger();
  void OnTargetEnd(TargetEnd aEnd);
  void OnTargetReset();
  void ShutDownIfFlushed(Side& aTo);
  void End(bool aReset);
  static void ReadCallback(bufferevent* aBuffer, void* aSelf);
  static void WriteCallback(bufferevent* aBuffer, void* aSelf);
  static void EventCallback(bufferevent* aBuffer, short aWhat, void* aSelf);

  http::EventLoop& m_loop;
  const base::Millis m_unacknowledgedTimeout;
  const base::Millis m_maxLinger;
  TunnelEvents m_events;
  Side m_client;
  Side m_target;
  /// Bytes that were queued to be sent to either side.
  uint64_t m_queuedBytes = 0;
  bool m_isOpen = false;
  bool m_isRefused = false;
  /// Whether the client gets the target's bytes in frames.
  bool m_isFramed = false;
  /// Limits the time until the tunnel is open, and the time without progress after the end of one
  /// side.
  http::EventHandlePtr m_timer;
};

} // namespace papayafield::adapters::http1
