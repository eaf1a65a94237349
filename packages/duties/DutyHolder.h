#pragma once

#include "base/Digest.h"
#include "base/Log.h"
#include "duties/LeaderPlatformPort.h"
#include "store/StorePort.h"
#include "sync/StoreReplica.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <random>
#include <string>

namespace papayafield::duties {

/// How the duties are held.
struct HolderSettings {
  /// The key whose creation takes the duties.
  std::string m_key;
  /// Names this life of this node.
  std::string m_life;
  /// How long the duties stay with a holder that no longer renews.
  base::Millis m_term{ 3000 };
  /// Taken off the term, for clocks that differ and calls on their way.
  base::Millis m_margin{ 400 };
};

/// Holds the duties of the fleet at one node at a time: whoever creates the key, under a lease of
/// its own, holds them until the lease ends. The revision of the creation is the fence. Belongs to
/// the thread of the loop.
template<store::StorePort Store>
class DutyHolder {
public:
  DutyHolder(Store& aStore, const sync::StoreReplica& aImage, HolderSettings aSettings)
    : m_store(aStore)
    , m_image(aImage)
    , m_settings(std::move(aSettings)) {}

  /// The fence, while this node certainly holds the duties.
  std::optional<Fence> Held() const {
    return m_fence && base::BootNow() < m_validUntil ? m_fence : std::nullopt;
  }

  /// Takes the duties when nobody holds them, and renews them. Called several times a second.
  /// `aWilling`: this node may take them.
  void Tick(bool aWilling) {
    if (m_fence && base::BootNow() >= m_validUntil) {
      Drop("expired");
    }
    if (m_busy) {
      return;
    }
    if (m_fence) {
      RenewWhenDue();
    } else if (aWilling) {
      Adopt();
      TakeWhenFree();
    }
  }

  /// The platform refused this fence.
  void Refused(Fence aFence) {
    if (m_fence == aFence) {
      Drop("fenced");
    }
  }

  /// Gives the duties up at once, so that another node takes them.
  void Resign() {
    if (m_fence) {
      m_store.EndLease(m_lease);
      Drop("resigned");
    }
  }

private:
  /// Longest random pause before the duties are taken, so that nodes seldom race.
  static constexpr base::Millis kMostPause{ 300 };

  void Drop(const char* aWhy) {
    m_log.Event("duties lost", { { "fence", *m_fence }, { "why", aWhy } });
    m_fence.reset();
  }

  void Hold(Fence aFence, base::TimePoint aValidUntil) {
    m_fence = aFence;
    m_validUntil = aValidUntil;
    m_log.Event("duties taken", { { "fence", aFence }, { "lease", m_lease } });
  }

  std::string Claim() const { return m_settings.m_life + '/' + std::to_string(m_lease); }

  /// A creation whose answer was lost may have taken effect.
  void Adopt() {
    const store::Item* item = m_image.Find(m_settings.m_key);
    if (item != nullptr && m_lease != 0 && item->m_data == Claim() &&
        base::BootNow() < m_leaseUntil) {
      Hold(item->m_created, m_leaseUntil);
    }
  }

  void TakeWhenFree() {
    if (m_fence || m_image.Find(m_settings.m_key) != nullptr) {
      m_takeAt.reset();
      return;
    }
    const auto now = base::BootNow();
    if (!m_takeAt) {
      m_takeAt =
        now + base::Millis(std::uniform_int_distribution<int64_t>(0, kMostPause.count())(m_random));
    }
    if (now < *m_takeAt) {
      return;
    }
    m_takeAt.reset();
    m_busy = true;
    m_store.Grant(m_settings.m_term, [this, now](store::Result<store::LeaseId> aLease) {
      if (!aLease) {
        m_busy = false;
        return;
      }
      m_lease = *aLease;
      m_leaseUntil = now + m_settings.m_term - m_settings.m_margin;
      Create();
    });
  }

  void Create() {
    store::Transaction transaction;
    transaction.m_expected[m_settings.m_key] = 0;
    transaction.m_writes.push_back({ m_settings.m_key, Claim(), m_lease });
    m_store.Commit(transaction, [this](store::Result<uint64_t> aResult) {
      m_busy = false;
      if (aResult) {
        Hold(*aResult, m_leaseUntil);
      } else if (aResult.error() != store::Fault::Unknown) {
        m_store.EndLease(m_lease);
        m_lease = 0;
      }
    });
  }

  void RenewWhenDue() {
    const auto now = base::BootNow();
    if (m_validUntil - now > m_settings.m_term * 3 / 5) {
      return;
    }
    m_busy = true;
    m_store.Renew(m_lease, [this, now](store::Result<base::Millis> aResult) {
      m_busy = false;
      if (!m_fence) {
        return;
      }
      if (aResult) {
        m_validUntil = now + m_settings.m_term - m_settings.m_margin;
      } else if (aResult.error() == store::Fault::NoLease) {
        Drop("lease ended");
      }
    });
  }

  Store& m_store;
  const sync::StoreReplica& m_image;
  HolderSettings m_settings;
  const base::Log m_log{ "duties" };
  store::LeaseId m_lease = 0;
  base::TimePoint m_leaseUntil{};
  std::optional<Fence> m_fence;
  base::TimePoint m_validUntil{};
  std::optional<base::TimePoint> m_takeAt;
  bool m_busy = false;
  std::mt19937_64 m_random{ base::RandomSeed() };
};

} // namespace papayafield::duties
