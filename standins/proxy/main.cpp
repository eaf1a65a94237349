#include "standins/common/Arguments.h"
#include "standins/common/StandinServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstring>
#include <list>
#include <memory>
#include <utility>

/// \file
/// TCP proxy that injects faults between two processes: it can refuse, delay, close or permanently
/// silence connections, leave new ones hanging, or drop only the responses. Faults are set over
/// HTTP on the address
/// --control.

namespace {

using namespace papayafield;
using adapters::http::ExchangePtr;

/// Number of connections that may wait to be accepted.
constexpr int kBacklog = 128;

/// Faults that are currently injected.
struct ProxyFaults {
  /// New connections are closed immediately.
  bool m_refuseConnections = false;
  /// Data in either direction is delayed by this time.
  base::Millis m_delay{ 0 };
  /// Responses on connections accepted while this is set are dropped; the connections stay open.
  bool m_dropResponses = false;
};

class Proxy;

/// A proxied connection.
class Link {
public:
  Link(Proxy& aProxy, int aFd);
  ~Link() {
    bufferevent_free(m_clientEnd);
    bufferevent_free(m_serverEnd);
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  Link(Link&&) = delete;
  Link& operator=(Link&&) = delete;

  /// Drops all further data in both directions without notifying either end.
  void Silence() { m_isSilenced = true; }

private:
  static void OnRead(bufferevent* aFrom, void* aSelf);
  static void OnEvent(bufferevent* aFrom, short aEvents, void* aSelf);
  void Forward(bufferevent* aTo, const std::string& aBytes);

  Proxy& m_proxy;
  bufferevent* m_clientEnd;
  bufferevent* m_serverEnd;
  bool m_isSilenced = false;
  bool m_dropResponses;
  std::list<adapters::http::EventHandlePtr> m_delayTimers;
};

/// Accepts connections and owns their links.
class Proxy {
public:
  Proxy(adapters::http::EventLoop& aLoop, const base::Address& aListen, const base::Address& aTo)
    : m_loop(aLoop)
    , m_target(ToSocket(aTo)) {
    const sockaddr_in listen = ToSocket(aListen);
    m_listener = evconnlistener_new_bind(
      aLoop.Base(),
      [](evconnlistener*, int aFd, sockaddr*, int, void* aSelf) {
        static_cast<Proxy*>(aSelf)->Accept(aFd);
      },
      this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      -1,
      reinterpret_cast<const sockaddr*>(&listen),
      sizeof(listen));
  }
  ~Proxy() {
    m_links.clear();
    if (m_listener != nullptr) {
      evconnlistener_free(m_listener);
    }
  }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;
  Proxy(Proxy&&) = delete;
  Proxy& operator=(Proxy&&) = delete;

