#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// \file
/// Small value types for identifiers, so that one kind cannot stand in for another.

namespace papayafield::base {

/// A text identifier of the kind `Tag`.
template<class Tag>
class TextId {
public:
  /// An empty identifier, which names nothing.
  TextId() = default;
  /// An identifier with the text `aText`.
  explicit TextId(std::string aText)
    : m_text(std::move(aText)) {}

  /// The text as it stands in messages.
  const std::string& Text() const { return m_text; }
  /// Whether it names nothing.
  bool Empty() const { return m_text.empty(); }

  /// Ordered by text.
  auto operator<=>(const TextId&) const = default;

private:
  std::string m_text;
};

/// Names a team (a caller of the system).
using TeamId = TextId<struct TeamTag>;
/// Names a deployment or a plain service of the manifest.
using DeploymentId = TextId<struct DeploymentTag>;
/// Names an endpoint by its host's name.
using EndpointId = TextId<struct EndpointTag>;
/// Names a node by its settings; the same over restarts.
using NodeId = TextId<struct NodeTag>;
/// Names one life of a node's process; random at each start.
using IncarnationId = TextId<struct IncarnationTag>;
/// Names one request of a caller at the node that took it.
using RequestId = TextId<struct RequestTag>;
/// Names an availability zone.
using ZoneId = TextId<struct ZoneTag>;

/// An address to connect to.
struct Address {
  /// IP number.
  std::string m_host;
  /// Port.
  uint16_t m_port = 0;

  /// Ordered by host, then port.
  auto operator<=>(const Address&) const = default;
  /// `host:port`.
  std::string ToText() const { return m_host + ":" + std::to_string(m_port); }
  /// Reads `host:port`; an address with port 0 when it is malformed.
  static Address Parse(const std::string& aText) {
    const auto colon = aText.rfind(':');
    if (colon == std::string::npos || colon + 1 >= aText.size() || aText.size() - colon > 6) {
      return {};
    }
    unsigned port = 0;
    for (size_t i = colon + 1; i < aText.size(); ++i) {
      if (aText[i] < '0' || aText[i] > '9') {
        return {};
      }
      port = port * 10 + static_cast<unsigned>(aText[i] - '0');
    }
    if (port > 65535) {
      return {};
    }
    return { aText.substr(0, colon), static_cast<uint16_t>(port) };
  }
};

} // namespace papayafield::base

/// Hash by text, for unordered containers.
template<class Tag>
struct std::hash<papayafield::base::TextId<Tag>> {
  size_t operator()(const papayafield::base::TextId<Tag>& aId) const noexcept {
    return std::hash<std::string>{}(aId.Text());
  }
};
