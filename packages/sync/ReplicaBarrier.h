#pragma once

#include "adapters/http/EventLoop.h"
#include "store/StorePort.h"
#include "sync/StoreReplica.h"

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace papayafield::sync {

/// Confirms that the replica contains everything that the store had acknowledged at some instant,
/// whichever way changes reach this node. Belongs to the event loop's thread.
template<store::StorePort Store>
class ReplicaBarrier {
public:
  /// Called with whether the replica is known to be current.
  using OnDone = std::function<void(bool aCurrent)>;

  /// `aKey` is read for the position of the store; a key with little data is best. `aLoop`,
  /// `aStore` and `aReplica` must outlive the object.
  ReplicaBarrier(adapters::http::EventLoop& aLoop,
                 Store& aStore,
                 const StoreReplica& aReplica,
                 std::string aKey)
    : m_loop(aLoop)
    , m_store(aStore)
    , m_replica(aReplica)
    , m_key(std::move(aKey)) {}

  /// Reads the position of the store, and calls `aOnDone` once, never before this call returns:
  /// with true when the replica has reached it, or with false if the store can't be read or the
  /// replica has not reached it after `aMaxWait`. Calls in quick succession share one read.
  void Await(base::Millis aMaxWait, OnDone aOnDone) {
    m_waiters.push_back({ base::BootNow() + aMaxWait, std::nullopt, false, std::move(aOnDone) });
    if (m_checkTimer == nullptr) {
      m_checkTimer = m_loop.Every(kCheckInterval, [this] { Check(); });
    }
    ReadIfDue();
  }

private:
  /// Interval at which the replica is compared.
  static constexpr base::Millis kCheckInterval{ 10 };
  /// Minimum time between two reads; bounds the load of the store.
  static constexpr base::Millis kReadInterval{ 100 };

  struct Waiter {
    base::TimePoint m_deadline;
    /// Position that the replica must reach; nullopt until it has been read.
    std::optional<store::Position> m_position;
    /// Whether the read in flight began after the waiter's call.
    bool m_isReading = false;
    OnDone m_onDone;
  };

  void ReadIfDue() {
    const auto now = base::BootNow();
    if (m_isReading || now < m_nextRead) {
      return;
    }
    bool needed = false;
    for (Waiter& waiter : m_waiters) {
      waiter.m_isReading = !waiter.m_position;
      needed = needed || waiter.m_isReading;
    }
    if (!needed) {
      return;
    }
    m_isReading = true;
    m_nextRead = now + kReadInterval;
    m_store.List(m_key,
                 [this](store::Result<store::Listing> aResult) { OnRead(std::move(aResult)); });
  }

  void OnRead(store::Result<store::Listing> aResult) {
    m_isReading = false;
    for (Waiter& waiter : m_waiters) {
      if (!std::exchange(waiter.m_isReading, false)) {
        continue;
      }
      if (aResult) {
        waiter.m_position = aResult->m_position;
      } else {
        waiter.m_deadline = base::TimePoint{};
      }
    }
    Check();
  }

  void Check() {
    const auto now = base::BootNow();
    std::vector<std::pair<OnDone, bool>> done;
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
      const bool isCurrent = waiter->m_position && m_replica.LastPosition() >= *waiter->m_position;
      if (isCurrent || now >= waiter->m_deadline) {
        done.emplace_back(std::move(waiter->m_onDone), isCurrent);
        waiter = m_waiters.erase(waiter);
      } else {
        ++waiter;
      }
    }
    // The callbacks may add waiters.
    for (const auto& [onDone, isCurrent] : done) {
      onDone(isCurrent);
    }
    ReadIfDue();
    if (m_waiters.empty()) {
      m_checkTimer.reset();
    }
  }

  adapters::http::EventLoop& m_loop;
  Store& m_store;
  const StoreReplica& m_replica;
  const std::string m_key;
  std::list<Waiter> m_waiters;
  bool m_isReading = false;
  base::TimePoint m_nextRead{};
  adapters::http::EventHandlePtr m_checkTimer;
};

} // namespace papayafield::sync
