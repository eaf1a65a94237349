#pragma once

#include "adapters/http1/Connection.h"

#include <functional>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace papayafield::adapters::http1 {

/// Accepts TCP connections on one address. Must be used only on the thread of its loop.
class SocketListener {
public:
  /// Called with the socket of each new connection, which the callee must close.
  using OnAccept = std::function<void(int aFd)>;

  /// Starts listening on `aAddress`.
  SocketListener(http::EventLoop& aLoop, const base::Address& aAddress, OnAccept aOnAccept);
  ~SocketListener();
  SocketListener(const SocketListener&) = delete;
  SocketListener& operator=(const SocketListener&) = delete;
  SocketListener(SocketListener&&) = delete;
  SocketListener& operator=(SocketListener&&) = delete;

  /// Whether the socket listens; false if the address could not be bound.
  bool Listening() const { return m_listener != nullptr; }

private:
  static void Accept(evconnlistener* aListener, int aFd, sockaddr* aFrom, int aLength, void* aSelf);

  OnAccept m_onAccept;
  evconnlistener* m_listener;
};

/// Accepts HTTP connections on one address. Must be used only on the thread of its loop.
class Listener {
public:
  /// Called with each new connection, which the callee must keep.
  using OnAccept = std::function<void(std::shared_ptr<ServerConnection>)>;

  /// Starts listening on `aAddress`. `aMaxHeadBytes` is the maximum size of a request head in
  /// bytes.
  Listener(http::EventLoop& aLoop,
           const base::Address& aAddress,
           size_t aMaxHeadBytes,
           OnAccept aOnAccept);

  /// Whether the socket listens; false if the address could not be bound.
  bool Listening() const { return m_sockets.Listening(); }

private:
  SocketListener m_sockets;
};

} // namespace papayafield::adapters::http1
