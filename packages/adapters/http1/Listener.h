#pragma once

#include "adapters/http1/Connection.h"

#include <functional>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace papayafield::adapters::http1 {

/// Accepts HTTP connections at one address. Belongs to the thread of its loop.
class Listener {
public:
  /// Who takes over a new connection.
  using OnAccept = std::function<void(std::shared_ptr<ServerConnection>)>;

  /// Listens at `aAddress`; request heads may have up to `aMaxHead` bytes.
  Listener(http::EventLoop& aLoop,
           const base::Address& aAddress,
           size_t aMaxHead,
           OnAccept aOnAccept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  Listener(Listener&&) = delete;
  Listener& operator=(Listener&&) = delete;

  /// Whether the address could be had.
  bool Listening() const { return m_listener != nullptr; }

private:
  static void Accept(evconnlistener* aListener, int aFd, sockaddr* aFrom, int aLength, void* aSelf);

  http::EventLoop& m_loop;
  size_t m_maxHead;
  OnAccept m_onAccept;
  evconnlistener* m_listener;
};

} // namespace papayafield::adapters::http1
