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
  /// Maximum duration of the first watch call after a pause of the watch or a failure. It is
  /// answered at once, so that the node soon knows whether it has missed changes.
  base::Millis m_resumeTimeout{ 10 };
  /// Number of watch calls without an answer, in succession, after which all prefixes are listed:
  /// the changes may be too many for one answer, while a listing has pages.
  size_t m_maxUnansweredWatches = 4;
  /// Pause after an answer with changes, so that changes in quick succession come with one call.
  base::Millis m_changePause{ 150 };
  /// Initial backoff after a failure. It doubles up to m_maxBackoff.
  base::Millis m_initialBackoff{ 60 };
  base::Millis m_maxBackoff{ 400 };
};

/// Keeps a replica of the store up to date: lists all prefixes once, then watches from that
/// position, and lists again after any gap or restore. A watch that fails is retried. While the
/// watch is paused or fails, others may apply changes to the replica; the watch continues from the
/// replica's position. All calls must come from the thread of the event loop.
template<store::StorePort Store>
class StoreWatcher {
public:
  /// Called when the store begins or ceases to answer, with the replica up to date in the first
  /// case.
  using OnReachable = std::function<void(bool aReachable)>;
  /// Called with all changes after the position `aAfter`.
  using OnChanges =
    std::function<void(const store::Position& aAfter, const std::vector<store::Change>& aChanges)>;

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
  void Start() { ListAll(); }
  /// Sets whether this node watches the store itself. A node that does not watch receives changes
  /// from its peers. When it starts to watch again, the store is not reachable until it answers.
  void SetWatchEnabled(bool aEnabled) {
    const bool started = aEnabled && !m_watchEnabled;
    m_watchEnabled = aEnabled;
    if (started && m_paused) {
      Resume();
    }
  }
  /// Lists everything again at once if another call to the store has shown an era later than the
  /// one that is being watched. A watch shows it only when it ends, and not if the new revisions
  /// have already passed its own.
  void OnEra(uint64_t aEra) {
    if (m_loaded && !m_paused && aEra > m_currentEra) {
      LogEraChange(aEra, "other");
      ListAll();
    }
  }
  /// Returns whether this node is set to watch the store.
  bool IsWatchEnabled() const { return m_watchEnabled; }
  /// Returns whether all prefixes have been listed at least once.
  bool Loaded() const { return m_loaded; }
  /// Returns whether the store answers this node: the last call succeeded, and after a failure a
  /// watch or a complete listing since then. False while the watch is paused, and after that until
  /// the first answer.
  bool StoreAnswers() const { return m_reachable && !m_paused && !m_resuming; }
  /// Returns whether the store answers and the replica follows it without a gap. Other than
  /// StoreAnswers, false from a gap until all prefixes have been listed and applied.
  bool IsStoreReachable() const { return StoreAnswers() && !m_hasGap; }
  /// Returns the time up to which the store has confirmed the replica: that of the last answer to a
  /// watch, but at most the end of its wait, or of the start of the last complete listing. The
  /// epoch if there was none.
  base::TimePoint ConfirmedAt() const { return m_confirmedAt; }

private:
  /// Records that the replica has everything that the store held at `aAt`.
  void RecordSuccess(const char* aCall, base::TimePoint aAt) {
    m_confirmedAt = std::max(m_confirmedAt, aAt);
    m_backoff = m_settings.m_initialBackoff;
    m_unansweredWatches = 0;
    m_resuming = false;
    RecordResult(true, aCall);
  }

  void RecordResult(bool aReachable,
                    const char* aCall,
                    store::Fault aFault = store::Fault::NotDone) {
    if (aReachable == m_reachable && m_reachabilityReported) {
      return;
    }
    m_reachabilityReported = true;
    m_reachable = aReachable;
    m_log.Event(aReachable ? "store reachable" : "store lost",
                { { "call", aCall },
                  { "fault", aReachable ? "" : base::NameOf(aFault) },
                  { "era", m_position.m_era },
                  { "revision", m_position.m_revision } });
    m_onReachable(aReachable);
  }

  void ScheduleRetry() {
    m_timer = m_loop.After(m_backoff, [this] { Retry(); });
    m_backoff = std::min(m_backoff * 2, m_settings.m_maxBackoff);
  }

  void Retry() {
    if (m_hasGap) {
      ListAll();
    } else if (m_unansweredWatches >= m_settings.m_maxUnansweredWatches) {
      m_unansweredWatches = 0;
      StartListing();
    } else {
      ContinueWatch();
    }
  }

  void LogEraChange(uint64_t aEra, const char* aCall) {
    m_currentEra = std::max(m_currentEra, aEra);
    m_log.Event("store era changed",
                { { "call", aCall },
                  { "era", aEra },
                  { "era_before", m_position.m_era },
                  { "revision_before", m_position.m_revision } });
  }

  /// Starts to list everything after a gap.
  void ListAll() {
    m_hasGap = true;
    StartListing();
  }

  /// Starts a new listing, and drops the results of the calls in flight.
  void StartListing() {
    ++m_sequence;
    m_timer.reset();
    m_listings.clear();
    m_listingStart = base::BootNow();
    ListNextPrefix();
  }

  void ListNextPrefix() {
    const std::string& prefix = m_settings.m_prefixes[m_listings.size()];
    m_store.List(prefix, [this, sequence = m_sequence](store::Result<store::Listing> aResult) {
      if (sequence == m_sequence) {
        OnListing(std::move(aResult));
      }
    });
  }

