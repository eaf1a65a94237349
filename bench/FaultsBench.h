#pragma once

#include "Report.h"

#include <cstdint>

/// \file
/// Two faults together, at random by seed, over and over, with a verdict for each point that must
/// hold.

namespace papayafield::bench {

/// Runs rounds of faults for `aMinutes`. The report has one row for each point.
Report RunFaults(uint64_t aSeed, double aMinutes);

} // namespace papayafield::bench
