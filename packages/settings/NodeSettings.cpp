#include "settings/NodeSettings.h"

#include "settings/TomlTable.h"

namespace papayafield::settings {

namespace {

using base::Millis;

constexpr Millis kMillisecond{ 1 };
constexpr Millis kMinute{ 60000 };
constexpr size_t kMinKeyLength = 16;
constexpr size_t kSha256HexLength = 64;

void ReadNode(TomlTable aTable, NodeSettings& aSettings) {
  aSettings.m_name = base::NodeId(aTable.Text("name", Presence::Required));
  aSettings.m_region = aTable.Text("region", Presence::Required);
  aSettings.m_zone = base::ZoneId(aTable.Text("zone", Presence::Required));
  aSettings.m_callerAddress = aTable.Address("callers", Presence::Required);
  aSettings.m_discoveryLifetime =
    aTable.Duration("discovery_lifetime", Millis(100), kMinute, aSettings.m_discoveryLifetime);
  aSettings.m_timelineCapacity = static_cast<size_t>(aTable.Integer(
    "timeline_events", 100, 1000000, static_cast<int64_t>(aSettings.m_timelineCapacity)));
  aTable.ReportUnknownKeys();
}

void ReadLimits(TomlTable aTable, CallerLimits& aLimits) {
  const auto bytes = [&](const char* aKey, uint64_t aDefault) {
    return static_cast<uint64_t>(
      aTable.Integer(aKey, 1024, 1LL << 30, static_cast<int64_t>(aDefault)));
  };
  aLimits.m_maxBodyBytes = bytes("max_body_bytes", aLimits.m_maxBodyBytes);
  aLimits.m_maxHeaderBytes = bytes("max_header_bytes", aLimits.m_maxHeaderBytes);
  aLimits.m_maxUnsentBytes = bytes("max_unsent_bytes", aLimits.m_maxUnsentBytes);
  aLimits.m_maxConnections = static_cast<size_t>(
    aTable.Integer("max_connections", 1, 1000000, static_cast<int64_t>(aLimits.m_maxConnections)));
  aLimits.m_readTimeout =
    aTable.Duration("read_timeout", Millis(10), kMinute * 10, aLimits.m_readTimeout);
  aTable.ReportUnknownKeys();
}

void ReadEndpoints(TomlTable aTable, EndpointSettings& aSettings) {
  aSettings.m_connectTimeout =
    aTable.Duration("connect_timeout", Millis(10), kMinute, aSettings.m_connectTimeout);
  aSettings.m_streamIdleTimeout =
    aTable.Duration("stream_idle", Millis(50), kMinute, aSettings.m_streamIdleTimeout);
  aSettings.m_loadPollInterval =
    aTable.Duration("load_period", Millis(20), kMinute, aSettings.m_loadPollInterval);
  aTable.ReportUnknownKeys();
}

void ReadFleet(TomlTable aTable, FleetSettings& aSettings) {
  aSettings.m_peerAddress = aTable.Address("peers", Presence::Required);
  aSettings.m_keys = aTable.StringList("keys");
  aSettings.m_operatorKeyDigests = aTable.StringList("operator_key_digests");
  aSettings.m_probePeriod =
    aTable.Duration("probe_period", Millis(20), kMinute, aSettings.m_probePeriod);
  // A short key can be guessed, and a digest of the wrong length never matches.
  if (aSettings.m_keys.empty()) {
    aTable.AddFinding("keys", "'fleet.keys' must hold at least one key");
  }
  for (const std::string& key : aSettings.m_keys) {
    if (key.size() < kMinKeyLength) {
      aTable.AddFinding("keys", "each of 'fleet.keys' must have at least 16 characters");
    }
  }
  for (const std::string& digest : aSettings.m_operatorKeyDigests) {
    if (digest.size() != kSha256HexLength) {
      aTable.AddFinding("operator_key_digests",
                        "each of 'fleet.operator_key_digests' must be a SHA-256 in 64 "
                        "hexadecimal digits");
    }
  }
  aTable.ReportUnknownKeys();
}

void ReadPlatform(TomlTable aTable, PlatformSettings& aSettings) {
  aSettings.m_keyValue = aTable.Address("key_value", Presence::Required);
  aSettings.m_cloud = aTable.Address("cloud", Presence::Required);
  aSettings.m_callTimeout =
    aTable.Duration("call_timeout", Millis(10), kMinute, aSettings.m_callTimeout);
  aSettings.m_hostListPeriod =
    aTable.Duration("host_list_period", Millis(20), kMinute, aSettings.m_hostListPeriod);
  aSettings.m_backstopPeriod =
    aTable.Duration("backstop_period", Millis(100), kMinute * 60, aSettings.m_backstopPeriod);
  aTable.ReportUnknownKeys();
}

void ReadClaims(TomlTable aTable, ClaimSettings& aSettings) {
  aSettings.m_shards = static_cast<uint32_t>(aTable.Integer("shards", 1, 1024, aSettings.m_shards));
  aSettings.m_batchPeriod =
    aTable.Duration("batch_period", kMillisecond, kMinute, aSettings.m_batchPeriod);
  aTable.ReportUnknownKeys();
}

void ReadLog(TomlTable aTable, base::LogSettings& aSettings) {
  aSettings.m_level =
    aTable.OneOf("level", { "trace", "debug", "info", "warn", "error" }, aSettings.m_level);
  aSettings.m_target = aTable.Text("target", Presence::Optional, aSettings.m_target);
  aSettings.m_json = aTable.OneOf("format", { "text", "json" }, "text") == "json";
  aTable.ReportUnknownKeys();
}

} // namespace

tl::expected<NodeSettings, base::Findings> ParseNodeSettings(const std::string& aFile,
                                                             const std::string& aText) {
  TomlDocument document(aFile, aText);
  if (!document.AllFindings().Empty()) {
    return tl::unexpected(document.AllFindings());
  }
  NodeSettings settings;
  TomlTable root = document.Root();
  ReadNode(root.Child("node", Presence::Required), settings);
  ReadLimits(root.Child("limits", Presence::Optional), settings.m_limits);
  ReadEndpoints(root.Child("endpoints", Presence::Optional), settings.m_endpoints);
  ReadFleet(root.Child("fleet", Presence::Required), settings.m_fleet);
  ReadPlatform(root.Child("platform", Presence::Required), settings.m_platform);
  ReadClaims(root.Child("claims", Presence::Optional), settings.m_claims);
  ReadLog(root.Child("log", Presence::Optional), settings.m_log);
  root.ReportUnknownKeys();
  if (!document.AllFindings().Empty()) {
    return tl::unexpected(document.AllFindings());
  }
  return settings;
}

} // namespace papayafield::settings
