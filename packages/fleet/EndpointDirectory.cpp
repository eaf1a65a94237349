#include "fleet/EndpointDirectory.h"

#include <algorithm>
#include <utility>

namespace papayafield::fleet {

namespace {

/// Maximum number of tombstones kept. A tombstone lets a delayed older registration be recognized
/// as stale.
constexpr size_t kMaxTombstones = 4096;
/// Departures are remembered for this long, which exceeds the age of the copy that a store is
/// restored from.
constexpr base::Millis kDepartureRetention{ 60000 };
/// Endpoints that were removed and that a restored store lists again get no work for this long:
/// a registration that its endpoint does not renew expires within it.
constexpr base::Millis kRelistedHold{ 5000 };

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
  m_held.erase(aRegistration.m_id);
  if (!aRegistration.m_endpoint) {
    m_endpoints.erase(aRegistration.m_id);
  } else {
    Store(*aRegistration.m_endpoint);
  }
  Rebuild();
}

void EndpointDirectory::Store(Endpoint aEndpoint) {
  const auto departure = m_departures.find(aEndpoint.m_incarnation);
  if (aEndpoint.m_draining) {
    m_departures[aEndpoint.m_incarnation] = { aEndpoint.m_position, true, std::nullopt };
  } else if (departure != m_departures.end()) {
    store::Position& departed = departure->second.m_position;
    if (departed.m_era == aEndpoint.m_position.m_era && departed < aEndpoint.m_position) {
      // Written after the departure, or after the restore that listed the endpoint again.
      m_departures.erase(departure);
    } else {
      // The first registration of an era may be a copy that is older than the departure.
      departed = std::max(departed, aEndpoint.m_position);
      if (departure->second.m_draining) {
        aEndpoint.m_draining = true;
      } else if (m_holdEnd) {
        m_held.insert(aEndpoint.m_incarnation.m_endpoint);
      }
    }
  }
  m_endpoints[aEndpoint.m_incarnation.m_endpoint] = std::move(aEndpoint);
}

void EndpointDirectory::Erase(std::map<base::EndpointId, Endpoint>::iterator aEndpoint,
                              const store::Position& aPosition) {
  // An endpoint that was never listed in the current era is missing in the copy and has not left.
  if (aEndpoint->second.m_position.m_era == aPosition.m_era) {
    Departure& departure = m_departures[aEndpoint->second.m_incarnation];
    departure.m_position = std::max(departure.m_position, aPosition);
    departure.m_absentSince.reset();
  }
  m_missing.erase(aEndpoint->first);
  m_held.erase(aEndpoint->first);
  m_endpoints.erase(aEndpoint);
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
  Erase(known, aPosition);
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

void EndpointDirectory::OnStoreRestored(base::TimePoint aNow) {
  m_graceEnd = aNow + m_gracePeriod;
  m_holdEnd = aNow + kRelistedHold;
}

void EndpointDirectory::EndHold(base::TimePoint aNow) {
  if (!m_holdEnd || aNow < *m_holdEnd) {
    return;
  }
  m_holdEnd.reset();
  for (const base::EndpointId& id : std::exchange(m_held, {})) {
    m_departures.erase(m_endpoints.at(id).m_incarnation);
  }
  Rebuild();
}

void EndpointDirectory::ForgetDepartures(base::TimePoint aNow) {
  for (auto& [incarnation, departure] : m_departures) {
    const auto known = m_endpoints.find(incarnation.m_endpoint);
    if (known != m_endpoints.end() && known->second.m_incarnation == incarnation) {
      departure.m_absentSince.reset();
    } else if (!departure.m_absentSince) {
      departure.m_absentSince = aNow;
    }
  }
  std::erase_if(m_departures, [&](const auto& aEntry) {
    const auto& absentSince = aEntry.second.m_absentSince;
    return absentSince && aNow - *absentSince > kDepartureRetention;
  });
}

std::vector<base::EndpointId> EndpointDirectory::RemoveExpired(base::TimePoint aNow) {
  EndHold(aNow);
  ForgetDepartures(aNow);
  std::vector<base::EndpointId> expired;
  if (m_missing.empty() || DefersRemovals(aNow)) {
    return expired;
  }
  expired.assign(m_missing.begin(), m_missing.end());
  for (const base::EndpointId& id : expired) {
    Erase(m_endpoints.find(id), m_lastPosition);
  }
  Rebuild();
  return expired;
}

void EndpointDirectory::Rebuild() {
  m_ready.clear();
  for (const auto& [id, endpoint] : m_endpoints) {
    if (!endpoint.m_draining && !m_held.contains(id)) {
      m_ready.push_back(endpoint);
    }
  }
}

} // namespace papayafield::fleet
