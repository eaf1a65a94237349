#pragma once

#include "fleet/Catalog.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayafield::fleet {

/// One endpoint as its own registration describes it.
struct Endpoint {
  Incarnation m_incarnation;
  ServiceId m_service;
  base::Address m_address;
  base::ZoneId m_zone;
  /// Requests that it runs together; 0 when it does not say.
  int m_slots = 0;
  /// Whether it takes no new work.
  bool m_draining = false;
  /// Whether the host may be reclaimed.
  bool m_reclaimable = false;
  /// Revision of the registration in the platform's store.
  uint64_t m_revision = 0;
};

/// One registration as it came: an endpoint, or nothing where it cannot be read.
struct Registration {
  base::EndpointId m_id;
  uint64_t m_revision = 0;
  std::optional<Endpoint> m_endpoint;
};

/// Which endpoints there are, from registrations in the platform's store. While the store is away,
/// and for a grace period after its return, missing registrations are not believed: they lapse
/// together when nobody can renew them. Not thread safe.
class EndpointDirectory {
public:
  /// Missing registrations are believed `aGrace` after the store's return.
  explicit EndpointDirectory(base::Millis aGrace)
    : m_grace(aGrace) {}

  /// A registration was written.
  void Put(const Registration& aRegistration);
  /// A registration was removed at `aRevision`.
  void Remove(const base::EndpointId& aId, uint64_t aRevision, base::TimePoint aNow);
  /// The whole list, as it stood at `aRevision`.
  void Replace(const std::vector<Registration>& aAll, uint64_t aRevision, base::TimePoint aNow);
  /// The store stopped answering at all, to anyone known.
  void StoreLost();
  /// The store answers again.
  void StoreBack(base::TimePoint aNow);
  /// Drops what is still missing after the grace period. Gives the endpoints that went.
  std::vector<base::EndpointId> Expire(base::TimePoint aNow);

  /// All endpoints that may get new work, in a fixed order.
  const std::vector<Endpoint>& Ready() const { return m_ready; }
  /// All endpoints that are known, draining ones too.
  const std::map<base::EndpointId, Endpoint>& All() const { return m_all; }
  /// Greatest revision seen in any registration or removal.
  uint64_t LastRevision() const { return m_lastRevision; }

private:
  bool InDoubt(base::TimePoint aNow) const;
  void Rebuild();

  base::Millis m_grace;
  std::map<base::EndpointId, Endpoint> m_all;
  std::map<base::EndpointId, uint64_t> m_removedAt;
  std::set<base::EndpointId> m_missing;
  std::vector<Endpoint> m_ready;
  bool m_storeLost = false;
  std::optional<base::TimePoint> m_believeFrom;
  uint64_t m_lastRevision = 0;
};

} // namespace papayafield::fleet
