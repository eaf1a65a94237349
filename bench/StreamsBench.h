#pragma once

#include "Report.h"

namespace papayafield::bench {

/// Measures the time that the readers of event streams take for each byte of an event without end,
/// by the size of the parts in which it arrives, in nanoseconds.
Report MeasureEndlessEvents();

} // namespace papayafield::bench
