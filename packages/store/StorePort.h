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
/// The platform's key-value store as the product sees it: linearizable items with revisions,
/// watches, transactions under conditions, and leases.

namespace papayafield::store {

/// Names a lease; 0 names none.
using LeaseNumber = uint64_t;

/// One item.
struct Item {
  std::string m_key;
  /// Any bytes.
  std::string m_data;
  /// The store's revision at its last change.
  uint64_t m_revision = 0;
  /// The store's revision at its creation.
  uint64_t m_created = 0;
};

/// One change.
struct Change {
  /// The item as it was written; for a removal, only the key and the revision.
  Item m_item;
  bool m_removed = false;
};

/// All items under a prefix.
struct Listing {
  std::vector<Item> m_items;
  /// The store's revision before the first page was read.
  uint64_t m_revision = 0;
};

/// Changes under a prefix.
struct Changes {
  std::vector<Change> m_changes;
  /// Where to go on.
  uint64_t m_revision = 0;
};

/// A change under conditions, done whole or not at all.
struct Transaction {
  /// Revisions that the keys must have; 0 stands for absent.
  std::map<std::string, uint64_t> m_expected;
  struct Write {
    std::string m_key;
    std::string m_data;
    LeaseNumber m_lease = 0;
  };
  std::vector<Write> m_writes;
};

/// Why a call did not succeed.
enum class Fault {
  /// The store did nothing: it refused, or was not reached.
  NotDone,
  /// No answer came; the call may have been carried out, or may be later.
  Unknown,
  /// A condition does not hold; nothing was changed.
  Conflict,
  /// The lease has ended.
  NoLease,
  /// The store no longer has the history asked for.
  HistoryGone,
};

/// A result or the fault.
template<class T>
using Result = tl::expected<T, Fault>;
/// Who hears of a result.
template<class T>
using OnResult = std::function<void(Result<T>)>;

/// A client of the store. All calls are asynchronous; each costs one call at the store.
template<class T>
concept StorePort = requires(T& aStore,
                             std::string aText,
                             uint64_t aNumber,
                             base::Millis aSpan,
                             Transaction aTransaction) {
  aStore.List(aText, OnResult<Listing>());
  aStore.Watch(aText, aNumber, aSpan, OnResult<Changes>());
  aStore.Commit(aTransaction, OnResult<uint64_t>());
  aStore.Grant(aSpan, OnResult<LeaseNumber>());
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
  { store::Fault::HistoryGone, "history_gone" },
});

} // namespace papayafield::base
