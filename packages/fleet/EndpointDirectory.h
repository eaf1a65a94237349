#pragma once

#include "fleet/Catalog.h"
#include "store/Position.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayafield::fleet {

/// An endpoint as described by its own registration.
struct Endpoint {
  Incarnation m_incarnation;
  ServiceId m_service;
  base::Address m_address;
  base::ZoneId m_zone;
  /// Requests that it runs concurrently; 0 if the registration does not state it.
  int m_slots = 0;
  /// Whether it accepts no new work.
  bool m_draining = false;
  /// Whether its host is preemptible.
  bool m_reclaimable = false;
  /// Store position of the registration.
  store::Position m_position;
  /// Version of its software; empty if the registration does not state it.
  std::string m_version;
  /// Until then it may be slow because it has just started.
  base::TimePoint m_warmFrom{};
};

/// A registration read from the store. `m_endpoint` is nullopt if it could not be parsed.
struct Registration {
  base::EndpointId m_id;
  store::Position m_position;
  std::optional<Endpoint> m_endpoint;
};

/// The set of endpoints, built from their registrations in the store. While the store is
/// unavailable, and for a grace period after it recovers, endpoints whose registration has expired
/// are kept: no endpoint can renew its lease then, so all registrations expire together. A restored
/// store lists endpoints as they were in its copy; what was known of their departure since then
/// holds. Not thread safe.
class EndpointDirectory {
public:
  /// Removals take effect again `aGracePeriod` after the store recovers.
  explicit EndpointDirectory(base::Millis aGracePeriod)
    : m_gracePeriod(aGracePeriod) {}

  /// Adds or updates an endpoint from a registration, or removes it if the registration could not
  /// be parsed. Older positions are ignored.
  void Put(const Registration& aRegistration);
  /// Handles the removal of a registration at `aPosition`.
  void Remove(const base::EndpointId& aId, const store::Position& aPosition, base::TimePoint aNow);
  /// Replaces all registrations with `aRegistrations`, a complete listing at `aPosition`.
  void Replace(const std::vector<Registration>& aRegistrations,
               const store::Position& aPosition,
               base::TimePoint aNow);
  /// Records that no known node can reach the store.
  void OnStoreLost();
  /// Records that the store is reachable again, and starts the grace period.
  void OnStoreRecovered(base::TimePoint aNow);
  /// Records that the store was restored from a copy, before the registrations of the new era are
  /// put, and starts the grace period: endpoints that the copy lacks may register again.
  void OnStoreRestored(base::TimePoint aNow);
  /// Removes the endpoints whose registration is still missing after the grace period, and returns
  /// their identifiers. Ends the hold of endpoints that the store lists again.
  std::vector<base::EndpointId> RemoveExpired(base::TimePoint aNow);

  /// Returns the endpoints that accept new work, ordered by identifier.
  const std::vector<Endpoint>& Ready() const { return m_ready; }
  /// Returns all known endpoints, including draining ones.
  const std::map<base::EndpointId, Endpoint>& All() const { return m_endpoints; }
  /// Returns the latest position of any registration or removal so far.
  const store::Position& LastPosition() const { return m_lastPosition; }

private:
  /// The draining or removal of an incarnation. It outlasts a restore of the store to a copy that
  /// still lists the endpoint as ready.
  struct Departure {
    store::Position m_position;
    /// Whether the endpoint was registered as draining.
    bool m_draining = false;
    /// Since when the incarnation is not registered.
    std::optional<base::TimePoint> m_absentSince;
  };

  bool DefersRemovals(base::TimePoint aNow) const;
  void Store(Endpoint aEndpoint);
  void Erase(std::map<base::EndpointId, Endpoint>::iterator aEndpoint,
             const store::Position& aPosition);
  void EndHold(base::TimePoint aNow);
  void ForgetDepartures(base::TimePoint aNow);
  void Rebuild();

  base::Millis m_gracePeriod;
  std::map<base::EndpointId, Endpoint> m_endpoints;
  std::map<base::EndpointId, store::Position> m_tombstones;
  std::map<Incarnation, Departure> m_departures;
  std::set<base::EndpointId> m_missing;
  /// Endpoints that get no work until the end of the hold.
  std::set<base::EndpointId> m_held;
  std::vector<Endpoint> m_ready;
  bool m_storeLost = false;
  std::optional<base::TimePoint> m_graceEnd;
  /// End of the hold of endpoints that a restored store lists although they were removed.
  std::optional<base::TimePoint> m_holdEnd;
  store::Position m_lastPosition;
};

} // namespace papayafield::fleet
