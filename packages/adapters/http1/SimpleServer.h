#pragma once

#include "adapters/http1/Listener.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace papayafield::adapters::http1 {

/// A complete response of a SimpleServer.
struct SimpleResponse {
  int m_status = 200;
  /// Content type; empty for a response without a body.
  std::string m_contentType;
  std::string m_body;
};

/// An HTTP server for requests that a handler answers synchronously, such as health checks. Must be
/// used only on the thread of its loop.
class SimpleServer {
public:
  /// Returns the response to a request.
  using Handler = std::function<SimpleResponse(const RequestHead&)>;

  /// Starts listening on `aAddress`.
  SimpleServer(http::EventLoop& aLoop, const base::Address& aAddress, Handler aHandler);

  /// Whether the server listens; false if the address could not be bound.
  bool Listening() const { return m_listener.Listening(); }

private:
  void AddConnection(const std::shared_ptr<ServerConnection>& aConnection);

  Handler m_handler;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
  Listener m_listener;
};

} // namespace papayafield::adapters::http1
