#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace papayafield::routing {

/// The type of an endpoint.
enum class EndpointKind { Engine, Service };

/// Whether an endpoint may receive new requests.
enum class EndpointState { Live, Leaving };

/// An endpoint as reported by the platform and by other nodes.
struct EndpointInfo {
  /// Name of its host; a replacement host has a different name.
  base::EndpointId m_id;
  /// Address that it listens on.
  base::Address m_address;
  /// Its availability zone.
  base::ZoneId m_zone;
  /// Its host class.
  std::string m_class;
  /// Price in cents per hour.
  double m_centsPerHour = 0;
  /// Engine or plain service.
  EndpointKind m_kind = EndpointKind::Engine;
  /// The deployment or service that it runs.
  base::DeploymentId m_deployment;
  /// Whether it may receive new requests.
  EndpointState m_state = EndpointState::Live;
  /// Wall clock time in milliseconds at which its host is reclaimed; 0 if it is not leaving.
  int64_t m_leavesAtMs = 0;
};

/// A load report of an engine; it describes a past time.
struct EngineLoad {
  /// Number of streams in its batch.
  uint32_t m_running = 0;
  /// Number of requests queued at the engine.
  uint32_t m_queued = 0;
  /// Maximum number of streams in its batch.
  uint32_t m_slots = 8;
  /// Prompt tokens not yet prefilled.
  uint64_t m_queuedPrefillTokens = 0;
  /// Prefill rate in prompt tokens per second.
  double m_prefillRate = 8000;
  /// Whether the engine reports that it is leaving.
  bool m_leaving = false;
  /// The time that the report describes; the default value if there is no report yet.
  base::TimePoint m_asOf{};
};

} // namespace papayafield::routing

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<routing::EndpointKind> =
  std::to_array<EnumName<routing::EndpointKind>>({
    { routing::EndpointKind::Engine, "engine" },
    { routing::EndpointKind::Service, "service" },
  });

template<>
inline constexpr auto kEnumNames<routing::EndpointState> =
  std::to_array<EnumName<routing::EndpointState>>({
    { routing::EndpointState::Live, "live" },
    { routing::EndpointState::Leaving, "leaving" },
  });

} // namespace papayafield::base
