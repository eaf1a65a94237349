#include "tests/harness/Process.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace papayafield::tests {

namespace {

int ExitCode(int aStatus) {
  return WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -WTERMSIG(aStatus);
}

bool IsPortFree(uint16_t aPort, int aType) {
  const int fd = socket(AF_INET, aType, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

} // namespace

Process::Process(const std::string& aProgram, const std::vector<std::string>& aArguments) {
  const std::string path = std::string(BUILD_DIR) + "/" + aProgram;
  std::vector<char*> arguments{ const_cast<char*>(path.c_str()) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  if (posix_spawn(&m_pid, path.c_str(), nullptr, nullptr, arguments.data(), environ) != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

Process::~Process() {
  Kill();
}

void Process::Signal(int aSignal) {
  if (m_pid > 0) {
    kill(m_pid, aSignal);
  }
}

void Process::Kill() {
  Signal(SIGKILL);
  WaitForExit();
}

int Process::WaitForExit() {
  if (m_pid > 0) {
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_exitCode = ExitCode(status);
    m_pid = -1;
  }
  return m_exitCode;
}

bool Process::IsRunning() {
  int status = 0;
  if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exitCode = ExitCode(status);
    m_pid = -1;
  }
  return m_pid > 0;
}

uint16_t FreePort() {
  // Each process starts at a different port, so that tests that run in parallel do not collide.
  constexpr uint16_t kFirst = 12000;
  constexpr uint16_t kCount = 20000;
  static uint32_t next = static_cast<uint32_t>(getpid()) * 131;
  while (true) {
    const auto port = static_cast<uint16_t>(kFirst + ++next % kCount);
    if (IsPortFree(port, SOCK_STREAM) && IsPortFree(port, SOCK_DGRAM)) {
      return port;
    }
  }
}

} // namespace papayafield::tests
