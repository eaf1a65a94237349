#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

namespace papayafield::base {

/// A queue of typed messages to one task. Any thread may send; only the owning task receives. The
/// owner waits on `Fd()` in its own event loop.
template<class Message>
class Mailbox {
public:
  /// An empty mailbox with its own event descriptor.
  Mailbox()
    : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~Mailbox() { close(m_fd); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;
  Mailbox(Mailbox&&) = delete;
  Mailbox& operator=(Mailbox&&) = delete;

  /// Adds a message and wakes the owner. Thread safe.
  void Send(Message aMessage) {
    {
      std::lock_guard lock(m_mutex);
      m_queue.push_back(std::move(aMessage));
    }
    const uint64_t one = 1;
    [[maybe_unused]] const auto written = write(m_fd, &one, sizeof(one));
  }

  /// Takes all waiting messages in the order of their sending. Owner only.
  std::vector<Message> TakeAll() {
    uint64_t count = 0;
    [[maybe_unused]] const auto got = read(m_fd, &count, sizeof(count));
    std::lock_guard lock(m_mutex);
    return std::exchange(m_queue, {});
  }

  /// Becomes readable when a message waits.
  int Fd() const { return m_fd; }

private:
  int m_fd;
  std::mutex m_mutex;
  std::vector<Message> m_queue;
};

} // namespace papayafield::base
