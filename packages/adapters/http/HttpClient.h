#pragma once

#include "adapters/http/EventLoop.h"
#include "adapters/http/HttpTypes.h"
#include "base/BufferBudget.h"

#include <functional>
#include <memory>
#include <tl/expected.hpp>
#include <unordered_set>

namespace papayafield::adapters::http {

/// Callbacks of a transfer. Exactly one of m_onEnd and m_onFault is called, exactly once, and no
/// other callback follows it.
struct TransferEvents {
  /// Called when the status and the header lines have been received.
  std::function<void(int aStatus, const Headers& aHeaders)> m_onHead;
  /// Called when a part of the body has been received.
  std::function<void(std::string_view aPart)> m_onData;
  /// Called when the response is complete according to its framing.
  std::function<void()> m_onEnd;
  /// Called when the transfer has failed.
  std::function<void(TransferFault aFault)> m_onFault;
};

class Transfer;

/// Sends HTTP requests with evhttp, each on a connection of its own, and never sends a request
/// twice. Must be used only on the thread of its loop.
class HttpClient {
public:
  /// Creates a client on `aLoop`, which must outlive it.
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  HttpClient(HttpClient&&) = delete;
  HttpClient& operator=(HttpClient&&) = delete;

  /// Starts a transfer. No callback is called before Start has returned. Dropping the returned
  /// handle does not stop the transfer.
  std::weak_ptr<Transfer> Start(HttpRequest aRequest, TransferEvents aEvents);

  /// Starts a transfer and calls `aOnResult` with the complete response or the fault. All responses
  /// together are limited in size; one of the service that has sent the most fails then.
  std::weak_ptr<Transfer> Fetch(
    HttpRequest aRequest,
    const std::function<void(tl::expected<HttpResponse, TransferFault>)>& aOnResult);

private:
  friend class Transfer;

  EventLoop& m_loop;
  /// Bodies that Fetch holds until they are complete.
  base::BufferBudget m_buffers{ base::BufferBudgetSettings{} };
  std::unordered_set<std::shared_ptr<Transfer>> m_transfers;
};

/// Cancels the transfer of `aHandle` if it is still active. None of its callbacks is called
/// afterwards.
void CancelTransfer(const std::weak_ptr<Transfer>& aHandle);

} // namespace papayafield::adapters::http
