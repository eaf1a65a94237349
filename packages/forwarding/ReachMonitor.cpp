#include "forwarding/ReachMonitor.h"

#include "base/Digest.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayafield::forwarding {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;

namespace {

constexpr base::Millis kCheckInterval{ 100 };
/// Time since the last check from which the node has been paused. Connections that are in flight
/// time out within it.
constexpr base::Millis kMinPause{ 600 };
/// Interval between rounds of probes, and number of endpoints in a round.
constexpr base::Millis kProbeInterval{ 300 };
constexpr size_t kProbesPerRound = 5;
/// Maximum time for a probe to connect: a few round trips.
constexpr base::Millis kProbeTimeout{ 200 };
/// Time for which the connection of a probe has to stay open: something on the way may accept
/// connections and then close them.
constexpr base::Millis kProbeHoldTime{ 100 };

} // namespace

ReachMonitor::ReachMonitor(adapters::http::EventLoop& aLoop,
                           const fleet::EndpointDirectory& aDirectory,
                           EndpointReach& aReach,
                           EndpointPool& aPool,
                           Metrics& aMetrics)
  : m_loop(aLoop)
  , m_directory(aDirectory)
  , m_reach(aReach)
  , m_pool(aPool)
  , m_metrics(aMetrics)
  , m_timer(aLoop.Every(kCheckInterval, [this] { Check(); })) {}

void ReachMonitor::OnConnected(const base::EndpointId& aEndpoint) {
  const auto now = base::BootNow();
  m_reach.RecordConnected(aEndpoint, now, !m_reach.IsIsolated() || m_pool.HasRelay(now));
  Evaluate();
}

void ReachMonitor::OnConnectFailed(const base::EndpointId& aEndpoint, bool aHasTimedOut) {
  const auto now = base::BootNow();
  DetectPause(now);
  m_reach.RecordConnectFailed(aEndpoint, now, aHasTimedOut);
  Evaluate();
}

uint64_t ReachMonitor::OnSent(std::function<void()> aOnIsolated) {
  m_calls[++m_lastCall] = std::move(aOnIsolated);
  return m_lastCall;
}

void ReachMonitor::OnWaiting(uint64_t aCall, const base::EndpointId& aEndpoint) {
  m_reach.RecordWaiting(aCall, aEndpoint, base::BootNow());
}

void ReachMonitor::OnBytes(uint64_t aCall) {
  m_reach.RecordBytes(aCall, base::BootNow());
}

void ReachMonitor::OnEnded(uint64_t aCall) {
  m_reach.RecordEnded(aCall);
  m_calls.erase(aCall);
}

bool ReachMonitor::IsSilent() const {
  return m_reach.IsIsolated() && !m_reach.ReceivesBytes(base::BootNow());
}

/// Timers that expired while the node was paused are called in any order after it, so this is
/// called before any evidence is recorded or evaluated.
void ReachMonitor::DetectPause(base::TimePoint aNow) {
  if (aNow - m_lastCheck >= kMinPause) {
    m_reach.RecordPause(aNow, aNow - m_lastCheck);
    m_lastCheck = aNow;
  }
}

void ReachMonitor::Check() {
  DetectPause(base::BootNow());
  m_lastCheck = base::BootNow();
  m_reach.SetEndpointCount(m_directory.Ready().size());
  Evaluate();
  if (m_reach.IsIsolated()) {
    NotifyCalls();
  }
}

void ReachMonitor::Evaluate() {
  const auto now = base::BootNow();
  DetectPause(now);
  if (m_reach.Update(now)) {
    m_nextProbes = {};
    OnChanged();
  }
  if (m_reach.State() != ReachState::Reaching && now >= m_nextProbes) {
    m_nextProbes = now + kProbeInterval;
    // Connections that fail at once are reported at once.
    m_loop.Defer([this] { StartProbes(base::BootNow()); });
  }
}

