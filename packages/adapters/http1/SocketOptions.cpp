#include "adapters/http1/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayafield::adapters::http1 {

namespace {

/// Idle time before TCP keep-alive probes start and interval between them, in seconds. A lost peer
/// is detected after about 4 s.
constexpr int kKeepAliveProbeSeconds = 1;
constexpr int kKeepAliveProbeCount = 3;

template<class Value>
void SetOption(int aFd, int aLevel, int aName, const Value& aValue) {
  // A failure is ignored: a socket without the option works, but detects a dead peer more slowly.
  [[maybe_unused]] const int result =
    setsockopt(aFd, aLevel, aName, &aValue, static_cast<socklen_t>(sizeof(aValue)));
}

} // namespace

void SetSocketOptions(int aFd, base::Millis aUnacknowledgedTimeout) {
  SetOption(aFd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aFd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveProbeSeconds);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveProbeSeconds);
  SetOption(aFd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
  SetOption(aFd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aUnacknowledgedTimeout.count()));
}

void ResetOnClose(int aFd) {
  const linger discard{ 1, 0 };
  SetOption(aFd, SOL_SOCKET, SO_LINGER, discard);
}

} // namespace papayafield::adapters::http1
