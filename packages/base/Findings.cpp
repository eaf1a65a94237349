#include "base/Findings.h"

#include <algorithm>

namespace papayafield::base {

std::string Finding::ToText() const {
  std::string text = m_file;
  if (m_line != 0) {
    text += ":" + std::to_string(m_line) + ":" + std::to_string(m_column);
  }
  return text + ": " + m_message;
}

std::string Findings::ToText() const {
  // Sort by position, so that the findings can be fixed from top to bottom of the file.
  std::vector<Finding> sorted = m_findings;
  std::stable_sort(sorted.begin(), sorted.end(), [](const Finding& aLeft, const Finding& aRight) {
    return std::pair(aLeft.m_line, aLeft.m_column) < std::pair(aRight.m_line, aRight.m_column);
  });
  std::string text;
  for (const Finding& finding : sorted) {
    text += finding.ToText() + "\n";
  }
  return text;
}

} // namespace papayafield::base