  bool Listening() const { return m_listener != nullptr; }
  adapters::http::EventLoop& Loop() { return m_loop; }
  ProxyFaults& Faults() { return m_faults; }
  const sockaddr_in& TargetAddress() const { return m_target; }
  /// Sets whether new connections hang: the kernel drops their packets because its queue of
  /// connections that wait to be accepted is full.
  void SetHanging(bool aHanging) {
    if (aHanging == (m_filler >= 0)) {
      return;
    }
    const int listener = evconnlistener_get_fd(m_listener);
    if (aHanging) {
      evconnlistener_disable(m_listener);
      listen(listener, 0);
      sockaddr_in address{};
      socklen_t length = sizeof(address);
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
      m_filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      static_cast<void>(
        connect(m_filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    } else {
      evutil_closesocket(std::exchange(m_filler, -1));
      listen(listener, kBacklog);
      evconnlistener_enable(m_listener);
    }
  }
  void CloseLinks() { m_links.clear(); }
  void Silence() {
    for (const auto& link : m_links) {
      link->Silence();
    }
  }
  size_t LinkCount() const { return m_links.size(); }
  void ScheduleRemoval(Link* aLink) {
    m_loop.Defer([this, aLink] {
      m_links.remove_if([&](const auto& aEntry) { return aEntry.get() == aLink; });
    });
  }

private:
  static sockaddr_in ToSocket(const base::Address& aAddress) {
    sockaddr_storage storage{};
    int size = sizeof(storage);
    evutil_parse_sockaddr_port(
      aAddress.ToText().c_str(), reinterpret_cast<sockaddr*>(&storage), &size);
    sockaddr_in address{};
    std::memcpy(&address, &storage, sizeof(address));
    return address;
  }

  void Accept(int aFd) {
    if (m_faults.m_refuseConnections) {
      evutil_closesocket(aFd);
      return;
    }
    m_links.push_back(std::make_unique<Link>(*this, aFd));
  }

  adapters::http::EventLoop& m_loop;
  sockaddr_in m_target;
  evconnlistener* m_listener = nullptr;
  ProxyFaults m_faults;
  /// Socket that fills the queue of the listener while new connections hang; -1 otherwise.
  int m_filler = -1;
  std::list<std::unique_ptr<Link>> m_links;
};

Link::Link(Proxy& aProxy, int aFd)
  : m_proxy(aProxy)
  , m_clientEnd(bufferevent_socket_new(aProxy.Loop().Base(), aFd, BEV_OPT_CLOSE_ON_FREE))
  , m_serverEnd(bufferevent_socket_new(aProxy.Loop().Base(), -1, BEV_OPT_CLOSE_ON_FREE))
  , m_dropResponses(aProxy.Faults().m_dropResponses) {
  bufferevent_setcb(m_clientEnd, &Link::OnRead, nullptr, &Link::OnEvent, this);
  bufferevent_setcb(m_serverEnd, &Link::OnRead, nullptr, &Link::OnEvent, this);
  bufferevent_socket_connect(
    m_serverEnd, reinterpret_cast<const sockaddr*>(&aProxy.TargetAddress()), sizeof(sockaddr_in));
  bufferevent_enable(m_clientEnd, EV_READ | EV_WRITE);
  bufferevent_enable(m_serverEnd, EV_READ | EV_WRITE);
}

void Link::OnRead(bufferevent* aFrom, void* aSelf) {
  auto* self = static_cast<Link*>(aSelf);
  evbuffer* input = bufferevent_get_input(aFrom);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  const bool isResponse = aFrom == self->m_serverEnd;
  if (self->m_isSilenced || (isResponse && self->m_dropResponses)) {
    return;
  }
  bufferevent* to = isResponse ? self->m_clientEnd : self->m_serverEnd;
  const base::Millis delay = self->m_proxy.Faults().m_delay;
  if (delay.count() == 0) {
    self->Forward(to, bytes);
    return;
  }
  self->m_delayTimers.push_back(
    self->m_proxy.Loop().After(delay, [self, to, bytes] { self->Forward(to, bytes); }));
}

void Link::Forward(bufferevent* aTo, const std::string& aBytes) {
  if (!m_isSilenced) {
    bufferevent_write(aTo, aBytes.data(), aBytes.size());
  }
}

void Link::OnEvent(bufferevent* aFrom, short aEvents, void* aSelf) {
  auto* self = static_cast<Link*>(aSelf);
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  // A silenced link, or one that drops responses, hides that its far end disconnected.
  if (self->m_isSilenced || (aFrom == self->m_serverEnd && self->m_dropResponses)) {
    bufferevent_disable(aFrom, EV_READ | EV_WRITE);
    return;
  }
  // Data that is pending for the other end is flushed before the link is closed.
  bufferevent* other = aFrom == self->m_clientEnd ? self->m_serverEnd : self->m_clientEnd;
  evbuffer* pendingOutput = bufferevent_get_output(other);
  if (evbuffer_get_length(pendingOutput) > 0) {
    bufferevent_flush(other, EV_WRITE, BEV_FINISHED);
  }
  self->m_proxy.ScheduleRemoval(self);
}

} // namespace

int main(int argc, char** argv) {
  const standins::Arguments arguments(argc,
                                      argv,
                                      { { "listen", "127.0.0.1:7300" },
                                        { "to", "127.0.0.1:7000" },
                                        { "control", "127.0.0.1:7301" } });
  adapters::http::EventLoop loop;
  Proxy proxy(loop, arguments.Address("listen"), arguments.Address("to"));
  if (!proxy.Listening()) {
    return 1;
  }
  const bool served =
    standins::Serve(loop, arguments.Address("control"), [&](const ExchangePtr& aExchange) {
      const nlohmann::json body = base::ParseJson(aExchange->Body());
      ProxyFaults& faults = proxy.Faults();
      faults.m_refuseConnections = base::ValueOr(body, "refuse", faults.m_refuseConnections);
      faults.m_delay =
        base::Millis(base::ValueOr(body, "delay_ms", static_cast<int64_t>(faults.m_delay.count())));
      faults.m_dropResponses = base::ValueOr(body, "lose_answers", faults.m_dropResponses);
      if (body.contains("hang")) {
        proxy.SetHanging(base::ValueOr(body, "hang", false));
      }
      if (base::ValueOr(body, "cut", false)) {
        proxy.CloseLinks();
      }
      if (base::ValueOr(body, "silence", false)) {
        proxy.Silence();
      }
      standins::ReplyJson(aExchange, 200, { { "links", proxy.LinkCount() } });
    });
  return served ? 0 : 1;
}
