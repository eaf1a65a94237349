#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// \file
/// Strongly typed identifiers, so that the compiler rejects one kind in place of another.

namespace papayafield::base {

/// A string identifier of the kind `Tag`.
template<class Tag>
class TextId {
public:
  /// Creates an empty identifier.
  TextId() = default;
  explicit TextId(std::string aText)
    : m_text(std::move(aText)) {}

  /// Returns the identifier as a string, as it is used in messages.
  const std::string& Text() const { return m_text; }
  bool Empty() const { return m_text.empty(); }

  /// Compares the strings.
  auto operator<=>(const TextId&) const = default;

private:
  std::string m_text;
};

/// Identifies a team, which is a client of the system.
using TeamId = TextId<struct TeamTag>;
/// Identifies a deployment or a plain service of the manifest.
using DeploymentId = TextId<struct DeploymentTag>;
/// Identifies an endpoint by the name of its host.
using EndpointId = TextId<struct EndpointTag>;
/// Identifies a node; set in its settings and stable across restarts.
using NodeId = TextId<struct NodeTag>;
/// Identifies an incarnation of a node, i.e. one run of its process; random at each start.
using IncarnationId = TextId<struct IncarnationTag>;
/// Identifies a client request at the node that accepted it.
using RequestId = TextId<struct RequestTag>;
/// Identifies an availability zone.
using ZoneId = TextId<struct ZoneTag>;

/// A network address.
struct Address {
  /// IP address in dotted form.
  std::string m_host;
  uint16_t m_port = 0;

  /// Compares by host, then by port.
  auto operator<=>(const Address&) const = default;
  /// Formats the address as `host:port`.
  std::string ToText() const { return m_host + ":" + std::to_string(m_port); }
  /// Parses `host:port`. Returns an address with port 0 if the text is malformed.
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

/// Hashes the string, for unordered containers.
template<class Tag>
struct std::hash<papayafield::base::TextId<Tag>> {
  size_t operator()(const papayafield::base::TextId<Tag>& aId) const noexcept {
    return std::hash<std::string>{}(aId.Text());
  }
};
