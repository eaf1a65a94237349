#include "Usage.h"

#include <ctime>
#include <fstream>
#include <string>
#include <unistd.h>

namespace papayafield::bench {

ProcessUsage ReadProcessUsage(int aPid) {
  const std::string folder = "/proc/" + (aPid == 0 ? "self" : std::to_string(aPid));
  ProcessUsage usage;
  std::ifstream stat(folder + "/stat");
  std::string word;
  // The command name ends with a parenthesis; user and system time are the 12th and 13th fields
  // after it.
  std::getline(stat, word, ')');
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    stat >> word;
  }
  double user = 0;
  double system = 0;
  stat >> user >> system;
  usage.m_cpuSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream memory(folder + "/statm");
  double pages = 0;
  memory >> pages >> pages;
  constexpr double kKib = 1024;
  usage.m_residentKib = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / kKib;
  return usage;
}

double ThreadCpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  constexpr double kNanosPerSecond = 1e9;
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / kNanosPerSecond;
}

} // namespace papayafield::bench
