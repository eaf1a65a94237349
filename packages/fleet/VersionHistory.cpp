#include "fleet/VersionHistory.h"

namespace papayafield::fleet {

void VersionHistory::Add(const Endpoint& aEndpoint, base::TimePoint aNow) {
  m_lastSeen[aEndpoint.m_service][aEndpoint.m_version] = aNow;
}

void VersionHistory::Merge(const Versions& aRecord, base::TimePoint aNow) {
  for (const auto& [service, versions] : aRecord) {
    for (const std::string& version : versions) {
      m_lastSeen[service].try_emplace(version, aNow);
    }
  }
}

void VersionHistory::Extend(base::TimePoint aNow) {
  for (auto& [service, versions] : m_lastSeen) {
    for (auto& [version, lastSeen] : versions) {
      lastSeen = aNow;
    }
  }
}

void VersionHistory::Prune(base::Millis aRetention, base::TimePoint aNow) {
  for (auto& [service, versions] : m_lastSeen) {
    std::erase_if(versions, [&](const auto& aEntry) { return aNow - aEntry.second > aRetention; });
  }
  std::erase_if(m_lastSeen, [](const auto& aEntry) { return aEntry.second.empty(); });
}

std::optional<std::string> VersionHistory::OnlyVersion(const ServiceId& aService,
                                                       base::TimePoint aNow) const {
  const auto found = m_lastSeen.find(aService);
  if (!m_complete || aNow < m_suspendedUntil || found == m_lastSeen.end() ||
      found->second.size() != 1) {
    return std::nullopt;
  }
  return found->second.begin()->first;
}

size_t VersionHistory::CountOf(const ServiceId& aService) const {
  const auto found = m_lastSeen.find(aService);
  return found == m_lastSeen.end() ? 0 : found->second.size();
}

VersionHistory::Versions VersionHistory::All() const {
  Versions all;
  for (const auto& [service, versions] : m_lastSeen) {
    for (const auto& [version, lastSeen] : versions) {
      all[service].insert(version);
    }
  }
  return all;
}

} // namespace papayafield::fleet
