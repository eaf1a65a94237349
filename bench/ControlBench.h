#pragma once

#include "Report.h"

/// \file
/// Benchmarks of the control plane: its cost as a function of the fleet size.

namespace papayafield::bench {

/// Measures the membership protocol with all members in this process over real sockets: bytes, CPU
/// time and memory per member, and the time until an urgent gossip message has reached all members.
Report MeasureMembership();
/// Measures the CPU time of a routing decision by the number of endpoints.
Report MeasureRouting();
/// Measures the calls of the key-value service by idle nodes and under orders, by the number of
/// nodes.
Report MeasurePlatformCalls();
/// Measures the cost of load polling for a node, by the number of engines.
Report MeasureEngines();
/// Measures the time from the acceptance of a change until it is active on all nodes, which run as
/// processes.
Report MeasureConfiguration();

} // namespace papayafield::bench
