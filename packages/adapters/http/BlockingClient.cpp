#include "adapters/http/BlockingClient.h"

namespace papayafield::adapters::http {

tl::expected<HttpResponse, TransferFault> FetchBlocking(HttpRequest aRequest) {
  return StreamBlocking(std::move(aRequest), [](std::string_view) { return true; });
}

tl::expected<HttpResponse, TransferFault> StreamBlocking(
  HttpRequest aRequest,
  const std::function<bool(std::string_view aPart)>& aOnPart) {
  EventLoop loop;
  HttpClient client(loop);
  HttpResponse answer;
  tl::expected<HttpResponse, TransferFault> result =
    tl::unexpected(TransferFault::ResponseTimedOut);
  std::weak_ptr<Transfer> handle;
  TransferEvents events;
  events.m_onHead = [&](int aStatus, const Headers& aHeaders) {
    answer.m_status = aStatus;
    answer.m_headers = aHeaders;
  };
  events.m_onData = [&](std::string_view aPart) {
    answer.m_body += aPart;
    if (!aOnPart(aPart)) {
      CancelTransfer(handle);
      result = std::move(answer);
      loop.Stop();
    }
  };
  events.m_onEnd = [&] {
    result = std::move(answer);
    loop.Stop();
  };
  events.m_onFault = [&](TransferFault aFault) {
    result = tl::unexpected(aFault);
    loop.Stop();
  };
  handle = client.Start(std::move(aRequest), std::move(events));
  loop.Run();
  return result;
}

} // namespace papayafield::adapters::http
