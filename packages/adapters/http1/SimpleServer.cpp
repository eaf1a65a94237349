#include "adapters/http1/SimpleServer.h"

namespace papayafield::adapters::http1 {

namespace {

constexpr size_t kMaxHeadBytes = 16384;
/// Maximum number of open connections; further ones are closed when they are accepted.
constexpr size_t kMaxConnections = 256;

std::string SerializeResponse(const SimpleResponse& aAnswer, bool aKeepAlive) {
  ResponseHead head;
  head.m_status = aAnswer.m_status;
  head.m_fields.Add("Content-Length", std::to_string(aAnswer.m_body.size()));
  if (!aAnswer.m_contentType.empty()) {
    head.m_fields.Add("Content-Type", aAnswer.m_contentType);
  }
  if (!aKeepAlive) {
    head.m_fields.Add("Connection", "close");
  }
  return Serialize(head) + aAnswer.m_body;
}

} // namespace

SimpleServer::SimpleServer(http::EventLoop& aLoop, const base::Address& aAddress, Handler aHandler)
  : m_handler(std::move(aHandler))
  , m_listener(aLoop, aAddress, kMaxHeadBytes, [this](auto aConnection) {
    AddConnection(aConnection);
  }) {}

void SimpleServer::AddConnection(const std::shared_ptr<ServerConnection>& aConnection) {
  if (m_connections.size() >= kMaxConnections) {
    aConnection->Close();
    return;
  }
  m_connections.insert(aConnection);
  const std::weak_ptr<ServerConnection> weak = aConnection;
  auto head = std::make_shared<RequestHead>();
  ServerConnection::Events events;
  events.m_onHead = [head](RequestHead&& aHead) { *head = std::move(aHead); };
  events.m_onComplete = [this, weak, head] {
    const auto connection = weak.lock();
    if (!connection) {
      return;
    }
    connection->Write(SerializeResponse(m_handler(*head), connection->ShouldKeepAlive()));
    if (connection->ShouldKeepAlive()) {
      connection->Resume();
    } else {
      m_connections.erase(connection);
      connection->CloseWhenFlushed();
    }
  };
  events.m_onEnd = [this, weak](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (const auto connection = weak.lock()) {
      m_connections.erase(connection);
      connection->Close();
    }
  };
  aConnection->SetEvents(std::move(events));
}

} // namespace papayafield::adapters::http1
