#pragma once

#include "base/Mailbox.h"
#include "base/Time.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace papayafield::adapters::http {

/// Frees a libevent event.
struct EventDeleter {
  void operator()(event* aEvent) const;
};

/// Handle of a registered timer, file descriptor or signal event. Destroying it cancels the event.
class EventHandle {
public:
  /// Stores the callback. EventLoop registers the event.
  explicit EventHandle(std::function<void()> aCallback)
    : m_callback(std::move(aCallback)) {}

private:
  friend class EventLoop;
  static void Fire(int aFd, short aWhat, void* aSelf);

  std::function<void()> m_callback;
  std::unique_ptr<event, EventDeleter> m_event;
};

/// Owning pointer to an event handle.
using EventHandlePtr = std::unique_ptr<EventHandle>;

/// A libevent event loop, owned by one task. All methods must be called on the owning thread.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  EventLoop(EventLoop&&) = delete;
  EventLoop& operator=(EventLoop&&) = delete;

  /// Returns the underlying event base, for adapters.
  event_base* Base() const { return m_base; }

  /// Runs the loop until a callback calls Stop.
  void Run();
  /// Makes Run return after the current callback.
  void Stop();

  /// Calls `aCallback` once after `aDelay`.
  [[nodiscard]] EventHandlePtr After(base::Millis aDelay, std::function<void()> aCallback);
  /// Calls `aCallback` periodically, every `aPeriod`.
  [[nodiscard]] EventHandlePtr Every(base::Millis aPeriod, std::function<void()> aCallback);
  /// Calls `aCallback` whenever `aFd` is readable.
  [[nodiscard]] EventHandlePtr OnReadable(int aFd, std::function<void()> aCallback);
  /// Calls `aCallback` each time the process receives the signal `aSignal`.
  [[nodiscard]] EventHandlePtr OnSignal(int aSignal, std::function<void()> aCallback);
  /// Calls `aCallback` once, after the current callback has returned. Destroying the loop discards
  /// the callbacks that have not run yet.
  void Defer(std::function<void()> aCallback);

  /// Passes each message of `aMailbox` to `aHandler`. The mailbox must outlive the
  /// returned handle.
  template<class Message, class Handler>
  [[nodiscard]] EventHandlePtr Receive(base::Mailbox<Message>& aMailbox, Handler aHandler) {
    return OnReadable(aMailbox.Fd(), [&aMailbox, handler = std::move(aHandler)]() mutable {
      for (Message& message : aMailbox.ReceiveAll()) {
        handler(std::move(message));
      }
    });
  }

private:
  EventHandlePtr AddEvent(int aFd,
                          short aWhat,
                          const base::Millis* aTimeout,
                          std::function<void()> aCallback);

  void RunDeferred();

  event_base* m_base;
  std::vector<std::function<void()>> m_deferred;
  EventHandlePtr m_deferredEvent;
};

} // namespace papayafield::adapters::http
