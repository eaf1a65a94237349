#pragma once

#include "Report.h"

#include <cstdint>

/// \file
/// What callers see under more load than the engines can carry.

namespace papayafield::bench {

/// A large team asks for 0.5, 1 and 2 times what the engines can serve, beside a small team that
/// asks for little: goodput, refusals and times to the first token for each.
Report MeasureOverload(uint64_t aSeed);

} // namespace papayafield::bench
