#include "fleet/EndpointDirectory.h"

#include <algorithm>

namespace papayafield::fleet {

namespace {

/// Maximum number of tombstones kept. A tombstone lets a delayed older registration be recognized
/// as stale.
constexpr size_t kMaxTombstones = 4096;

} // namespace

bool EndpointDirectory::DefersRemovals(base::TimePoint aNow) const {
  return m_storeLost || (m_graceEnd && aNow < *m_graceEnd);
}

void EndpointDirectory::Put(const Registration& aRegistration) {
  m_lastRevision = std::max(m_lastRevision, aRegistration.m_revision);
  const auto removed = m_tombstones.find(aRegistration.m_id);
  if (removed != m_tombstones.end() && removed->second >= aRegistration.m_revision) {
    return;
  }
  const auto known = m_endpoints.find(aRegistration.m_id);
  if (known != m_endpoints.end() && known->second.m_revision > aRegistration.m_revision) {
    return;
  }
  m_missing.erase(aRegistration.m_id);
  if (!aRegistration.m_endpoint) {
    m_endpoints.erase(aRegistration.m_id);
  } else {
    m_endpoints[aRegistration.m_id] = *aRegistration.m_endpoint;
  }
  Rebuild();
}

void EndpointDirectory::Remove(const base::EndpointId& aId,
                               uint64_t aRevision,
                               base::TimePoint aNow) {
  m_lastRevision = std::max(m_lastRevision, aRevision);
  const auto known = m_endpoints.find(aId);
  if (known != m_endpoints.end() && known->second.m_revision > aRevision) {
    return;
  }
  if (m_tombstones.size() >= kMaxTombstones) {
    m_tombstones.clear();
  }
  m_tombstones[aId] = aRevision;
  if (known == m_endpoints.end()) {
    return;
  }
  if (DefersRemovals(aNow) && !known->second.m_draining) {
    m_missing.insert(aId);
    return;
  }
  m_endpoints.erase(known);
  m_missing.erase(aId);
  Rebuild();
}

void EndpointDirectory::Replace(const std::vector<Registration>& aRegistrations,
                                uint64_t aRevision,
                                base::TimePoint aNow) {
  std::set<base::EndpointId> listed;
  for (const Registration& registration : aRegistrations) {
    listed.insert(registration.m_id);
    Put(registration);
  }
  std::vector<base::EndpointId> missing;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (!listed.contains(id) && endpoint.m_revision <= aRevision) {
      missing.push_back(id);
    }
  }
  for (const base::EndpointId& id : missing) {
    Remove(id, m_endpoints[id].m_revision, aNow);
  }
}

void EndpointDirectory::OnStoreLost() {
  m_storeLost = true;
}

void EndpointDirectory::OnStoreRecovered(base::TimePoint aNow) {
  if (m_storeLost) {
    m_storeLost = false;
    m_graceEnd = aNow + m_gracePeriod;
  }
}

std::vector<base::EndpointId> EndpointDirectory::RemoveExpired(base::TimePoint aNow) {
  std::vector<base::EndpointId> expired;
  if (m_missing.empty() || DefersRemovals(aNow)) {
    return expired;
  }
  expired.assign(m_missing.begin(), m_missing.end());
  for (const base::EndpointId& id : expired) {
    m_endpoints.erase(id);
  }
  m_missing.clear();
  Rebuild();
  return expired;
}

void EndpointDirectory::Rebuild() {
  m_ready.clear();
  for (const auto& [id, endpoint] : m_endpoints) {
    if (!endpoint.m_draining) {
      m_ready.push_back(endpoint);
    }
  }
}

} // namespace papayafield::fleet
