#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace papayafield::base {

/// One fault found in a settings or manifest file, with its place.
struct Finding {
  /// File name as given by the user.
  std::string m_file;
  /// Line, from 1; 0 when the fault has no line.
  uint32_t m_line = 0;
  /// Column, from 1; 0 when the fault has no column.
  uint32_t m_column = 0;
  /// What is wrong and what would be right.
  std::string m_message;

  /// `file:line:column: message`.
  std::string ToText() const;
};

/// All findings of one check, reported together. Not thread safe.
class Findings {
public:
  /// Adds one finding.
  void Add(Finding aFinding) { m_list.push_back(std::move(aFinding)); }
  /// Whether nothing was found.
  bool Empty() const { return m_list.empty(); }
  /// The findings in the order in which they were added.
  const std::vector<Finding>& List() const { return m_list; }
  /// One line for each finding, in the order of the file.
  std::string ToText() const;

private:
  std::vector<Finding> m_list;
};

} // namespace papayafield::base
