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
  /// A response and the claim for its body.
  struct Answer {
    HttpResponse m_response;
    std::optional<base::BufferBudget::Claim> m_claim;
    std::weak_ptr<Transfer> m_transfer;
  };
  auto answer = std::make_shared<Answer>();
  answer->m_claim.emplace(
    m_buffers.Open({ aRequest.m_to.ToText(), false, [weak = std::weak_ptr(answer), aOnResult] {
                      if (const auto dropped = weak.lock()) {
                        dropped->m_response.m_body = {};
                        CancelTransfer(dropped->m_transfer);
                        aOnResult(tl::unexpected(TransferFault::AnswerTooLarge));
                      }
                    } }));
  TransferEvents events;
  events.m_onHead = [answer](int aStatus, const Headers& aHeaders) {
    answer->m_response.m_status = aStatus;
    answer->m_response.m_headers = aHeaders;
  };
  events.m_onData = [answer](std::string_view aPart) {
    std::string& body = answer->m_response.m_body;
    if (answer->m_claim->Resize(body.size() + aPart.size())) {
      body += aPart;
    }
  };
  events.m_onEnd = [answer, aOnResult] { aOnResult(std::move(answer->m_response)); };
  events.m_onFault = [aOnResult](TransferFault aFault) { aOnResult(tl::unexpected(aFault)); };
  answer->m_transfer = Start(std::move(aRequest), std::move(events));
  return answer->m_transfer;
}

void CancelTransfer(const std::weak_ptr<Transfer>& aHandle) {
  if (const auto transfer = aHandle.lock()) {
    transfer->Cancel();
  }
}

} // namespace papayafield::adapters::http
