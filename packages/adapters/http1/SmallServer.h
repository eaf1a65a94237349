#pragma once

#include "adapters/http1/Listener.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace papayafield::adapters::http1 {

/// A whole answer of a SmallServer.
struct SmallAnswer {
  int m_status = 200;
  /// Empty for an answer without a body.
  std::string m_contentType;
  std::string m_body;
};

/// Answers requests that need no waiting, such as health checks. Belongs to the thread of its loop.
class SmallServer {
public:
  /// Gives the answer to a request.
  using Handler = std::function<SmallAnswer(const RequestHead&)>;

  /// Serves at `aAddress`.
  SmallServer(http::EventLoop& aLoop, const base::Address& aAddress, Handler aHandler);

  /// Whether the address could be had.
  bool Listening() const { return m_listener.Listening(); }

private:
  void Take(const std::shared_ptr<ServerConnection>& aConnection);

  Handler m_handler;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
  Listener m_listener;
};

} // namespace papayafield::adapters::http1
