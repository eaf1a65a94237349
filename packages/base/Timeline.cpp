#include "base/Timeline.h"

#include "base/Time.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayafield::base {

nlohmann::json TimelineEvent::ToJson() const {
  return { { "wall_ms", m_time.m_wallMs },  { "count", m_time.m_logical },
           { "node", m_node.Text() },       { "kind", NameOf(m_kind) },
           { "request", m_request.Text() }, { "subject", m_subject },
           { "detail", m_detail } };
}

Timeline::Timeline(NodeId aNode, size_t aCapacity)
  : m_node(std::move(aNode))
  , m_capacity(aCapacity) {}

void Timeline::Add(EventKind aKind,
                   const RequestId& aRequest,
                   std::string aSubject,
                   std::string aDetail) {
  std::lock_guard lock(m_mutex);
  if (m_events.size() == m_capacity) {
    m_events.pop_front();
  }
  m_events.push_back(
    { AdvanceLocked(), m_node, aKind, aRequest, std::move(aSubject), std::move(aDetail) });
}

HybridTime Timeline::Tick() {
  std::lock_guard lock(m_mutex);
  return AdvanceLocked();
}

void Timeline::MergeRemoteTime(HybridTime aTime) {
  std::lock_guard lock(m_mutex);
  m_clock = std::max(m_clock, aTime);
}

std::vector<TimelineEvent> Timeline::Events() const {
  std::lock_guard lock(m_mutex);
  return { m_events.begin(), m_events.end() };
}

HybridTime Timeline::AdvanceLocked() {
  const int64_t wall = WallMillis();
  if (wall > m_clock.m_wallMs) {
    m_clock = { wall, 0 };
  } else {
    ++m_clock.m_logical;
  }
  return m_clock;
}

} // namespace papayafield::base