void ReachMonitor::OnChanged() {
  const auto now = base::BootNow();
  const bool wasIsolated = m_isolatedSince.has_value();
  const bool isIsolated = m_reach.IsIsolated();
  if (isIsolated) {
    m_log.Event("isolated from endpoints",
                { { "evidence", base::NameOf(m_reach.Evidence()) },
                  { "endpoints", m_directory.Ready().size() },
                  { "failed", m_reach.FailedCount() },
                  { "silent", m_reach.SilentCount(now) },
                  { "receives", m_reach.ReceivesBytes(now) },
                  { "calls", m_calls.size() } });
    m_metrics.Count("isolations");
  } else if (wasIsolated) {
    m_log.Event("endpoints reached again",
                { { "isolated_ms",
                    std::chrono::duration_cast<base::Millis>(now - *m_isolatedSince).count() } });
  } else if (m_reach.State() == ReachState::Suspected) {
    m_metrics.Count("isolations_suspected");
  }
  m_isolatedSince = m_reach.IsolatedSince();
  if (isIsolated != wasIsolated) {
    m_metrics.Set("isolated", isIsolated ? 1 : 0);
    m_loop.Defer([this, isIsolated] {
      if (m_handler) {
        m_handler(isIsolated);
      }
      if (isIsolated) {
        NotifyCalls();
      }
    });
  }
}

void ReachMonitor::NotifyCalls() {
  std::vector<uint64_t> calls;
  calls.reserve(m_calls.size());
  for (const auto& [call, handler] : m_calls) {
    calls.push_back(call);
  }
  for (const uint64_t call : calls) {
    if (const auto found = m_calls.find(call); found != m_calls.end()) {
      const auto handler = found->second;
      handler();
    }
  }
}

void ReachMonitor::StartProbes(base::TimePoint /*aNow*/) {
  if (m_reach.State() == ReachState::Reaching || !m_probes.empty()) {
    return;
  }
  std::vector<fleet::Endpoint> endpoints = m_directory.Ready();
  std::shuffle(endpoints.begin(), endpoints.end(), m_random);
  endpoints.resize(std::min(endpoints.size(), kProbesPerRound));
  for (const fleet::Endpoint& endpoint : endpoints) {
    StartProbe(endpoint);
  }
}

void ReachMonitor::StartProbe(const fleet::Endpoint& aEndpoint) {
  m_metrics.Count("reach_probes");
  const auto probe =
    m_probes.insert(m_probes.end(), { aEndpoint, m_pool.ConnectDirectly(aEndpoint), nullptr });
  ClientConnection::Events events;
  events.m_onEstablished = [this, probe] {
    probe->m_timer = m_loop.After(kProbeHoldTime, [this, probe] { EndProbe(probe, true, false); });
  };
  events.m_onEnd = [this, probe](EndKind /*aKind*/, bool /*aInMessage*/) {
    EndProbe(probe, false, false);
  };
  probe->m_connection->SetEvents(std::move(events));
  probe->m_timer = m_loop.After(kProbeTimeout, [this, probe] { EndProbe(probe, false, true); });
}

void ReachMonitor::EndProbe(ProbeIterator aProbe, bool aIsConnected, bool aHasTimedOut) {
  const fleet::Endpoint endpoint = aProbe->m_endpoint;
  const auto connection = aProbe->m_connection;
  // Cancels the timer, which may have expired in the same iteration of the loop.
  m_probes.erase(aProbe);
  if (aIsConnected) {
    OnConnected(endpoint.m_incarnation.m_endpoint);
    m_pool.Return(endpoint.m_incarnation, connection, std::nullopt, base::BootNow());
  } else {
    connection->Close();
    OnConnectFailed(endpoint.m_incarnation.m_endpoint, aHasTimedOut);
  }
  if (m_probes.empty()) {
    m_reach.RecordProbesEnded(base::BootNow());
    Evaluate();
  }
}

} // namespace papayafield::forwarding
