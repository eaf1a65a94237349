#pragma once

#include "base/Findings.h"
#include "base/Ids.h"
#include "base/Log.h"
#include "base/Time.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace papayafield::settings {

/// Limits for client connections and requests.
struct CallerLimits {
  /// Maximum size of a request body.
  uint64_t m_maxBodyBytes = 4ULL << 20;
  /// Maximum total size of the headers.
  uint64_t m_maxHeaderBytes = 32ULL << 10;
  /// Maximum number of concurrent client connections.
  size_t m_maxConnections = 10000;
  /// Timeout for receiving a complete request.
  base::Millis m_readTimeout{ 30000 };
  /// Maximum number of bytes buffered for a slow client before its response is aborted.
  size_t m_maxUnsentBytes = 1ULL << 20;
};

/// Settings of connections to endpoints.
struct EndpointSettings {
  /// Timeout for connecting.
  base::Millis m_connectTimeout{ 1000 };
  /// Idle timeout of an engine's response stream.
  base::Millis m_streamIdleTimeout{ 2000 };
  /// Interval between polls of an endpoint's load.
  base::Millis m_loadPollInterval{ 250 };
};

/// Settings of the communication between nodes.
struct FleetSettings {
  /// Address for other nodes, over UDP and TCP.
  base::Address m_peerAddress;
  /// Shared keys. The first signs and all verify, so that keys can be rotated without downtime.
  std::vector<std::string> m_keys;
  /// SHA-256 digests of the operators' keys, in hexadecimal digits.
  std::vector<std::string> m_operatorKeyDigests;
  /// Interval between membership probes.
  base::Millis m_probePeriod{ 500 };
};

/// Settings of the connection to the platform.
struct PlatformSettings {
  /// Address of the key-value store.
  base::Address m_keyValue;
  /// Address of the cloud API that lists the hosts.
  base::Address m_cloud;
  /// Timeout of a platform call.
  base::Millis m_callTimeout{ 1000 };
  /// Interval at which a node that watches the store reads the host list.
  base::Millis m_hostListPeriod{ 500 };
  /// Interval at which a node that does not watch the store reads the platform, as a fallback.
  base::Millis m_backstopPeriod{ 60000 };
};

/// Settings for claims of idempotency keys.
struct ClaimSettings {
  /// Number of shards; must be the same on all nodes.
  uint32_t m_shards = 4;
  /// Time for which claims are collected before they are written as a batch.
  base::Millis m_batchPeriod{ 25 };
};

/// The settings of a node, read from its TOML file.
struct NodeSettings {
  /// Name of the node; stable across restarts.
  base::NodeId m_name;
  std::string m_region;
  /// Availability zone of the node.
  base::ZoneId m_zone;
  /// Address for clients and operators.
  base::Address m_callerAddress;
  /// Time for which clients may cache a discovery response.
  base::Millis m_discoveryLifetime{ 5000 };
  /// Number of events stored in the timeline.
  size_t m_timelineCapacity = 20000;
  CallerLimits m_limits;
  EndpointSettings m_endpoints;
  FleetSettings m_fleet;
  PlatformSettings m_platform;
  ClaimSettings m_claims;
  base::LogSettings m_log;
};

/// Parses and validates settings. Returns all findings if there are any. Thread safe.
tl::expected<NodeSettings, base::Findings> ParseNodeSettings(const std::string& aFile,
                                                             const std::string& aText);

} // namespace papayafield::settings
