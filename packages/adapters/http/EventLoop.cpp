#include "adapters/http/EventLoop.h"

#include <event2/event.h>

namespace papayafield::adapters::http {

namespace {

timeval ToTimeval(base::Millis aDuration) {
  constexpr int kMillisPerSecond = 1000;
  return { static_cast<time_t>(aDuration.count() / kMillisPerSecond),
           static_cast<suseconds_t>(aDuration.count() % kMillisPerSecond * kMillisPerSecond) };
}

} // namespace

void EventDeleter::operator()(event* aEvent) const {
  event_free(aEvent);
}

void EventHandle::Fire(int /*aFd*/, short /*aWhat*/, void* aSelf) {
  // The callback may destroy its own handle, so a copy of it is called.
  const auto callback = static_cast<EventHandle*>(aSelf)->m_callback;
  callback();
}

EventLoop::EventLoop()
  : m_base(event_base_new())
  , m_deferredEvent(AddEvent(-1, 0, nullptr, [this] { RunDeferred(); })) {}

EventLoop::~EventLoop() {
  // Deferred callbacks may own sockets of this loop, so they are destroyed before the base is
  // freed.
  m_deferred.clear();
  m_deferredEvent.reset();
  event_base_free(m_base);
}

void EventLoop::Run() {
  event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop() {
  event_base_loopbreak(m_base);
}

EventHandlePtr EventLoop::AddEvent(int aFd,
                                   short aWhat,
                                   const base::Millis* aTimeout,
                                   std::function<void()> aCallback) {
  auto handle = std::make_unique<EventHandle>(std::move(aCallback));
  handle->m_event.reset(event_new(m_base, aFd, aWhat, &EventHandle::Fire, handle.get()));
  timeval timeout{};
  if (aTimeout != nullptr) {
    timeout = ToTimeval(*aTimeout);
  }
  event_add(handle->m_event.get(), aTimeout != nullptr ? &timeout : nullptr);
  return handle;
}

EventHandlePtr EventLoop::After(base::Millis aDelay, std::function<void()> aCallback) {
  return AddEvent(-1, EV_TIMEOUT, &aDelay, std::move(aCallback));
}

EventHandlePtr EventLoop::Every(base::Millis aPeriod, std::function<void()> aCallback) {
  return AddEvent(-1, EV_TIMEOUT | EV_PERSIST, &aPeriod, std::move(aCallback));
}

EventHandlePtr EventLoop::OnReadable(int aFd, std::function<void()> aCallback) {
  return AddEvent(aFd, EV_READ | EV_PERSIST, nullptr, std::move(aCallback));
}

EventHandlePtr EventLoop::OnSignal(int aSignal, std::function<void()> aCallback) {
  return AddEvent(aSignal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(aCallback));
}

void EventLoop::Defer(std::function<void()> aCallback) {
  m_deferred.push_back(std::move(aCallback));
  if (m_deferred.size() == 1) {
    event_active(m_deferredEvent->m_event.get(), 0, 0);
  }
}

void EventLoop::RunDeferred() {
  for (const auto& callback : std::exchange(m_deferred, {})) {
    callback();
  }
}

} // namespace papayafield::adapters::http
