#pragma once

#include "adapters/http/EventLoop.h"
#include "base/Log.h"
#include "store/StorePort.h"
#include "sync/StoreReplica.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace papayafield::sync {

/// Settings of the watch on the store.
struct WatchSettings {
  /// Prefixes that are listed. One watch covers all of them.
  std::vector<std::string> m_prefixes;
  /// Maximum duration of one watch call. It bounds the time until a dead connection is detected.
  base::Millis m_watchTimeout{ 2000 };
  /// Pause after an answer with changes, so that changes in quick succession come with one call.
  base::Millis m_changePause{ 150 };
  /// Initial backoff after a failure. It doubles up to m_maxBackoff.
  base::Millis m_initialBackoff{ 60 };
  base::Millis m_maxBackoff{ 400 };
};

/// Keeps a replica of the store up to date: lists all prefixes once, then watches from that
/// revision, and lists again after any gap. All calls must come from the thread of the event loop.
template<store::StorePort Store>
class StoreWatcher {
public:
  /// Called when the store becomes reachable or unreachable.
  using OnReachable = std::function<void(bool aReachable)>;
  /// Called with all changes after the revision `aAfter`.
  using OnChanges =
    std::function<void(uint64_t aAfter, const std::vector<store::Change>& aChanges)>;

  StoreWatcher(adapters::http::EventLoop& aLoop,
               Store& aStore,
               StoreReplica& aReplica,
               WatchSettings aSettings,
               OnReachable aOnReachable,
               std::function<void()> aOnLoaded,
               OnChanges aOnChanges = {})
    : m_loop(aLoop)
    , m_store(aStore)
    , m_replica(aReplica)
    , m_settings(std::move(aSettings))
    , m_onReachable(std::move(aOnReachable))
    , m_onLoaded(std::move(aOnLoaded))
    , m_onChanges(std::move(aOnChanges)) {}

  /// Starts the first listing. Must be called only once.
  void Start() { ListPrefix(0, 0); }
  /// Sets whether this node watches the store itself. A node that does not watch receives changes
  /// from its peers, and lists everything once when it starts to watch again.
  void SetWatchEnabled(bool aEnabled) {
    const bool started = aEnabled && !m_watchEnabled;
    m_watchEnabled = aEnabled;
    if (started && m_paused) {
      m_paused = false;
      ListPrefix(0, 0);
    }
  }
  /// Returns whether this node is set to watch the store.
  bool IsWatchEnabled() const { return m_watchEnabled; }
  /// Returns whether all prefixes have been listed at least once.
  bool Loaded() const { return m_loaded; }
  /// Returns whether the store answered the last call. False while the watch is paused.
  bool IsStoreReachable() const { return m_reachable && !m_paused; }
  /// Returns the time of the last answer from the store.
  base::TimePoint LastAnswer() const { return m_lastAnswer; }

private:
  void RecordResult(bool aReachable,
                    const char* aCall,
                    store::Fault aFault = store::Fault::NotDone) {
    if (aReachable) {
      m_lastAnswer = base::BootNow();
      m_backoff = m_settings.m_initialBackoff;
    }
    if (aReachable == m_reachable && m_reachabilityReported) {
      return;
    }
    m_reachabilityReported = true;
    m_reachable = aReachable;
    m_log.Event(aReachable ? "store reachable" : "store lost",
                { { "call", aCall },
                  { "fault", aReachable ? "" : base::NameOf(aFault) },
                  { "revision", m_revision } });
    m_onReachable(aReachable);
  }

  void ScheduleListing() {
    m_timer = m_loop.After(m_backoff, [this] { ListPrefix(0, 0); });
    m_backoff = std::min(m_backoff * 2, m_settings.m_maxBackoff);
  }

  void ListPrefix(size_t aIndex, uint64_t aFrom) {
    if (aIndex == m_settings.m_prefixes.size()) {
      m_revision = aFrom;
      m_replica.Advance(aFrom);
      if (!std::exchange(m_loaded, true)) {
        m_onLoaded();
      }
      Watch();
      return;
    }
    const std::string prefix = m_settings.m_prefixes[aIndex];
    m_store.List(prefix, [this, aIndex, aFrom, prefix](store::Result<store::Listing> aResult) {
      if (!aResult) {
        RecordResult(false, "list", aResult.error());
        ScheduleListing();
        return;
      }
      RecordResult(true, "list");
      m_replica.Replace(prefix, aResult->m_items, aResult->m_revision);
      // Watch from the revision of the oldest listing, so that no change between two is missed.
      ListPrefix(aIndex + 1,
                 aIndex == 0 ? aResult->m_revision : std::min(aFrom, aResult->m_revision));
    });
  }

  void Watch() {
    m_paused = !m_watchEnabled;
    if (m_paused) {
      m_log.Event("store watch paused", { { "revision", m_revision } });
      return;
    }
    m_store.Watch(
      "", m_revision, m_settings.m_watchTimeout, [this](store::Result<store::Changes> aResult) {
        if (!aResult) {
          if (aResult.error() == store::Fault::HistoryCompacted) {
            m_log.Event("store history compacted", { { "revision", m_revision } });
            ListPrefix(0, 0);
            return;
          }
          RecordResult(false, "watch", aResult.error());
          ScheduleListing();
          return;
        }
        RecordResult(true, "watch");
        ApplyChanges(*aResult);
        if (aResult->m_changes.empty()) {
          Watch();
        } else {
          m_timer = m_loop.After(m_settings.m_changePause, [this] { Watch(); });
        }
      });
  }

  void ApplyChanges(const store::Changes& aChanges) {
    const uint64_t after = m_replica.LastRevision();
    for (const store::Change& change : aChanges.m_changes) {
      m_replica.Apply(change);
    }
    m_revision = std::max(m_revision, aChanges.m_revision);
    if (m_onChanges && !aChanges.m_changes.empty()) {
      m_onChanges(after, aChanges.m_changes);
    }
  }

  adapters::http::EventLoop& m_loop;
  Store& m_store;
  StoreReplica& m_replica;
  WatchSettings m_settings;
  OnReachable m_onReachable;
  std::function<void()> m_onLoaded;
  OnChanges m_onChanges;
  const base::Log m_log{ "sync" };
  adapters::http::EventHandlePtr m_timer;
  base::Millis m_backoff{ 60 };
  base::TimePoint m_lastAnswer{};
  uint64_t m_revision = 0;
  bool m_watchEnabled = true;
  /// Whether no call is in flight because the store is not being watched.
  bool m_paused = false;
  bool m_loaded = false;
  bool m_reachable = false;
  bool m_reachabilityReported = false;
};

} // namespace papayafield::sync
