#include "tests/harness/HostMemory.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <string_view>

namespace papayafield::tests {

namespace {

constexpr std::chrono::milliseconds kMeasuringInterval{ 5 };

} // namespace

size_t ReadPeakBytes(int aPid) {
  constexpr std::string_view kPeakField = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kPeakField)) {
      return std::stoul(line.substr(kPeakField.size())) << 10U;
    }
  }
  return 0;
}

HostMemory::HostMemory(int aPid, size_t aLimitBytes)
  : m_thread([this, aPid, aLimitBytes] { Watch(aPid, aLimitBytes); }) {}

HostMemory::~HostMemory() {
  m_stopped = true;
  m_thread.join();
}

void HostMemory::Watch(int aPid, size_t aLimitBytes) {
  while (!m_stopped && !m_hasKilled) {
    m_peakBytes = std::max(m_peakBytes.load(), ReadPeakBytes(aPid));
    if (m_peakBytes > aLimitBytes) {
      kill(aPid, SIGKILL);
      m_hasKilled = true;
    }
    std::this_thread::sleep_for(kMeasuringInterval);
  }
}

} // namespace papayafield::tests
