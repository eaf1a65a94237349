#pragma once

#include <cstdint>

namespace papayafield::bench {

/// Resource usage of a process.
struct ProcessUsage {
  /// CPU time in seconds, user and system.
  double m_cpuSeconds = 0;
  /// Resident memory in KiB.
  double m_residentKib = 0;
};

/// Returns the resource usage of the process `aPid`; 0 is the current process.
ProcessUsage ReadProcessUsage(int aPid);

/// Returns the CPU time of the calling thread in seconds.
double ThreadCpuSeconds();

} // namespace papayafield::bench
