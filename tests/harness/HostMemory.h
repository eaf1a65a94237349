#pragma once

#include <atomic>
#include <cstddef>
#include <thread>

namespace papayafield::tests {

/// Returns the peak resident memory of the process `aPid` in bytes; 0 if it has exited. Thread
/// safe.
size_t ReadPeakBytes(int aPid);

/// Plays the memory limit of a host: kills a process once its resident memory exceeds the limit, as
/// the kernel of a host without swap does. Thread safe.
class HostMemory {
public:
  /// Watches the process `aPid`, a child that runs at least until the destructor, with a limit of
  /// `aLimitBytes`.
  HostMemory(int aPid, size_t aLimitBytes);
  /// Stops watching.
  ~HostMemory();
  HostMemory(const HostMemory&) = delete;
  HostMemory& operator=(const HostMemory&) = delete;
  HostMemory(HostMemory&&) = delete;
  HostMemory& operator=(HostMemory&&) = delete;

  /// Returns the highest resident memory since the process started, in bytes, as last measured.
  size_t PeakBytes() const { return m_peakBytes; }
  /// Whether the process has been killed.
  bool HasKilled() const { return m_hasKilled; }

private:
  void Watch(int aPid, size_t aLimitBytes);

  std::atomic<size_t> m_peakBytes{ 0 };
  std::atomic<bool> m_hasKilled{ false };
  std::atomic<bool> m_stopped{ false };
  std::thread m_thread;
};

} // namespace papayafield::tests
