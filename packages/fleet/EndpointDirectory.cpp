#include "fleet/EndpointDirectory.h"

#include <algorithm>

namespace papayafield::fleet {

namespace {

/// Maximum number of tombstones kept. A tombstone lets a delayed older registration be recognized
/// as stale.
constexpr size_t kMaxRemovals = 4096;

} // namespace

bool EndpointDirectory::InDoubt(base::TimePoint aNow) const {
  return m_storeLost || (m_believeFrom && aNow < *m_believeFrom);
}

void EndpointDirectory::Put(const Registration& aRegistration) {
  m_lastRevision = std::max(m_lastRevision, aRegistration.m_revision);
  const auto removed = m_removedAt.find(aRegistration.m_id);
  if (removed != m_removedAt.end() && removed->second >= aRegistration.m_revision) {
    return;
  }
  const auto known = m_all.find(aRegistration.m_id);
  if (known != m_all.end() && known->second.m_revision > aRegistration.m_revision) {
    return;
  }
  m_missing.erase(aRegistration.m_id);
  if (!aRegistration.m_endpoint) {
    m_all.erase(aRegistration.m_id);
  } else {
    m_all[aRegistration.m_id] = *aRegistration.m_endpoint;
  }
  Rebuild();
}

void EndpointDirectory::Remove(const base::EndpointId& aId,
                               uint64_t aRevision,
                               base::TimePoint aNow) {
  m_lastRevision = std::max(m_lastRevision, aRevision);
  const auto known = m_all.find(aId);
  if (known != m_all.end() && known->second.m_revision > aRevision) {
    return;
  }
  if (m_removedAt.size() >= kMaxRemovals) {
    m_removedAt.clear();
  }
  m_removedAt[aId] = aRevision;
  if (known == m_all.end()) {
    return;
  }
  if (InDoubt(aNow) && !known->second.m_draining) {
    m_missing.insert(aId);
    return;
  }
  m_all.erase(known);
  m_missing.erase(aId);
  Rebuild();
}

void EndpointDirectory::Replace(const std::vector<Registration>& aAll,
                                uint64_t aRevision,
                                base::TimePoint aNow) {
  std::set<base::EndpointId> listed;
  for (const Registration& registration : aAll) {
    listed.insert(registration.m_id);
    Put(registration);
  }
  std::vector<base::EndpointId> gone;
  for (const auto& [id, endpoint] : m_all) {
    if (!listed.contains(id) && endpoint.m_revision <= aRevision) {
      gone.push_back(id);
    }
  }
  for (const base::EndpointId& id : gone) {
    Remove(id, m_all[id].m_revision, aNow);
  }
}

void EndpointDirectory::StoreLost() {
  m_storeLost = true;
}

void EndpointDirectory::StoreBack(base::TimePoint aNow) {
  if (m_storeLost) {
    m_storeLost = false;
    m_believeFrom = aNow + m_grace;
  }
}

std::vector<base::EndpointId> EndpointDirectory::Expire(base::TimePoint aNow) {
  std::vector<base::EndpointId> gone;
  if (m_missing.empty() || InDoubt(aNow)) {
    return gone;
  }
  gone.assign(m_missing.begin(), m_missing.end());
  for (const base::EndpointId& id : gone) {
    m_all.erase(id);
  }
  m_missing.clear();
  Rebuild();
  return gone;
}

void EndpointDirectory::Rebuild() {
  m_ready.clear();
  for (const auto& [id, endpoint] : m_all) {
    if (!endpoint.m_draining) {
      m_ready.push_back(endpoint);
    }
  }
}

} // namespace papayafield::fleet
