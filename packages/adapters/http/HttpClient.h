#pragma once

#include "adapters/http/EventLoop.h"
#include "adapters/http/HttpTypes.h"

#include <functional>
#include <memory>
#include <tl/expected.hpp>
#include <unordered_set>

namespace papayafield::adapters::http {

/// What a transfer tells its owner. Exactly one of m_onEnd and m_onFault is called, once, and
/// nothing after it.
struct TransferEvents {
  /// Status and header lines have come.
  std::function<void(int aStatus, const Headers& aHeaders)> m_onHead;
  /// A part of the body has come.
  std::function<void(std::string_view aPart)> m_onData;
  /// The answer has ended as its framing says.
  std::function<void()> m_onEnd;
  /// The transfer failed.
  std::function<void(TransferFault aFault)> m_onFault;
};

class Transfer;

/// Sends HTTP requests with evhttp, each over a connection of its own, and never sends one twice.
/// Belongs to the thread of its loop.
class HttpClient {
public:
  /// A client on `aLoop`, which must outlive it.
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  HttpClient(HttpClient&&) = delete;
  HttpClient& operator=(HttpClient&&) = delete;

  /// Starts a transfer. No callback runs before Start has returned. The handle may be dropped; the
  /// transfer goes on.
  std::weak_ptr<Transfer> Start(HttpRequest aRequest, TransferEvents aEvents);

  /// Starts a transfer and hands over the whole answer, or the fault.
  std::weak_ptr<Transfer> Fetch(
    HttpRequest aRequest,
    const std::function<void(tl::expected<HttpAnswer, TransferFault>)>& aOnResult);

private:
  friend class Transfer;

  EventLoop& m_loop;
  std::unordered_set<std::shared_ptr<Transfer>> m_transfers;
};

/// Ends the transfer behind `aHandle`, if it still runs; none of its callbacks is called any more.
void CancelTransfer(const std::weak_ptr<Transfer>& aHandle);

} // namespace papayafield::adapters::http
