#include "standins/common/Arguments.h"
#include "standins/common/StandinServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <cstring>
#include <list>
#include <memory>

/// \file
/// TCP proxy that injects faults between two processes: it can refuse, delay, close or permanently
/// silence connections, or drop only the responses. Faults are set over HTTP on the address
/// --control.

namespace {

using namespace papayafield;
using adapters::http::ExchangePtr;

/// Faults that are currently injected.
struct ProxyFaults {
  /// New connections are closed immediately.
  bool m_refuse = false;
  /// Data in either direction is delayed by this time.
  base::Millis m_delay{ 0 };
  /// Responses on connections accepted while this is set are dropped; the connections stay open.
  bool m_loseAnswers = false;
};

class Proxy;

/// A proxied connection.
class Link {
public:
  Link(Proxy& aProxy, int aFd);
  ~Link() {
    bufferevent_free(m_near);
    bufferevent_free(m_far);
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  Link(Link&&) = delete;
  Link& operator=(Link&&) = delete;

  /// Drops all further data in both directions without notifying either end.
  void Silence() { m_silent = true; }

private:
  static void OnRead(bufferevent* aFrom, void* aSelf);
  static void OnEvent(bufferevent* aFrom, short aWhat, void* aSelf);
  void Forward(bufferevent* aTo, const std::string& aBytes);

  Proxy& m_proxy;
  bufferevent* m_near;
  bufferevent* m_far;
  bool m_silent = false;
  bool m_loseAnswers;
  std::list<adapters::http::WatchPtr> m_delayed;
};

/// Accepts connections and owns their links.
class Proxy {
public:
  Proxy(adapters::http::EventLoop& aLoop, const base::Address& aListen, const base::Address& aTo)
    : m_loop(aLoop)
    , m_to(ToSocket(aTo)) {
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
  const sockaddr_in& To() const { return m_to; }
  void Cut() { m_links.clear(); }
  void Silence() {
    for (const auto& link : m_links) {
      link->Silence();
    }
  }
  size_t Links() const { return m_links.size(); }
  void Drop(Link* aLink) {
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
    if (m_faults.m_refuse) {
      evutil_closesocket(aFd);
      return;
    }
    m_links.push_back(std::make_unique<Link>(*this, aFd));
  }

  adapters::http::EventLoop& m_loop;
  sockaddr_in m_to;
  evconnlistener* m_listener = nullptr;
  ProxyFaults m_faults;
  std::list<std::unique_ptr<Link>> m_links;
};

Link::Link(Proxy& aProxy, int aFd)
  : m_proxy(aProxy)
  , m_near(bufferevent_socket_new(aProxy.Loop().Base(), aFd, BEV_OPT_CLOSE_ON_FREE))
  , m_far(bufferevent_socket_new(aProxy.Loop().Base(), -1, BEV_OPT_CLOSE_ON_FREE))
  , m_loseAnswers(aProxy.Faults().m_loseAnswers) {
  bufferevent_setcb(m_near, &Link::OnRead, nullptr, &Link::OnEvent, this);
  bufferevent_setcb(m_far, &Link::OnRead, nullptr, &Link::OnEvent, this);
  bufferevent_socket_connect(
    m_far, reinterpret_cast<const sockaddr*>(&aProxy.To()), sizeof(sockaddr_in));
  bufferevent_enable(m_near, EV_READ | EV_WRITE);
  bufferevent_enable(m_far, EV_READ | EV_WRITE);
}

void Link::OnRead(bufferevent* aFrom, void* aSelf) {
  auto* self = static_cast<Link*>(aSelf);
  evbuffer* input = bufferevent_get_input(aFrom);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  const bool isAnswer = aFrom == self->m_far;
  if (self->m_silent || (isAnswer && self->m_loseAnswers)) {
    return;
  }
  bufferevent* to = isAnswer ? self->m_near : self->m_far;
  const base::Millis delay = self->m_proxy.Faults().m_delay;
  if (delay.count() == 0) {
    self->Forward(to, bytes);
    return;
  }
  self->m_delayed.push_back(
    self->m_proxy.Loop().After(delay, [self, to, bytes] { self->Forward(to, bytes); }));
}

void Link::Forward(bufferevent* aTo, const std::string& aBytes) {
  if (!m_silent) {
    bufferevent_write(aTo, aBytes.data(), aBytes.size());
  }
}

void Link::OnEvent(bufferevent* aFrom, short aWhat, void* aSelf) {
  auto* self = static_cast<Link*>(aSelf);
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  // A silenced link, or one that drops responses, hides that its far end disconnected.
  if (self->m_silent || (aFrom == self->m_far && self->m_loseAnswers)) {
    bufferevent_disable(aFrom, EV_READ | EV_WRITE);
    return;
  }
  // Data that is pending for the other end is flushed before the link is closed.
  bufferevent* other = aFrom == self->m_near ? self->m_far : self->m_near;
  evbuffer* waiting = bufferevent_get_output(other);
  if (evbuffer_get_length(waiting) > 0) {
    bufferevent_flush(other, EV_WRITE, BEV_FINISHED);
  }
  self->m_proxy.Drop(self);
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
      faults.m_refuse = base::ValueOr(body, "refuse", faults.m_refuse);
      faults.m_delay =
        base::Millis(base::ValueOr(body, "delay_ms", static_cast<int64_t>(faults.m_delay.count())));
      faults.m_loseAnswers = base::ValueOr(body, "lose_answers", faults.m_loseAnswers);
      if (base::ValueOr(body, "cut", false)) {
        proxy.Cut();
      }
      if (base::ValueOr(body, "silence", false)) {
        proxy.Silence();
      }
      standins::ReplyJson(aExchange, 200, { { "links", proxy.Links() } });
    });
  return served ? 0 : 1;
}
