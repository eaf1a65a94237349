#include "serving/VersionRecord.h"

#include "base/Json.h"

#include <algorithm>
#include <utility>

namespace papayafield::serving {

namespace {

constexpr const char* kVersionsKey = "versions";
constexpr const char* kLifetimeKey = "stream_lifetime_ms";
/// Longest lifetime that is read; limits what a damaged record can do.
constexpr int64_t kMaxLifetimeMs = 24LL * 3600 * 1000;

fleet::VersionHistory::Versions ReadVersions(const nlohmann::json& aServices) {
  fleet::VersionHistory::Versions versions;
  for (const auto& [service, names] : aServices.items()) {
    for (const nlohmann::json& name : names) {
      if (name.is_string()) {
        versions[fleet::ServiceId(service)].insert(name.get<std::string>());
      }
    }
  }
  return versions;
}

} // namespace

std::string EncodeVersionRecord(const VersionRecord& aRecord) {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [service, versions] : aRecord.m_versions) {
    services[service.Text()] = versions;
  }
  // Earlier releases read the services at the top level, and nothing else.
  nlohmann::json record = services;
  record[kVersionsKey] = std::move(services);
  record[kLifetimeKey] = aRecord.m_streamLifetime.count();
  return base::DumpJson(record);
}

VersionRecord DecodeVersionRecord(const std::string& aData) {
  VersionRecord record;
  const nlohmann::json json = base::ParseJson(aData);
  if (!json.is_object()) {
    return record;
  }
  const auto versions = json.find(kVersionsKey);
  if (versions == json.end() || !versions->is_object()) {
    record.m_versions = ReadVersions(json);
    return record;
  }
  record.m_versions = ReadVersions(*versions);
  if (const auto lifetime = json.find(kLifetimeKey);
      lifetime != json.end() && lifetime->is_number_integer()) {
    record.m_streamLifetime =
      base::Millis(std::clamp<int64_t>(lifetime->get<int64_t>(), 0, kMaxLifetimeMs));
  }
  return record;
}

} // namespace papayafield::serving
