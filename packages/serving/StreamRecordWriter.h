#pragma once

#include "base/Log.h"
#include "base/Time.h"
#include "forwarding/StreamOrigins.h"
#include "serving/StreamRecord.h"
#include "store/StorePort.h"

#include <cstdint>
#include <map>
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
  /// Time and number of streams after which another key is begun. Fewer keys shorten the listing of
  /// a node that starts; each write repeats the streams of its key.
  static constexpr base::Millis kTimePerKey{ 1000 };
  static constexpr size_t kStreamsPerKey = 200;
  /// Maximum number of streams per write that are new.
  static constexpr size_t kMaxNewStreams = 512;
  /// Minimum time between two removals of keys, and maximum number of keys that each one removes.
  static constexpr base::Millis kRemovalInterval{ 3000 };
  static constexpr size_t kMaxRemovals = 32;

  /// `aStore` and `aOrigins` must outlive the object. `aPrefix` begins the keys of the record.
  /// `aOwner` distinguishes the keys of this incarnation of the node from all others.
  StreamRecordWriter(Store& aStore,
                     forwarding::StreamOrigins& aOrigins,
                     std::string aPrefix,
                     const std::string& aOwner)
    : m_store(aStore)
    , m_origins(aOrigins)
    , m_ownPrefix(std::move(aPrefix) + aOwner + "/") {}

  /// Writes the streams that are to be saved, the latest ones first, together with those that were
  /// saved under the same key. Does nothing if there are none, while a write is in progress, or too
  /// soon after the last one. A write that fails is logged, and its streams are saved later.
  void Save(base::TimePoint aNow) {
    if (m_writing || aNow < m_nextWrite) {
      return;
    }
    const auto added = m_origins.TakeUnsaved(kMaxNewStreams);
    if (added.empty()) {
      return;
    }
    if (m_saved.size() >= kStreamsPerKey || aNow >= m_keyEnd) {
      ++m_key;
      m_keyEnd = aNow + kTimePerKey;
      m_saved.clear();
    }
    auto origins = m_saved;
    origins.insert(origins.end(), added.begin(), added.end());
    store::Transaction transaction;
    transaction.m_writes.push_back(
      { m_ownPrefix + std::to_string(m_key), EncodeStreamRecord(origins), 0 });
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

  /// Records that a key of the record, of any node, was read or removed (`aExists` false).
  void OnItem(const std::string& aKey, bool aExists, base::TimePoint aNow) {
    if (aExists) {
      m_lastRead[aKey] = aNow;
    } else {
      m_lastRead.erase(aKey);
    }
  }

  /// Removes some of the keys, of any node, that have not been written for `aRetention`. Does
  /// nothing if there are none, while a removal is in progress, or too soon after the last one.
  /// What fails is tried again.
  void RemoveExpired(base::Millis aRetention, base::TimePoint aNow) {
    if (m_removing || aNow < m_nextRemoval) {
      return;
    }
    store::Transaction transaction;
    for (const auto& [key, lastRead] : m_lastRead) {
      if (aNow - lastRead > aRetention && transaction.m_removals.size() < kMaxRemovals) {
        transaction.m_removals.push_back(key);
      }
    }
    if (transaction.m_removals.empty()) {
      return;
    }
    m_removing = true;
    m_nextRemoval = aNow + kRemovalInterval;
    m_store.Commit(
      transaction,
      [this, keys = transaction.m_removals](const store::Result<store::Position>& aResult) {
        m_removing = false;
        if (aResult) {
          for (const std::string& key : keys) {
            m_lastRead.erase(key);
          }
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
  /// Number of the present key, its end, and the streams that were saved under it.
  uint64_t m_key = 0;
  base::TimePoint m_keyEnd{};
  forwarding::StreamOrigins::Origins m_saved;
  bool m_writing = false;
  base::TimePoint m_nextWrite{};
  /// When each key of the record was last read.
  std::map<std::string, base::TimePoint> m_lastRead;
  bool m_removing = false;
  base::TimePoint m_nextRemoval{};
};

} // namespace papayafield::serving
