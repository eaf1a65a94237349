#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayafield::tests {

/// A child process, ended when this object goes. Not thread safe.
class Process {
public:
  /// Starts `aProgram`, a path below the build folder, with `aArguments`.
  Process(const std::string& aProgram, const std::vector<std::string>& aArguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&&) = delete;
  Process& operator=(Process&&) = delete;

  /// Sends a signal, if the process still runs.
  void Signal(int aSignal);
  /// Kills it at once and waits for its end.
  void Kill();
  /// Waits for its end; the exit code, or minus the signal that ended it.
  int Wait();
  /// Its process id; -1 after its end.
  int Pid() const { return m_pid; }
  /// Whether it still runs.
  bool Running();

private:
  int m_pid = -1;
  int m_code = 0;
};

/// A port on loopback that nothing listens on, below those that the kernel hands out.
uint16_t FreePort();

} // namespace papayafield::tests
