#pragma once

#include "base/Time.h"
#include "fleet/Catalog.h"

#include <map>
#include <vector>

namespace papayafield::scheduling {

/// Lowest and highest value of the priority that engines accept; 0 is served first.
constexpr int kFirstLevel = 0;
constexpr int kLastLevel = 9;

/// What the configuration requires for calls of one route and team to one service.
struct CallClass {
  /// Configured priority; 0 is the most urgent.
  int m_priority = 0;
  /// Target time to the first event of the answer.
  base::Millis m_target{ 0 };

  /// Orders by priority, then by target.
  auto operator<=>(const CallClass&) const = default;
};

/// The classes of calls that share the engines of one service. Immutable and thread safe.
class CallClasses {
public:
  /// `aClasses` and `aPriorities` may contain duplicates; `aPriorities` lists the priorities of
  /// teams, which may occur in addition to those of the classes.
  CallClasses(std::vector<CallClass> aClasses, const std::vector<int>& aPriorities);

  /// Returns whether the calls differ, so that their order and distribution matter.
  bool Mixed() const { return m_classes.size() > 1; }
  /// Returns how urgent a class is among those of the service, from 0 (least) to 1 (most).
  /// Classes of one priority are never more urgent than those of a more urgent priority.
  double Urgency(const CallClass& aClass) const;
  /// Returns the position of `aPriority` among the priorities in use; 0 is the most urgent.
  size_t PriorityRank(int aPriority) const;
  /// Returns the number of priorities in use, at least one.
  size_t PriorityCount() const { return m_priorities.size(); }
  /// Returns the engine's priority for a call of class `aClass` that may still wait for
  /// `aSlackMs`: the target minus the time that has passed and the expected time to the first
  /// event. Priorities have separate ranges of levels, within which calls with the least slack go
  /// first. Returns the configured priority if the service is not mixed, or if it has more
  /// priorities than there are levels.
  int EnginePriority(const CallClass& aClass, double aSlackMs) const;

private:
  std::vector<CallClass> m_classes;
  std::vector<int> m_priorities;
};

/// Returns the classes of each model service that routes of `aCatalog` with different targets or
/// priorities share. Other services have no entry. Thread safe.
std::map<fleet::ServiceId, CallClasses> MixedServices(const fleet::Catalog& aCatalog);

} // namespace papayafield::scheduling
