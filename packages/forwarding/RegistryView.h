#pragma once

#include "base/Time.h"
#include "store/Position.h"

#include <optional>

namespace papayafield::forwarding {

/// How current this node's view of the registered endpoints is. Not thread safe.
struct RegistryView {
  /// Position of the store up to which all changes are known.
  store::Position m_position;
  /// When the store or a node that watches it last confirmed the view; the epoch if never.
  base::TimePoint m_confirmedAt{};
  /// When the periodic work of the node last ran; the epoch if never.
  base::TimePoint m_lastTick{};
  /// End of the last pause in which the node did not run; nullopt if there was none.
  std::optional<base::TimePoint> m_pauseEnd;
};

} // namespace papayafield::forwarding
