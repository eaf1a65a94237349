#pragma once

#include <cstdint>

namespace papayafield::bench {

/// What a process has used so far.
struct Usage {
  /// Processor seconds, user and system.
  double m_cpuSeconds = 0;
  /// Resident memory in KiB.
  double m_residentKib = 0;
};

/// Reads what the process `aPid` has used; 0 is this process.
Usage ReadUsage(int aPid);

/// Processor seconds of the calling thread.
double ThreadCpuSeconds();

} // namespace papayafield::bench
