#include "adapters/http1/TunnelFrames.h"

#include <arpa/inet.h>
#include <event2/buffer.h>

#include <algorithm>
#include <array>

namespace papayafield::adapters::http1 {

namespace {

/// A frame begins with the number of its bytes in network byte order. In the last frame that is 0,
/// and one byte with the kind of the end follows.
constexpr size_t kLengthBytes = sizeof(uint32_t);

} // namespace

void AddTargetBytes(evbuffer* aTo, evbuffer* aFrom) {
  const size_t length = evbuffer_get_length(aFrom);
  if (length == 0) {
    return;
  }
  const uint32_t encoded = htonl(static_cast<uint32_t>(length));
  evbuffer_add(aTo, &encoded, kLengthBytes);
  evbuffer_add_buffer(aTo, aFrom);
}

void AddTargetEnd(evbuffer* aTo, TargetEnd aEnd) {
  const std::array<uint8_t, kLengthBytes + 1> frame{ 0, 0, 0, 0, static_cast<uint8_t>(aEnd) };
  evbuffer_add(aTo, frame.data(), frame.size());
}

void TunnelFrameReader::Read(evbuffer* aFrom, evbuffer* aTo) {
  while (!m_end && evbuffer_get_length(aFrom) > 0) {
    if (m_remaining > 0) {
      const int moved =
        evbuffer_remove_buffer(aFrom, aTo, std::min(m_remaining, evbuffer_get_length(aFrom)));
      if (moved <= 0) {
        return;
      }
      m_remaining -= static_cast<size_t>(moved);
      continue;
    }
    uint32_t encoded = 0;
    if (evbuffer_copyout(aFrom, &encoded, kLengthBytes) < static_cast<ssize_t>(kLengthBytes)) {
      return;
    }
    if (encoded == 0 && evbuffer_get_length(aFrom) == kLengthBytes) {
      return;
    }
    evbuffer_drain(aFrom, kLengthBytes);
    m_remaining = ntohl(encoded);
    if (m_remaining == 0) {
      uint8_t end = 0;
      evbuffer_remove(aFrom, &end, sizeof(end));
      m_end = std::min(static_cast<TargetEnd>(end), TargetEnd::Unreachable);
    }
  }
  if (m_end) {
    evbuffer_drain(aFrom, evbuffer_get_length(aFrom));
  }
}

} // namespace papayafield::adapters::http1
