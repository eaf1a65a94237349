#pragma once

#include "adapters/http1/Listener.h"
#include "adapters/http1/Tunnel.h"
#include "base/EnumNames.h"
#include "forwarding/NodeState.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace papayafield::forwarding {

/// Why a relay refuses a connection.
enum class RelayRefusal {
  /// The node is cut off from the endpoints itself, or may be.
  Isolated,
  /// The node is stopping.
  Stopping,
  /// The node relays as many connections as it may.
  Full,
  /// No such endpoint is registered, or its registration is another one.
  Unknown,
  /// The endpoint leaves, or has asked this node for a pause.
  Unavailable,
};

struct EndpointRelaySettings {
  /// Maximum number of relayed connections. This node's own callers come first.
  size_t m_maxConnections = 256;
  /// Time without bytes in either direction after which a connection of which one side has ended is
  /// reset; it may take up to twice as long.
  base::Millis m_maxLinger{ 5000 };
};

/// Leads connections of nodes that are cut off from the endpoints to the endpoints. The requests
/// and answers on them belong to the other nodes and are passed on as they are; what an endpoint
/// states about itself in an answer is applied at this node too, because the endpoint has stated it
/// to this host. Belongs to the event loop's thread.
class EndpointRelay {
public:
  /// Accepts connections on `aAddress`. `aNode` must outlive the object.
  EndpointRelay(NodeState& aNode, const base::Address& aAddress, EndpointRelaySettings aSettings);

  ~EndpointRelay();
  EndpointRelay(const EndpointRelay&) = delete;
  EndpointRelay& operator=(const EndpointRelay&) = delete;
  EndpointRelay(EndpointRelay&&) = delete;
  EndpointRelay& operator=(EndpointRelay&&) = delete;

  /// Returns whether the address could be bound.
  bool Listening() const { return m_listener.Listening(); }
  /// Refuses further connections.
  void BeginDrain() { m_isStopping = true; }
  /// Returns whether other nodes may ask for connections.
  bool IsAvailable() const;
  /// Returns the number of relayed connections.
  size_t Count() const { return m_connections.size(); }

private:
  struct Connection;

  void Accept(int aFd);
  tl::expected<base::Address, adapters::http1::TunnelRefusal> OnRequest(Connection& aConnection,
                                                                        std::string_view aTarget);
  std::optional<RelayRefusal> FindRefusal(const fleet::Incarnation& aIncarnation) const;
  std::optional<std::string> OnConnected(const Connection& aConnection, bool aIsConnected);
  bool OnBytes(Connection& aConnection, std::string_view aBytes);

  NodeState& m_node;
  const EndpointRelaySettings m_settings;
  const base::Log m_log{ "relay" };
  uint64_t m_lastConnection = 0;
  std::map<uint64_t, std::unique_ptr<Connection>> m_connections;
  bool m_isStopping = false;
  adapters::http1::SocketListener m_listener;
};

} // namespace papayafield::forwarding

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<forwarding::RelayRefusal> =
  std::to_array<EnumName<forwarding::RelayRefusal>>({
    { forwarding::RelayRefusal::Isolated, "isolated" },
    { forwarding::RelayRefusal::Stopping, "stopping" },
    { forwarding::RelayRefusal::Full, "full" },
    { forwarding::RelayRefusal::Unknown, "unknown" },
    { forwarding::RelayRefusal::Unavailable, "unavailable" },
  });

} // namespace papayafield::base
