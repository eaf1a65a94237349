#include "quarantine/SuccessMemory.h"

#include <algorithm>

namespace papayafield::quarantine {

void SuccessMemory::Record(const std::string& aPart, base::TimePoint aBegan, bool aIsOwn) {
  const auto known = m_byPart.find(aPart);
  if (known != m_byPart.end()) {
    m_entries.splice(m_entries.begin(), m_entries, known->second);
  } else {
    if (m_entries.size() >= m_maxParts) {
      m_byPart.erase(m_entries.back().m_part);
      m_entries.pop_back();
    }
    m_entries.push_front({ aPart, aBegan, {} });
    m_byPart.emplace(m_entries.front().m_part, m_entries.begin());
  }
  Entry& entry = m_entries.front();
  entry.m_latest = std::max(entry.m_latest, aBegan);
  if (aIsOwn) {
    entry.m_own = std::max(entry.m_own.value_or(aBegan), aBegan);
  }
}

const SuccessMemory::Entry* SuccessMemory::Find(std::string_view aPart) const {
  const auto found = m_byPart.find(aPart);
  return found == m_byPart.end() ? nullptr : &*found->second;
}

} // namespace papayafield::quarantine
