#include "scheduling/CallClasses.h"

#include <algorithm>

namespace papayafield::scheduling {

namespace {

template<typename T>
void SortUnique(std::vector<T>& aValues) {
  std::sort(aValues.begin(), aValues.end());
  aValues.erase(std::unique(aValues.begin(), aValues.end()), aValues.end());
}

template<typename T>
size_t Position(const std::vector<T>& aSorted, const T& aValue) {
  const auto found = std::lower_bound(aSorted.begin(), aSorted.end(), aValue);
  const auto position = static_cast<size_t>(found - aSorted.begin());
  return std::min(position, aSorted.empty() ? 0 : aSorted.size() - 1);
}

} // namespace

CallClasses::CallClasses(std::vector<CallClass> aClasses, const std::vector<int>& aPriorities)
  : m_classes(std::move(aClasses))
  , m_priorities(aPriorities) {
  for (const CallClass& callClass : m_classes) {
    m_priorities.push_back(callClass.m_priority);
  }
  if (m_priorities.empty()) {
    m_priorities.push_back(0);
  }
  SortUnique(m_classes);
  SortUnique(m_priorities);
}

double CallClasses::Urgency(const CallClass& aClass) const {
  if (!Mixed()) {
    return 0;
  }
  return 1 - static_cast<double>(Position(m_classes, aClass)) /
               static_cast<double>(m_classes.size() - 1);
}

size_t CallClasses::PriorityRank(int aPriority) const {
  return Position(m_priorities, aPriority);
}

int CallClasses::EnginePriority(const CallClass& aClass, double aSlackMs) const {
  constexpr size_t kLevelCount = kLastLevel - kFirstLevel + 1;
  if (!Mixed() || m_priorities.size() > kLevelCount) {
    return aClass.m_priority;
  }
  const size_t levels = kLevelCount / m_priorities.size();
  // The slack is divided by the longest target of all classes, so that slacks of different targets
  // compare.
  double longestTargetMs = 1;
  for (const CallClass& callClass : m_classes) {
    longestTargetMs = std::max(longestTargetMs, static_cast<double>(callClass.m_target.count()));
  }
  const double part = std::clamp(aSlackMs / longestTargetMs, 0.0, 1.0);
  const size_t level =
    std::min(static_cast<size_t>(part * static_cast<double>(levels)), levels - 1);
  return kFirstLevel + static_cast<int>(PriorityRank(aClass.m_priority) * levels + level);
}

std::map<fleet::ServiceId, CallClasses> MixedServices(const fleet::Catalog& aCatalog) {
  std::vector<int> teamPriorities;
  for (const fleet::Team& team : aCatalog.Teams()) {
    if (team.m_priority) {
      teamPriorities.push_back(*team.m_priority);
    }
  }
  std::map<fleet::ServiceId, std::vector<CallClass>> classes;
  for (const fleet::Route& route : aCatalog.Routes()) {
    for (const fleet::Backend& backend : route.m_backends) {
      classes[backend.m_service].push_back({ route.m_priority, route.m_latencyTarget });
    }
  }
  std::map<fleet::ServiceId, CallClasses> mixed;
  for (const fleet::Service& service : aCatalog.Services()) {
    const auto found = classes.find(service.m_id);
    if (!service.m_engine || found == classes.end()) {
      continue;
    }
    CallClasses callClasses(found->second, teamPriorities);
    if (callClasses.Mixed()) {
      mixed.emplace(service.m_id, std::move(callClasses));
    }
  }
  return mixed;
}

} // namespace papayafield::scheduling
