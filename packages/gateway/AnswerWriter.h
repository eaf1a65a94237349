#pragma once

#include "adapters/http/HttpServer.h"
#include "base/Ids.h"
#include "gateway/Problem.h"

#include <functional>
#include <string>

namespace papayafield::gateway {

/// The caller's side of one completion: a stream of events with signs of life, or a whole answer.
/// Belongs to the gateway's thread.
class AnswerWriter {
public:
  /// Answers `aExchange` as the request `aId`; a caller with more than `aMaxUnsentBytes` waiting
  /// for it is let go.
  AnswerWriter(adapters::http::EventLoop& aLoop,
               adapters::http::ExchangePtr aExchange,
               base::RequestId aId,
               size_t aMaxUnsentBytes);

  /// Calls back once if the caller goes before the answer has ended.
  void OnDisconnect(std::function<void()> aCallback);
  /// Whether a stream has begun.
  bool Streaming() const { return m_streaming; }

  /// Sends events, and begins the stream with the first.
  /// \return false when the caller reads too slowly and was let go.
  bool Send(const std::string& aEvents);
  /// Ends a stream with its end mark.
  void EndStream();
  /// Ends a stream with the address of the node that goes on with it.
  void EndStreamAt(const base::Address& aNext);
  /// Gives a whole answer as JSON. Precondition: no stream has begun.
  void ReplyWhole(const std::string& aBody);
  /// Redirects the caller to `aLocation` with status 303 or 307. Precondition: no stream has begun.
  void Redirect(int aStatus, const std::string& aLocation);
  /// Ends with a problem, as an event if a stream has begun.
  void Fail(const Problem& aProblem);
  /// Closes the connection without a proper end.
  void HangUp();
  /// Lets go of the caller once the answer has ended.
  void Release();

private:
  void Begin();
  void Beat();

  adapters::http::EventLoop& m_loop;
  adapters::http::ExchangePtr m_exchange;
  base::RequestId m_id;
  size_t m_maxUnsentBytes;
  bool m_streaming = false;
  /// Whether anything was sent since the last beat.
  bool m_sent = false;
  adapters::http::EventHandlePtr m_beatTimer;
};

} // namespace papayafield::gateway
