#include "soak/NodeDisruptions.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace papayafield::soak {

namespace {

constexpr base::Millis kMinDuration{ 500 };
constexpr base::Millis kMaxDuration{ 5000 };
constexpr std::array kKinds = { NodeDisruption::Paused,      NodeDisruption::Paused,
                                NodeDisruption::Paused,      NodeDisruption::StoreRefused,
                                NodeDisruption::StoreSilent, NodeDisruption::Killed };

} // namespace

NodeDisruptions::NodeDisruptions(tests::PlatformFleet& aFleet,
                                 PlannedWork& aPlannedWork,
                                 adapters::http::EventLoop& aLoop,
                                 std::vector<size_t> aStoreProxies,
                                 uint64_t aSeed)
  : m_fleet(aFleet)
  , m_plannedWork(aPlannedWork)
  , m_loop(aLoop)
  , m_storeProxies(std::move(aStoreProxies))
  , m_random(aSeed)
  , m_active(m_storeProxies.size()) {}

NodeDisruptions::~NodeDisruptions() {
  for (size_t node = 0; node < m_active.size(); ++node) {
    if (m_active[node]) {
      End(*m_active[node], node);
    }
  }
}

std::string NodeDisruptions::Schedule(base::Millis aDuration) {
  const NodeDisruption kind = kKinds[m_random() % kKinds.size()];
  const size_t node = m_random() % m_active.size();
  const base::Millis delay = RandomTime(base::Millis(0), aDuration);
  const base::Millis duration = RandomTime(kMinDuration, kMaxDuration);
  m_timers.push_back(
    m_loop.After(delay, [this, kind, node, duration] { Begin(kind, node, duration); }));
  return " " + std::string(base::NameOf(kind)) + "_node_" + std::to_string(node) + "@" +
         std::to_string(delay.count()) + "+" + std::to_string(duration.count());
}

void NodeDisruptions::Begin(NodeDisruption aKind, size_t aNode, base::Millis aDuration) {
  const auto disrupted = static_cast<size_t>(std::count_if(
    m_active.begin(), m_active.end(), [](const auto& aActive) { return aActive.has_value(); }));
  if (m_active[aNode] || disrupted + 1 >= m_active.size() || m_plannedWork.IsStopping(aNode)) {
    return;
  }
  m_active[aNode] = aKind;
  const auto now = base::BootNow();
  m_spans.push_back({ aKind, m_fleet.CallerAddress(aNode), now, now + aDuration });
  switch (aKind) {
    case NodeDisruption::Paused:
      m_fleet.NodeProcess(aNode).Signal(SIGSTOP);
      break;
    case NodeDisruption::StoreRefused:
      m_fleet.SetProxyFaults(m_storeProxies[aNode], { { "refuse", true }, { "cut", true } });
      break;
    case NodeDisruption::StoreSilent:
      m_fleet.SetProxyFaults(m_storeProxies[aNode],
                             { { "lose_answers", true }, { "silence", true } });
      break;
    case NodeDisruption::Killed:
      m_fleet.NodeProcess(aNode).Kill();
      break;
  }
  m_timers.push_back(m_loop.After(aDuration, [this, aKind, aNode] { End(aKind, aNode); }));
}

void NodeDisruptions::End(NodeDisruption aKind, size_t aNode) {
  m_active[aNode].reset();
  switch (aKind) {
    case NodeDisruption::Paused:
      m_fleet.NodeProcess(aNode).Signal(SIGCONT);
      break;
    case NodeDisruption::StoreRefused:
      m_fleet.SetProxyFaults(m_storeProxies[aNode], { { "refuse", false } });
      break;
    case NodeDisruption::StoreSilent:
      m_fleet.SetProxyFaults(m_storeProxies[aNode], { { "lose_answers", false }, { "cut", true } });
      break;
    case NodeDisruption::Killed:
      m_plannedWork.EnsureRunning(aNode);
      break;
  }
}

bool NodeDisruptions::IsSettled() const {
  return std::none_of(
    m_active.begin(), m_active.end(), [](const auto& aActive) { return aActive.has_value(); });
}

} // namespace papayafield::soak
