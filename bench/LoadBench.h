#pragma once

#include "Report.h"

#include <cstdint>

/// \file
/// Benchmark of the latency and goodput that callers get when the engines are overloaded.

namespace papayafield::bench {

/// Measures goodput, rejections and the time to the first token of a large and a small team. The
/// total load is 0.5, 1 and 2 times the capacity of the engines; the small team sends a low
/// constant rate.
Report MeasureOverload(uint64_t aSeed);

} // namespace papayafield::bench
