#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <string>
#include <string_view>

namespace papayafield::tests {

/// How an answer ended, as a caller sees it.
enum class AnswerEnd {
  /// The answer is complete according to its framing.
  Complete,
  /// The peer closed the connection before that.
  Closed,
  /// The peer reset the connection before that.
  Reset,
  /// The answer was not complete within the time limit.
  TimedOut,
};

/// The bytes of an answer, decoded as far as they were received.
struct RawAnswer {
  /// 0 if the head is incomplete.
  int m_status = 0;
  /// Status line and header fields.
  std::string m_head;
  /// Body without chunk framing.
  std::string m_body;
  AnswerEnd m_end = AnswerEnd::Closed;

  /// Whether a caller takes this for a complete answer with a 2xx status.
  bool LooksServed() const { return m_status / 100 == 2 && m_end == AnswerEnd::Complete; }
  /// Whether the answer guarantees that the call has not run.
  bool SaysNotRun() const {
    return m_end == AnswerEnd::Complete &&
           (m_status == 408 || m_status == 421 || m_status == 429 || m_status == 503);
  }
  /// Whether the head has the line `aLine`.
  bool HasLine(std::string_view aLine) const;
};

/// A blocking connection of a caller that sees how an answer ends. It does not share the parser
/// with the code under test. Not thread safe.
class RawCaller {
public:
  /// Connects to `aTo`; IsOpen returns false if that fails.
  explicit RawCaller(const base::Address& aTo);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  RawCaller(RawCaller&&) = delete;
  RawCaller& operator=(RawCaller&&) = delete;

  bool IsOpen() const { return m_fd >= 0; }
  /// Sends all of `aBytes`. Returns false if the connection has ended; the answer may still be
  /// readable.
  bool Send(std::string_view aBytes) const;
  /// Reads one answer within `aTimeout`. Closes the connection if it cannot be used for another
  /// call.
  RawAnswer Receive(base::Millis aTimeout);

private:
  enum class ReadResult { Bytes, Closed, Reset, TimedOut };

  ReadResult ReadMore(base::TimePoint aUntil);
  void Close();

  int m_fd = -1;
  std::string m_input;
};

/// Returns a request of a caller on the users' platform without a body.
std::string MakeRawRequest(const std::string& aMethod,
                           const std::string& aTarget,
                           const std::string& aId,
                           base::Millis aTimeout);

} // namespace papayafield::tests

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<tests::AnswerEnd> = std::to_array<EnumName<tests::AnswerEnd>>({
  { tests::AnswerEnd::Complete, "complete" },
  { tests::AnswerEnd::Closed, "closed" },
  { tests::AnswerEnd::Reset, "reset" },
  { tests::AnswerEnd::TimedOut, "timed_out" },
});

} // namespace papayafield::base
