#pragma once

#include "base/Findings.h"
#include "base/Ids.h"
#include "base/Log.h"
#include "base/Time.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace papayafield::settings {

/// Bounds on what callers may send and hold.
struct CallerLimits {
  /// Largest body, in bytes.
  uint64_t m_maxBodyBytes = 4ULL << 20;
  /// Largest sum of header bytes.
  uint64_t m_maxHeaderBytes = 32ULL << 10;
  /// Most caller connections at once.
  size_t m_maxConnections = 10000;
  /// How long a caller may take to send its request.
  base::Millis m_readTimeout{ 30000 };
  /// Most bytes that may wait for a slow caller before its answer is cut.
  size_t m_maxUnsentBytes = 1ULL << 20;
};

/// How this node talks with endpoints.
struct EndpointSettings {
  /// How long connecting may take.
  base::Millis m_connectTimeout{ 1000 };
  /// How long an engine's stream may stay silent.
  base::Millis m_streamIdle{ 2000 };
  /// How often each endpoint's load is asked for.
  base::Millis m_loadPeriod{ 250 };
};

/// How this node talks with other nodes.
struct FleetSettings {
  /// Where other nodes reach this one, by UDP and TCP.
  base::Address m_peerAddress;
  /// Shared keys; the first signs, all verify, so that a key can be changed without a gap.
  std::vector<std::string> m_keys;
  /// SHA-256 of the operators' keys, in hexadecimal digits.
  std::vector<std::string> m_operatorKeyDigests;
  /// Time between two probes.
  base::Millis m_probePeriod{ 500 };
};

/// Where the platform is.
struct PlatformSettings {
  /// The key-value service.
  base::Address m_keyValue;
  /// The cloud's host list.
  base::Address m_cloud;
  /// How long a platform call may take.
  base::Millis m_callTimeout{ 1000 };
  /// How often a watching node reads the host list.
  base::Millis m_hostListPeriod{ 500 };
  /// How often a node that does not watch reads the platform as a backstop.
  base::Millis m_backstopPeriod{ 60000 };
};

/// How claims of idempotency keys are written.
struct ClaimSettings {
  /// Number of shards; the same at all nodes.
  uint32_t m_shards = 4;
  /// How long claims gather before they are written together.
  base::Millis m_batchPeriod{ 25 };
};

/// All settings of one node, from its TOML file.
struct NodeSettings {
  /// Name of the node; the same over restarts.
  base::NodeId m_name;
  /// Its region.
  std::string m_region;
  /// Its availability zone.
  base::ZoneId m_zone;
  /// Where callers and operators reach it.
  base::Address m_callerAddress;
  /// How long callers may keep a discovery answer.
  base::Millis m_discoveryLifetime{ 5000 };
  /// Events kept for the time line.
  size_t m_timelineCapacity = 20000;
  CallerLimits m_limits;
  EndpointSettings m_endpoints;
  FleetSettings m_fleet;
  PlatformSettings m_platform;
  ClaimSettings m_claims;
  base::LogSettings m_log;
};

/// Reads and checks settings. All findings come together. Thread safe.
tl::expected<NodeSettings, base::Findings> ParseNodeSettings(const std::string& aFile,
                                                             const std::string& aText);

} // namespace papayafield::settings
