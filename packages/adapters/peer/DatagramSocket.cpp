#include "adapters/peer/DatagramSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace papayafield::adapters::peer {

namespace {

sockaddr_in ToSockaddr(const base::Address& aAddress) {
  sockaddr_in socket{};
  socket.sin_family = AF_INET;
  socket.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_host.c_str(), &socket.sin_addr);
  return socket;
}

} // namespace

DatagramSocket::DatagramSocket(const base::Address& aListen)
  : m_fd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  const sockaddr_in address = ToSockaddr(aListen);
  m_bound = bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

DatagramSocket::~DatagramSocket() {
  close(m_fd);
}

void DatagramSocket::Send(const base::Address& aTo, std::string_view aBytes) {
  const sockaddr_in address = ToSockaddr(aTo);
  const ssize_t sent = sendto(m_fd,
                              aBytes.data(),
                              aBytes.size(),
                              0,
                              reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address));
  m_transferredBytes += sent > 0 ? static_cast<uint64_t>(sent) : 0;
}

bool DatagramSocket::Receive(std::string& aBytes) {
  aBytes.resize(kMaxDatagramBytes);
  const ssize_t received = recv(m_fd, aBytes.data(), aBytes.size(), 0);
  if (received < 0) {
    return false;
  }
  aBytes.resize(static_cast<size_t>(received));
  m_transferredBytes += static_cast<uint64_t>(received);
  return true;
}

} // namespace papayafield::adapters::peer
