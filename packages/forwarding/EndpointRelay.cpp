#include "forwarding/EndpointRelay.h"

#include "forwarding/AnswerHeadReader.h"
#include "forwarding/RelayTarget.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <utility>

namespace papayafield::forwarding {

namespace {

/// Connections that are only there to be refused, above the maximum.
constexpr size_t kMaxRefusing = 32;

} // namespace

struct EndpointRelay::Connection {
  fleet::Incarnation m_endpoint;
  AnswerHeadReader m_answer;
  /// Whether the endpoint has sent anything.
  bool m_hasBytes = false;
  std::unique_ptr<adapters::http1::Tunnel> m_tunnel;
};

EndpointRelay::EndpointRelay(NodeState& aNode,
                             const base::Address& aAddress,
                             EndpointRelaySettings aSettings)
  : m_node(aNode)
  , m_settings(aSettings)
  , m_listener(aNode.m_loop, aAddress, [this](int aFd) { Accept(aFd); }) {}

EndpointRelay::~EndpointRelay() = default;

bool EndpointRelay::IsAvailable() const {
  return Listening() && !m_isStopping && !m_node.m_reach.MayBeIsolated();
}

void EndpointRelay::Accept(int aFd) {
  if (m_connections.size() >= m_settings.m_maxConnections + kMaxRefusing) {
    close(aFd);
    return;
  }
  const uint64_t id = ++m_lastConnection;
  auto& connection = *(m_connections[id] = std::make_unique<Connection>());
  adapters::http1::TunnelEvents events;
  events.m_onRequest = [this, &connection](std::string_view aTarget) {
    return OnRequest(connection, aTarget);
  };
  events.m_onConnected = [this, &connection](bool aIsConnected) {
    return OnConnected(connection, aIsConnected);
  };
  events.m_onBytes = [this, &connection](std::string_view aBytes) {
    return OnBytes(connection, aBytes);
  };
  events.m_isTargetReachable = [this] { return !m_node.m_reachMonitor.IsSilent(); };
  events.m_onEnd = [this, id] { m_connections.erase(id); };
  connection.m_tunnel = std::make_unique<adapters::http1::Tunnel>(
    m_node.m_loop, aFd, kUnacknowledgedTimeout, m_settings.m_maxLinger, std::move(events));
}

std::optional<RelayRefusal> EndpointRelay::FindRefusal(
  const fleet::Incarnation& aIncarnation) const {
  if (m_node.m_reach.MayBeIsolated()) {
    return RelayRefusal::Isolated;
  }
  if (m_isStopping) {
    return RelayRefusal::Stopping;
  }
  if (m_connections.size() > m_settings.m_maxConnections) {
    return RelayRefusal::Full;
  }
  const auto& known = m_node.m_directory.All();
  const auto found = known.find(aIncarnation.m_endpoint);
  if (found == known.end() || found->second.m_incarnation != aIncarnation) {
    return RelayRefusal::Unknown;
  }
  if (found->second.m_draining ||
      m_node.m_availability.Check(aIncarnation, base::BootNow()).has_value()) {
    return RelayRefusal::Unavailable;
  }
  return std::nullopt;
}

tl::expected<base::Address, adapters::http1::TunnelRefusal> EndpointRelay::OnRequest(
  Connection& aConnection,
  std::string_view aTarget) {
  aConnection.m_endpoint = ParseRelayTarget(aTarget).value_or(fleet::Incarnation{});
  const auto refusal = FindRefusal(aConnection.m_endpoint);
  const std::string& id = aConnection.m_endpoint.m_endpoint.Text();
  if (refusal) {
    const std::string reason(base::NameOf(*refusal));
    m_node.m_metrics.Count("relay_refused_" + reason);
    m_log.Event("relayed connection refused",
                { { "endpoint", id }, { "why", reason }, { "open", m_connections.size() } });
    const bool isTarget = refusal == RelayRefusal::Unknown || refusal == RelayRefusal::Unavailable;
    return tl::unexpected(adapters::http1::TunnelRefusal{ isTarget, reason });
  }
  m_node.m_metrics.Count("relay_accepted");
  return m_node.m_directory.All().at(aConnection.m_endpoint.m_endpoint).m_address;
}

/// Returns the reason of a refusal if it is rather this node that does not reach the endpoint.
std::optional<std::string> EndpointRelay::OnConnected(const Connection& aConnection,
                                                      bool aIsConnected) {
  const base::EndpointId& endpoint = aConnection.m_endpoint.m_endpoint;
  m_log.Event(aIsConnected ? "relayed connection opened" : "relayed connection failed",
              { { "endpoint", endpoint.Text() }, { "open", m_connections.size() } });
  if (aIsConnected) {
    return std::nullopt;
  }
  m_node.m_metrics.Count("relay_connect_failed");
  m_node.m_reachMonitor.OnConnectFailed(endpoint);
  return m_node.m_reach.MayBeIsolated()
           ? std::optional(std::string(base::NameOf(RelayRefusal::Isolated)))
           : std::nullopt;
}

/// Applies what the endpoint states about itself. Returns whether the head of the answer is still
/// to come.
bool EndpointRelay::OnBytes(Connection& aConnection, std::string_view aBytes) {
  if (!std::exchange(aConnection.m_hasBytes, true)) {
    m_node.m_reachMonitor.OnConnected(aConnection.m_endpoint.m_endpoint);
  }
  if (const auto head = aConnection.m_answer.Feed(aBytes)) {
    const auto& known = m_node.m_directory.All();
    const auto found = known.find(aConnection.m_endpoint.m_endpoint);
    if (found != known.end() && found->second.m_incarnation == aConnection.m_endpoint) {
      m_node.m_signals.OnAnswer(found->second, m_node.m_wire.m_decodeAnswer(*head), "relayed", {});
    }
  }
  return !aConnection.m_answer.IsDone();
}

} // namespace papayafield::forwarding
