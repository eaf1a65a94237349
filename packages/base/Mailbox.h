#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

namespace papayafield::base {

/// A message queue with many producers and one consumer. Any thread may send; only the task that
/// owns the mailbox receives. The owner polls `Fd()` in its event loop.
template<class Message>
class Mailbox {
public:
  /// Creates an empty mailbox with its own eventfd.
  Mailbox()
    : m_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~Mailbox() { close(m_fd); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;
  Mailbox(Mailbox&&) = delete;
  Mailbox& operator=(Mailbox&&) = delete;

  /// Appends a message and wakes the owner. Thread safe.
  void Send(Message aMessage) {
    {
      std::lock_guard lock(m_mutex);
      m_queue.push_back(std::move(aMessage));
    }
    const uint64_t increment = 1;
    [[maybe_unused]] const auto bytesWritten = write(m_fd, &increment, sizeof(increment));
  }

  /// Removes and returns all pending messages in send order. Must only be called by the owner.
  std::vector<Message> ReceiveAll() {
    uint64_t count = 0;
    [[maybe_unused]] const auto bytesRead = read(m_fd, &count, sizeof(count));
    std::lock_guard lock(m_mutex);
    return std::exchange(m_queue, {});
  }

  /// Returns the eventfd, which is readable while messages are pending.
  int Fd() const { return m_fd; }

private:
  int m_fd;
  std::mutex m_mutex;
  std::vector<Message> m_queue;
};

} // namespace papayafield::base
