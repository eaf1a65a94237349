#pragma once

#include "base/Ids.h"

#include <string>
#include <string_view>

namespace papayafield::adapters::peer {

/// A UDP socket that never blocks. Not thread safe.
class DatagramSocket {
public:
  /// Largest datagram taken.
  static constexpr size_t kMaxBytes = 60000;

  /// A socket at `aListen`.
  explicit DatagramSocket(const base::Address& aListen);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  DatagramSocket(DatagramSocket&&) = delete;
  DatagramSocket& operator=(DatagramSocket&&) = delete;

  /// Whether the address could be had.
  bool Bound() const { return m_bound; }
  /// The descriptor, to wait on.
  int Fd() const { return m_fd; }
  /// Sends; a datagram that cannot be sent now is lost.
  void Send(const base::Address& aTo, std::string_view aBytes);
  /// Takes the next datagram; false when none waits.
  bool Receive(std::string& aBytes);
  /// Bytes sent and received so far.
  uint64_t Bytes() const { return m_bytes; }

private:
  int m_fd;
  bool m_bound;
  uint64_t m_bytes = 0;
};

} // namespace papayafield::adapters::peer
