#include "fleet/StreamLifetime.h"

#include <algorithm>

namespace papayafield::fleet {

void StreamLifetime::Set(base::Millis aLifetime, base::TimePoint aNow) {
  const base::Millis before = m_current;
  m_current = aLifetime;
  Extend(before, aNow);
}

void StreamLifetime::Extend(base::Millis aLifetime, base::TimePoint aNow) {
  if (aLifetime <= m_current) {
    return;
  }
  std::erase_if(m_earlier, [&](const Earlier& aEarlier) {
    return aEarlier.m_end <= aNow || aEarlier.m_lifetime <= aLifetime;
  });
  m_earlier.push_back({ aLifetime, aNow + aLifetime });
}

base::Millis StreamLifetime::Longest(base::TimePoint aNow) const {
  base::Millis longest = m_current;
  for (const Earlier& earlier : m_earlier) {
    if (aNow < earlier.m_end) {
      longest = std::max(longest, earlier.m_lifetime);
    }
  }
  return longest;
}

} // namespace papayafield::fleet
