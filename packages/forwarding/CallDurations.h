#pragma once

#include "base/Time.h"
#include "fleet/Catalog.h"

#include <map>
#include <string>

namespace papayafield::forwarding {

/// Tracks how long the calls of each route take: a maximum that decays over about ten seconds, so
/// that it follows slow engines at once and forgets them when they have recovered. Not thread safe.
class CallDurations {
public:
  /// Records that a call of the route named `aRoute` ended after `aDuration`.
  void Record(const std::string& aRoute, base::Millis aDuration, base::TimePoint aNow);
  /// Returns the time that a new call may take, at most the route's timeout. `aOldestOpen` is the
  /// age of the route's oldest call in progress, 0 if there is none. For a stream without a recent
  /// call, it is the timeout, since the latency target only limits the time to its first event.
  base::Millis Expected(const fleet::Route& aRoute,
                        base::Millis aOldestOpen,
                        base::TimePoint aNow) const;
  /// Forgets routes that are not in `aCatalog`.
  void RetainRoutes(const fleet::Catalog& aCatalog);

private:
  struct Longest {
    double m_millis = 0;
    base::TimePoint m_at{};

    double Decayed(base::TimePoint aNow) const;
  };

  std::map<std::string, Longest> m_longest;
};

} // namespace papayafield::forwarding
