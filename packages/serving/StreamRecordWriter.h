#pragma once

#include "base/Log.h"
#include "base/Time.h"
#include "forwarding/StreamOrigins.h"
#include "serving/StreamRecord.h"
#include "store/StorePort.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace papayafield::serving {

/// Saves the origins of streams in the store, for a restart of all nodes. Belongs to the event
/// loop's thread.
template<store::StorePort Store>
class StreamRecordWriter {
public:
  /// Minimum time between two writes. Streams that begin in between, and those whose origins are on
  /// their way to this node, are refused after the loss of all nodes.
  static constexpr base::Millis kInterval{ 100 };
  /// Time after a failed write until the next one.
  static constexpr base::Millis kRetryInterval{ 500 };
  /// Time whose streams share a key. Fewer keys shorten the listing of a node that starts.
  static constexpr base::Millis kTimePerKey{ 1000 };
  /// Maximum number of streams per write that are new, and per key.
  static constexpr size_t kMaxNewStreams = 512;
  static constexpr size_t kMaxStreamsPerKey = 4096;

  /// `aStore` and `aOrigins` must outlive the object. `aPrefix` begins the keys of the record.
  /// `aOwner` distinguishes the keys of this node from all others.
  StreamRecordWriter(Store& aStore,
                     forwarding::StreamOrigins& aOrigins,
                     std::string aPrefix,
                     const std::string& aOwner)
    : m_store(aStore)
    , m_origins(aOrigins)
    , m_ownPrefix(std::move(aPrefix) + aOwner + "/") {}

  /// Writes the streams that are to be saved, the latest ones first, together with those that were
  /// saved under the same key. Does nothing if there are none, while a write is in progress, or too
  /// soon after the last one. Keys are used again after `aRetention`. `aWallMs` is the wall time in
  /// milliseconds. A write that fails is logged, and its streams are saved later.
  void Save(base::Millis aRetention, base::TimePoint aNow, int64_t aWallMs) {
    if (m_writing || aNow < m_nextWrite) {
      return;
    }
    const int64_t key = aWallMs / kTimePerKey.count() % (aRetention / kTimePerKey + 1);
    if (key != m_key) {
      m_key = key;
      m_saved.clear();
    }
    const auto added =
      m_origins.TakeUnsaved(std::min(kMaxNewStreams, kMaxStreamsPerKey - m_saved.size()));
    if (added.empty()) {
      return;
    }
    auto origins = m_saved;
    origins.insert(origins.end(), added.begin(), added.end());
    store::Transaction transaction;
    transaction.m_writes.push_back(
      { m_ownPrefix + std::to_string(key), EncodeStreamRecord(origins), 0 });
    m_writing = true;
    m_nextWrite = aNow + kInterval;
    m_store.Commit(transaction,
                   [this, origins, added](const store::Result<store::Position>& aResult) {
                     m_writing = false;
                     if (aResult) {
                       m_saved = origins;
                     } else {
                       OnFailed(added, aResult.error());
                     }
                   });
  }

private:
  void OnFailed(const forwarding::StreamOrigins::Origins& aOrigins, store::Fault aFault) {
    m_nextWrite = base::BootNow() + kRetryInterval;
    m_origins.Merge(aOrigins);
    m_log.Event("stream record write failed",
                { { "streams", aOrigins.size() }, { "fault", base::NameOf(aFault) } });
  }

  Store& m_store;
  forwarding::StreamOrigins& m_origins;
  const std::string m_ownPrefix;
  const base::Log m_log{ "serving" };
  /// The key of the last write, and the streams that were saved under it.
  int64_t m_key = -1;
  forwarding::StreamOrigins::Origins m_saved;
  bool m_writing = false;
  base::TimePoint m_nextWrite{};
};

} // namespace papayafield::serving
