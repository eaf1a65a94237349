#include "gateway/ResponseWriter.h"

namespace papayafield::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
/// Interval of keep-alive comments on an otherwise silent stream.
constexpr base::Millis kKeepAliveInterval{ 1000 };

} // namespace

ResponseWriter::ResponseWriter(adapters::http::EventLoop& aLoop,
                               adapters::http::ExchangePtr aExchange,
                               base::RequestId aId,
                               size_t aMaxUnsentBytes)
  : m_loop(aLoop)
  , m_exchange(std::move(aExchange))
  , m_id(std::move(aId))
  , m_maxUnsentBytes(aMaxUnsentBytes) {}

void ResponseWriter::OnDisconnect(std::function<void()> aCallback) {
  m_exchange->OnDisconnect(std::move(aCallback));
}

void ResponseWriter::EnsureStreamStarted() {
  if (m_streaming) {
    return;
  }
  m_streaming = true;
  m_exchange->StartStream(kOk,
                          { { "Content-Type", "text/event-stream" },
                            { "Cache-Control", "no-cache" },
                            { "X-Request-Id", m_id.Text() } });
  m_keepAliveTimer = m_loop.Every(kKeepAliveInterval, [this] { SendKeepAlive(); });
}

void ResponseWriter::SendKeepAlive() {
  if (!std::exchange(m_sentSinceKeepAlive, false)) {
    m_exchange->SendPart(": alive\n\n");
  }
}

bool ResponseWriter::Send(const std::string& aEvents) {
  EnsureStreamStarted();
  m_sentSinceKeepAlive = true;
  m_exchange->SendPart(aEvents);
  if (m_exchange->UnsentBytes() <= m_maxUnsentBytes) {
    return true;
  }
  // Bounds the memory that a caller can hold that does not read its response.
  AbortConnection();
  return false;
}

void ResponseWriter::EndStream() {
  EnsureStreamStarted();
  m_exchange->SendPart("data: [DONE]\n\n");
  m_exchange->EndStream();
}

void ResponseWriter::EndStreamMovedTo(const base::Address& aNext) {
  m_exchange->SendPart("event: moved\ndata: {\"address\":\"" + aNext.ToText() + "\"}\n\n");
  m_exchange->EndStream();
}

void ResponseWriter::ReplyComplete(const std::string& aBody) {
  m_exchange->Reply(
    kOk, { { "Content-Type", "application/json" }, { "X-Request-Id", m_id.Text() } }, aBody);
}

void ResponseWriter::Redirect(int aStatus, const std::string& aLocation) {
  adapters::http::Headers headers{ { "Location", aLocation } };
  if (aStatus == kTemporaryRedirect) {
    headers.Add("X-Outcome", std::string(base::NameOf(requests::Outcome::NotRun)));
  }
  m_exchange->Reply(aStatus, headers, "");
}

void ResponseWriter::Fail(const Problem& aProblem) {
  if (!m_streaming) {
    Reply(*m_exchange, aProblem);
    return;
  }
  m_exchange->SendPart("event: error\ndata: " + ToJson(aProblem) + "\n\n");
  m_exchange->EndStream();
}

void ResponseWriter::AbortConnection() {
  m_exchange->Abort();
}

void ResponseWriter::Detach() {
  m_keepAliveTimer.reset();
  m_exchange->OnDisconnect(nullptr);
}

} // namespace papayafield::gateway
