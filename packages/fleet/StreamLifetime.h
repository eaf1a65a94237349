#pragma once

#include "base/Time.h"

#include <vector>

namespace papayafield::fleet {

/// How long streams may still be resumed. It follows from the timeouts of the configuration, but
/// streams that began under an earlier configuration keep the timeouts of that one. Not thread
/// safe.
class StreamLifetime {
public:
  /// Sets the lifetime of streams that begin from `aNow` on.
  void Set(base::Millis aLifetime, base::TimePoint aNow);
  /// Records that streams with the lifetime `aLifetime` may have begun until `aNow`.
  void Extend(base::Millis aLifetime, base::TimePoint aNow);
  /// Returns the longest lifetime of all streams that may still be resumed at `aNow`.
  base::Millis Longest(base::TimePoint aNow) const;

private:
  /// A lifetime that is no longer in force, and the end of the last stream that has it.
  struct Earlier {
    base::Millis m_lifetime;
    base::TimePoint m_end;
  };

  base::Millis m_current{ 0 };
  std::vector<Earlier> m_earlier;
};

} // namespace papayafield::fleet
