#pragma once

#include "tests/harness/PlatformFleet.h"

#include "adapters/http/EventLoop.h"

#include <functional>

namespace papayafield::soak {

/// Runs the loop for `aDuration`.
void RunFor(adapters::http::EventLoop& aLoop, base::Millis aDuration);
/// Runs the loop until `aCondition` holds, at most for `aMaxDuration`.
void RunUntil(adapters::http::EventLoop& aLoop,
              base::Millis aMaxDuration,
              const std::function<bool()>& aCondition);

/// Waits until all nodes are ready again and each serves a call. Returns false if a node does not
/// recover.
bool AllNodesRecover(tests::PlatformFleet& aFleet, size_t aNodes);
/// Waits until exactly one node is the leader. Returns false if that does not happen.
bool OneNodeLeads(tests::PlatformFleet& aFleet, size_t aNodes);

} // namespace papayafield::soak
