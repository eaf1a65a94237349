#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace papayafield::tests {

/// What each caller of a load sends before it falls silent and keeps its connection open.
struct Load {
  const char* m_name;
  std::string m_start;
  /// Sent until `m_repeatedBytes` bytes were sent after the start.
  std::string m_repeated;
  size_t m_repeatedBytes = 0;
};

/// Returns `aText` `aCount` times. Thread safe.
std::string Repeat(std::string_view aText, size_t aCount);
/// Returns a request head up to and without the empty line, which `aFraming` may add. Thread safe.
std::string HeadStart(const std::string& aFraming);
/// Returns the loads of heads that do not end. Thread safe.
std::vector<Load> HeadLoads();
/// Returns the loads of bodies that stop just short of their end. Thread safe.
std::vector<Load> BodyLoads();

/// The connection of one caller of a load. Blocks only while it connects; not thread safe.
class SilentCaller {
public:
  /// Connects to `aTo`. `aLoad` must outlive this object.
  SilentCaller(const base::Address& aTo, const Load& aLoad);
  ~SilentCaller();
  SilentCaller(const SilentCaller&) = delete;
  SilentCaller& operator=(const SilentCaller&) = delete;
  SilentCaller(SilentCaller&&) = delete;
  SilentCaller& operator=(SilentCaller&&) = delete;

  int Fd() const { return m_fd; }
  /// Whether the node has ended the connection.
  bool HasEnded() const { return m_ended; }
  /// Whether more is to be sent.
  bool IsSending() const { return !m_ended && m_sent < m_total; }
  /// Sends the next part, as far as the connection takes it.
  void SendMore();
  /// Takes note of the end of the connection; what the node sends is discarded.
  void ReadMore();

private:
  std::string_view NextPart() const;

  const Load& m_load;
  size_t m_total;
  size_t m_sent = 0;
  int m_fd = -1;
  bool m_ended = false;
};

using Crowd = std::vector<std::unique_ptr<SilentCaller>>;

/// Adds `aCallers` callers of `aLoad` to the crowd.
void Connect(const base::Address& aTo, const Load& aLoad, int aCallers, Crowd& aCrowd);
/// Sends what all callers have to send, until the node has ended the connections, or for
/// `aMaxTime`.
void SendAll(const Crowd& aCrowd, base::Millis aMaxTime);

} // namespace papayafield::tests
