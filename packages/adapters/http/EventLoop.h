#pragma once

#include "base/Mailbox.h"
#include "base/Time.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace papayafield::adapters::http {

/// Frees an event of libevent.
struct EventDeleter {
  void operator()(event* aEvent) const;
};

/// A timer or a descriptor watch; ends when it is destroyed.
class Watch {
public:
  /// Takes a callback; armed by EventLoop.
  explicit Watch(std::function<void()> aCallback)
    : m_callback(std::move(aCallback)) {}

private:
  friend class EventLoop;
  static void Fire(int aFd, short aWhat, void* aSelf);

  std::function<void()> m_callback;
  std::unique_ptr<event, EventDeleter> m_event;
};

/// Owns a watch.
using WatchPtr = std::unique_ptr<Watch>;

/// One event loop of libevent, owned by one task. All methods belong to the owning thread.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  EventLoop(EventLoop&&) = delete;
  EventLoop& operator=(EventLoop&&) = delete;

  /// The underlying base, for adapters.
  event_base* Base() const { return m_base; }

  /// Runs until Stop is called from a callback.
  void Run();
  /// Ends Run after the present callback.
  void Stop();

  /// Calls back once, `aDelay` from now.
  [[nodiscard]] WatchPtr After(base::Millis aDelay, std::function<void()> aCallback);
  /// Calls back again and again, `aPeriod` apart.
  [[nodiscard]] WatchPtr Every(base::Millis aPeriod, std::function<void()> aCallback);
  /// Calls back whenever `aFd` is readable.
  [[nodiscard]] WatchPtr OnReadable(int aFd, std::function<void()> aCallback);
  /// Calls back on the signal `aSignal`.
  [[nodiscard]] WatchPtr OnSignal(int aSignal, std::function<void()> aCallback);
  /// Calls back once, after the present callback has returned. What is still waiting when the loop
  /// is destroyed is dropped.
  void Defer(std::function<void()> aCallback);

  /// Hands each message of `aMailbox` to `aHandler`. The mailbox must outlive the watch.
  template<class Message, class Handler>
  [[nodiscard]] WatchPtr Receive(base::Mailbox<Message>& aMailbox, Handler aHandler) {
    return OnReadable(aMailbox.Fd(), [&aMailbox, handler = std::move(aHandler)]() mutable {
      for (Message& message : aMailbox.ReceiveAll()) {
        handler(std::move(message));
      }
    });
  }

private:
  WatchPtr Arm(int aFd, short aWhat, const base::Millis* aSpan, std::function<void()> aCallback);

  void RunDeferred();

  event_base* m_base;
  std::vector<std::function<void()>> m_deferred;
  WatchPtr m_deferredWatch;
};

} // namespace papayafield::adapters::http
