#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayafield::base {

/// An error in a settings or manifest file, with its position.
struct Finding {
  /// The file name as given by the user.
  std::string m_file;
  /// Line number, starting at 1; 0 if the error has no position.
  uint32_t m_line = 0;
  /// Column number, starting at 1; 0 if the error has no position.
  uint32_t m_column = 0;
  /// What is invalid and what is expected.
  std::string m_message;

  /// Formats the finding as `file:line:column: message`.
  std::string ToText() const;
};

/// All errors found in one file, reported together. Not thread safe.
class Findings {
public:
  void Add(Finding aFinding) { m_findings.push_back(std::move(aFinding)); }
  bool Empty() const { return m_findings.empty(); }
  /// Returns the findings in the order in which they were added.
  const std::vector<Finding>& List() const { return m_findings; }
  /// Formats one line for each finding, in file order.
  std::string ToText() const;

private:
  std::vector<Finding> m_findings;
};

} // namespace papayafield::base
