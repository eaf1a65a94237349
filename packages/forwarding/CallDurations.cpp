#include "forwarding/CallDurations.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace papayafield::forwarding {

namespace {

/// Time constant of the decay of a maximum, in seconds.
constexpr double kDecaySeconds = 10;
/// The longest call of a route says nothing about its streams once it is older than this.
constexpr base::Millis kRecent{ 30000 };
/// A new call may take this much longer than the longest of the latest ones.
constexpr double kMargin = 1.25;

} // namespace

double CallDurations::Longest::Decayed(base::TimePoint aNow) const {
  const std::chrono::duration<double> age = aNow - m_at;
  return m_millis * std::exp(-std::max(age.count(), 0.0) / kDecaySeconds);
}

void CallDurations::Record(const std::string& aRoute,
                           base::Millis aDuration,
                           base::TimePoint aNow) {
  Longest& longest = m_longest[aRoute];
  const auto millis = static_cast<double>(aDuration.count());
  if (millis >= longest.Decayed(aNow)) {
    longest = { millis, aNow };
  }
}

base::Millis CallDurations::Expected(const fleet::Route& aRoute,
                                     base::Millis aOldestOpen,
                                     base::TimePoint aNow) const {
  const auto found = m_longest.find(aRoute.m_name);
  const bool recent = found != m_longest.end() && aNow - found->second.m_at < kRecent;
  if (aRoute.m_kind == fleet::CallKind::Stream && !recent) {
    return aRoute.m_timeout;
  }
  auto millis = static_cast<double>(std::max(aRoute.m_latencyTarget, aOldestOpen).count());
  if (found != m_longest.end()) {
    millis = std::max(millis, found->second.Decayed(aNow));
  }
  return std::min(base::Millis(static_cast<int64_t>(millis * kMargin)), aRoute.m_timeout);
}

void CallDurations::RetainRoutes(const fleet::Catalog& aCatalog) {
  std::set<std::string_view> names;
  for (const fleet::Route& route : aCatalog.Routes()) {
    names.insert(route.m_name);
  }
  std::erase_if(m_longest, [&](const auto& aEntry) { return !names.contains(aEntry.first); });
}

} // namespace papayafield::forwarding
