#pragma once

#include "base/Ids.h"

#include <string>
#include <string_view>

namespace papayafield::adapters::peer {

/// A non-blocking UDP socket. Not thread safe.
class DatagramSocket {
public:
  /// Maximum size of a received datagram; longer ones are truncated.
  static constexpr size_t kMaxDatagramBytes = 60000;

  /// Creates a socket and binds it to `aListen`; `Bound()` returns whether that succeeded.
  explicit DatagramSocket(const base::Address& aListen);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  DatagramSocket(DatagramSocket&&) = delete;
  DatagramSocket& operator=(DatagramSocket&&) = delete;

  /// Returns whether the socket was bound to its address.
  bool Bound() const { return m_bound; }
  /// Returns the file descriptor, for polling.
  int Fd() const { return m_fd; }
  /// Sends a datagram. It is dropped if it cannot be sent immediately.
  void Send(const base::Address& aTo, std::string_view aBytes);
  /// Receives the next datagram. Returns false if none is pending.
  bool Receive(std::string& aBytes);
  /// Returns the total number of bytes sent and received.
  uint64_t Bytes() const { return m_transferredBytes; }

private:
  int m_fd;
  bool m_bound;
  uint64_t m_transferredBytes = 0;
};

} // namespace papayafield::adapters::peer
