#pragma once

#include "base/Digest.h"
#include "base/Log.h"
#include "duties/LeaderPlatformPort.h"
#include "store/StorePort.h"
#include "sync/StoreReplica.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace papayafield::duties {

/// Parameters of the leader election.
struct LeaderElectionSettings {
  /// Store key whose creation makes a node the leader. The era is appended.
  std::string m_key;
  /// Identifies this incarnation of this node.
  std::string m_incarnation;
  /// Lease duration: a leader that stops renewing loses leadership after this time.
  base::Millis m_leaseDuration{ 3000 };
  /// Safety margin subtracted from the lease duration, for clock drift and calls in flight.
  base::Millis m_safetyMargin{ 400 };
  /// Minimum remaining leadership with which a leader call is started, so that it usually ends
  /// before it has to be cut off.
  base::Millis m_minCallTime{ 300 };
  /// Store keys that only leaders write. If one exists, there has been a leader.
  std::vector<std::string> m_leaderRecords;
  /// Seed of the random delays.
  uint64_t m_randomSeed = base::RandomSeed();
};

/// Elects at most one leader of the fleet at a time. The node that creates the key under its own
/// lease is the leader until the lease ends. The position at which the key was created is the
/// fencing token. A restored store may have forgotten the lease of a leader that still acts, so the
/// leader resigns when it learns of the restore, and no node acquires leadership before every
/// earlier lease has ended. Each era has a key of its own: an attempt of an earlier era that
/// arrives late may write its key under a lease that the store has assigned again, to a node that
/// renews it for ever. Used on the event loop thread only.
template<store::StorePort Store, base::ClockPort Clock = base::BootClock>
class LeaderElection {
public:
  LeaderElection(Store& aStore,
                 const sync::StoreReplica& aReplica,
                 LeaderElectionSettings aSettings,
                 const Clock& aClock = {})
    : m_store(aStore)
    , m_replica(aReplica)
    , m_settings(std::move(aSettings))
    , m_clock(aClock)
    , m_random(m_settings.m_randomSeed) {}

  /// Returns whether this node is certain to be the leader.
  bool IsLeader() const { return m_fencingToken && m_clock.Now() < m_validUntil; }
  /// Returns the permission for a leader call while this node is the leader for long enough to make
  /// one, otherwise nullopt.
  std::optional<Leadership> CurrentLeadership() const {
    if (!m_fencingToken || m_clock.Now() + m_settings.m_minCallTime > m_validUntil) {
      return std::nullopt;
    }
    return Leadership{ *m_fencingToken, m_validUntil };
  }

  /// Acquires leadership if there is no leader, and renews the lease. Called several times a
  /// second. This node campaigns only if `aMayLead` is true.
  void Tick(bool aMayLead) {
    FollowEra();
    if (m_fencingToken && m_clock.Now() >= m_validUntil) {
      LoseLeadership("expired");
    }
    if (m_callInFlight) {
      return;
    }
    if (m_fencingToken) {
      RenewWhenDue();
    } else if (aMayLead) {
      RecoverLeadership();
      AcquireIfVacant();
    }
  }

  /// Gives up leadership because the platform rejected the fencing token `aFencingToken`.
  void OnTokenRejected(FencingToken aFencingToken) {
    if (m_fencingToken == aFencingToken) {
      LoseLeadership("fenced");
    }
  }

  /// Gives up leadership. The lease is left to expire, since a call in progress may be sent until
  /// then, and must not arrive after a call of the next leader.
  void Resign() {
    if (m_fencingToken) {
      LoseLeadership("resigned");
    }
  }

private:
  /// Maximum random delay before leadership is acquired, so that nodes seldom race for it.
  static constexpr base::Millis kMaxAcquireDelay{ 300 };

  void LoseLeadership(const char* aReason) {
    m_log.Event("leadership lost", { { "fence", *m_fencingToken }, { "why", aReason } });
    m_fencingToken.reset();
    m_leaseValidUntil = {};
  }

  void BecomeLeader(const store::Position& aCreated, base::TimePoint aValidUntil) {
    m_fencingToken = MakeFencingToken(aCreated);
    m_validUntil = aValidUntil;
    m_log.Event("leadership acquired",
                { { "fence", *m_fencingToken },
                  { "era", aCreated.m_era },
                  { "revision", aCreated.m_revision },
                  { "lease", m_lease.m_id } });
  }

  /// Returns the key whose creation under a lease of `aEra` makes a node the leader.
  std::string KeyOf(uint64_t aEra) const {
    return aEra == 0 ? m_settings.m_key : m_settings.m_key + '/' + std::to_string(aEra);
  }

  std::string LeaderValue() const {
    return m_settings.m_incarnation + '/' + std::to_string(m_lease.m_id);
  }

