#pragma once

#include "base/Ids.h"
#include "gossip/PeerTable.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace papayafield::serving {

/// Size of the working set: the nodes of a large fleet to which callers are directed. Few nodes
/// know each other's load within one heartbeat and reuse their connections to endpoints.
struct WorkingSetSettings {
  /// Up to this number of nodes, all of them are in the working set.
  size_t m_maxNodesAllWorking = 16;
  /// Minimum number of nodes in each availability zone.
  size_t m_minPerZone = 3;
  /// Minimum fraction of the ready nodes, for the first calls and for the loss of many nodes.
  double m_minFraction = 1.0 / 6;
  /// Calls per second that one node is given.
  double m_callsPerNode = 30;
};

/// Returns the hosts of the working set among `aReady` for `aCallsPerSecond` calls of the fleet:
/// equally many of each zone, in an order that all nodes share without communication. Thread safe.
std::vector<std::string> SelectWorkingSet(const std::vector<gossip::ReadyNode>& aReady,
                                          double aCallsPerSecond,
                                          const WorkingSetSettings& aSettings);

/// Returns the hosts among `aHosts`, a working set in its order, that keep the origins of the
/// streams of `aSelf` in case that node is lost: at most `aMaxCount`, never `aSelf`. If `aShared`
/// is set, they are the same for all nodes; otherwise those that follow `aSelf`, which spreads the
/// work. Thread safe.
std::vector<std::string> SelectOriginKeepers(const std::vector<std::string>& aHosts,
                                             const std::string& aSelf,
                                             bool aShared,
                                             size_t aMaxCount);

/// Returns at most `aMaxCount` of `aHosts`, drawn at random and in random order. Callers that use
/// only some of the addresses therefore spread over all nodes of a large fleet. Thread safe if no
/// other thread uses `aRandom`.
std::vector<std::string> SampleEntryHosts(std::vector<std::string> aHosts,
                                          size_t aMaxCount,
                                          std::mt19937_64& aRandom);

} // namespace papayafield::serving
