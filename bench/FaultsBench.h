#pragma once

#include "Report.h"

#include <cstdint>

/// \file
/// Injects pairs of random faults, chosen by a seed, in repeated rounds, and reports a verdict for
/// each guarantee.

namespace papayafield::bench {

/// Runs rounds of faults for `aMinutes`. The report has one row per guarantee.
Report RunFaults(uint64_t aSeed, double aMinutes);

} // namespace papayafield::bench
