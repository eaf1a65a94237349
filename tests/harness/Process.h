#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayafield::tests {

/// A child process that is killed by the destructor. Not thread safe.
class Process {
public:
  /// Starts `aProgram`, a path relative to the build folder, with `aArguments`.
  Process(const std::string& aProgram, const std::vector<std::string>& aArguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&&) = delete;
  Process& operator=(Process&&) = delete;

  /// Sends a signal if the process has not been reaped.
  void Signal(int aSignal);
  /// Sends SIGKILL and waits until the process has exited.
  void Kill();
  /// Waits until the process has exited; returns the exit code, or the negated signal number.
  int WaitForExit();
  /// Returns the process id; -1 after the process was reaped.
  int Pid() const { return m_pid; }
  /// Whether the process still runs; reaps it if it has exited.
  bool IsRunning();

private:
  int m_pid = -1;
  int m_exitCode = 0;
};

/// Returns a loopback port that is free for TCP and UDP, below the kernel's ephemeral port range.
uint16_t FreePort();

} // namespace papayafield::tests
