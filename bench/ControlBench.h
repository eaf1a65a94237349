#pragma once

#include "Report.h"

/// \file
/// What control costs, as slopes over the size of the fleet.

namespace papayafield::bench {

/// Members in this process over real sockets: bytes, processor time and memory for each, and how
/// long urgent news takes to reach all.
Report MeasureMembership();
/// One routing decision over the number of endpoints.
Report MeasureRouting();
/// Calls of the key-value service by idle nodes and by orders, over the number of nodes.
Report MeasurePlatformCalls();
/// What asking engines for their load costs a node, over the number of engines.
Report MeasureEngines();
/// From the acceptance of a change until it is in force at all real nodes.
Report MeasureConfiguration();

} // namespace papayafield::bench
