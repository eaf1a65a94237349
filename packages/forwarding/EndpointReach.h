#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace papayafield::forwarding {

/// Whether a node reaches the endpoints.
enum class ReachState {
  Reaching,
  /// There is evidence against it, which probes have to confirm.
  Suspected,
  /// The node is cut off from the endpoints.
  Isolated,
};

/// What a suspicion is based on.
enum class ReachEvidence {
  None,
  /// Connections to several endpoints failed, and none was established since.
  FailedConnects,
  /// All endpoints that have calls are silent.
  Silence,
};

struct EndpointReachSettings {
  /// Number of endpoints that have to agree, or all of them if there are fewer. The failure of one
  /// says nothing about the node.
  size_t m_minEndpoints = 2;
  /// Silence of all endpoints that have calls, from which the node may be cut off.
  base::Millis m_silence{ 500 };
  /// Time after which a failed connection no longer counts.
  base::Millis m_failureLifetime{ 2000 };
  /// Time after a pause of this node for which failed connections do not count: those that were in
  /// flight end then.
  base::Millis m_pauseGrace{ 300 };
  /// Time for which silence gives no rise to a suspicion after a connection was established.
  base::Millis m_silenceRefutation{ 1000 };
};

/// Decides whether this node is cut off from the endpoints, as opposed to endpoints that have
/// failed. Failed connections or silence only raise a suspicion: it takes connections that fail
/// after that at several endpoints to confirm it, and one that works to end it. A cut ends when
/// connections to several endpoints work, or to one if the node has no other way.
/// Connections through other nodes must not be recorded. Not thread safe.
class EndpointReach {
public:
  explicit EndpointReach(EndpointReachSettings aSettings)
    : m_settings(aSettings) {}

  /// Sets the number of endpoints that accept work. 0 until it is called; the node is not cut off
  /// without endpoints.
  void SetEndpointCount(size_t aCount) { m_endpointCount = aCount; }
  /// Records that a new connection to an endpoint works.
  /// `aHasRelay`: other nodes can lead connections through, so that a cut does not have to end with
  /// the first endpoint that is reached.
  void RecordConnected(const base::EndpointId& aEndpoint,
                       base::TimePoint aNow,
                       bool aHasRelay = true);
  /// Records that a new connection to an endpoint could not be established in time, or ended before
  /// the endpoint sent anything.
  /// `aHasTimedOut`: it hung until then.
  void RecordConnectFailed(const base::EndpointId& aEndpoint,
                           base::TimePoint aNow,
                           bool aHasTimedOut = false);
  /// Records that all probes of a round have ended. If none worked, their failures confirm the
  /// suspicion: failures are often known before a connection has proved to work.
  void RecordProbesEnded(base::TimePoint aNow);
  /// Records that a call waits for bytes of an endpoint on an established connection. `aCall` must
  /// not be in use.
  void RecordWaiting(uint64_t aCall, const base::EndpointId& aEndpoint, base::TimePoint aNow);
  /// Records that an endpoint has sent bytes to the call `aCall`.
  void RecordBytes(uint64_t aCall, base::TimePoint aNow);
  /// Records that the call `aCall` no longer waits.
  void RecordEnded(uint64_t aCall) { m_waiting.erase(aCall); }

  /// Records that this node did not run for `aPause` until now. What seems to have failed or to
  /// have been silent meanwhile is no evidence, and a suspicion ends.
  void RecordPause(base::TimePoint aNow, base::TimePoint::duration aPause);

  /// Evaluates the evidence. Returns whether the state has changed since the last evaluation.
  bool Update(base::TimePoint aNow);

  ReachState State() const { return m_state; }
  bool IsIsolated() const { return m_state == ReachState::Isolated; }
  /// Returns whether the node is cut off, or new connections fail so that it may be.
  bool MayBeIsolated() const {
    return IsIsolated() ||
           (m_state == ReachState::Suspected && m_evidence == ReachEvidence::FailedConnects);
  }
  /// Returns since when the node has been cut off; nullopt if it is not.
  std::optional<base::TimePoint> IsolatedSince() const { return m_isolatedSince; }
  /// Returns what the last suspicion was based on.
  ReachEvidence Evidence() const { return m_evidence; }
  /// Returns whether an endpoint has sent bytes lately, so that established connections work even
  /// if new ones fail.
  bool ReceivesBytes(base::TimePoint aNow) const {
    return m_lastBytes && aNow - *m_lastBytes < m_settings.m_silence;
  }
  /// Returns whether the latest connection that failed had hung.
  bool Hangs() const { return m_hangs; }
  /// Returns the number of endpoints at which connections failed since the last one that was
  /// established.
  size_t FailedCount() const { return m_failed.size(); }
  /// Returns the number of endpoints that are silent now although they have calls.
  size_t SilentCount(base::TimePoint aNow) const;

private:
  struct Waiting {
    base::EndpointId m_endpoint;
    base::TimePoint m_since;
  };

  size_t RequiredEndpoints() const;
  size_t RequiredConnected(bool aHasRelay) const;
  ReachEvidence FindEvidence(base::TimePoint aNow) const;
  void SetState(ReachState aState, base::TimePoint aNow);

  EndpointReachSettings m_settings;
  ReachState m_state = ReachState::Reaching;
  ReachEvidence m_evidence = ReachEvidence::None;
  bool m_changed = false;
  bool m_hangs = false;
  size_t m_endpointCount = 0;
  std::optional<base::TimePoint> m_isolatedSince;
  /// Failed connections count from then on.
  base::TimePoint m_failuresCountFrom{};
  std::optional<base::TimePoint> m_lastBytes;
  std::optional<base::TimePoint> m_lastConnected;
  /// Endpoints at which connections failed since the last one that was established.
  std::map<base::EndpointId, base::TimePoint> m_failed;
  /// Endpoints at which connections failed since the suspicion, and at which they were established
  /// since the node was cut off.
  std::set<base::EndpointId> m_confirmed;
  std::set<base::EndpointId> m_connected;
  std::map<uint64_t, Waiting> m_waiting;
};

} // namespace papayafield::forwarding

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<forwarding::ReachState> =
  std::to_array<EnumName<forwarding::ReachState>>({
    { forwarding::ReachState::Reaching, "reaching" },
    { forwarding::ReachState::Suspected, "suspected" },
    { forwarding::ReachState::Isolated, "isolated" },
  });

template<>
inline constexpr auto kEnumNames<forwarding::ReachEvidence> =
  std::to_array<EnumName<forwarding::ReachEvidence>>({
    { forwarding::ReachEvidence::None, "none" },
    { forwarding::ReachEvidence::FailedConnects, "failed_connects" },
    { forwarding::ReachEvidence::Silence, "silence" },
  });

} // namespace papayafield::base
