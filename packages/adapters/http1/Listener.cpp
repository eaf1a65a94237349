#include "adapters/http1/Listener.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace papayafield::adapters::http1 {

namespace {

/// Maximum number of connections waiting to be accepted. A full queue delays callers by seconds,
/// because TCP retransmits the handshake.
constexpr int kBacklog = 1024;

evconnlistener* Listen(http::EventLoop& aLoop,
                       const base::Address& aAddress,
                       evconnlistener_cb aCallback,
                       void* aSelf) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(aAddress.m_port);
  if (inet_pton(AF_INET, aAddress.m_host.c_str(), &at.sin_addr) != 1) {
    return nullptr;
  }
  return evconnlistener_new_bind(aLoop.Base(),
                                 aCallback,
                                 aSelf,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                 kBacklog,
                                 reinterpret_cast<sockaddr*>(&at),
                                 static_cast<int>(sizeof(at)));
}

} // namespace

SocketListener::SocketListener(http::EventLoop& aLoop,
                               const base::Address& aAddress,
                               OnAccept aOnAccept)
  : m_onAccept(std::move(aOnAccept))
  , m_listener(Listen(aLoop, aAddress, &Accept, this)) {}

SocketListener::~SocketListener() {
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
}

void SocketListener::Accept(evconnlistener* /*aListener*/,
                            int aFd,
                            sockaddr* /*aFrom*/,
                            int /*aLength*/,
                            void* aSelf) {
  static_cast<SocketListener*>(aSelf)->m_onAccept(aFd);
}

Listener::Listener(http::EventLoop& aLoop,
                   const base::Address& aAddress,
                   size_t aMaxHeadBytes,
                   OnAccept aOnAccept)
  : m_sockets(aLoop, aAddress, [&aLoop, aMaxHeadBytes, onAccept = std::move(aOnAccept)](int aFd) {
    onAccept(ServerConnection::FromAcceptedSocket(aLoop, aFd, aMaxHeadBytes));
  }) {}

} // namespace papayafield::adapters::http1
