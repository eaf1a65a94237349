#pragma once

#include "adapters/http1/Connection.h"
#include "base/BufferBudget.h"
#include "forwarding/CallerLoad.h"
#include "forwarding/Exchange.h"

#include <functional>
#include <memory>

namespace papayafield::forwarding {

/// Limits for the connections of callers.
struct CallerSettings {
  fleet::CallerLimits m_limits;
  /// Whether each answer closes its connection.
  bool m_closeAfterAnswer = false;
  /// Maximum number of connections; 0 if there is no limit.
  size_t m_maxConnections = 0;
  /// Shared by all connections of the node.
  std::shared_ptr<CallerLoad> m_load = std::make_shared<CallerLoad>();
};

/// One connection of a caller: reads its requests one after the other and writes their answers.
/// Belongs to the event loop's thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  /// Called with a complete request. Returns the call that is now in progress, or null if the
  /// request has already been answered.
  using OnRequest = std::function<std::shared_ptr<Exchange>(adapters::http1::RequestHead&& aHead,
                                                            RequestBodyPtr aBody,
                                                            base::TimePoint aArrival,
                                                            AnswerSink aSink)>;

  /// `aBuffers` limits what callers have sent, and what they have not taken yet.
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
  /// Returns since when no request has been read or answered; nullopt if one is.
  std::optional<base::TimePoint> IdleSince() const {
    return m_closed || IsBusy() ? std::nullopt : std::optional(m_idleSince);
  }
  /// Answers that the node has no room for the connection, and closes it. Nothing that its caller
  /// sends is run. Call it instead of Start.
  void Refuse();

private:
  bool IsReading() const { return m_reading || (!m_closed && m_connection->IsInMessage()); }
  void OnBegin();
  void OnHeadGrowth(size_t aBytes);
  void OnHead(adapters::http1::RequestHead&& aHead);
  void OnBody(std::string_view aBytes);
  void OnComplete();
  void OnEnd(adapters::http1::EndKind aKind);
  void Reject(int aStatus);
  bool ClaimRequest(size_t aBodyCapacity);
  void OnRequestDropped();
  adapters::http1::ResponseHead MakeRejection(int aStatus) const;
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
  RequestBody m_body;
  /// Memory that the present head takes, as far as it is known.
  size_t m_headBytes = 0;
  /// Covers head and body of a request that is being read, if they are large.
  std::optional<base::BufferBudget::Claim> m_requestClaim;
  base::TimePoint m_arrival{};
  std::shared_ptr<Exchange> m_exchange;
  bool m_reading = false;
  /// Whether the present request is answered without a body.
  bool m_isHeadRequest = false;
  bool m_answering = false;
  bool m_keepAlive = false;
  bool m_closed = false;
  /// Whether this connection counts among those whose input is discarded.
  bool m_isDiscarding = false;
  /// Whether the connection only waits until its output has been sent, and its caller has stopped
  /// sending.
  bool m_flushing = false;
};

} // namespace papayafield::forwarding
