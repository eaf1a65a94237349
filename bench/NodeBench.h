#pragma once

#include "Report.h"

/// \file
/// What the node itself costs on the path of requests.

namespace papayafield::bench {

/// Latency that a node adds to a call of a plain service, against a direct connection.
Report MeasureAddedLatency();
/// Tokens relayed for each processor second of a node, and memory for each open stream.
Report MeasureRelay();

} // namespace papayafield::bench
