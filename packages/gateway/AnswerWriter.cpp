#include "gateway/AnswerWriter.h"

namespace papayafield::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
/// Time between two signs of life to a caller.
constexpr base::Millis kBeat{ 1000 };

} // namespace

AnswerWriter::AnswerWriter(adapters::http::EventLoop& aLoop,
                           adapters::http::ExchangePtr aExchange,
                           base::RequestId aId,
                           size_t aMaxUnsentBytes)
  : m_loop(aLoop)
  , m_exchange(std::move(aExchange))
  , m_id(std::move(aId))
  , m_maxUnsentBytes(aMaxUnsentBytes) {}

void AnswerWriter::OnDisconnect(std::function<void()> aCallback) {
  m_exchange->OnDisconnect(std::move(aCallback));
}

void AnswerWriter::Begin() {
  if (m_streaming) {
    return;
  }
  m_streaming = true;
  m_exchange->StartStream(kOk,
                          { { "Content-Type", "text/event-stream" },
                            { "Cache-Control", "no-cache" },
                            { "X-Request-Id", m_id.Text() } });
  m_beatTimer = m_loop.Every(kBeat, [this] { Beat(); });
}

void AnswerWriter::Beat() {
  if (!std::exchange(m_sent, false)) {
    m_exchange->SendPart(": alive\n\n");
  }
}

bool AnswerWriter::Send(const std::string& aEvents) {
  Begin();
  m_sent = true;
  m_exchange->SendPart(aEvents);
  if (m_exchange->UnsentBytes() <= m_maxUnsentBytes) {
    return true;
  }
  // One that does not read must not fill the memory.
  HangUp();
  return false;
}

void AnswerWriter::EndStream() {
  Begin();
  m_exchange->SendPart("data: [DONE]\n\n");
  m_exchange->EndStream();
}

void AnswerWriter::EndStreamAt(const base::Address& aNext) {
  m_exchange->SendPart("event: moved\ndata: {\"address\":\"" + aNext.ToText() + "\"}\n\n");
  m_exchange->EndStream();
}

void AnswerWriter::ReplyWhole(const std::string& aBody) {
  m_exchange->Reply(
    kOk, { { "Content-Type", "application/json" }, { "X-Request-Id", m_id.Text() } }, aBody);
}

void AnswerWriter::Redirect(int aStatus, const std::string& aLocation) {
  adapters::http::Headers headers{ { "Location", aLocation } };
  if (aStatus == kTemporaryRedirect) {
    headers.Add("X-Outcome", std::string(base::NameOf(requests::Outcome::NotRun)));
  }
  m_exchange->Reply(aStatus, headers, "");
}

void AnswerWriter::Fail(const Problem& aProblem) {
  if (!m_streaming) {
    Reply(*m_exchange, aProblem);
    return;
  }
  m_exchange->SendPart("event: error\ndata: " + ToJson(aProblem) + "\n\n");
  m_exchange->EndStream();
}

void AnswerWriter::HangUp() {
  m_exchange->Abort();
}

void AnswerWriter::Release() {
  m_beatTimer.reset();
  m_exchange->OnDisconnect(nullptr);
}

} // namespace papayafield::gateway
