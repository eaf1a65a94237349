#include "forwarding/EndpointReach.h"

#include <algorithm>
#include <utility>

namespace papayafield::forwarding {

/// Returns the number of endpoints that have to agree.
size_t EndpointReach::RequiredEndpoints() const {
  return std::min(m_settings.m_minEndpoints, std::max<size_t>(m_endpointCount, 1));
}

/// Returns the number of endpoints that have to be reached to end a cut. Of two endpoints, the
/// other one may have failed. Without relays, one that is reached is better than none, and only a
/// node that is not cut off records which of the others fail.
size_t EndpointReach::RequiredConnected(bool aHasRelay) const {
  const size_t others = m_endpointCount > 1 ? m_endpointCount - 1 : 1;
  return aHasRelay ? std::min(m_settings.m_minEndpoints, others) : 1;
}

void EndpointReach::SetState(ReachState aState, base::TimePoint aNow) {
  if (aState == m_state) {
    return;
  }
  m_state = aState;
  m_changed = true;
  m_confirmed.clear();
  m_connected.clear();
  m_isolatedSince = aState == ReachState::Isolated ? std::optional(aNow) : std::nullopt;
}

void EndpointReach::RecordConnected(const base::EndpointId& aEndpoint,
                                    base::TimePoint aNow,
                                    bool aHasRelay) {
  m_lastConnected = aNow;
  m_failed.clear();
  if (m_state == ReachState::Suspected) {
    SetState(ReachState::Reaching, aNow);
  } else if (m_state == ReachState::Isolated) {
    m_connected.insert(aEndpoint);
    if (m_connected.size() >= RequiredConnected(aHasRelay)) {
      SetState(ReachState::Reaching, aNow);
    }
  }
}

void EndpointReach::RecordConnectFailed(const base::EndpointId& aEndpoint,
                                        base::TimePoint aNow,
                                        bool aHasTimedOut) {
  if (aNow < m_failuresCountFrom) {
    return;
  }
  m_failed[aEndpoint] = aNow;
  m_hangs = aHasTimedOut;
  if (m_state == ReachState::Suspected) {
    m_confirmed.insert(aEndpoint);
  }
}

void EndpointReach::RecordPause(base::TimePoint aNow, base::TimePoint::duration aPause) {
  const auto extend = [&](base::TimePoint& aTime) { aTime = std::min(aTime + aPause, aNow); };
  for (auto& [call, waiting] : m_waiting) {
    extend(waiting.m_since);
  }
  for (auto* const time : { &m_lastBytes, &m_lastConnected }) {
    if (*time) {
      extend(**time);
    }
  }
  m_failed.clear();
  m_failuresCountFrom = aNow + m_settings.m_pauseGrace;
  if (m_state == ReachState::Suspected) {
    SetState(ReachState::Reaching, aNow);
  }
}

void EndpointReach::RecordProbesEnded(base::TimePoint aNow) {
  if (m_state == ReachState::Suspected && m_confirmed.size() >= RequiredEndpoints()) {
    SetState(ReachState::Isolated, aNow);
  }
}

void EndpointReach::RecordWaiting(uint64_t aCall,
                                  const base::EndpointId& aEndpoint,
                                  base::TimePoint aNow) {
  m_waiting[aCall] = { aEndpoint, aNow };
}

void EndpointReach::RecordBytes(uint64_t aCall, base::TimePoint aNow) {
  m_lastBytes = aNow;
  if (const auto waiting = m_waiting.find(aCall); waiting != m_waiting.end()) {
    waiting->second.m_since = aNow;
  }
}

size_t EndpointReach::SilentCount(base::TimePoint aNow) const {
  std::set<base::EndpointId> silent;
  for (const auto& [call, waiting] : m_waiting) {
    if (aNow - waiting.m_since >= m_settings.m_silence) {
      silent.insert(waiting.m_endpoint);
    }
  }
  return silent.size();
}

ReachEvidence EndpointReach::FindEvidence(base::TimePoint aNow) const {
  if (m_failed.size() >= RequiredEndpoints()) {
    return ReachEvidence::FailedConnects;
  }
  const bool isRefuted =
    m_lastConnected && aNow - *m_lastConnected < m_settings.m_silenceRefutation;
  if (!isRefuted && !ReceivesBytes(aNow) && SilentCount(aNow) >= RequiredEndpoints()) {
    return ReachEvidence::Silence;
  }
  return ReachEvidence::None;
}

bool EndpointReach::Update(base::TimePoint aNow) {
  std::erase_if(m_failed, [&](const auto& aEntry) {
    return aNow - aEntry.second > m_settings.m_failureLifetime;
  });
  if (m_endpointCount == 0) {
    SetState(ReachState::Reaching, aNow);
  } else if (m_state == ReachState::Reaching) {
    if (const ReachEvidence evidence = FindEvidence(aNow); evidence != ReachEvidence::None) {
      m_evidence = evidence;
      SetState(ReachState::Suspected, aNow);
    }
  } else if (m_state == ReachState::Suspected && FindEvidence(aNow) == ReachEvidence::None) {
    SetState(ReachState::Reaching, aNow);
  }
  return std::exchange(m_changed, false);
}

} // namespace papayafield::forwarding
