#pragma once

#include "Report.h"

/// \file
/// Benchmarks of the overhead of a node in the request path.

namespace papayafield::bench {

/// Measures the latency that a node adds to a call of a plain service, compared with a direct call.
Report MeasureAddedLatency();
/// Measures the tokens that a node relays per CPU second, and its memory per open stream.
Report MeasureRelay();

} // namespace papayafield::bench
