#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

namespace papayafield::routing {

/// What an endpoint is.
enum class EndpointKind { Engine, Service };

/// Whether an endpoint may get new work.
enum class EndpointState { Live, Leaving };

/// What is known of an endpoint from the platform and from other nodes.
struct EndpointInfo {
  /// Name of its host; a replacement has another one.
  base::EndpointId m_id;
  /// Where it listens.
  base::Address m_address;
  /// Its availability zone.
  base::ZoneId m_zone;
  /// Its host class.
  std::string m_class;
  /// Price in cents an hour.
  double m_centsPerHour = 0;
  /// Engine or plain service.
  EndpointKind m_kind = EndpointKind::Engine;
  /// The deployment or service that it runs.
  base::DeploymentId m_runs;
  /// Whether it may get new work.
  EndpointState m_state = EndpointState::Live;
  /// When its host goes, in wall milliseconds; 0 when it is not leaving.
  int64_t m_leavesAtMs = 0;
};

/// What an engine reports of itself, with a lag.
struct EngineLoad {
  /// Streams in its batch.
  uint32_t m_running = 0;
  /// Requests waiting at it.
  uint32_t m_queued = 0;
  /// Most streams in its batch.
  uint32_t m_slots = 8;
  /// Prompt tokens not yet prefilled.
  uint64_t m_queuedPrefillTokens = 0;
  /// Prompt tokens prefilled a second.
  double m_prefillRate = 8000;
  /// Whether it says that it is leaving.
  bool m_leaving = false;
  /// The moment that the report describes.
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
