#pragma once

#include "base/Time.h"

namespace papayafield::adapters::http1 {

/// Sets the options of a TCP socket of the data path. `aUnacknowledgedTimeout` is the maximum time
/// that sent bytes may stay unacknowledged; it also limits the time without an answer to keep-alive
/// probes. Thread safe.
void SetSocketOptions(int aFd, base::Millis aUnacknowledgedTimeout);

/// Makes the next close of the TCP socket `aFd` reset its connection. Thread safe.
void ResetOnClose(int aFd);

} // namespace papayafield::adapters::http1
