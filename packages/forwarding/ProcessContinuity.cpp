#include "forwarding/ProcessContinuity.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayafield::forwarding {

using adapters::http1::EndKind;

/// Returns whether a connection through `aRelay` is open. One through a relay that hangs seems open
/// after the endpoint has ended it.
bool ProcessContinuity::HasOpen(const Process& aProcess, const std::string& aRelay) {
  return std::any_of(
    aProcess.m_open.begin(), aProcess.m_open.end(), [&aRelay](const OpenConnection& aOpen) {
      const auto connection = aOpen.m_connection.lock();
      return aOpen.m_relay == aRelay && connection != nullptr && connection->IsOpen();
    });
}

void ProcessContinuity::OnEstablished(const fleet::Incarnation& aEndpoint,
                                      const Connection& aConnection,
                                      const std::string& aRelay) {
  Process& process = m_processes[aEndpoint];
  std::erase_if(process.m_open, [](const OpenConnection& aOpen) {
    const auto connection = aOpen.m_connection.lock();
    return connection == nullptr || !connection->IsOpen();
  });
  const bool isKnown =
    std::any_of(process.m_open.begin(), process.m_open.end(), [&](const OpenConnection& aOpen) {
      return aOpen.m_connection.lock() == aConnection;
    });
  if (isKnown) {
    return;
  }
  const bool isUnwatched = !aRelay.empty() && !HasOpen(process, aRelay);
  const bool hasEnded = std::exchange(process.m_hasEnded, false);
  if (hasEnded || isUnwatched) {
    process.m_since = base::BootNow();
  }
  if (hasEnded) {
    m_log.Event(
      "endpoint reached again",
      { { "endpoint", aEndpoint.m_endpoint.Text() }, { "start_ms", aEndpoint.m_startMs } });
  }
  process.m_open.push_back({ aConnection, aRelay, process.m_since });
}

void ProcessContinuity::OnEnded(const fleet::Incarnation& aEndpoint,
                                const Connection& aConnection,
                                EndKind aKind,
                                const std::string& aRelay) {
  Process& process = m_processes[aEndpoint];
  std::erase_if(process.m_open, [&](const OpenConnection& aOpen) {
    const auto connection = aOpen.m_connection.lock();
    return connection == nullptr || connection == aConnection || !connection->IsOpen();
  });
  // Direct connections of a node that is cut off may seem open for a while.
  process.m_hasEnded =
    process.m_hasEnded || !HasOpen(process, aRelay) || aKind == EndKind::NotConnected;
}

base::TimePoint ProcessContinuity::ProcessSince(const fleet::Incarnation& aEndpoint,
                                                const Connection& aConnection,
                                                const std::string& aRelay) const {
  const auto found = m_processes.find(aEndpoint);
  if (found == m_processes.end()) {
    return aRelay.empty() ? base::TimePoint{} : base::BootNow();
  }
  for (const OpenConnection& open : found->second.m_open) {
    if (open.m_connection.lock() == aConnection) {
      return open.m_processSince;
    }
  }
  const bool isUnwatched = !aRelay.empty() && !HasOpen(found->second, aRelay);
  return found->second.m_hasEnded || isUnwatched ? base::BootNow() : found->second.m_since;
}

bool ProcessContinuity::HasEnded(const fleet::Incarnation& aEndpoint) const {
  const auto found = m_processes.find(aEndpoint);
  return found != m_processes.end() && found->second.m_hasEnded;
}

bool ProcessContinuity::IsConfirmed(const fleet::Endpoint& aEndpoint,
                                    base::TimePoint aSince) const {
  if (aSince == base::TimePoint{}) {
    return true;
  }
  const auto found = m_processes.find(aEndpoint.m_incarnation);
  return found != m_processes.end() &&
         found->second.m_confirmedAt >= aSince + kMaxRegistrationDelay &&
         found->second.m_confirmedVersion == aEndpoint.m_version;
}

void ProcessContinuity::Confirm(const fleet::Endpoint& aEndpoint,
                                base::TimePoint aSince,
                                base::Millis aMaxWait,
                                OnConfirmed aOnConfirmed) {
  m_waiters.push_back({ aEndpoint, aSince, base::BootNow() + aMaxWait, std::move(aOnConfirmed) });
  if (m_checkTimer == nullptr) {
    m_checkTimer = m_loop.Every(kCheckInterval, [this] { Check(); });
  }
}

void ProcessContinuity::Check() {
  const auto now = base::BootNow();
  std::vector<std::pair<OnConfirmed, bool>> done;
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    const bool isSame = IsConfirmed(waiter->m_endpoint, waiter->m_since);
    if (isSame || m_confirmedAt >= waiter->m_since + kMaxRegistrationDelay ||
        now >= waiter->m_deadline) {
      done.emplace_back(std::move(waiter->m_onConfirmed), isSame);
      waiter = m_waiters.erase(waiter);
    } else {
      ++waiter;
    }
  }
  // The callbacks may add waiters.
  for (const auto& [onConfirmed, isSame] : done) {
    onConfirmed(isSame);
  }
  ConfirmViewIfDue(now);
  if (m_waiters.empty()) {
    m_checkTimer.reset();
  }
}

void ProcessContinuity::ConfirmViewIfDue(base::TimePoint aNow) {
  const bool isNeeded = std::any_of(m_waiters.begin(), m_waiters.end(), [&](const Waiter& aWaiter) {
    return aWaiter.m_since + kMaxRegistrationDelay <= aNow;
  });
  if (!isNeeded || m_isConfirming || aNow < m_nextConfirmation) {
    return;
  }
  m_isConfirming = true;
  m_nextConfirmation = aNow + kConfirmInterval;
  m_confirmView(kMaxConfirmTime, [this, aNow](bool aCurrent) {
    m_isConfirming = false;
    if (aCurrent) {
      OnViewConfirmed(aNow);
    }
  });
}

void ProcessContinuity::OnViewConfirmed(base::TimePoint aAt) {
  m_confirmedAt = aAt;
  for (auto& [incarnation, process] : m_processes) {
    const auto known = m_directory.All().find(incarnation.m_endpoint);
    if (known != m_directory.All().end() && known->second.m_incarnation == incarnation) {
      process.m_confirmedAt = aAt;
      process.m_confirmedVersion = known->second.m_version;
    }
  }
}

void ProcessContinuity::RetainRegistered() {
  std::erase_if(m_processes, [&](const auto& aEntry) {
    const auto known = m_directory.All().find(aEntry.first.m_endpoint);
    return known == m_directory.All().end() || known->second.m_incarnation != aEntry.first;
  });
}

} // namespace papayafield::forwarding
