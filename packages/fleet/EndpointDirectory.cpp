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
  m_lastPosition = std::max(m_lastPosition, aRegistration.m_position);
  const auto removed = m_tombstones.find(aRegistration.m_id);
  if (removed != m_tombstones.end() && removed->second >= aRegistration.m_position) {
    return;
  }
  const auto known = m_endpoints.find(aRegistration.m_id);
  if (known != m_endpoints.end() && known->second.m_position > aRegistration.m_position) {
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
                               const store::Position& aPosition,
                               base::TimePoint aNow) {
  m_lastPosition = std::max(m_lastPosition, aPosition);
  const auto known = m_endpoints.find(aId);
  if (known != m_endpoints.end() && known->second.m_position > aPosition) {
    return;
  }
  if (m_tombstones.size() >= kMaxTombstones) {
    m_tombstones.clear();
  }
  m_tombstones[aId] = aPosition;
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
                                const store::Position& aPosition,
                                base::TimePoint aNow) {
  std::set<base::EndpointId> listed;
  for (const Registration& registration : aRegistrations) {
    listed.insert(registration.m_id);
    Put(registration);
  }
  std::vector<base::EndpointId> missing;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (!listed.contains(id) && endpoint.m_position <= aPosition) {
      missing.push_back(id);
    }
  }
  for (const base::EndpointId& id : missing) {
    Remove(id, m_endpoints[id].m_position, aNow);
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
