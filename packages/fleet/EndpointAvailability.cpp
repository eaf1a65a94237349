#include "fleet/EndpointAvailability.h"

#include <algorithm>

namespace papayafield::fleet {

namespace {

base::Millis ToMillis(base::TimePoint::duration aDuration) {
  return std::chrono::ceil<base::Millis>(aDuration);
}

} // namespace

bool EndpointAvailability::MarkLeaving(const Incarnation& aIncarnation, base::TimePoint aNow) {
  Record& record = m_records[aIncarnation];
  if (record.m_leavingSince) {
    return false;
  }
  record.m_leavingSince = aNow;
  record.m_lastKnown = aNow;
  return true;
}

bool EndpointAvailability::Adopt(const LeavingMark& aMark, base::TimePoint aNow) {
  if (aMark.m_age.count() < 0 || aMark.m_age >= m_settings.m_announceTime) {
    return false;
  }
  const bool recorded = m_records.contains(aMark.m_incarnation);
  if (!recorded && m_records.size() >= m_settings.m_maxRecords) {
    return false;
  }
  if (!MarkLeaving(aMark.m_incarnation, aNow)) {
    return false;
  }
  m_records[aMark.m_incarnation].m_leavingSince = aNow - aMark.m_age;
  return true;
}

base::Millis EndpointAvailability::Pause(const Incarnation& aIncarnation,
                                         base::Millis aDelay,
                                         base::TimePoint aNow) {
  const base::Millis delay = std::clamp(aDelay, base::Millis(0), m_settings.m_maxWait);
  Record& record = m_records[aIncarnation];
  record.m_waitUntil = std::max(record.m_waitUntil, aNow + delay);
  return ToMillis(record.m_waitUntil - aNow);
}

std::optional<Unavailability> EndpointAvailability::Check(const Incarnation& aIncarnation,
                                                          base::TimePoint aNow) const {
  const auto record = m_records.find(aIncarnation);
  if (record == m_records.end()) {
    return std::nullopt;
  }
  if (record->second.m_leavingSince) {
    return Unavailability::Leaving;
  }
  if (record->second.m_waitUntil > aNow) {
    return Unavailability::Waiting;
  }
  return std::nullopt;
}

std::set<Incarnation> EndpointAvailability::Unavailable(base::TimePoint aNow) const {
  std::set<Incarnation> unavailable;
  for (const auto& [incarnation, record] : m_records) {
    if (Check(incarnation, aNow)) {
      unavailable.insert(incarnation);
    }
  }
  return unavailable;
}

std::optional<ServiceOutage> EndpointAvailability::FindOutage(
  const ServiceId& aService,
  const std::vector<Endpoint>& aEndpoints,
  base::TimePoint aNow) const {
  ServiceOutage outage;
  for (const Endpoint& endpoint : aEndpoints) {
    if (endpoint.m_service != aService) {
      continue;
    }
    const auto reason = Check(endpoint.m_incarnation, aNow);
    if (!reason) {
      return std::nullopt;
    }
    if (*reason == Unavailability::Leaving) {
      ++outage.m_leaving;
      continue;
    }
    const base::Millis end = ToMillis(m_records.at(endpoint.m_incarnation).m_waitUntil - aNow);
    outage.m_firstEnd = outage.m_waiting == 0 ? end : std::min(outage.m_firstEnd, end);
    outage.m_reason = Unavailability::Waiting;
    ++outage.m_waiting;
  }
  if (outage.m_leaving + outage.m_waiting == 0) {
    return std::nullopt;
  }
  return outage;
}

std::vector<LeavingMark> EndpointAvailability::Announcement(base::TimePoint aNow) const {
  std::vector<LeavingMark> marks;
  for (const auto& [incarnation, record] : m_records) {
    if (record.m_leavingSince && aNow - *record.m_leavingSince < m_settings.m_announceTime) {
      marks.push_back({ incarnation, ToMillis(aNow - *record.m_leavingSince) });
    }
  }
  std::sort(marks.begin(), marks.end(), [](const LeavingMark& aLeft, const LeavingMark& aRight) {
    return aLeft.m_age < aRight.m_age;
  });
  marks.resize(std::min(marks.size(), m_settings.m_maxAnnounced));
  return marks;
}

void EndpointAvailability::RemoveObsolete(const std::map<base::EndpointId, Endpoint>& aKnown,
                                          base::TimePoint aNow) {
  for (auto& [incarnation, record] : m_records) {
    const auto known = aKnown.find(incarnation.m_endpoint);
    if (known != aKnown.end() && known->second.m_incarnation == incarnation) {
      record.m_lastKnown = aNow;
    }
  }
  std::erase_if(m_records, [&](const auto& aEntry) {
    const Record& record = aEntry.second;
    return record.m_leavingSince ? aNow - record.m_lastKnown > m_settings.m_retention
                                 : record.m_waitUntil <= aNow;
  });
}

} // namespace papayafield::fleet
