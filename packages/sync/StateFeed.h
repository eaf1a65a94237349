#pragma once

#include "adapters/http/EventLoop.h"
#include "base/Log.h"
#include "store/StorePort.h"
#include "sync/Image.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace papayafield::sync {

/// Settings of the watch on the store.
struct FeedSettings {
  /// Prefixes that are listed. One watch covers all of them.
  std::vector<std::string> m_prefixes;
  /// Maximum duration of one watch call. It bounds the time until a dead connection is detected.
  base::Millis m_wait{ 2000 };
  /// Initial backoff after a failure. It doubles up to m_mostPause.
  base::Millis m_leastPause{ 60 };
  base::Millis m_mostPause{ 400 };
};

/// Keeps a replica of the store up to date: lists all prefixes once, then watches from that
/// revision, and lists again after any gap. All calls must come from the thread of the event loop.
template<store::StorePort Store>
class StateFeed {
public:
  /// Called when the store becomes reachable or unreachable.
  using OnState = std::function<void(bool aAnswers)>;
  /// Called with all changes after the revision `aAfter`.
  using OnChanges =
    std::function<void(uint64_t aAfter, const std::vector<store::Change>& aChanges)>;

  StateFeed(adapters::http::EventLoop& aLoop,
            Store& aStore,
            Image& aImage,
            FeedSettings aSettings,
            OnState aOnState,
            std::function<void()> aOnLoaded,
            OnChanges aOnChanges = {})
    : m_loop(aLoop)
    , m_store(aStore)
    , m_image(aImage)
    , m_settings(std::move(aSettings))
    , m_onState(std::move(aOnState))
    , m_onLoaded(std::move(aOnLoaded))
    , m_onChanges(std::move(aOnChanges)) {}

  /// Starts the first listing. Must be called only once.
  void Start() { ListNext(0, 0); }
  /// Sets whether this node watches the store itself. A node that does not watch receives changes
  /// from its peers, and lists everything once when it starts to watch again.
  void SetFollowing(bool aFollowing) {
    const bool began = aFollowing && !m_following;
    m_following = aFollowing;
    if (began && m_resting) {
      m_resting = false;
      ListNext(0, 0);
    }
  }
  /// Returns whether this node is set to watch the store.
  bool Following() const { return m_following; }
  /// Returns whether all prefixes have been listed at least once.
  bool Loaded() const { return m_loaded; }
  /// Returns whether the store answered the last call. False while the watch is paused.
  bool Answers() const { return m_answers && !m_resting; }
  /// Returns the time of the last answer from the store.
  base::TimePoint LastAnswer() const { return m_lastAnswer; }

private:
  void Note(bool aAnswers, const char* aWhat, store::Fault aFault = store::Fault::NotDone) {
    if (aAnswers) {
      m_lastAnswer = base::BootNow();
      m_pause = m_settings.m_leastPause;
    }
    if (aAnswers == m_answers && m_noted) {
      return;
    }
    m_noted = true;
    m_answers = aAnswers;
    m_log.Event(aAnswers ? "store reachable" : "store lost",
                { { "call", aWhat },
                  { "fault", aAnswers ? "" : base::NameOf(aFault) },
                  { "revision", m_revision } });
    m_onState(aAnswers);
  }

  void Again() {
    m_timer = m_loop.After(m_pause, [this] { ListNext(0, 0); });
    m_pause = std::min(m_pause * 2, m_settings.m_mostPause);
  }

  void ListNext(size_t aIndex, uint64_t aFrom) {
    if (aIndex == m_settings.m_prefixes.size()) {
      m_revision = aFrom;
      m_image.Advance(aFrom);
      if (!std::exchange(m_loaded, true)) {
        m_onLoaded();
      }
      Watch();
      return;
    }
    const std::string prefix = m_settings.m_prefixes[aIndex];
    m_store.List(prefix, [this, aIndex, aFrom, prefix](store::Result<store::Listing> aResult) {
      if (!aResult) {
        Note(false, "list", aResult.error());
        Again();
        return;
      }
      Note(true, "list");
      m_image.Replace(prefix, aResult->m_items, aResult->m_revision);
      // Watch from the revision of the oldest listing, so that no change between two is missed.
      ListNext(aIndex + 1,
               aIndex == 0 ? aResult->m_revision : std::min(aFrom, aResult->m_revision));
    });
  }

  void Watch() {
    m_resting = !m_following;
    if (m_resting) {
      m_log.Event("store watch paused", { { "revision", m_revision } });
      return;
    }
    m_store.Watch("", m_revision, m_settings.m_wait, [this](store::Result<store::Changes> aResult) {
      if (!aResult) {
        if (aResult.error() == store::Fault::HistoryGone) {
          m_log.Event("store history compacted", { { "revision", m_revision } });
          ListNext(0, 0);
          return;
        }
        Note(false, "watch", aResult.error());
        Again();
        return;
      }
      Note(true, "watch");
      Take(*aResult);
      Watch();
    });
  }

  void Take(const store::Changes& aChanges) {
    const uint64_t after = m_image.LastRevision();
    for (const store::Change& change : aChanges.m_changes) {
      m_image.Apply(change);
    }
    m_revision = std::max(m_revision, aChanges.m_revision);
    if (m_onChanges && !aChanges.m_changes.empty()) {
      m_onChanges(after, aChanges.m_changes);
    }
  }

  adapters::http::EventLoop& m_loop;
  Store& m_store;
  Image& m_image;
  FeedSettings m_settings;
  OnState m_onState;
  std::function<void()> m_onLoaded;
  OnChanges m_onChanges;
  const base::Log m_log{ "sync" };
  adapters::http::WatchPtr m_timer;
  base::Millis m_pause{ 60 };
  base::TimePoint m_lastAnswer{};
  uint64_t m_revision = 0;
  bool m_following = true;
  /// Whether no call is in flight because the store is not being watched.
  bool m_resting = false;
  bool m_loaded = false;
  bool m_answers = false;
  bool m_noted = false;
};

} // namespace papayafield::sync
