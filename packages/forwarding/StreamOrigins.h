#pragma once

#include "adapters/http/EventLoop.h"
#include "base/Log.h"
#include "base/Time.h"
#include "fleet/StreamOrigin.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace papayafield::forwarding {

/// Knows which software version began each recent stream, and asks peers about those that began
/// elsewhere. Belongs to the event loop's thread.
class StreamOrigins {
public:
  using Origins = std::vector<fleet::StreamOrigin>;
  using Keys = std::vector<fleet::StreamKey>;
  /// Called with the version, or with nullopt if no peer knew it in time.
  using OnFound = std::function<void(const std::optional<std::string>& aVersion)>;

  /// `aLoop` must outlive the object.
  explicit StreamOrigins(adapters::http::EventLoop& aLoop)
    : m_loop(aLoop) {}

  /// Sets what sends origins to the peers that keep them in case this node is lost, and what asks
  /// all live peers for the origins of streams and returns how many it has asked.
  void SetSenders(std::function<void(const Origins&)> aSendToKeepers,
                  std::function<size_t(const Keys&)> aAskAll);

  /// Records that an endpoint of `aVersion` began the stream of the call `aCallId`, and sends that
  /// to the keepers.
  void Record(const std::string& aCallId, const std::string& aVersion);
  /// Records that the version that began the stream of the call `aCallId` is not confirmed yet. A
  /// search for it waits until Record is called, or Dismiss as often as Expect: several calls may
  /// have the same ID.
  void Expect(const std::string& aCallId);
  /// Records that a version that Expect was called for remains unknown.
  void Dismiss(const std::string& aCallId);
  /// Returns whether the version of the stream `aKey` is to be confirmed.
  bool IsExpected(fleet::StreamKey aKey) const { return m_expected.contains(aKey); }
  /// Records that the stream of the call `aCallId` is complete.
  void OnComplete(const std::string& aCallId);
  /// Sends the origins of all streams that this node began and that are not complete to the keepers
  /// once more.
  void SendIncomplete();
  /// Records what a peer knows, and answers the pending searches for it.
  void Merge(const Origins& aOrigins);
  /// Records that the node of the host `aHost` does not know the streams `aKeys`, which ends a
  /// search once all nodes that were asked have said so.
  void OnUnknown(const std::string& aHost, const Keys& aKeys);
  /// Records what was read from the store, which need not be saved.
  void MergeSaved(const Origins& aOrigins);
  /// Returns and forgets at most `aMaxCount` origins that are to be saved, the latest ones first.
  Origins TakeUnsaved(size_t aMaxCount);
  /// Returns the origins of those of `aKeys` that are known.
  Origins Known(const Keys& aKeys) const;
  /// Finds the version that began the stream of the call `aCallId`. Calls `aOnFound` once: at once
  /// if the version is known, otherwise when a peer knows it, when no peer does, or after
  /// `aMaxWait`.
  void Find(const std::string& aCallId, base::Millis aMaxWait, OnFound aOnFound);
  /// Forgets what was recorded longer than `aRetention` ago.
  void RemoveExpired(base::Millis aRetention, base::TimePoint aNow);
  size_t Size() const { return m_versions.size(); }

private:
  struct Search {
    std::vector<OnFound> m_onFound;
    /// Number of peers that were asked last, and the hosts of those that do not know the stream.
    size_t m_asked = 0;
    std::set<std::string> m_unknownAt;
    adapters::http::EventHandlePtr m_timeout;
  };

  void Insert(fleet::StreamKey aKey, const std::string& aVersion);
  void Forget(fleet::StreamKey aKey);
  void SendLater();
  void Ask();
  void AskAgain();
  void EndSearch(fleet::StreamKey aKey, const std::optional<std::string>& aVersion);

  adapters::http::EventLoop& m_loop;
  std::function<void(const Origins&)> m_sendToKeepers;
  std::function<size_t(const Keys&)> m_askAll;
  std::unordered_map<fleet::StreamKey, std::string> m_versions;
  /// Recorded streams, oldest first.
  std::deque<std::pair<base::TimePoint, fleet::StreamKey>> m_recorded;
  /// Streams that this node began and that are not complete.
  std::unordered_set<fleet::StreamKey> m_incomplete;
  /// Streams whose versions are to be confirmed, with the number of calls that wait for that.
  std::unordered_map<fleet::StreamKey, size_t> m_expected;
  /// Streams whose origins are to be saved in the store.
  std::unordered_set<fleet::StreamKey> m_unsaved;
  std::map<fleet::StreamKey, Search> m_searches;
  /// What is sent together a moment later.
  Origins m_unsent;
  Keys m_unasked;
  adapters::http::EventHandlePtr m_sendTimer;
  adapters::http::EventHandlePtr m_askTimer;
  adapters::http::EventHandlePtr m_repeatTimer;
};

} // namespace papayafield::forwarding
