#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"

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

/// A key-value pair with its revisions.
struct Item {
  std::string m_key;
  /// Arbitrary bytes; need not be text.
  std::string m_data;
  /// Store revision of the last write to this key.
  uint64_t m_revision = 0;
  /// Store revision at which the key was created.
  uint64_t m_created = 0;
};

/// A write or a removal of one key.
struct Change {
  /// The item as written; for a removal, only the key and the revision are set.
  Item m_item;
  bool m_removed = false;
};

/// All items under a prefix.
struct Listing {
  std::vector<Item> m_items;
  /// Store revision before the first page was read. Items may be newer, because the pages are not
  /// read atomically.
  uint64_t m_revision = 0;
};

/// Changes under a prefix.
struct Changes {
  std::vector<Change> m_changes;
  /// Revision from which the next watch continues.
  uint64_t m_revision = 0;
};

/// A set of writes that is applied atomically if all expected revisions match.
struct Transaction {
  /// Expected revision of each key; 0 means that the key must not exist.
  std::map<std::string, uint64_t> m_expected;
  struct Write {
    std::string m_key;
    std::string m_data;
    LeaseId m_lease = 0;
  };
  std::vector<Write> m_writes;
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
  /// The store has compacted the requested revisions.
  HistoryCompacted,
};

/// The result of a call, or the fault that made it fail.
template<class T>
using Result = tl::expected<T, Fault>;
/// Called with the result of an asynchronous call.
template<class T>
using OnResult = std::function<void(Result<T>)>;

/// A client of the store. All calls are asynchronous, and each makes one request to the store.
template<class T>
concept StorePort = requires(T& aStore,
                             std::string aText,
                             uint64_t aNumber,
                             base::Millis aSpan,
                             Transaction aTransaction) {
  aStore.List(aText, OnResult<Listing>());
  aStore.Watch(aText, aNumber, aSpan, OnResult<Changes>());
  aStore.Commit(aTransaction, OnResult<uint64_t>());
  aStore.Grant(aSpan, OnResult<LeaseId>());
  aStore.Renew(aNumber, OnResult<base::Millis>());
  aStore.EndLease(aNumber);
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
});

} // namespace papayafield::base
