#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

struct evbuffer;

namespace papayafield::adapters::http1 {

/// Field by which a client asks for frames, and by which a relay states that it sends them.
inline constexpr std::string_view kTunnelCodingField = "Tunnel-Coding: frames\r\n";

/// How the connection to the target of a tunnel ended, as the relay states it to its client.
enum class TargetEnd : uint8_t {
  /// The target closed its sending side in an orderly way.
  Finished,
  /// The connection was reset, or the kernel timed it out.
  Reset,
  /// The way from the relay to the target may have failed.
  Unreachable,
};

/// Appends all bytes of `aFrom`, which a target has sent, to `aTo` as a frame, and removes them
/// from `aFrom`. Thread safe.
void AddTargetBytes(evbuffer* aTo, evbuffer* aFrom);

/// Appends the frame that ends a tunnel to `aTo`. Thread safe.
void AddTargetEnd(evbuffer* aTo, TargetEnd aEnd);

/// Reads the frames that a relay sends to the client of a tunnel: what the target has sent, and
/// then how its connection ended. Without that statement, the relay itself was lost. Not thread
/// safe.
class TunnelFrameReader {
public:
  /// Moves the bytes of the target from the frames in `aFrom` to `aTo`, until `aFrom` has no more
  /// of them. Bytes after the last frame are dropped.
  void Read(evbuffer* aFrom, evbuffer* aTo);
  /// Returns how the target's connection ended; nullopt if no frame has stated it.
  std::optional<TargetEnd> End() const { return m_end; }

private:
  /// Number of bytes of the current frame that are still to come.
  size_t m_remaining = 0;
  std::optional<TargetEnd> m_end;
};

} // namespace papayafield::adapters::http1
