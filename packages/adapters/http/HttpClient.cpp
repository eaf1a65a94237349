#include "adapters/http/HttpClient.h"

#include "adapters/http/Transfer.h"

namespace papayafield::adapters::http {

HttpClient::HttpClient(EventLoop& aLoop)
  : m_loop(aLoop) {}

HttpClient::~HttpClient() = default;

std::weak_ptr<Transfer> HttpClient::Start(HttpRequest aRequest, TransferEvents aEvents) {
  auto transfer = std::make_shared<Transfer>(*this, std::move(aRequest), std::move(aEvents));
  m_transfers.insert(transfer);
  m_loop.Defer([transfer] { transfer->Begin(); });
  return transfer;
}

std::weak_ptr<Transfer> HttpClient::Fetch(
  HttpRequest aRequest,
  const std::function<void(tl::expected<HttpResponse, TransferFault>)>& aOnResult) {
  auto answer = std::make_shared<HttpResponse>();
  TransferEvents events;
  events.m_onHead = [answer](int aStatus, const Headers& aHeaders) {
    answer->m_status = aStatus;
    answer->m_headers = aHeaders;
  };
  events.m_onData = [answer](std::string_view aPart) { answer->m_body += aPart; };
  events.m_onEnd = [answer, aOnResult] { aOnResult(std::move(*answer)); };
  events.m_onFault = [aOnResult](TransferFault aFault) { aOnResult(tl::unexpected(aFault)); };
  return Start(std::move(aRequest), std::move(events));
}

void CancelTransfer(const std::weak_ptr<Transfer>& aHandle) {
  if (const auto transfer = aHandle.lock()) {
    transfer->Cancel();
  }
}

} // namespace papayafield::adapters::http
