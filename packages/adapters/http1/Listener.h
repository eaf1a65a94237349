#pragma once

#include "adapters/http1/Connection.h"

#include <functional>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace papayafield::adapters::http1 {

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
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  Listener(Listener&&) = delete;
  Listener& operator=(Listener&&) = delete;

  /// Whether the socket listens; false if the address could not be bound.
  bool Listening() const { return m_listener != nullptr; }

private:
  static void Accept(evconnlistener* aListener, int aFd, sockaddr* aFrom, int aLength, void* aSelf);

  http::EventLoop& m_loop;
  size_t m_maxHeadBytes;
  OnAccept m_onAccept;
  evconnlistener* m_listener;
};

} // namespace papayafield::adapters::http1
