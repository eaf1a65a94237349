#pragma once

#include "store/StorePort.h"
#include "sync/StoreReplica.h"

#include <optional>
#include <string>
#include <vector>

namespace papayafield::serving {

/// The store's content as a node returns it to another one.
struct ReplicaSnapshot {
  std::vector<store::Change> m_changes;
  /// Whether all items are included, not only the changes after a revision.
  bool m_complete = false;
  store::Position m_position;
  /// The peer's latest gap, if it lies within the changes.
  std::optional<sync::StoreReplica::Gap> m_gap;
  /// Data of the configuration in force, if the node that asked has an older one. After a restore
  /// of the store it may be newer than the one among the items.
  std::optional<std::string> m_configuration;
};

/// Encodes the replica, or only the changes after `aAfter` if all removals since then are still
/// known, and `aConfiguration` if it is given. Thread safe for a constant replica.
std::string EncodeReplica(const sync::StoreReplica& aReplica,
                          const store::Position& aAfter,
                          const std::optional<std::string>& aConfiguration = std::nullopt);

/// Decodes the result of EncodeReplica. Returns nullopt if `aBytes` is malformed. Thread safe.
std::optional<ReplicaSnapshot> DecodeReplica(const std::string& aBytes);

} // namespace papayafield::serving