  void OnListing(store::Result<store::Listing> aResult) {
    if (!aResult) {
      RecordResult(false, "list", aResult.error());
      ScheduleRetry();
      return;
    }
    const uint64_t era = aResult->m_position.m_era;
    if (era < m_replica.LastPosition().m_era ||
        (!m_listings.empty() && era != m_listings.front().m_position.m_era)) {
      // The answer was delayed since before a restore, or the store was restored between two
      // listings.
      m_log.Event("store listing of another era dropped", { { "era", era } });
      ScheduleRetry();
      return;
    }
    m_listings.push_back(std::move(*aResult));
    if (m_listings.size() < m_settings.m_prefixes.size()) {
      ListNextPrefix();
    } else {
      ApplyListings();
    }
  }

  /// Applies all listings together, so that the replica never mixes two eras.
  void ApplyListings() {
    // Watch from the position of the oldest listing, so that no change between two is missed.
    m_position = m_listings.front().m_position;
    for (size_t i = 0; i < m_listings.size(); ++i) {
      const store::Listing& listing = m_listings[i];
      m_replica.Replace(m_settings.m_prefixes[i], listing.m_items, listing.m_position);
      m_position = std::min(m_position, listing.m_position);
    }
    m_listings.clear();
    m_replica.Advance(m_position);
    m_hasGap = false;
    m_currentEra = std::max(m_currentEra, m_position.m_era);
    RecordSuccess("list", m_listingStart);
    if (!std::exchange(m_loaded, true)) {
      m_onLoaded();
    }
    Watch();
  }

  void Resume() {
    m_paused = false;
    m_resuming = true;
    ContinueWatch();
    m_log.Event("store watch resumed",
                { { "era", m_position.m_era }, { "revision", m_position.m_revision } });
  }

  /// Continues from the replica's position, which peers may have advanced without a gap.
  void ContinueWatch() {
    m_position = std::max(m_position, m_replica.LastPosition());
    m_currentEra = std::max(m_currentEra, m_position.m_era);
    Watch();
  }

  void Watch() {
    m_paused = !m_watchEnabled;
    if (m_paused) {
      m_log.Event("store watch paused",
                  { { "era", m_position.m_era }, { "revision", m_position.m_revision } });
      return;
    }
    const base::Millis wait =
      IsStoreReachable() ? m_settings.m_watchTimeout : m_settings.m_resumeTimeout;
    m_watchEnd = base::BootNow() + wait;
    m_store.Watch("",
                  m_position.m_revision,
                  wait,
                  [this, sequence = m_sequence](const store::Result<store::Changes>& aResult) {
                    if (sequence == m_sequence) {
                      OnWatchEnd(aResult);
                    }
                  });
  }

  void OnWatchEnd(const store::Result<store::Changes>& aResult) {
    if (!aResult) {
      if (aResult.error() == store::Fault::HistoryCompacted) {
        m_log.Event("store history compacted",
                    { { "era", m_position.m_era }, { "revision", m_position.m_revision } });
        ListAll();
        return;
      }
      m_unansweredWatches = aResult.error() == store::Fault::Unknown ? m_unansweredWatches + 1 : 0;
      if (m_unansweredWatches > 0 && base::BootNow() > m_watchEnd + m_settings.m_watchTimeout) {
        // An answer was arriving, but was too large to arrive in time.
        m_unansweredWatches = m_settings.m_maxUnansweredWatches;
      }
      RecordResult(false, "watch", aResult.error());
      ScheduleRetry();
      return;
    }
    if (aResult->m_position.m_era != m_position.m_era) {
      // Changes of the new era before the revision of this watch are missing.
      LogEraChange(aResult->m_position.m_era, "watch");
      ListAll();
      return;
    }
    ApplyChanges(*aResult);
    if (aResult->m_changes.empty()) {
      Watch();
    } else {
      m_timer = m_loop.After(m_settings.m_changePause, [this] { Watch(); });
    }
  }

  void ApplyChanges(const store::Changes& aChanges) {
    const store::Position after = m_replica.LastPosition();
    for (const store::Change& change : aChanges.m_changes) {
      m_replica.Apply(change);
    }
    m_position = std::max(m_position, aChanges.m_position);
    // A large answer may arrive long after the store has made it.
    RecordSuccess("watch", std::min(base::BootNow(), m_watchEnd));
    // A peer may have brought the replica to a later era.
    if (m_onChanges && !aChanges.m_changes.empty() && after.m_era == m_position.m_era) {
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
  base::TimePoint m_confirmedAt{};
  /// When the current listing began.
  base::TimePoint m_listingStart{};
  /// Until when the store may wait before it answers the current watch.
  base::TimePoint m_watchEnd{};
  /// Position from which the next watch continues.
  store::Position m_position;
  /// Latest era that this watcher has listed or is listing.
  uint64_t m_currentEra = 0;
  /// Listings of the first prefixes, until all have been read.
  std::vector<store::Listing> m_listings;
  /// Number of the current listing and the watches after it; results of earlier ones are dropped.
  uint64_t m_sequence = 0;
  /// Watch calls without an answer since the last answer or listing.
  size_t m_unansweredWatches = 0;
  /// Whether changes may be missing that no watch from the replica's position shows.
  bool m_hasGap = true;
  bool m_watchEnabled = true;
  /// Whether no call is in flight because the store is not being watched.
  bool m_paused = false;
  /// Whether the store has not answered since the watch was resumed.
  bool m_resuming = false;
  bool m_loaded = false;
  bool m_reachable = false;
  bool m_reachabilityReported = false;
};

} // namespace papayafield::sync
