#pragma once

#include "adapters/http/HttpServer.h"
#include "base/Ids.h"
#include "gateway/Problem.h"

#include <functional>
#include <string>

namespace papayafield::gateway {

/// Writes the response of one completion request to its caller, either as a server-sent event
/// stream with keep-alive comments or as a single JSON document. Must only be used on the gateway
/// thread.
class ResponseWriter {
public:
  /// Responds to `aExchange` under the request id `aId`. Disconnects a caller that has more than
  /// `aMaxUnsentBytes` of unread response data.
  ResponseWriter(adapters::http::EventLoop& aLoop,
                 adapters::http::ExchangePtr aExchange,
                 base::RequestId aId,
                 size_t aMaxUnsentBytes);

  /// Sets the callback that runs once if the caller disconnects before the response is complete.
  void OnDisconnect(std::function<void()> aCallback);
  /// Returns whether the event stream has been started.
  bool IsStreaming() const { return m_streaming; }

  /// Sends `aEvents`; the first call starts the stream.
  /// \return false if the caller reads too slowly and was disconnected.
  bool Send(const std::string& aEvents);
  /// Ends the stream with the `[DONE]` marker.
  void EndStream();
  /// Ends the stream with a `moved` event that names the node that continues it.
  void EndStreamMovedTo(const base::Address& aNext);
  /// Sends the complete response as JSON. Precondition: the stream has not been started.
  void ReplyComplete(const std::string& aBody);
  /// Redirects the caller to `aLocation` with status 303 or 307. Precondition: the stream has not
  /// been started.
  void Redirect(int aStatus, const std::string& aLocation);
  /// Ends the response with a problem, which is sent as an event if the stream has been started.
  void Fail(const Problem& aProblem);
  /// Aborts the connection without completing the response.
  void AbortConnection();
  /// Stops the keep-alive timer and clears the disconnect callback once the response has ended.
  void Detach();

private:
  void EnsureStreamStarted();
  void SendKeepAlive();

  adapters::http::EventLoop& m_loop;
  adapters::http::ExchangePtr m_exchange;
  base::RequestId m_id;
  size_t m_maxUnsentBytes;
  bool m_streaming = false;
  /// Whether events were sent since the last tick of the keep-alive timer.
  bool m_sentSinceKeepAlive = false;
  adapters::http::EventHandlePtr m_keepAliveTimer;
};

} // namespace papayafield::gateway
