#pragma once

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace papayafield::fleet {

/// Remembers which software versions of each service have been registered lately. Where there was
/// only one, it has produced every stream of that time. Not thread safe.
class VersionHistory {
public:
  using Versions = std::map<ServiceId, std::set<std::string>>;

  /// Records a registered endpoint.
  void Add(const Endpoint& aEndpoint, base::TimePoint aNow);
  /// Merges the record that the nodes keep in the store. Versions in it that this node has not seen
  /// count as registered until now, since their departure is not known.
  void Merge(const Versions& aRecord, base::TimePoint aNow);
  /// Records that nothing is missing: the store has been read, and with it the record of the
  /// versions that were registered before this node started.
  void SetComplete() { m_complete = true; }
  /// Counts all remembered versions as registered until now, because the node did not see what was
  /// registered in the meantime.
  void Extend(base::TimePoint aNow);
  /// Nothing is certain until `aUntil`: registrations may be missing for a while.
  void Suspend(base::TimePoint aUntil) { m_suspendedUntil = aUntil; }
  /// Forgets versions that have not been registered for `aRetention`.
  void Prune(base::Millis aRetention, base::TimePoint aNow);

  /// Returns the only version of `aService` that is remembered; nullopt if there are several or
  /// none, or if that is not certain.
  std::optional<std::string> OnlyVersion(const ServiceId& aService, base::TimePoint aNow) const;
  /// Returns how many versions of `aService` are remembered.
  size_t CountOf(const ServiceId& aService) const;
  /// Returns all remembered versions, as they are to be recorded.
  Versions All() const;

private:
  /// When each version was last seen.
  std::map<ServiceId, std::map<std::string, base::TimePoint>> m_lastSeen;
  bool m_complete = false;
  base::TimePoint m_suspendedUntil{};
};

} // namespace papayafield::fleet
