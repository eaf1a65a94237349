#pragma once

#include "soak/PlannedWork.h"

#include "base/EnumNames.h"

#include <random>
#include <string>
#include <vector>

namespace papayafield::soak {

/// A disruption of a single node.
enum class NodeDisruption {
  /// The process is suspended.
  Paused,
  /// Connections to the store are closed, and new ones are refused.
  StoreRefused,
  /// Connections to the store stay open, but no answer arrives.
  StoreSilent,
  /// The process is killed, and started again afterwards.
  Killed,
};

/// A time in which a node was disrupted.
struct NodeSpan {
  NodeDisruption m_kind = NodeDisruption::Paused;
  base::Address m_address;
  base::TimePoint m_start{};
  base::TimePoint m_end{};
};

/// Disrupts single nodes for 0.5 to 5 s while the event loop runs. Must be used only on the thread
/// of the event loop.
class NodeDisruptions {
public:
  /// `aStoreProxies` are the indexes of the nodes' own proxies to the store. All references must
  /// outlive the object.
  NodeDisruptions(tests::PlatformFleet& aFleet,
                  PlannedWork& aPlannedWork,
                  adapters::http::EventLoop& aLoop,
                  std::vector<size_t> aStoreProxies,
                  uint64_t aSeed);
  /// Reverts what is in progress.
  ~NodeDisruptions();
  NodeDisruptions(const NodeDisruptions&) = delete;
  NodeDisruptions& operator=(const NodeDisruptions&) = delete;
  NodeDisruptions(NodeDisruptions&&) = delete;
  NodeDisruptions& operator=(NodeDisruptions&&) = delete;

  /// Schedules a disruption that starts within `aDuration`, unless the chosen node is disrupted
  /// then, or all others are. Returns its description.
  std::string Schedule(base::Millis aDuration);
  /// Returns all disruptions that have started; those in progress with their planned end.
  const std::vector<NodeSpan>& Spans() const { return m_spans; }
  /// Whether no disruption is in progress.
  bool IsSettled() const;

private:
  void Begin(NodeDisruption aKind, size_t aNode, base::Millis aDuration);
  void End(NodeDisruption aKind, size_t aNode);
  base::Millis RandomTime(base::Millis aMin, base::Millis aMax) {
    return aMin + base::Millis(m_random() % static_cast<uint64_t>((aMax - aMin).count() + 1));
  }

  tests::PlatformFleet& m_fleet;
  PlannedWork& m_plannedWork;
  adapters::http::EventLoop& m_loop;
  std::vector<size_t> m_storeProxies;
  std::mt19937_64 m_random;
  /// The disruption of each node; not set for nodes without one.
  std::vector<std::optional<NodeDisruption>> m_active;
  std::vector<NodeSpan> m_spans;
  std::vector<adapters::http::EventHandlePtr> m_timers;
};

} // namespace papayafield::soak

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<soak::NodeDisruption> =
  std::to_array<EnumName<soak::NodeDisruption>>({
    { soak::NodeDisruption::Paused, "pause" },
    { soak::NodeDisruption::StoreRefused, "store_refused" },
    { soak::NodeDisruption::StoreSilent, "store_silent" },
    { soak::NodeDisruption::Killed, "kill" },
  });

} // namespace papayafield::base
