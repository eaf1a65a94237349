#pragma once

#include "adapters/http1/Connection.h"
#include "base/BufferBudget.h"
#include "forwarding/Exchange.h"

#include <functional>
#include <memory>

namespace papayafield::forwarding {

/// Limits for the connections of callers.
struct CallerSettings {
  fleet::CallerLimits m_limits;
  /// Whether each answer closes its connection.
  bool m_closeAfterAnswer = false;
};

/// One connection of a caller: reads its requests one after the other and writes their answers.
/// Belongs to the event loop's thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  /// Called with a complete request. Returns the call that is now in progress, or null if the
  /// request has already been answered.
  using OnRequest = std::function<std::shared_ptr<Exchange>(adapters::http1::RequestHead&& aHead,
                                                            std::string&& aBody,
                                                            base::TimePoint aArrival,
                                                            AnswerSink aSink)>;

  /// `aBuffers` limits what callers have not taken yet.
  CallerConnection(adapters::http::EventLoop& aLoop,
                   base::BufferBudget& aBuffers,
                   std::shared_ptr<adapters::http1::ServerConnection> aConnection,
                   const CallerSettings& aSettings,
                   OnRequest aOnRequest,
                   std::function<void(const std::shared_ptr<CallerConnection>&)> aOnClosed);

  /// Starts reading. Call once.
  void Start();
  /// Returns whether a request is being read or answered, or an answer is still being sent.
  bool IsBusy() const {
    return IsReading() || m_answering || m_flushing || m_connection->PendingOutput() > 0;
  }
  /// Returns the age of the call in progress if it belongs to the route named `aRoute`, otherwise
  /// 0.
  base::Millis OpenCallAge(const std::string& aRoute, base::TimePoint aNow) const;
  /// Ends the call in progress because the node stops, and closes the connection once its answer
  /// has been sent. A request that has not been read completely is rejected as not run.
  void Abort();
  /// Applies a changed limit on idle time. A raised limit holds at once. A lowered one holds for
  /// new connections only: the caller of this one may go on to use it by the limit that it knows.
  void OnLimitsChanged();
  /// Closes the connection at once.
  void Close();

private:
  bool IsReading() const { return m_reading || (!m_closed && m_connection->IsInMessage()); }
  void OnBegin();
  void OnHead(adapters::http1::RequestHead&& aHead);
  void OnBody(std::string_view aBytes);
  void OnComplete();
  void OnEnd(adapters::http1::EndKind aKind);
  void Reject(int aStatus);
  void OnAnswered();
  void ClaimUnsent();
  void DisconnectSlowCaller();
  void PrepareClose();
  std::function<void()> OnceClosed();
  void CloseWhenFlushed();
  void LogIncompleteRequest() const;
  void StartIdleTimer();
  void ArmIdleTimer(base::Millis aDelay);
  void StartBodyTimer(base::Millis aDelay);
  AnswerSink MakeSink();
  void WriteHead(adapters::http1::ResponseHead aHead,
                 const std::string& aFraming,
                 const char* aValue);

  adapters::http::EventLoop& m_loop;
  base::BufferBudget& m_buffers;
  /// Covers the unsent bytes, if there are many.
  std::optional<base::BufferBudget::Claim> m_unsentClaim;
  std::shared_ptr<adapters::http1::ServerConnection> m_connection;
  const CallerSettings& m_settings;
  OnRequest m_onRequest;
  std::function<void(const std::shared_ptr<CallerConnection>&)> m_onClosed;
  /// Runs while the connection is idle.
  adapters::http::EventHandlePtr m_idleTimer;
  base::TimePoint m_idleSince{};
  /// Longest limit on idle time since the connection was accepted.
  base::Millis m_idleLimit{ 0 };
  /// Limit on the body of the present request, as of the end of its head.
  size_t m_bodyLimit = 0;
  /// Runs while the head of a request is being read.
  adapters::http::EventHandlePtr m_headTimer;
  /// Runs while the body of a request is being read.
  adapters::http::EventHandlePtr m_bodyTimer;
  /// Time of the last bytes of a request.
  base::TimePoint m_lastInputAt{};
  adapters::http1::RequestHead m_head;
  std::string m_body;
  base::TimePoint m_arrival{};
  std::shared_ptr<Exchange> m_exchange;
  bool m_reading = false;
  /// Whether the present request is answered without a body.
  bool m_isHeadRequest = false;
  bool m_answering = false;
  bool m_keepAlive = false;
  bool m_closed = false;
  /// Whether the connection only waits until its output has been sent, and its caller has stopped
  /// sending.
  bool m_flushing = false;
};

} // namespace papayafield::forwarding
