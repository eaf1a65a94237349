#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace papayafield::bench {

/// A table of figures, printed for people and written as JSON for programs. Not thread safe.
class Report {
public:
  /// A table called `aTitle` with the columns `aColumns`.
  Report(std::string aTitle, std::vector<std::string> aColumns);

  /// Adds a row; one figure or text for each column.
  void Add(std::vector<nlohmann::json> aRow);
  /// Prints the table.
  void Print() const;
  /// The table as JSON: a title and a list of objects.
  nlohmann::json ToJson() const;

private:
  std::string m_title;
  std::vector<std::string> m_columns;
  std::vector<std::vector<nlohmann::json>> m_rows;
};

/// `aValue` rounded to `aDigits` behind the point.
double Rounded(double aValue, int aDigits);

/// The value below which `aShare` of `aValues` lie; 0 when there are none.
double Quantile(std::vector<double> aValues, double aShare);

} // namespace papayafield::bench
