#pragma once

#include "news/Beat.h"
#include "store/StorePort.h"

#include <vector>

namespace papayafield::news {

/// Changes of the store, told at once by a node that follows it.
struct Update {
  Contact m_from;
  /// `m_changes` are all changes after this revision, up to `m_revision`. None, though the two
  /// differ: there are too many for datagrams, and they have to be fetched.
  uint64_t m_after = 0;
  uint64_t m_revision = 0;
  std::vector<store::Change> m_changes;
};

/// What a node that knows everything up to `aKnown` does with an update.
enum class UpdateUse : uint8_t {
  /// It says nothing new.
  Nothing,
  /// Its changes follow on what is known.
  Apply,
  /// Something in between is missing; the sender can give it.
  Fetch,
};

/// Thread safe.
UpdateUse JudgeUpdate(const Update& aUpdate, uint64_t aKnown);

/// Updates small enough for one datagram each, with all of `aChanges` in their order; or one
/// without changes when there are none or too many. Precondition: `aChanges` are in order of
/// revision and are all that came after `aAfter`. Thread safe.
std::vector<Update> SplitUpdate(const Contact& aFrom,
                                uint64_t aAfter,
                                const std::vector<store::Change>& aChanges);

} // namespace papayafield::news