  /// Drops leadership and lease if the store has been restored since the last call, and waits for
  /// leases of the earlier era to end. A node that has just started does not know when the present
  /// era began.
  void FollowEra() {
    if (m_replica.LastPosition() == store::Position{}) {
      return;
    }
    const uint64_t era = std::max(m_store.LatestEra(), m_replica.LastPosition().m_era);
    if (m_era && era <= *m_era) {
      return;
    }
    const bool hadLeader = m_era || std::any_of(m_settings.m_leaderRecords.begin(),
                                                m_settings.m_leaderRecords.end(),
                                                [this](const std::string& aKey) {
                                                  return m_replica.Find(aKey) != nullptr;
                                                });
    if (hadLeader) {
      m_acquireFrom = m_clock.Now() + m_settings.m_leaseDuration;
      m_log.Event("leases of earlier leaders awaited",
                  { { "era", era },
                    { "started", !m_era },
                    { "wait_ms", m_settings.m_leaseDuration.count() } });
    }
    if (m_era) {
      ForgetLease();
    }
    m_era = era;
  }

  /// Handles the loss of the lease in a restore. Its identifier may be assigned to another node.
  void ForgetLease() {
    if (m_fencingToken) {
      LoseLeadership("store restored");
    }
    m_lease = {};
    m_leaseValidUntil = {};
    m_acquireAt.reset();
  }

  /// Assumes leadership if the replica shows the key of an earlier attempt whose response was lost.
  void RecoverLeadership() {
    const store::Item* item = m_replica.Find(KeyOf(m_lease.m_era));
    if (item != nullptr && m_lease.m_id != 0 && item->m_data == LeaderValue() &&
        m_clock.Now() < m_leaseValidUntil) {
      BecomeLeader({ item->m_position.m_era, item->m_created }, m_leaseValidUntil);
    }
  }

  void AcquireIfVacant() {
    if (m_fencingToken || !m_era || m_replica.Find(KeyOf(*m_era)) != nullptr) {
      m_acquireAt.reset();
      return;
    }
    const auto now = m_clock.Now();
    if (now < m_acquireFrom) {
      return;
    }
    if (!m_acquireAt) {
      m_acquireAt =
        now +
        base::Millis(std::uniform_int_distribution<int64_t>(0, kMaxAcquireDelay.count())(m_random));
    }
    if (now < *m_acquireAt) {
      return;
    }
    m_acquireAt.reset();
    m_callInFlight = true;
    m_store.Grant(m_settings.m_leaseDuration, [this, now](store::Result<store::Lease> aLease) {
      FollowEra();
      if (!aLease || aLease->m_era != m_era || m_clock.Now() < m_acquireFrom) {
        m_callInFlight = false;
        return;
      }
      m_lease = *aLease;
      m_leaseValidUntil = now + m_settings.m_leaseDuration - m_settings.m_safetyMargin;
      CreateLeaderKey();
    });
  }

  void CreateLeaderKey() {
    store::Transaction transaction;
    const std::string key = KeyOf(m_lease.m_era);
    transaction.m_expected[key] = 0;
    transaction.m_writes.push_back({ key, LeaderValue(), m_lease.m_id });
    m_store.Commit(transaction, [this](store::Result<store::Position> aResult) {
      m_callInFlight = false;
      FollowEra();
      if (m_lease.m_id == 0 || (aResult && aResult->m_era != m_lease.m_era)) {
        ForgetLease();
      } else if (aResult) {
        BecomeLeader(*aResult, m_leaseValidUntil);
      } else if (aResult.error() != store::Fault::Unknown) {
        // The lease expires by itself. A call to end it could arrive after a restore, and end that
        // of another leader.
        m_lease = {};
      }
    });
  }

  void RenewWhenDue() {
    const auto now = m_clock.Now();
    if (m_validUntil - now > m_settings.m_leaseDuration * 3 / 5) {
      return;
    }
    m_callInFlight = true;
    m_store.Renew(m_lease.m_id, [this, now](store::Result<store::Renewal> aResult) {
      m_callInFlight = false;
      FollowEra();
      if (!m_fencingToken) {
        return;
      }
      if (aResult && aResult->m_era != m_lease.m_era) {
        ForgetLease();
      } else if (aResult) {
        m_validUntil = now + m_settings.m_leaseDuration - m_settings.m_safetyMargin;
      } else if (aResult.error() == store::Fault::NoLease) {
        LoseLeadership("lease ended");
      }
    });
  }

  Store& m_store;
  const sync::StoreReplica& m_replica;
  LeaderElectionSettings m_settings;
  const Clock m_clock;
  const base::Log m_log{ "duties" };
  /// Era of the store that this node follows; nullopt before its first contents are known.
  std::optional<uint64_t> m_era;
  /// Time from which leadership may be acquired.
  base::TimePoint m_acquireFrom{};
  store::Lease m_lease;
  base::TimePoint m_leaseValidUntil{};
  std::optional<FencingToken> m_fencingToken;
  base::TimePoint m_validUntil{};
  std::optional<base::TimePoint> m_acquireAt;
  bool m_callInFlight = false;
  std::mt19937_64 m_random;
};

} // namespace papayafield::duties
