#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"
#include "store/Position.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

/// \file
/// Interface to the platform's key-value store: linearizable items with revisions, watches,
/// conditional transactions, and leases.

namespace papayafield::store {

/// Identifies a lease; 0 means no lease.
using LeaseId = uint64_t;

/// A key-value pair with the position of its last write.
struct Item {
  std::string m_key;
  /// Arbitrary bytes; need not be text.
  std::string m_data;
  /// Position of the last write to this key. After a restore, its era is the one in which the item
  /// was read.
  Position m_position;
  /// Revision at which the key was created.
  uint64_t m_created = 0;
};

/// A write or a removal of one key.
struct Change {
  /// The item as written; for a removal, only the key and the position are set.
  Item m_item;
  bool m_removed = false;
};

/// All items under a prefix.
struct Listing {
  std::vector<Item> m_items;
  /// Position before the first page was read. Items may be newer, because the pages are not read
  /// atomically; all are of its era.
  Position m_position;
};

/// Changes under a prefix.
struct Changes {
  std::vector<Change> m_changes;
  /// Position from which the next watch continues.
  Position m_position;
};

/// A lease and the era in which it was granted. A store that is restored forgets leases and assigns
/// their identifiers again.
struct Lease {
  LeaseId m_id = 0;
  uint64_t m_era = 0;
};

/// The renewal of a lease.
struct Renewal {
  /// Duration that the store granted.
  base::Millis m_duration{ 0 };
  /// Era in which the lease was renewed. If it is not that of the grant, the renewed lease may
  /// belong to another node.
  uint64_t m_era = 0;
};

/// A set of writes and removals that is applied atomically if all expected revisions match.
struct Transaction {
  /// Expected revision of each key; 0 means that the key must not exist. The store compares
  /// revisions alone, without the era.
  std::map<std::string, uint64_t> m_expected;
  struct Write {
    std::string m_key;
    std::string m_data;
    LeaseId m_lease = 0;
  };
  std::vector<Write> m_writes;
  /// Keys that are removed; those without an item are ignored.
  std::vector<std::string> m_removals;
};

/// Reason for which a store call failed.
enum class Fault {
  /// The store did not carry out the call: it rejected it or could not be reached.
  NotDone,
  /// No answer arrived; the call may have been carried out or may still be.
  Unknown,
  /// An expected revision did not match; nothing was changed.
  Conflict,
  /// The lease has expired or was ended.
  NoLease,
  /// The store has compacted the requested revisions, or lost them in a restore.
  HistoryCompacted,
  /// The store was restored between the pages of a listing.
  HistoryReplaced,
};

/// The result of a call, or the fault that made it fail.
template<class T>
using Result = tl::expected<T, Fault>;
/// Called with the result of an asynchronous call.
template<class T>
using OnResult = std::function<void(Result<T>)>;

/// A client of the store. All calls are asynchronous, and each makes one request to the store.
/// `LatestEra` returns the latest era that any answer has stated.
template<class T>
concept StorePort = requires(T& aStore,
                             std::string aText,
                             uint64_t aNumber,
                             base::Millis aSpan,
                             Transaction aTransaction) {
  aStore.List(aText, OnResult<Listing>());
  aStore.Watch(aText, aNumber, aSpan, OnResult<Changes>());
  aStore.Commit(aTransaction, OnResult<Position>());
  aStore.Grant(aSpan, OnResult<Lease>());
  aStore.Renew(aNumber, OnResult<Renewal>());
  aStore.EndLease(aNumber);
  { aStore.LatestEra() } -> std::convertible_to<uint64_t>;
};

} // namespace papayafield::store

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<store::Fault> = std::to_array<EnumName<store::Fault>>({
  { store::Fault::NotDone, "not_done" },
  { store::Fault::Unknown, "unknown" },
  { store::Fault::Conflict, "conflict" },
  { store::Fault::NoLease, "no_lease" },
  { store::Fault::HistoryCompacted, "history_gone" },
  { store::Fault::HistoryReplaced, "history_replaced" },
});

} // namespace papayafield::base
